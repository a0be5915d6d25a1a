/// Runs of tasks that last, as their workers saw them, and which of them are
/// away in the sense of the rule AVAIL.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/platform/soak/Observations.h"

namespace dotterelcove::review {

/// A task is at work this long after its start, as the worker's stand-in
/// reports.
inline constexpr int64_t kStartupMs = 400;
/// `notice_ms` of the site.
inline constexpr int64_t kNoticeMs = 4'500;

struct Span {
  std::string task;
  std::string worker;
  int64_t from_ms = 0;
  int64_t to_ms = INT64_MAX;
  soak::RunEventKind end = soak::RunEventKind::kStart;
  /// Told to stop, INT64_MAX for never.
  int64_t stopping_ms = INT64_MAX;
};

/// The runs of the job's tasks.
std::vector<Span> SpansOf(const std::vector<soak::RunEvent>& events,
                          const std::string& job);

/// The kinds of end that count as an order, beside stops: that of the worker
/// (by an upkeep), or the lapse of the lease.
enum class OrderKind : uint8_t { kUpkeep, kLapse };

/// A task at work that an order ended.
struct Ended {
  const Span* span = nullptr;
  /// The other tasks of the job that were away, each with a space before it.
  std::string others;
  size_t away = 0;
};

/// The tasks at work that an order of this kind ended although `may_miss`
/// others or more were away. Tasks that were ended at the same moment do not
/// count, nor runs that were not at work yet.
std::vector<Ended> FindBeyond(const std::vector<Span>& spans, OrderKind kind,
                              size_t may_miss);

}  // namespace dotterelcove::review
