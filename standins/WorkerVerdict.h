/// Checks a journal against the invariants of docs/design.md 1.2.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/WorkerJournal.h"

namespace dotterelcove::standins {

/// Violations, as text: a job member that ran in two places at once, a
/// non-idempotent member that was started twice, a worker above its capacity.
/// Entries must be in the order in which they were written.
std::vector<std::string> FindViolations(
    const std::vector<JournalEntry>& entries,
    const std::map<std::string, Resources>& capacities);

/// Number of entries of `event` for `job`; an empty job matches all.
size_t CountEntries(const std::vector<JournalEntry>& entries,
                    JournalEvent event, const std::string& job = {});

}  // namespace dotterelcove::standins
