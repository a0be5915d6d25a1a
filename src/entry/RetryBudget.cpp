#include "entry/RetryBudget.h"

#include <algorithm>

namespace dotterelcove {
namespace {

constexpr TimeMs kWindowMs = 1'000;
constexpr int64_t kRequestsPerRetry = 10;
constexpr int64_t kMinRetries = 3;

RetryBudget::Window& WindowOf(RetryBudget& budget, const std::string& caller,
                              const std::string& service, TimeMs now) {
  RetryBudget::Window& window = budget.windows[{caller, service}];
  const int64_t second = now / kWindowMs;
  if (window.second == second) return window;
  window.previous_requests = window.second + 1 == second ? window.requests : 0;
  window.second = second;
  window.requests = 0;
  window.retries = 0;
  return window;
}

}  // namespace

void RecordRequest(RetryBudget& budget, const std::string& caller,
                   const std::string& service, TimeMs now) {
  WindowOf(budget, caller, service, now).requests++;
}

bool TakeRetry(RetryBudget& budget, const std::string& caller,
               const std::string& service, TimeMs now) {
  RetryBudget::Window& window = WindowOf(budget, caller, service, now);
  const int64_t allowed = std::max(
      kMinRetries,
      std::max(window.requests, window.previous_requests) / kRequestsPerRetry);
  if (window.retries >= allowed) return false;
  window.retries++;
  return true;
}

void EvictIdleWindows(RetryBudget& budget, TimeMs now) {
  const int64_t second = now / kWindowMs;
  std::erase_if(budget.windows, [second](const auto& entry) {
    return entry.second.second + 1 < second;
  });
}

}  // namespace dotterelcove
