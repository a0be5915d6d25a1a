/// Metrics of one process: prometheus-cpp's core and text serializer.
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

/// Label sets that one family may hold. A label taken from outside, such as a
/// caller's name, must not grow the process without bound.
inline constexpr size_t kMaxLabelSets = 128;

/// The metrics of one process. Names get the prefix "dotterelcove_". A family
/// holds at most kMaxLabelSets label sets; further ones are counted under
/// the label value "other".
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
  /// Refreshes this process's own cost (processor seconds, resident bytes) and
  /// returns the Prometheus text format. One name is used with one kind of
  /// metric only.
  std::string Render();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
