/// The systems of a tick, in the order in which they run.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

void RunCancellations(Cell& cell, TimeMs now, Commands& commands);
void RunEndedTasks(Cell& cell, TimeMs now, Commands& commands);
void RunLostTasks(Cell& cell, TimeMs now, Commands& commands);
/// Retries after a back-off, passed start-by times, escalation of stops.
void RunTimers(Cell& cell, TimeMs now, Commands& commands);
/// Announces jobs shed for overload since the last tick.
void RunShedJobs(Cell& cell, TimeMs now, Commands& commands);
void RunQuarantine(Cell& cell, TimeMs now, Commands& commands);
void RunUsageLearning(Cell& cell, TimeMs now, Commands& commands);
/// Starts jobs on capacity that preempted tasks have left for them.
void RunClaims(Cell& cell, TimeMs now, Commands& commands);
/// Takes back what teams borrowed when teams within their quota wait for it.
void RunQuotaReclaim(Cell& cell, TimeMs now, Commands& commands);
void RunUrgent(Cell& cell, TimeMs now, Commands& commands);
void RunServices(Cell& cell, TimeMs now, Commands& commands);
void RunGangs(Cell& cell, TimeMs now, Commands& commands);
/// Keeps capacity for one gang or long-waiting batch job that fits nowhere.
void RunReservation(Cell& cell, TimeMs now, Commands& commands);
void RunBatch(Cell& cell, TimeMs now, Commands& commands);
/// Preempts batch tasks for urgent jobs, and for services that wait.
void RunPreemption(Cell& cell, TimeMs now, Commands& commands);

}  // namespace dotterelcove::core
