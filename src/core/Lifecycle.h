/// Ends of attempts and jobs: retries, stop requests and gang restarts.
#pragma once

#include "core/Tables.h"

namespace dotterelcove::core {

/// Applies the end of an attempt: frees its capacity, then retries the member
/// or ends the job. Ignores an attempt that is not the current one.
void EndAttempt(Cell& cell, const EndedTask& ended, TimeMs now,
                Commands& commands);

/// Decides the end of a job: stops its active members and announces the end
/// once there is none. A later decision does not replace an earlier one.
void BeginEnding(Cell& cell, JobIndex job, JobEnd end, std::string message,
                 TimeMs now, Commands& commands);

/// Asks the worker to end an active member, and escalates until it has ended.
/// With `checkpoint` the task may save its state first.
void RequestStop(Cell& cell, JobIndex job, uint32_t member, bool checkpoint,
                 TimeMs now, Commands& commands);
/// Takes the next step of the escalation: throttle, stop, then repeated stops.
void EscalateStop(Cell& cell, const Timer& timer, TimeMs now,
                  Commands& commands);

/// Restarts a gang that lost a member: stops its other members, and queues it
/// as a whole once no member is active or delayed. Ends the job as kUnknown
/// instead if it is not idempotent and may have run.
void RestartGang(Cell& cell, JobIndex job, TimeMs now, Commands& commands);

/// Announces the end of a job whose end is decided and that has no active
/// member, and frees its row.
void FinishIfEnded(Cell& cell, JobIndex job, Commands& commands);

}  // namespace dotterelcove::core
