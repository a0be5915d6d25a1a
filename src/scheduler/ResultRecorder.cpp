#include "scheduler/ResultRecorder.h"

#include <utility>

#include "base/Clock.h"
#include "scheduler/JobRecords.h"

namespace dotterelcove {
namespace {

constexpr int64_t kRetryBaseMs = 100;
constexpr int64_t kRetryMaxMs = 5'000;

}  // namespace

ResultRecorder::ResultRecorder(Services& services, RecordWriter& writer)
    : services(services), writer(writer), random(MakeSystemRandom()) {}

void ResultRecorder::RecordMember(const Job& job, uint32_t member,
                                  Acknowledge acknowledge) {
  MemberRow row;
  row.result = job.members[member].result;
  row.worker = job.last_worker;
  TablePut put;
  put.key =
      MemberKey(this->services.settings.partition, job.submit.job, member);
  put.value = ToRow(row);
  this->writer.Put(std::move(put), true,
                   [acknowledge = std::move(acknowledge)](WriteStatus status) {
                     if (status == WriteStatus::kCommitted) acknowledge();
                   });
}

void ResultRecorder::RecordEnd(Job& job, std::function<void()> done) {
  const size_t limit = job.recorded ? kMaxRowBodyBytes : kMaxFrameBodyBytes;
  const auto write = [this, &job, done = std::move(done)] {
    if (!job.recorded) {
      done();
      return;
    }
    this->WriteEnd(job, done);
  };
  if (job.result.body.size() <= limit) {
    write();
    return;
  }
  this->PutBody(job.submit.job, job.result.body, 0, [&job, write] {
    job.result.object = "result/" + job.submit.job;
    // A body that fits into a frame is kept, so that callers get it without a
    // read of the object store.
    if (job.result.body.size() > kMaxFrameBodyBytes) job.result.body.clear();
    write();
  });
}

void ResultRecorder::PutBody(const std::string& id, const std::string& body,
                             int attempt, std::function<void()> done) {
  PutObject(
      this->services.objects, "result/" + id, body,
      [this, id, body, attempt, done = std::move(done),
       alive = std::weak_ptr<bool>(this->alive)](const ObjectResult& result) {
        if (alive.expired()) return;
        if (result.status == TableStatus::kOk) {
          done();
          return;
        }
        const uint64_t number = this->next_retry++;
        auto timer = std::make_unique<Timer>(
            this->services.loop, [this, id, body, attempt, done, number] {
              // Keeps the timer, which owns this callback, until it returns.
              const auto node = this->retries.extract(number);
              this->PutBody(id, body, attempt + 1, done);
            });
        timer->StartAfter(
            BackoffMs(this->random, attempt, kRetryBaseMs, kRetryMaxMs));
        this->retries[number] = std::move(timer);
      });
}

void ResultRecorder::WriteEnd(const Job& job, std::function<void()> done) {
  const uint32_t partition = this->services.settings.partition;
  EndedJobRow row;
  row.body_digest = job.submit.body_digest;
  row.result = job.result;
  row.ended_wall_ms = WallMs();
  TablePut ended;
  ended.key = EndedJobKey(partition, job.submit.job);
  ended.value = ToRow(row);
  const auto committed = [done = std::move(done)](WriteStatus status) {
    if (status == WriteStatus::kCommitted) done();
  };
  // The writer keeps the order: the row of the ended job is committed before
  // the rows of the open job are deleted, or with them, so that after a crash
  // in between the job is known to have ended.
  const bool kept = KeepsOutcome(job);
  if (kept) this->writer.Put(std::move(ended), true, committed);
  if (!job.routed && job.members.size() > 1) {
    for (uint32_t member = 0; member < job.members.size(); ++member) {
      if (!job.members[member].ended) continue;
      TablePut remove;
      remove.key = MemberKey(partition, job.submit.job, member);
      remove.remove = true;
      this->writer.Put(std::move(remove), true, [](WriteStatus) {});
    }
  }
  TablePut remove;
  remove.key = job.routed ? IntentKey(partition, job.submit.job)
                          : OpenJobKey(partition, job.submit.job);
  remove.remove = true;
  this->writer.Put(
      std::move(remove), true,
      kept ? [](WriteStatus) {} : std::function<void(WriteStatus)>(committed));
}

}  // namespace dotterelcove
