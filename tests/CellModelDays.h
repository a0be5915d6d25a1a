/// What the tests of the model share: load, and the judgement of a day.
#pragma once

#include "tests/CellModel.h"

namespace dotterelcove::model {

inline constexpr TimeMs kSecond = 1'000;

/// Fails the test for each breach of a rule.
void ExpectSound(const Cell& cell, bool at_end);
/// Drops the daemons' log lines; for the `init` of a test.
void Quiet();
/// Hands in `jobs` chains a second for `seconds`.
void Load(Cell& cell, int seconds, int jobs);

}  // namespace dotterelcove::model
