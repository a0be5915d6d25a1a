#include "scheduler/Recovery.h"

#include <algorithm>
#include <array>
#include <map>

#include "base/Clock.h"
#include "base/Random.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr int64_t kRetryBaseMs = 50;
// Kept short, since each wait delays the first placement after a takeover.
constexpr int64_t kRetryMaxMs = 1'000;
// Maximum keys of one read; keeps the answer far below the size limit.
constexpr size_t kKeysPerRead = 400;
// The core must still see a deadline that has passed, and takes 0 as no
// deadline.
constexpr int64_t kExpiredDeadlineMs = 1;

enum Table : size_t {
  kJobs,
  kIntents,
  kEntriesDown,
  kUsedWorkers,
  kTableCount
};

}  // namespace

struct Recovery::State {
  State(Services& services, std::function<void(RecoveredRecords)> done)
      : services(services),
        done(std::move(done)),
        random(MakeSystemRandom()),
        timer(services.loop, [this] { this->Begin(); }) {}

  void Begin();
  void OnScanned(size_t table, const ReadResult& result);
  void ReadJobs();
  void ReadEnded();
  void OnEnded(const ReadResult& result);
  void Finish();
  void RetryLater();

  Services& services;
  std::function<void(RecoveredRecords)> done;
  Random random;
  Timer timer;
  int attempt = 0;
  uint64_t round = 0;
  std::array<std::vector<TableRow>, kTableCount> rows;
  size_t scans_open = 0;
  std::map<std::string, RecoveredJob> jobs;
  std::vector<std::string> ended_keys;
  size_t ended_read = 0;
  std::weak_ptr<State> self;
};

Recovery::Recovery(Services& services,
                   std::function<void(RecoveredRecords)> done)
    : state(std::make_shared<State>(services, std::move(done))) {
  this->state->self = this->state;
  this->state->Begin();
}

Recovery::~Recovery() = default;

void Recovery::State::Begin() {
  const uint32_t partition = this->services.settings.partition;
  const std::array<std::string, kTableCount> prefixes = {
      OpenJobPrefix(partition), IntentPrefix(partition), EntryDownPrefix(),
      UsedWorkerPrefix(partition)};
  this->round++;
  this->scans_open = kTableCount;
  for (size_t table = 0; table < kTableCount; ++table) {
    ScanAllRows(this->services.tables, prefixes[table],
                [weak = this->self, table,
                 round = this->round](const ReadResult& result) {
                  const std::shared_ptr<State> state = weak.lock();
                  if (state == nullptr || state->round != round) return;
                  state->OnScanned(table, result);
                });
  }
}

void Recovery::State::RetryLater() {
  // From here on the answers to the failed round are ignored.
  this->round++;
  Log(LogLevel::kWarning, "recovery_retry", {F("attempt", this->attempt)});
  this->timer.StartAfter(
      BackoffMs(this->random, this->attempt++, kRetryBaseMs, kRetryMaxMs));
}

void Recovery::State::OnScanned(size_t table, const ReadResult& result) {
  if (result.status != TableStatus::kOk) {
    this->RetryLater();
    return;
  }
  this->rows[table] = result.rows;
  if (--this->scans_open == 0) this->ReadJobs();
}

void Recovery::State::ReadJobs() {
  const uint32_t partition = this->services.settings.partition;
  const std::string prefix = OpenJobPrefix(partition);
  const int64_t wall_ms = WallMs();
  this->jobs.clear();
  this->ended_keys.clear();
  this->ended_read = 0;
  std::vector<std::pair<std::string, const TableRow*>> member_rows;
  for (const TableRow& row : this->rows[kJobs]) {
    const std::string id = row.key.substr(prefix.size());
    if (id.find('/') != std::string::npos) {
      member_rows.emplace_back(id, &row);
      continue;
    }
    OpenJobRow open;
    if (!FromRow(row.value, open)) {
      Log(LogLevel::kError, "unreadable_record", {F("key", row.key)});
      continue;
    }
    RecoveredJob job;
    job.submit = std::move(open.submit);
    job.accepted_wall_ms = open.accepted_wall_ms;
    job.members.resize(std::max<uint32_t>(job.submit.tasks, 1));
    if (job.submit.deadline_ms > 0) {
      job.submit.deadline_ms =
          std::max(job.submit.deadline_ms - (wall_ms - open.accepted_wall_ms),
                   kExpiredDeadlineMs);
    }
    this->jobs[id] = std::move(job);
    this->ended_keys.push_back(EndedJobKey(partition, id));
  }
  for (const auto& [name, row] : member_rows) {
    const size_t slash = name.find('/');
    const auto job = this->jobs.find(name.substr(0, slash));
    MemberRow member;
    if (job == this->jobs.end() || !FromRow(row->value, member)) continue;
    const size_t index = std::strtoull(name.c_str() + slash + 1, nullptr, 10);
    if (index >= job->second.members.size()) continue;
    job->second.members[index] = {true, std::move(member.result)};
  }
  this->ReadEnded();
}

void Recovery::State::ReadEnded() {
  if (this->ended_read >= this->ended_keys.size()) {
    this->Finish();
    return;
  }
  const size_t count =
      std::min(kKeysPerRead, this->ended_keys.size() - this->ended_read);
  const auto first =
      this->ended_keys.begin() + static_cast<std::ptrdiff_t>(this->ended_read);
  const std::vector<std::string> keys(
      first, first + static_cast<std::ptrdiff_t>(count));
  this->ended_read += count;
  ReadRows(this->services.tables, keys,
           [weak = this->self, round = this->round](const ReadResult& result) {
             const std::shared_ptr<State> state = weak.lock();
             if (state == nullptr || state->round != round) return;
             state->OnEnded(result);
           });
}

void Recovery::State::OnEnded(const ReadResult& result) {
  if (result.status != TableStatus::kOk) {
    this->RetryLater();
    return;
  }
  const std::string prefix = EndedJobPrefix(this->services.settings.partition);
  for (const TableRow& row : result.rows) {
    // The job has ended: its owner crashed after writing the ended row and
    // before deleting the open one.
    if (row.version != 0) this->jobs.erase(row.key.substr(prefix.size()));
  }
  this->ReadEnded();
}

void Recovery::State::Finish() {
  const std::string intents = IntentPrefix(this->services.settings.partition);
  RecoveredRecords records;
  for (auto& [id, job] : this->jobs) records.jobs.push_back(std::move(job));
  std::stable_sort(records.jobs.begin(), records.jobs.end(),
                   [](const RecoveredJob& a, const RecoveredJob& b) {
                     return a.accepted_wall_ms < b.accepted_wall_ms;
                   });
  for (const TableRow& row : this->rows[kIntents]) {
    IntentRow intent;
    if (!FromRow(row.value, intent)) continue;
    records.intents.emplace_back(row.key.substr(intents.size()), intent);
  }
  for (const TableRow& row : this->rows[kEntriesDown]) {
    records.entries_down.insert(row.key.substr(EntryDownPrefix().size()));
  }
  for (const TableRow& row : this->rows[kUsedWorkers]) {
    UsedWorkerRow worker;
    if (!FromRow(row.value, worker)) {
      Log(LogLevel::kError, "unreadable_record", {F("key", row.key)});
      continue;
    }
    records.used_workers.push_back(std::move(worker));
  }
  this->done(std::move(records));
}

}  // namespace dotterelcove
