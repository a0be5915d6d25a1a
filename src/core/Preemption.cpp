#include "core/Systems.h"

namespace dotterelcove::core {

void RunQuotas(Cell& /*cell*/, TimeMs /*now*/, Commands& /*commands*/) {}

void RunPreemption(Cell& /*cell*/, TimeMs /*now*/, Commands& /*commands*/) {}

}  // namespace dotterelcove::core
