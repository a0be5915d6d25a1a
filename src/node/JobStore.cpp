#include "node/JobStore.h"

#include <memory>
#include <utility>

#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kRetryMs = 60;
/// Number of refusals by the store after which the operation fails, unless an
/// earlier attempt is in doubt.
constexpr int kMaxRefusals = 2;

/// One change to the job table, retried until its outcome is known.
struct Attempt {
  Runtime runtime;
  RowStore store;
  std::string key;
  std::string value;
  TimeMs deadline_ms = 0;
  JobOutcomeCallback done;
  /// For a cancellation: whether one of an unknown job may be stored now.
  std::function<bool()> may_store_unknown;
  /// An earlier attempt without an answer may have taken effect.
  bool in_doubt = false;
  int refusals = 0;
  uint32_t calls = 0;
  /// How the last call ended, see StoreAnswer::reason.
  std::string reason;
};
using AttemptPtr = std::shared_ptr<Attempt>;
using Step = void (*)(const AttemptPtr&);

void Finish(const AttemptPtr& attempt, JobAnswer answer, StoreRow row = {}) {
  std::exchange(attempt->done, nullptr)(
      {answer, std::move(row), attempt->reason, attempt->calls});
}

/// The store rejects the change itself, so that no retry would resolve it.
void FinishRejected(const AttemptPtr& attempt) {
  std::exchange(attempt->done, nullptr)(
      {JobAnswer::kUnknown, {}, attempt->reason, attempt->calls, true});
}

void CountCall(Attempt& attempt, const StoreAnswer& answer) {
  attempt.calls++;
  attempt.reason = answer.reason;
}

/// After an attempt without a usable answer, schedules a retry or finishes.
void TryAgain(const AttemptPtr& attempt, StoreStatus status, Step step) {
  if (status == StoreStatus::kInvalid) {
    FinishRejected(attempt);
    return;
  }
  if (status == StoreStatus::kRefused) {
    attempt->refusals++;
    if (!attempt->in_doubt && attempt->refusals >= kMaxRefusals) {
      Finish(attempt, JobAnswer::kRefused);
      return;
    }
  }
  if (attempt->runtime.now() + kRetryMs >= attempt->deadline_ms) {
    Finish(attempt,
           attempt->in_doubt ? JobAnswer::kUnknown : JobAnswer::kRefused);
    return;
  }
  attempt->runtime.after(kRetryMs, [attempt, step] { step(attempt); });
}

void TryInsert(const AttemptPtr& attempt) {
  RowTransaction transaction;
  transaction.conditions.push_back({workflow::kJobTable, attempt->key, 0});
  transaction.puts.push_back(
      {workflow::kJobTable, attempt->key, attempt->value});
  attempt->store.transact(
      std::move(transaction), [attempt](const StoreAnswer& answer) {
        CountCall(*attempt, answer);
        if (answer.status == StoreStatus::kOk) {
          StoreRow row{workflow::kJobTable, attempt->key, attempt->value,
                       answer.version, false};
          Finish(attempt, JobAnswer::kStored, std::move(row));
          return;
        }
        if (answer.status == StoreStatus::kConflict) {
          // The id is already stored, by an earlier attempt or another process.
          for (const StoreRow& each : answer.rows) {
            if (each.key != attempt->key || each.version == 0) continue;
            Finish(attempt, JobAnswer::kStored, each);
            return;
          }
          // Without the row it does not show that the job is stored.
        }
        // Only a refusal proves that nothing was written.
        if (answer.status != StoreStatus::kRefused) attempt->in_doubt = true;
        TryAgain(attempt, answer.status, TryInsert);
      });
}

void TryCancel(const AttemptPtr& attempt);

/// Puts a row on the condition that the job's own row has `job_version`, and
/// finishes with `answer` once it is stored.
void PutIfUnchanged(const AttemptPtr& attempt, uint64_t job_version,
                    const RowPut& put, JobAnswer answer) {
  RowTransaction transaction;
  transaction.conditions.push_back(
      {workflow::kJobTable, attempt->key, job_version});
  transaction.puts.push_back(put);
  attempt->store.transact(
      std::move(transaction),
      [attempt, put, answer](const StoreAnswer& stored) {
        CountCall(*attempt, stored);
        if (stored.status == StoreStatus::kOk) {
          Finish(attempt, answer,
                 {put.table, put.key, put.value, stored.version, false});
          return;
        }
        // On a conflict nothing was written: the job has ended, or has been
        // stored, since it was looked up.
        const bool is_unwritten = stored.status == StoreStatus::kRefused ||
                                  stored.status == StoreStatus::kConflict;
        if (!is_unwritten) attempt->in_doubt = true;
        TryAgain(attempt, stored.status, TryCancel);
      });
}

void PutCancellation(const AttemptPtr& attempt, uint64_t job_version) {
  const RowPut put{workflow::kJobTable, attempt->key + workflow::kCancelSuffix,
                   "1"};
  PutIfUnchanged(attempt, job_version, put, JobAnswer::kStored);
}

/// Stores the job as cancelled under its own key. Each insert of a job is
/// conditional on the absence of that row, so one that is still under way, at a
/// daemon that stood still or in the store, changes nothing any more.
void PutTombstone(const AttemptPtr& attempt) {
  const RowPut put{workflow::kJobTable, attempt->key,
                   workflow::EncodeJobEnd({workflow::JobPhase::kCancelled,
                                           attempt->runtime.wall_ms()})};
  PutIfUnchanged(attempt, 0, put, JobAnswer::kNotFound);
}

void CancelUnknown(const AttemptPtr& attempt) {
  if (attempt->in_doubt || attempt->may_store_unknown()) {
    PutTombstone(attempt);
    return;
  }
  attempt->reason = "too_many_unknown";
  Finish(attempt, JobAnswer::kRefused);
}

void TryCancel(const AttemptPtr& attempt) {
  attempt->store.read_one(
      workflow::kJobTable, attempt->key, [attempt](const StoreAnswer& answer) {
        CountCall(*attempt, answer);
        if (answer.status != StoreStatus::kOk) {
          TryAgain(attempt, answer.status, TryCancel);
          return;
        }
        if (answer.rows.empty()) {
          CancelUnknown(attempt);
          return;
        }
        if (workflow::DecodeJob(answer.rows.front().value).ended) {
          Finish(attempt, JobAnswer::kStored);
          return;
        }
        PutCancellation(attempt, answer.rows.front().version);
      });
}

AttemptPtr MakeAttempt(const Runtime& runtime, const RowStore& store,
                       const std::string& key, TimeMs deadline_ms,
                       JobOutcomeCallback done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->runtime = runtime;
  attempt->store = store;
  attempt->key = key;
  attempt->deadline_ms = deadline_ms;
  attempt->done = std::move(done);
  return attempt;
}

}  // namespace

void InsertJobOnce(const Runtime& runtime, const RowStore& store,
                   const std::string& key, const std::string& value,
                   JobOutcomeCallback done) {
  // With a deadline in the past there are no retries.
  InsertJob(runtime, store, key, value, 0, std::move(done));
}

void InsertJob(const Runtime& runtime, const RowStore& store,
               const std::string& key, const std::string& value,
               TimeMs deadline_ms, JobOutcomeCallback done) {
  const AttemptPtr attempt =
      MakeAttempt(runtime, store, key, deadline_ms, std::move(done));
  attempt->value = value;
  TryInsert(attempt);
}

void InsertCancellation(const Runtime& runtime, const RowStore& store,
                        const std::string& id, TimeMs deadline_ms,
                        std::function<bool()> may_store_unknown,
                        JobOutcomeCallback done) {
  const AttemptPtr attempt =
      MakeAttempt(runtime, store, id, deadline_ms, std::move(done));
  attempt->may_store_unknown = std::move(may_store_unknown);
  TryCancel(attempt);
}

namespace {

/// For a job whose own row is still open: reads its progress row, where the
/// outcome may already be stored.
void LookUpProgress(const RowStore& store, const std::string& id,
                    const std::function<void(JobLookup)>& done) {
  store.read_one(workflow::kProgressTable, id,
                 [done](const StoreAnswer& answer) {
                   JobLookup lookup;
                   lookup.status = answer.status;
                   lookup.found = true;
                   lookup.phase = workflow::JobPhase::kQueued;
                   if (!answer.rows.empty()) {
                     const std::string& progress = answer.rows.front().value;
                     const auto end = workflow::DecodeEnd(progress);
                     if (end) {
                       lookup.phase = end->phase;
                     } else if (workflow::HasStarted(progress)) {
                       lookup.phase = workflow::JobPhase::kRunning;
                     }
                   }
                   done(lookup);
                 });
}

}  // namespace

void LookUpJob(const RowStore& store, const std::string& id,
               std::function<void(JobLookup)> done) {
  store.read_one(
      workflow::kJobTable, id,
      [store, id, done = std::move(done)](const StoreAnswer& answer) {
        JobLookup lookup;
        lookup.status = answer.status;
        lookup.found = !answer.rows.empty();
        if (!lookup.found) {
          done(lookup);
          return;
        }
        const workflow::DecodedJob job =
            workflow::DecodeJob(answer.rows.front().value);
        if (job.ended) {
          lookup.phase = job.ended->phase;
          done(lookup);
          return;
        }
        LookUpProgress(store, id, done);
      });
}

}  // namespace dotterelcove
