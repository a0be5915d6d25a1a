// Storing of the jobs' progress and outcomes, and the acknowledgment of ends
// that depends on it.
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Maximum number of changed jobs written in one transaction, and of bytes
/// after which no further job is added to it.
constexpr size_t kMaxJobsPerFlush = 60;
constexpr size_t kMaxBytesPerFlush = 300'000;

}  // namespace

void MarkDirty(Controller& c, Job& job) {
  if (job.closing) {
    // The outcome is already submitted; only acknowledgments remain.
    FlushProgress(c);
    return;
  }
  if (job.phase == JobPhase::kQueued && job.started) {
    job.phase = JobPhase::kRunning;
  }
  c.dirty.insert(&job);
  FlushProgress(c);
}

namespace {

/// The last end of each worker that a commit covers, with the incarnation of
/// the worker.
using SeenEnds = std::map<std::string, std::pair<uint64_t, uint64_t>>;

SeenEnds CollectSeen(const Controller& c) {
  SeenEnds seen;
  for (const auto& [id, worker] : c.fleet.workers) {
    const uint64_t last = LastSettledEnd(worker);
    if (last > worker.acked) seen[id] = {worker.info.incarnation, last};
  }
  return seen;
}

void OnFlushed(Controller& c, const SeenEnds& seen) {
  c.flushing = false;
  for (const auto& [id, end] : seen) {
    Worker* found = FindWorker(c.fleet, id);
    if (found == nullptr) continue;
    Worker& worker = *found;
    if (worker.info.incarnation != end.first) continue;
    worker.acked = std::max(worker.acked, end.second);
    SyncStoredEnds(c, worker);
  }
  FlushProgress(c);
}

void OnCrashesStored(Controller& c, const std::string& id) {
  Job* job = FindJob(c.jobs, id);
  // A later crash of the same job is in the next commit.
  if (job == nullptr || c.dirty.contains(job)) return;
  job->has_unstored_crashes = false;
  WatchJob(c, *job);
}

void OnClosed(Controller& c, const std::string& id) {
  Job* job = FindJob(c.jobs, id);
  if (job == nullptr) return;
  job->committed_phase = job->phase;
  job->closed = true;
  job->closed_ms = c.runtime.now();
  Log(LogLevel::kInfo, "job_ended",
      {F("job", id), F("phase", NameOf(kJobPhaseNames, job->phase)),
       F("queue", job->spec.queue),
       F("took_ms", c.runtime.now() - job->accepted_ms),
       F("objective_ms", job->objective_ms)});
  if (c.observe) c.observe("job", c.runtime.now() - job->accepted_ms);
  c.to_compact[id] = job->phase;
  EraseIfClosed(c, *job);
}

/// The rows of one commit, and what follows once they are stored.
struct ProgressBatch {
  std::vector<RowPut> puts;
  size_t bytes = 0;
  std::vector<std::string> jobs;
  std::vector<std::string> closing;
  std::vector<std::string> with_crashes;
};

/// A job whose progress the store cannot hold ends, or no end of any task could
/// be acknowledged any more.
void EndUnstorable(Controller& c, Job& job, const char* reason, size_t bytes) {
  Log(LogLevel::kError, "progress_not_storable",
      {F("job", job.spec.id), F("queue", job.spec.queue), F("reason", reason),
       F("bytes", bytes), F("most_bytes", c.options.max_progress_bytes)});
  CloseJob(c, job, JobPhase::kFailed, reason);
}

/// The row to store for the job. Ends the job if its progress is too large.
std::string EncodeRow(Controller& c, Job& job) {
  if (!IsFinal(job.phase)) {
    std::string text = EncodeProgress(job, c.options.max_progress_bytes);
    if (text.size() <= c.options.max_progress_bytes) return text;
    EndUnstorable(c, job, "progress_too_large", text.size());
  }
  return EncodeJobEnd({job.phase, c.runtime.wall_ms()});
}

ProgressBatch TakeBatch(Controller& c) {
  ProgressBatch batch;
  const size_t most_jobs = c.single_flushes > 0 ? 1 : kMaxJobsPerFlush;
  while (!c.dirty.empty() && batch.jobs.size() < most_jobs &&
         batch.bytes < kMaxBytesPerFlush) {
    Job* job = *c.dirty.begin();
    std::string text = EncodeRow(c, *job);
    c.dirty.erase(job);
    const std::string& id = job->spec.id;
    batch.jobs.push_back(id);
    if (IsFinal(job->phase)) {
      batch.closing.push_back(id);
    } else if (job->has_unstored_crashes) {
      batch.with_crashes.push_back(id);
    }
    batch.bytes += text.size();
    batch.puts.push_back({kProgressTable, id, std::move(text)});
  }
  if (c.single_flushes > 0) c.single_flushes--;
  return batch;
}

/// The store rejects a commit itself: its jobs are written one by one, and one
/// that is rejected alone ends.
void OnFlushRejected(Controller& c, const ProgressBatch& batch) {
  c.flushing = false;
  c.single_flushes = batch.jobs.size();
  for (const std::string& id : batch.jobs) {
    Job* job = FindJob(c.jobs, id);
    if (job == nullptr) continue;
    c.dirty.insert(job);
    if (batch.jobs.size() > 1) continue;
    if (IsFinal(job->phase)) {
      // Not even the outcome is accepted, so the cause is not this job.
      c.fenced();
      return;
    }
    EndUnstorable(c, *job, "progress_rejected", batch.bytes);
  }
  FlushProgress(c);
}

}  // namespace

void FlushProgress(Controller& c) {
  if (c.flushing || c.stopped) return;
  const SeenEnds seen = CollectSeen(c);
  if (c.dirty.empty() && seen.empty()) return;
  // Set first: a job that ends here asks for a flush.
  c.flushing = true;
  const ProgressBatch batch = TakeBatch(c);
  // Ends count as stored only if no changed job was left out of the commit.
  const SeenEnds covered = c.dirty.empty() ? seen : SeenEnds();
  if (batch.puts.empty()) {
    OnFlushed(c, covered);
    return;
  }
  const auto on_stored = [covered, batch](Controller& self) {
    for (const std::string& id : batch.with_crashes) OnCrashesStored(self, id);
    for (const std::string& id : batch.closing) OnClosed(self, id);
    OnFlushed(self, covered);
  };
  const auto on_rejected = [batch](Controller& self) {
    OnFlushRejected(self, batch);
  };
  c.log->Commit(batch.puts, {}, Guard(c, on_stored), Guard(c, on_rejected));
}

}  // namespace dotterelcove::workflow
