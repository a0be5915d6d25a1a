#include "bench/BenchRows.h"

namespace dotterelcove::bench {

void AddFaultRows(BenchTable& /*table*/) {}

}  // namespace dotterelcove::bench
