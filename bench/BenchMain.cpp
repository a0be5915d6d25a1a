/// dotterelcove-bench: measures the scheduling core and the daemons against the
/// targets of docs/design.md 1.7 and against baselines.
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "bench/BenchRows.h"

namespace dotterelcove::bench {
namespace {

struct RowGroup {
  const char* name;
  void (*add)(BenchTable&);
};

constexpr RowGroup kRowGroups[] = {
    {"decision", AddDecisionRows}, {"packing", AddPackingRows},
    {"waiting", AddWaitingRows},   {"faults", AddFaultRows},
    {"system", AddSystemRows},     {"capacity", AddCapacityRows},
    {"owner", AddOwnerRows}};

int Run(int argc, char** argv) {
  BenchTable table;
  std::string json_path;
  const option options[] = {{"seed", required_argument, nullptr, 's'},
                            {"only", required_argument, nullptr, 'o'},
                            {"json", required_argument, nullptr, 'j'},
                            {nullptr, 0, nullptr, 0}};
  for (int choice = 0;
       (choice = getopt_long(argc, argv, "s:o:j:", options, nullptr)) != -1;) {
    if (choice == 's') {
      table.seed = std::strtoull(optarg, nullptr, 10);
    } else if (choice == 'o') {
      table.group_filter = optarg;
    } else if (choice == 'j') {
      json_path = optarg;
    } else {
      std::fprintf(stderr,
                   "usage: dotterelcove-bench [--seed N] [--only GROUP] "
                   "[--json FILE]\n");
      return 2;
    }
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(table.seed));
  PrintTable(table);
  for (const RowGroup& group : kRowGroups) {
    if (std::string(group.name).find(table.group_filter) == std::string::npos)
      continue;
    group.add(table);
  }
  if (json_path.empty()) return 0;
  std::ofstream file(json_path);
  file << ToJson(table) << "\n";
  return file ? 0 : 1;
}

}  // namespace
}  // namespace dotterelcove::bench

int main(int argc, char** argv) { return dotterelcove::bench::Run(argc, argv); }
