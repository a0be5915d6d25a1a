// Client accounts: which jobs are within their account's share, and how many
// tasks an account may start within its quota.
#include <algorithm>
#include <utility>

#include "accounts/Quota.h"
#include "telemetry/Log.h"
#include "workflow/ControllerInternal.h"

namespace dotterelcove::workflow {
namespace {

/// How long the count of what unreported workers may run is used. It only
/// shrinks meanwhile, so an old one is too high at worst.
constexpr TimeMs kUnreportedCountMs = 50;
constexpr TimeMs kQuotaLogIntervalMs = 1'000;

Resources Smaller(const Resources& a, const Resources& b) {
  return {std::min(a.milli_cores, b.milli_cores),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

/// The capacity of the workers that have not answered since this owner took
/// over, or nothing if one of them has not been listed yet.
std::optional<Resources> UnreportedCapacity(const Controller& c) {
  Resources total;
  for (const auto& [id, version] : c.recovery_pending) {
    const Worker* worker = FindWorker(c.fleet, id);
    if (worker == nullptr || worker->info.capacity == Resources()) {
      return std::nullopt;
    }
    total = total + worker->info.capacity;
  }
  return total;
}

/// The most occurrences of the job that a predecessor can have begun.
uint32_t CountBegunOccurrences(const Controller& c, const JobSpec& spec) {
  if (spec.occurrences == 0) return 1;
  const int64_t since_ms = c.runtime.wall_ms() - spec.first_start_wall_ms;
  int64_t due = spec.occurrences;
  if (spec.interval_ms > 0)
    due = since_ms < 0 ? 0 : since_ms / spec.interval_ms + 1;
  // One more, since its time of day may have been ahead of this owner's.
  return static_cast<uint32_t>(std::min<int64_t>(due + 1, spec.occurrences));
}

void AddUnreported(UnreportedTasks& total, const StepSpec& step,
                   int64_t count) {
  Resources& part = step.filler ? total.fillers : total.ordinary;
  part = part + step.size * count;
}

/// Adds the tasks of a job that may run on a worker that has not answered.
void AddWaitingTasks(const Controller& c, const Job& job,
                     UnreportedTasks& total) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (size_t i = 0; i < occurrence.steps.size(); ++i) {
      const StepState& step = occurrence.steps[i];
      const auto waiting = std::count_if(
          step.tasks.begin(), step.tasks.end(), [](const TaskState& task) {
            return task.phase == TaskPhase::kWaiting;
          });
      AddUnreported(total, job.spec.steps[i], waiting);
    }
  }
  // Those of the occurrences that have become due since the job was read: the
  // job is held, so they are not added yet.
  const uint32_t known = job.next_occurrence;
  const uint32_t begun = CountBegunOccurrences(c, job.spec);
  if (begun <= known) return;
  for (const StepSpec& step : job.spec.steps) {
    AddUnreported(total, step, int64_t{step.count} * (begun - known));
  }
}

void CountUnreported(Controller& c) {
  UnreportedUsage& unreported = c.unreported;
  const TimeMs now_ms = c.runtime.now();
  const bool is_counted = unreported.counted_ms >= 0 &&
                          now_ms - unreported.counted_ms < kUnreportedCountMs;
  if (is_counted) return;
  unreported.counted_ms = now_ms;
  unreported.capacity = UnreportedCapacity(c);
  unreported.by_account.clear();
  for (const auto& [id, spec] : c.ended_with_runs) {
    const uint32_t begun = CountBegunOccurrences(c, spec);
    for (const StepSpec& step : spec.steps) {
      AddUnreported(unreported.by_account[spec.account], step,
                    int64_t{step.count} * begun);
    }
  }
  for (const auto& [id, job] : c.jobs.jobs) {
    if (job->spec.account.empty() || !MustWaitForRecovery(c, *job)) continue;
    AddWaitingTasks(c, *job, unreported.by_account[job->spec.account]);
  }
}

/// What the account may have running on workers that have not answered since
/// this owner took over.
Resources UnreportedUsageOf(Controller& c, const std::string& account) {
  if (!IsRecovering(c)) return {};
  CountUnreported(c);
  const auto found = c.unreported.by_account.find(account);
  if (found == c.unreported.by_account.end()) return {};
  const UnreportedTasks& tasks = found->second;
  if (!c.unreported.capacity) return tasks.ordinary + tasks.fillers;
  return Smaller(tasks.ordinary, *c.unreported.capacity) + tasks.fillers;
}

/// The specification of a job that is open, or that has ended although runs of
/// it may go on.
const JobSpec* FindSpecWithRuns(const Controller& c, const std::string& id) {
  const auto job = c.jobs.jobs.find(id);
  if (job != c.jobs.jobs.end()) return &job->second->spec;
  const auto ended = c.ended_with_runs.find(id);
  return ended == c.ended_with_runs.end() ? nullptr : &ended->second;
}

/// The account's runs that workers list although this owner has not placed
/// them.
Resources OrphanedUsageOf(const Controller& c, const std::string& account) {
  Resources total;
  for (const auto& [name, workers] : c.orphaned) {
    TaskName parsed;
    if (!ParseTaskName(name, parsed)) continue;
    const JobSpec* spec = FindSpecWithRuns(c, parsed.job);
    if (spec == nullptr || spec->account != account) continue;
    if (parsed.step >= spec->steps.size()) continue;
    total = total + spec->steps[parsed.step].size *
                        static_cast<int64_t>(workers.size());
  }
  return total;
}

bool HasOrphans(const Controller& c, const std::string& job) {
  const std::string prefix = job + ".";
  const auto found = c.orphaned.lower_bound(prefix);
  return found != c.orphaned.end() && found->first.starts_with(prefix);
}

/// Whether a line for the account is due; there is one a second at most.
bool IsLogDue(Controller& c, const std::string& account) {
  const TimeMs now_ms = c.runtime.now();
  const auto [logged_ms, is_new] =
      c.quota_logged_ms.try_emplace(account, now_ms);
  if (is_new) return true;
  if (now_ms - logged_ms->second < kQuotaLogIntervalMs) return false;
  logged_ms->second = now_ms;
  return true;
}

void LogQuotaReached(Controller& c, const Job& job, const Resources& quota,
                     const Resources& used, size_t waiting) {
  if (!IsLogDue(c, job.spec.account)) return;
  Log(LogLevel::kInfo, "quota_reached",
      {F("account", job.spec.account), F("job", job.spec.id),
       F("used_milli_cores", used.milli_cores),
       F("quota_milli_cores", quota.milli_cores),
       F("used_memory_mb", used.memory_mb),
       F("quota_memory_mb", quota.memory_mb),
       F("used_accelerators", used.accelerators),
       F("quota_accelerators", quota.accelerators), F("waiting_tasks", waiting),
       F("recovering", IsRecovering(c))});
}

/// What the account's quota is for the step's tasks. Work that is neither
/// urgent nor long-running leaves a part of it free, or the account's urgent
/// tasks would wait for the end of its batch tasks.
accounts::QuotaLimits LimitsFor(const Resources& quota,
                                const QueuePolicy& policy,
                                const StepSpec& spec) {
  if (policy.priority <= 1) return {quota, quota};
  // Urgent tasks are short, so a small part serves many of them.
  constexpr int64_t kUsablePercent = 80;
  const Resources usable{quota.milli_cores * kUsablePercent / 100,
                         quota.memory_mb * kUsablePercent / 100,
                         quota.accelerators};
  const uint32_t together = spec.gang ? spec.count : 1;
  const bool is_enough =
      accounts::ExcessOverQuota(usable, {}, spec.size, together) == Resources();
  return {is_enough ? usable : quota, quota};
}

/// Whether the account's later tasks, which fit, have to wait behind the step,
/// which does not. While less than half of the quota is in use they do so at
/// intervals only: runs that take long may be all that the step waits for.
bool HoldsBackLaterSteps(const StepState& step, const Resources& quota,
                         const Resources& used, TimeMs now_ms) {
  constexpr TimeMs kIntervalMs = 2'000;
  if (!accounts::IsUnderHalf(quota, used)) return true;
  return (now_ms - step.ready_since_ms) / kIntervalMs % 2 == 0;
}

double WeightOf(const Controller& c, const std::string& account) {
  const auto found = c.accounts.by_name.find(account);
  return found == c.accounts.by_name.end() ? 0 : found->second.weight;
}

}  // namespace

void UpdateAccounts(Controller& c, const accounts::AccountTable& table) {
  for (const auto& [name, account] : table.by_name) {
    c.accounts.by_name[name] = account;
  }
  c.accounts.enabled = table.enabled;
  // The shares of the stored jobs were counted without the weights.
  if (!std::exchange(c.are_accounts_known, true) && c.are_shares_counted) {
    c.shares = {};
    CountEarlierShares(c);
  }
  RequestSchedule(c);
}

void AttachAccount(Controller& c, Job& job) {
  if (job.spec.account.empty()) return;
  job.usage = &c.account_usage[job.spec.account];
  // Stored jobs are counted in order once all of them are known.
  if (!c.are_shares_counted) return;
  job.is_within_share =
      fairness::TakeShare(c.shares, job.spec.account,
                          WeightOf(c, job.spec.account), c.runtime.now());
}

void CountEarlierShares(Controller& c) {
  c.are_shares_counted = true;
  std::vector<Job*> earlier;
  for (const auto& [id, job] : c.jobs.jobs) {
    if (job->usage != nullptr) earlier.push_back(job.get());
  }
  std::sort(earlier.begin(), earlier.end(), [](const Job* a, const Job* b) {
    return a->accepted_ms < b->accepted_ms;
  });
  for (Job* job : earlier) {
    job->is_within_share =
        fairness::TakeShare(c.shares, job->spec.account,
                            WeightOf(c, job->spec.account), job->accepted_ms);
  }
}

void NoteEndedJob(Controller& c, const JobSpec& spec) {
  if (spec.account.empty()) return;
  JobSpec& noted = c.ended_with_runs[spec.id];
  noted = spec;
  noted.payload.clear();
}

void NoteIfRunsMayGoOn(Controller& c, const Job& job) {
  if (job.usage == nullptr) return;
  const bool is_unreported =
      job.phase != JobPhase::kCompleted && MustWaitForRecovery(c, job);
  if (is_unreported || HasOrphans(c, job.spec.id)) NoteEndedJob(c, job.spec);
}

void ForgetEndedJobs(Controller& c) {
  if (IsRecovering(c)) return;
  std::erase_if(c.ended_with_runs,
                [&](const auto& entry) { return !HasOrphans(c, entry.first); });
}

uint32_t CountStartable(Controller& c, SchedulePass& pass, const TaskRef& step,
                        uint32_t waiting) {
  const Job& job = *step.job;
  if (job.usage == nullptr) return waiting;
  const std::string& name = job.spec.account;
  if (!c.are_accounts_known) {
    if (IsLogDue(c, name)) {
      Log(LogLevel::kWarning, "accounts_not_known",
          {F("account", name), F("job", job.spec.id), F("epoch", c.epoch)});
    }
    return 0;
  }
  const StepSpec& spec = SpecOf(step);
  const auto lacking = pass.quota_shortfall.find(name);
  if (lacking != pass.quota_shortfall.end() &&
      accounts::NeedsAnyOf(spec.size, lacking->second)) {
    return 0;
  }
  const auto account = c.accounts.by_name.find(name);
  const Resources& whole_quota = account == c.accounts.by_name.end()
                                     ? job.spec.account_quota
                                     : account->second.quota;
  if (whole_quota == Resources()) return waiting;
  const accounts::QuotaLimits limits =
      LimitsFor(whole_quota, job.spec.policy, spec);
  const Resources used = job.usage->running + UnreportedUsageOf(c, name) +
                         OrphanedUsageOf(c, name);
  const uint32_t count =
      accounts::CountWithinQuota(limits.usable, used, spec.size, waiting);
  if (count == waiting) return waiting;
  LogQuotaReached(c, job, limits.usable, used, waiting - count);
  if (!spec.gang && count > 0) return count;
  const uint32_t needed = spec.gang ? spec.count : 1;
  if (accounts::MayStartTogether(limits, used, spec.size, needed)) {
    return needed;
  }
  // Smaller tasks of the account that start in its place would keep it waiting
  // for ever, unless it waits for runs that do not end.
  const bool has_room_later = accounts::MayStartTogether(
      limits, job.usage->long_running, spec.size, needed);
  if (has_room_later &&
      HoldsBackLaterSteps(StepOf(step), whole_quota, used, pass.now_ms)) {
    pass.quota_shortfall[name] =
        pass.quota_shortfall[name] +
        accounts::ExcessOverQuota(limits.usable, used, spec.size, needed);
  }
  return 0;
}

}  // namespace dotterelcove::workflow
