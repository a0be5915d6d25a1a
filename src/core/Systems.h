/// The systems of a tick, in the order in which they run.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

void RunCancellations(Cell& cell, TimeMs now, Commands& commands);
void RunEndedTasks(Cell& cell, TimeMs now, Commands& commands);
void RunLapsedWorkers(Cell& cell, TimeMs now, Commands& commands);
/// Retries after a back-off, passed start-by times, escalation of stops.
void RunTimers(Cell& cell, TimeMs now, Commands& commands);
/// Announces jobs shed for overload since the last tick.
void RunOverload(Cell& cell, TimeMs now, Commands& commands);
void RunQuarantine(Cell& cell, TimeMs now, Commands& commands);
void RunUsageLearning(Cell& cell, TimeMs now, Commands& commands);
void RunQuotas(Cell& cell, TimeMs now, Commands& commands);
void RunUrgent(Cell& cell, TimeMs now, Commands& commands);
void RunServices(Cell& cell, TimeMs now, Commands& commands);
void RunGangs(Cell& cell, TimeMs now, Commands& commands);
void RunBatch(Cell& cell, TimeMs now, Commands& commands);
void RunPreemption(Cell& cell, TimeMs now, Commands& commands);

}  // namespace dotterelcove::core
