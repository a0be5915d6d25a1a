/// What the tests of the model share: load, and the judgement of a day.
#pragma once

#include "tests/CellModel.h"

namespace dotterelcove::model {

inline constexpr TimeMs kSecond = 1'000;

/// Fails the test for each violation of a rule.
void ExpectNoViolations(const Cell& cell, bool at_end);
/// Drops the daemons' log lines; for the `init` of a test.
void DiscardLogs();
/// Hands in `jobs` chains a second for `seconds`.
void SubmitRandomJobs(Cell& cell, int seconds, int jobs);

}  // namespace dotterelcove::model
