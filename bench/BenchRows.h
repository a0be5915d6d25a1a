/// Benchmark groups, each of which appends its rows to the table. A new group
/// is declared here and listed in kRowGroups in BenchMain.cpp.
#pragma once

#include "bench/BenchTable.h"

namespace dotterelcove::bench {

void AddDecisionRows(BenchTable& table);
void AddPackingRows(BenchTable& table);
void AddWaitingRows(BenchTable& table);
void AddFaultRows(BenchTable& table);
void AddSystemRows(BenchTable& table);
void AddCapacityRows(BenchTable& table);
void AddOwnerRows(BenchTable& table);

}  // namespace dotterelcove::bench
