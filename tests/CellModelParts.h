/// What the parts of the model offer each other; not for tests.
#pragma once

#include <functional>
#include <memory>

#include "tests/CellModel.h"

namespace dotterelcove::model {

/// Time of a message between two processes.
inline constexpr TimeMs kHopMs = 1;

/// A number from 0 to 1, drawn from the cell's seed.
double Chance(Cell& cell);

/// Runs a daemon's callback when it lives and is not frozen.
void Deliver(Cell& cell, int index, const std::shared_ptr<bool>& alive,
             TimeMs delay_ms, std::function<void()> callback);

/// The store, the workers and the permit authority as one daemon reaches them.
RowStore MakeStore(Cell& cell, int daemon, const std::shared_ptr<bool>& alive);
workflow::WorkerPort MakeWorkerPort(Cell& cell, int daemon,
                                    const std::shared_ptr<bool>& alive);
workflow::PermitPort MakePermitPort(Cell& cell, int daemon,
                                    const std::shared_ptr<bool>& alive);

}  // namespace dotterelcove::model
