#include <algorithm>
#include <functional>

#include "core/Lifecycle.h"
#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

void ApplyTimer(Cell& cell, const Timer& timer, TimeMs now,
                Commands& commands) {
  Job& job = cell.jobs[timer.job];
  if (!job.live || job.sequence != timer.job_sequence) return;
  switch (timer.kind) {
    case TimerKind::kRetry: {
      Member& member = job.members[timer.member];
      if (member.state != MemberState::kDelayed || job.ending) return;
      member.state = MemberState::kWaiting;
      job.waiting++;
      if (job.restarting) {
        RestartGang(cell, timer.job, now, commands);
      } else {
        Enqueue(cell, timer.job);
      }
      return;
    }
    case TimerKind::kStartBy:
      if (job.ending || job.active > 0 || job.may_have_run) return;
      BeginEnding(cell, timer.job, JobEnd::kNotRun,
                  "not started before its deadline", now, commands);
      return;
    case TimerKind::kEscalate:
      EscalateStop(cell, timer, now, commands);
      return;
  }
}

}  // namespace

void AddTimer(Cell& cell, Timer timer) {
  timer.order = cell.next_timer++;
  cell.timers.push_back(timer);
  std::push_heap(cell.timers.begin(), cell.timers.end(), std::greater<>());
}

void RunTimers(Cell& cell, TimeMs now, Commands& commands) {
  while (!cell.timers.empty() && cell.timers.front().at_ms <= now) {
    std::pop_heap(cell.timers.begin(), cell.timers.end(), std::greater<>());
    const Timer timer = cell.timers.back();
    cell.timers.pop_back();
    ApplyTimer(cell, timer, now, commands);
  }
}

void RunCancellations(Cell& cell, TimeMs now, Commands& commands) {
  for (uint32_t i = 0;
       i < cell.options.cancellations_per_tick && !cell.cancellations.empty();
       ++i) {
    const auto [index, sequence] = cell.cancellations.front();
    cell.cancellations.pop_front();
    Job& job = cell.jobs[index];
    if (!job.live || job.sequence != sequence) continue;
    BeginEnding(cell, index, JobEnd::kCancelled, "cancelled by the caller", now,
                commands);
  }
}

void RunEndedTasks(Cell& cell, TimeMs now, Commands& commands) {
  for (const EndedTask& ended : cell.ended) {
    EndAttempt(cell, ended, now, commands);
  }
  cell.ended.clear();
  for (const JobIndex job : cell.finished) {
    if (cell.jobs[job].live) FinishIfEnded(cell, job, commands);
  }
  cell.finished.clear();
}

void RunLostTasks(Cell& cell, TimeMs now, Commands& commands) {
  for (const EndedTask& lost : cell.lost) {
    EndAttempt(cell, lost, now, commands);
  }
  cell.lost.clear();
}

void Tick(Cell& cell, TimeMs now, Commands& commands) {
  RunCancellations(cell, now, commands);
  RunEndedTasks(cell, now, commands);
  RunLostTasks(cell, now, commands);
  RunTimers(cell, now, commands);
  RunShedJobs(cell, now, commands);
  RunQuarantine(cell, now, commands);
  RunUsageLearning(cell, now, commands);
  RunClaims(cell, now, commands);
  RunQuotaReclaim(cell, now, commands);
  RunUrgent(cell, now, commands);
  RunServices(cell, now, commands);
  RunGangs(cell, now, commands);
  RunReservation(cell, now, commands);
  RunBatch(cell, now, commands);
  RunPreemption(cell, now, commands);
}

}  // namespace dotterelcove::core
