#include "telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

namespace dotterelcove {
namespace {

/// Histogram bucket bounds in seconds. They grow by a factor of about 2.2 up to
/// the longest acceptable start delay of urgent work, and are coarser above it.
constexpr double kSecondsBuckets[] = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
                                      0.05,   0.1,   0.2,   0.5,   1.0,  2.1,
                                      5.0,    10.0,  20.0,  60.0};

/// Bucket bounds of ratios, finer near 1.
constexpr double kRatioBuckets[] = {0.25, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0,
                                    1.1,  1.2, 1.4, 1.6, 2.0, 2.6, 4.0, 8.0};

/// A metric family and its current label sets. prometheus-cpp never evicts a
/// label set, so the limit is enforced here.
template <class T>
struct BoundedFamily {
  prometheus::Family<T>* family = nullptr;
  std::map<MetricLabels, T*> metrics;
};

template <class T>
using Families = std::map<std::string, BoundedFamily<T>, std::less<>>;

MetricLabels MakeOverflowLabels(const MetricLabels& labels) {
  MetricLabels other = labels;
  for (auto& [name, value] : other) value = "other";
  return other;
}

template <class T, class... Args>
T& FindMetric(BoundedFamily<T>& bounded, const MetricLabels& labels,
              const Args&... args) {
  if (const auto found = bounded.metrics.find(labels);
      found != bounded.metrics.end()) {
    return *found->second;
  }
  const bool full = bounded.metrics.size() >= kMaxLabelSets;
  const MetricLabels used = full ? MakeOverflowLabels(labels) : labels;
  T*& metric = bounded.metrics[used];
  if (metric == nullptr) metric = &bounded.family->Add(used, args...);
  return *metric;
}

std::string FullName(std::string_view name) {
  return "dotterelcove_" + std::string(name);
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
  Families<prometheus::Counter> counters;
  Families<prometheus::Gauge> gauges;
  Families<prometheus::Histogram> histograms;
  double reported_processor_seconds = 0;

  BoundedFamily<prometheus::Histogram>& FindHistograms(std::string_view name) {
    const auto found = this->histograms.find(name);
    if (found != this->histograms.end()) return found->second;
    BoundedFamily<prometheus::Histogram>& added =
        this->histograms[std::string(name)];
    added.family = &prometheus::BuildHistogram()
                        .Name(FullName(name))
                        .Register(this->registry);
    return added;
  }
};

Metrics::Metrics() : state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, const MetricLabels& labels,
                    double amount) {
  auto found = this->state->counters.find(name);
  if (found == this->state->counters.end()) {
    found = this->state->counters
                .emplace(name, BoundedFamily<prometheus::Counter>{})
                .first;
    found->second.family = &prometheus::BuildCounter()
                                .Name(FullName(name))
                                .Register(this->state->registry);
  }
  FindMetric(found->second, labels).Increment(amount);
}

void Metrics::Set(std::string_view name, double value,
                  const MetricLabels& labels) {
  auto found = this->state->gauges.find(name);
  if (found == this->state->gauges.end()) {
    found =
        this->state->gauges.emplace(name, BoundedFamily<prometheus::Gauge>{})
            .first;
    found->second.family = &prometheus::BuildGauge()
                                .Name(FullName(name))
                                .Register(this->state->registry);
  }
  FindMetric(found->second, labels).Set(value);
}

void Metrics::ObserveSeconds(std::string_view name, double seconds,
                             const MetricLabels& labels) {
  static const prometheus::Histogram::BucketBoundaries buckets(
      std::begin(kSecondsBuckets), std::end(kSecondsBuckets));
  FindMetric(this->state->FindHistograms(name), labels, buckets)
      .Observe(seconds);
}

void Metrics::ObserveRatio(std::string_view name, double ratio,
                           const MetricLabels& labels) {
  static const prometheus::Histogram::BucketBoundaries buckets(
      std::begin(kRatioBuckets), std::end(kRatioBuckets));
  FindMetric(this->state->FindHistograms(name), labels, buckets).Observe(ratio);
}

std::string Metrics::Render() {
  const double processor_seconds = ProcessorSeconds();
  this->Count("process_cpu_seconds_total", {},
              processor_seconds - this->state->reported_processor_seconds);
  this->state->reported_processor_seconds = processor_seconds;
  this->Set("process_resident_bytes", ResidentBytes());
  return prometheus::TextSerializer().Serialize(
      this->state->registry.Collect());
}

}  // namespace dotterelcove
