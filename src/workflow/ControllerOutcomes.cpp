// Compaction and retention of the stored outcomes of ended jobs.
//
// An outcome never changes, so these writes are not conditional on the owner
// row: a late write by a former owner does no harm.
#include <algorithm>
#include <utility>

#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// Compaction interval, long enough for several outcomes of a shard to share a
/// transaction.
constexpr TimeMs kCompactionMs = 10'000;
/// Maximum number of jobs in one transaction; each takes two entries.
constexpr size_t kMaxJobsPerCompaction = 40;

/// If commits take longer than this, compaction is skipped: it writes to the
/// same partitions of the store as the submission of jobs, which takes
/// priority.
constexpr TimeMs kSlowCommitMs = 100;

using Batch = std::vector<std::pair<std::string, JobPhase>>;

void RemoveProgress(Controller& c, const Batch& batch) {
  std::vector<RowRemoval> removals;
  for (const auto& [id, phase] : batch) {
    removals.push_back({kProgressTable, id});
  }
  c.log->Commit({}, std::move(removals), nullptr);
}

void CompactBatch(Controller& c, const Batch& batch) {
  RowTransaction transaction;
  for (const auto& [id, phase] : batch) {
    transaction.puts.push_back(
        {kJobTable, id, EncodeJobEnd({phase, c.runtime.wall_ms()})});
    transaction.removals.push_back({kJobTable, id + kCancelSuffix});
  }
  c.store.transact(
      std::move(transaction),
      Guard(c, [batch](Controller& self, const StoreAnswer& answer) {
        if (answer.status == StoreStatus::kOk) {
          RemoveProgress(self, batch);
          return;
        }
        Log(LogLevel::kWarning, "outcomes_not_compacted",
            {F("jobs", batch.size()),
             F("status", NameOf(kStoreStatusNames, answer.status))});
        self.to_compact.insert(batch.begin(), batch.end());
      }));
}

/// Batches jobs by shard, so that each transaction is on one partition.
void CompactAll(Controller& c) {
  std::map<uint32_t, Batch> batches;
  for (const auto& [id, phase] : std::exchange(c.to_compact, {})) {
    // The row tells a successor what may still run of the job, and so of its
    // account's quota.
    const Job* job = FindJob(c.jobs, id);
    const bool is_running = job != nullptr && job->usage != nullptr;
    if (is_running || c.ended_with_runs.contains(id)) {
      c.to_compact[id] = phase;
      continue;
    }
    Batch& batch = batches[ShardOf(kJobTable, id)];
    if (batch.size() >= kMaxJobsPerCompaction) {
      c.to_compact[id] = phase;
      continue;
    }
    batch.emplace_back(id, phase);
  }
  for (const auto& [shard, batch] : batches) CompactBatch(c, batch);
}

void DropOld(Controller& c) {
  std::map<uint32_t, RowTransaction> transactions;
  const TimeMs now_ms = c.runtime.now();
  std::erase_if(c.ended, [&](const auto& job) {
    if (now_ms - job.second.ended_ms < c.options.retention_ms) return false;
    RowTransaction& transaction = transactions[ShardOf(kJobTable, job.first)];
    if (transaction.removals.size() >= kMaxJobsPerCompaction) return false;
    transaction.removals.push_back({kJobTable, job.first});
    return true;
  });
  for (auto& [shard, transaction] : transactions) {
    c.store.transact(std::move(transaction), [](const StoreAnswer& answer) {
      if (answer.status == StoreStatus::kOk) return;
      // The next owner deletes the rows after its own retention period.
      Log(LogLevel::kWarning, "outcomes_not_dropped",
          {F("status", NameOf(kStoreStatusNames, answer.status))});
    });
  }
}

}  // namespace

void CompactOutcomes(Controller& c) {
  if (!c.loaded || c.runtime.now() < c.next_compaction_ms) return;
  c.next_compaction_ms = c.runtime.now() + kCompactionMs;
  ForgetEndedJobs(c);
  if (c.log->commit_ms() > kSlowCommitMs) return;
  CompactAll(c);
  DropOld(c);
}

}  // namespace dotterelcove::workflow
