/// Compares what ran, from the stand-ins' journals, with the answers that
/// callers got. Reads no log of the system under test.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/Traffic.h"

namespace dotterelcove {

struct VerdictInput {
  /// Lines of the journals, in the order in which they were written.
  std::vector<nlohmann::json> worker_journal;
  std::vector<nlohmann::json> endpoint_journal;
  /// The VM list, for capacities and limits.
  nlohmann::json vms;
  std::map<std::string, SentRequest> sent;
};

/// All violated guarantees, one line each; empty when there is none.
std::vector<std::string> FindViolations(const VerdictInput& input);

/// Number of requests for each last outcome answered; "none" for no answer.
std::map<std::string, int> CountOutcomes(
    const std::map<std::string, SentRequest>& sent);

}  // namespace dotterelcove
