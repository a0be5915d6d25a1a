#include "tests/CellModelDays.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "telemetry/Log.h"

namespace dotterelcove::model {

void ExpectNoViolations(const Cell& cell, bool at_end) {
  for (const std::string& violation : FindViolations(cell, at_end)) {
    cr_expect(false, "seed %llu: %s",
              static_cast<unsigned long long>(cell.options.seed),
              violation.c_str());
  }
}

void DiscardLogs() {
  SetLogOutput([](const std::string&) {});
}

void SubmitRandomJobs(Cell& cell, int seconds, int jobs) {
  for (int i = 0; i < seconds * jobs; ++i) {
    cell.time.After(i * kSecond / jobs, [&cell] {
      const int daemon = static_cast<int>(UniformInt(
          cell.random, 0, static_cast<int64_t>(cell.daemons.size()) - 1));
      const auto steps = static_cast<uint32_t>(UniformInt(cell.random, 1, 3));
      const auto count = static_cast<uint32_t>(UniformInt(cell.random, 1, 6));
      Submit(cell, daemon,
             MakeChain(cell, steps, count, {1'500, 1'000, 0},
                       UniformInt(cell.random, 100, 2'000)));
    });
  }
}

void CrashShare(Cell& cell, double share, CrashSpread spread) {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : cell.workers) {
    constexpr double kShares = 1'000;
    const bool is_hit =
        static_cast<double>(UniformInt(cell.random, 0, 999)) < share * kShares;
    if (worker.up && is_hit) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const TimeMs delay_ms = spread == CrashSpread::kTogether
                                ? 0
                                : UniformInt(cell.random, 0, kSecond);
    cell.time.After(delay_ms, [&cell, id] {
      if (cell.workers.at(id).up) CrashForSeconds(cell, id);
    });
  }
}

}  // namespace dotterelcove::model
