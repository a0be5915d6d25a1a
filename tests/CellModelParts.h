/// Internal interfaces between the source files of the simulation; not for use
/// in tests.
#pragma once

#include <functional>
#include <memory>

#include "tests/CellModel.h"

namespace dotterelcove::model {

/// Latency of a message between two processes.
inline constexpr TimeMs kHopMs = 1;

/// Draws a number in [0, 1) from the cell's random generator.
double Chance(Cell& cell);

/// Runs a daemon's callback after `delay_ms`, deferred while the daemon is
/// frozen. The callback is dropped if that process has ended.
void Deliver(Cell& cell, int index, const std::shared_ptr<bool>& alive,
             TimeMs delay_ms, std::function<void()> callback);

/// Ports through which one daemon reaches the store, the workers and the permit
/// authority.
RowStore MakeStore(Cell& cell, int daemon, const std::shared_ptr<bool>& alive);
workflow::WorkerPort MakeWorkerPort(Cell& cell, int daemon,
                                    const std::shared_ptr<bool>& alive);
workflow::PermitPort MakePermitPort(Cell& cell, int daemon,
                                    const std::shared_ptr<bool>& alive);

}  // namespace dotterelcove::model
