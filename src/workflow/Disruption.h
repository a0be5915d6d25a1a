/// Disruption budget: how many tasks of a long-running step may be interrupted
/// at a time, according to the allowance that the caller stated.
#pragma once

#include <cstdint>

#include "workflow/Fleet.h"

namespace dotterelcove::workflow {

/// Whether the task is serving: it runs and its start-up is complete.
bool IsServing(const TaskState& task);

/// Number of tasks of the step that are not serving, for any reason.
uint32_t CountUnavailable(const StepState& state);

/// Whether one more serving task of the step may be interrupted. A step without
/// an allowance sets no limit.
bool MayInterrupt(const StepSpec& spec, const StepState& state);

/// Whether every task on the worker may be interrupted at the same time.
bool MayInterruptAll(const Worker& worker);

}  // namespace dotterelcove::workflow
