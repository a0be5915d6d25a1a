#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Retries allowed for each caller and service: 10 % of the requests of the
/// present or the previous second, whichever are more, and at least 3 a second.
/// An endpoint fault then adds at most a tenth to the load.
struct RetryBudget {
  struct Window {
    int64_t second = 0;
    int64_t requests = 0;
    int64_t previous_requests = 0;
    int64_t retries = 0;
  };
  /// By caller and service.
  std::map<std::pair<std::string, std::string>, Window> windows;
};

void RecordRequest(RetryBudget& budget, const std::string& caller,
                   const std::string& service, TimeMs now);

/// Takes one retry from the budget; false when it is used up.
bool TakeRetry(RetryBudget& budget, const std::string& caller,
               const std::string& service, TimeMs now);

void EvictIdleWindows(RetryBudget& budget, TimeMs now);

}  // namespace dotterelcove
