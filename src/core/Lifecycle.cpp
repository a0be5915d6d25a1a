#include "core/Lifecycle.h"

#include <algorithm>
#include <utility>

#include "base/Hash.h"
#include "core/Placement.h"
#include "core/Quarantine.h"
#include "core/Queue.h"

namespace dotterelcove::core {
namespace {

/// First backoff after a failure; it doubles with each failure of the member,
/// up to kRetryMaxMs.
constexpr TimeMs kRetryBaseMs = 200;
constexpr TimeMs kRetryMaxMs = 10'000;
/// Time that a task has for a checkpoint before it is throttled, and again
/// before it is stopped. Both together leave over a second of the 2.1 s that an
/// urgent start may take.
constexpr TimeMs kEscalateMs = 300;
/// Interval at which a stop is repeated until the worker reports the end, since
/// the command may be lost with the connection.
constexpr TimeMs kRepeatStopMs = 5'000;

/// Exponential backoff with jitter over its upper half. The jitter is a hash of
/// the attempt, so that the core stays deterministic.
TimeMs RetryDelay(const Job& job, uint32_t member_index) {
  const Member& member = job.members[member_index];
  const uint32_t doublings = std::min<uint32_t>(member.failures, 7) - 1;
  const TimeMs delay = std::min(kRetryBaseMs << doublings, kRetryMaxMs);
  const uint64_t hash =
      Hash64(job.id) ^ (uint64_t{member_index} << 32 | member.attempt);
  const auto jitter = static_cast<TimeMs>(
      Hash64({reinterpret_cast<const char*>(&hash), sizeof(hash)}) %
      static_cast<uint64_t>(delay / 2 + 1));
  return delay / 2 + jitter;
}

void ScheduleRetry(Cell& cell, JobIndex job_index, uint32_t member,
                   TimeMs now) {
  const Job& job = cell.jobs[job_index];
  Timer timer;
  timer.at_ms =
      cell.options.retry_backoff ? now + RetryDelay(job, member) : now;
  timer.kind = TimerKind::kRetry;
  timer.job = job_index;
  timer.job_sequence = job.sequence;
  timer.member = member;
  timer.attempt = job.members[member].attempt;
  AddTimer(cell, timer);
}

void Retry(Cell& cell, JobIndex job_index, uint32_t member_index, bool delayed,
           TimeMs now, Commands& commands) {
  Job& job = cell.jobs[job_index];
  ReleaseMember(cell, job_index, member_index,
                delayed ? MemberState::kDelayed : MemberState::kWaiting);
  if (delayed) ScheduleRetry(cell, job_index, member_index, now);
  if (job.gang) {
    RestartGang(cell, job_index, now, commands);
  } else if (!delayed) {
    Enqueue(cell, job_index);
  }
}

void ApplyFailure(Cell& cell, JobIndex job_index, uint32_t member_index,
                  TimeMs now, Commands& commands) {
  Job& job = cell.jobs[job_index];
  Member& member = job.members[member_index];
  member.failures++;
  CountFailure(cell, job_index, member.worker, now);
  if (job.idempotent && member.failures < cell.options.max_attempts) {
    Retry(cell, job_index, member_index, true, now, commands);
    return;
  }
  ReleaseMember(cell, job_index, member_index, MemberState::kEnded);
  BeginEnding(cell, job_index, JobEnd::kFailed,
              "task " + std::to_string(member_index) + " failed in attempt " +
                  std::to_string(member.attempt),
              now, commands);
}

/// Ends the job as kUnknown after a non-idempotent attempt ended without a
/// result.
void EndUnknown(Cell& cell, JobIndex job_index, uint32_t member_index,
                TaskEnd end, TimeMs now, Commands& commands) {
  ReleaseMember(cell, job_index, member_index, MemberState::kEnded);
  BeginEnding(cell, job_index, JobEnd::kUnknown,
              "task " + std::to_string(member_index) +
                  " is not idempotent and ended as " +
                  std::string(NameOf(kTaskEndNames, end)),
              now, commands);
}

void ApplySuccess(Cell& cell, JobIndex job_index, uint32_t member_index,
                  Commands& commands) {
  Job& job = cell.jobs[job_index];
  CountSuccess(cell, job_index, job.members[member_index].worker);
  job.members[member_index].succeeded = true;
  ReleaseMember(cell, job_index, member_index, MemberState::kEnded);
  if (job.ended == job.members.size() && !job.ending) {
    job.ending = JobEnd::kDone;
  }
  FinishIfEnded(cell, job_index, commands);
}

}  // namespace

void RestartGang(Cell& cell, JobIndex job_index, TimeMs now,
                 Commands& commands) {
  Job& job = cell.jobs[job_index];
  if (!job.idempotent && job.may_have_run) {
    BeginEnding(cell, job_index, JobEnd::kUnknown,
                "a gang that is not idempotent lost a member after another ran",
                now, commands);
    return;
  }
  if (!job.restarting) {
    job.restarting = true;
    Dequeue(cell, job_index);
    for (uint32_t i = 0; i < job.members.size(); ++i) {
      if (!IsActive(job.members[i].state)) continue;
      RequestStop(cell, job_index, i, false, now, commands);
    }
  }
  if (job.active > 0) return;
  for (const Member& member : job.members) {
    if (member.state == MemberState::kDelayed) return;
  }
  job.restarting = false;
  for (Member& member : job.members) {
    member.state = MemberState::kWaiting;
    member.succeeded = false;
  }
  job.ended = 0;
  job.waiting = static_cast<uint32_t>(job.members.size());
  Enqueue(cell, job_index);
}

void EndAttempt(Cell& cell, const EndedTask& ended, TimeMs now,
                Commands& commands) {
  const JobIndex job_index = ended.ref.job;
  const uint32_t member_index = ended.ref.member;
  Job& job = cell.jobs[job_index];
  if (!job.live || job.sequence != ended.job_sequence) return;
  Member& member = job.members[member_index];
  if (!IsActive(member.state) || member.attempt != ended.attempt) return;
  if (ended.end != TaskEnd::kNotStarted) job.may_have_run = true;
  if (ended.end == TaskEnd::kSucceeded) {
    ApplySuccess(cell, job_index, member_index, commands);
    if (job.live && job.restarting) {
      RestartGang(cell, job_index, now, commands);
    }
    return;
  }
  if (job.ending) {
    if (ended.end == TaskEnd::kFailed) {
      CountFailure(cell, job_index, member.worker, now);
    }
    ReleaseMember(cell, job_index, member_index, MemberState::kEnded);
    FinishIfEnded(cell, job_index, commands);
    return;
  }
  switch (ended.end) {
    case TaskEnd::kSucceeded:
      break;
    case TaskEnd::kNotStarted:
      member.failures++;
      CountFailure(cell, job_index, member.worker, now);
      // Nothing ran, so another attempt is safe. The number of refusals is not
      // limited; the backoff bounds their rate.
      Retry(cell, job_index, member_index, true, now, commands);
      break;
    case TaskEnd::kFailed:
      ApplyFailure(cell, job_index, member_index, now, commands);
      break;
    case TaskEnd::kPreempted:
    case TaskEnd::kCancelled:
    case TaskEnd::kLost:
      if (!job.idempotent) {
        EndUnknown(cell, job_index, member_index, ended.end, now, commands);
      } else {
        Retry(cell, job_index, member_index, false, now, commands);
      }
      break;
  }
}

void RequestStop(Cell& cell, JobIndex job_index, uint32_t member_index,
                 bool checkpoint, TimeMs now, Commands& commands) {
  Job& job = cell.jobs[job_index];
  const Member& member = job.members[member_index];
  // The tasks of a lost worker have ended; their ends are applied this tick.
  if (cell.workers[member.worker].state == WorkerState::kLost) return;
  if (member.state != MemberState::kUncertain &&
      member.state != MemberState::kStopping) {
    MarkStopping(cell, job_index, member_index);
  }
  Command command;
  command.kind = checkpoint ? CommandKind::kCheckpoint : CommandKind::kStop;
  command.task = {job.id, member_index, member.attempt};
  command.worker = cell.workers[member.worker].spec.id;
  commands.push_back(std::move(command));
  Timer timer;
  timer.at_ms = now + (checkpoint ? kEscalateMs : kRepeatStopMs);
  timer.kind = TimerKind::kEscalate;
  timer.job = job_index;
  timer.job_sequence = job.sequence;
  timer.member = member_index;
  timer.attempt = member.attempt;
  timer.step = checkpoint ? 1 : 2;
  AddTimer(cell, timer);
}

void EscalateStop(Cell& cell, const Timer& timer, TimeMs now,
                  Commands& commands) {
  Job& job = cell.jobs[timer.job];
  const Member& member = job.members[timer.member];
  if (!IsActive(member.state) || member.attempt != timer.attempt) return;
  if (timer.step >= 2) {
    RequestStop(cell, timer.job, timer.member, false, now, commands);
    return;
  }
  Command command;
  command.kind = CommandKind::kThrottle;
  command.task = {job.id, timer.member, member.attempt};
  command.worker = cell.workers[member.worker].spec.id;
  commands.push_back(std::move(command));
  Timer next = timer;
  next.at_ms = now + kEscalateMs;
  next.step = 2;
  AddTimer(cell, next);
}

void BeginEnding(Cell& cell, JobIndex job_index, JobEnd end,
                 std::string message, TimeMs now, Commands& commands) {
  Job& job = cell.jobs[job_index];
  if (!job.ending) {
    job.ending = end;
    job.message = std::move(message);
    Dequeue(cell, job_index);
    for (uint32_t i = 0; i < job.members.size(); ++i) {
      if (!IsActive(job.members[i].state)) continue;
      RequestStop(cell, job_index, i, false, now, commands);
    }
  }
  FinishIfEnded(cell, job_index, commands);
}

void FinishIfEnded(Cell& cell, JobIndex job_index, Commands& commands) {
  Job& job = cell.jobs[job_index];
  if (!job.ending || job.active > 0) return;
  Command command;
  command.kind = CommandKind::kJobEnded;
  command.task.job = job.id;
  command.end = *job.ending;
  command.message = std::move(job.message);
  if (command.end == JobEnd::kCancelled) {
    const bool all_succeeded =
        std::all_of(job.members.begin(), job.members.end(),
                    [](const Member& member) { return member.succeeded; });
    if (all_succeeded) {
      command.end = JobEnd::kDone;
    } else if (!job.may_have_run) {
      command.end = JobEnd::kNotRun;
    } else if (!job.idempotent) {
      command.end = JobEnd::kUnknown;
    }
  }
  commands.push_back(std::move(command));
  Dequeue(cell, job_index);
  cell.job_by_id.erase(job.id);
  job = Job{};
  cell.free_jobs.push_back(job_index);
}

}  // namespace dotterelcove::core
