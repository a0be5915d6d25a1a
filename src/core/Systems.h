/// The systems of a tick: functions that each process the tables once, in the
/// order in which they run.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Ends cancelled jobs, at most `cancellations_per_tick` of them.
void RunCancellations(Cell& cell, TimeMs now, Commands& commands);
/// Applies the task ends reported since the last tick.
void RunEndedTasks(Cell& cell, TimeMs now, Commands& commands);
/// Ends the tasks of workers whose lease has expired.
void RunLostTasks(Cell& cell, TimeMs now, Commands& commands);
/// Retries after a backoff, missed start-by times, escalation of stops.
void RunTimers(Cell& cell, TimeMs now, Commands& commands);
/// Announces jobs shed for overload since the last tick.
void RunShedJobs(Cell& cell, TimeMs now, Commands& commands);
/// Quarantines failing workers and allows probes of quarantined ones.
void RunQuarantine(Cell& cell, TimeMs now, Commands& commands);
/// Updates the size estimates of workloads from usage reports.
void RunUsageLearning(Cell& cell, TimeMs now, Commands& commands);
/// Starts jobs on claimed capacity once the preempted tasks have ended there.
void RunClaims(Cell& cell, TimeMs now, Commands& commands);
/// Reclaims capacity beyond a team's quota when jobs of teams within their
/// quota wait for it.
void RunQuotaReclaim(Cell& cell, TimeMs now, Commands& commands);
/// Places urgent jobs, also on reserved capacity.
void RunUrgent(Cell& cell, TimeMs now, Commands& commands);
/// Places services, spread over zones and racks.
void RunServices(Cell& cell, TimeMs now, Commands& commands);
/// Places gangs, each as a whole.
void RunGangs(Cell& cell, TimeMs now, Commands& commands);
/// Reserves capacity for one gang or long-waiting batch job that fits nowhere.
void RunReservation(Cell& cell, TimeMs now, Commands& commands);
/// Places batch jobs, and backfills reserved capacity with those that end in
/// time.
void RunBatch(Cell& cell, TimeMs now, Commands& commands);
/// Preempts batch tasks for urgent jobs, and for services that have waited for
/// some time.
void RunPreemption(Cell& cell, TimeMs now, Commands& commands);

}  // namespace dotterelcove::core
