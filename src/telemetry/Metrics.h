/// Metrics of one process, built on the core library of prometheus-cpp and its
/// text serializer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dotterelcove {

/// Label names and values; every value must come from a bounded set.
using MetricLabels = std::map<std::string, std::string>;

/// Maximum label sets in one metric family. A label value from outside the
/// process, such as a caller's name, must not grow its memory without bound.
inline constexpr size_t kMaxLabelSets = 128;

/// The metrics of one process. Names get the prefix "dotterelcove_", and each
/// name must be used with one kind of metric only. A family holds at most
/// kMaxLabelSets label sets; all further ones share one overflow metric, whose
/// label values are "other".
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(std::string_view name, const MetricLabels& labels = {},
             double amount = 1.0);
  void Set(std::string_view name, double value,
           const MetricLabels& labels = {});
  /// Adds to a histogram of seconds with buckets from 0.5 ms to 60 s.
  void ObserveSeconds(std::string_view name, double seconds,
                      const MetricLabels& labels = {});
  /// Adds to a histogram of ratios with buckets from 1/4 to 8.
  void ObserveRatio(std::string_view name, double ratio,
                    const MetricLabels& labels = {});
  /// Updates the process's own resource usage (CPU seconds, resident bytes) and
  /// returns all metrics in the Prometheus text format.
  std::string Render();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
