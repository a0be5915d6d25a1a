#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "dotterelcove/Types.h"

namespace dotterelcove {

/// Retry budget per caller and service: 10 % of the requests in the current or
/// the previous second, whichever is larger, and at least 3 per second. It
/// limits the load that retries add during an endpoint fault to 10 %.
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

/// Takes one retry from the budget; returns false when it is exhausted.
bool TakeRetry(RetryBudget& budget, const std::string& caller,
               const std::string& service, TimeMs now);

void EvictIdleWindows(RetryBudget& budget, TimeMs now);

}  // namespace dotterelcove
