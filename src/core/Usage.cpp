#include <algorithm>
#include <cmath>

#include "core/Queue.h"
#include "core/Systems.h"

namespace dotterelcove::core {
namespace {

/// Number of reports before an allocation grows beyond, or shrinks below, the
/// declared size. Growing early is safe; shrinking early would follow tasks
/// that have not yet reached their peak.
constexpr uint32_t kReportsToGrow = 3;
constexpr uint32_t kReportsToShrink = 20;
/// Bounds of allocated / declared: declared sizes are off by up to ten times
/// either way.
constexpr double kMaxRatio = 10;
constexpr double kMinRatio = 0.1;
/// Allocated / learned peak.
constexpr double kMargin = 1.2;
/// Factor on the peak per report, so that a single outlier is forgotten after a
/// few hundred reports.
constexpr double kDecay = 0.995;
/// Learned allocations are rounded up to these steps, so that few distinct
/// sizes arise.
constexpr int64_t kCoreStep = 100;
constexpr int64_t kMemoryStepMb = 64;

/// Returns allocated / declared size for a learned peak.
double LearnedRatio(double peak, uint32_t reports) {
  if (reports < kReportsToGrow) return 1;
  const double ratio = std::clamp(peak * kMargin, kMinRatio, kMaxRatio);
  if (ratio < 1) return reports < kReportsToShrink ? 1 : ratio;
  // The margin alone does not enlarge the declared size.
  return peak <= 1 ? 1 : ratio;
}

int64_t Scale(int64_t declared, double ratio, int64_t step) {
  if (ratio == 1 || declared == 0) return declared;
  const auto scaled =
      static_cast<int64_t>(std::ceil(static_cast<double>(declared) * ratio));
  const int64_t rounded = (scaled + step - 1) / step * step;
  // Rounding must not raise a reduced size above the declared one.
  return ratio < 1 ? std::min(rounded, declared) : rounded;
}

void LearnPeak(double& peak, int64_t used, int64_t declared) {
  if (declared <= 0) return;
  const double ratio =
      static_cast<double>(used) / static_cast<double>(declared);
  peak = std::max(ratio, peak * kDecay);
}

}  // namespace

Resources AllocationOf(const Cell& cell, const ShapeKey& key) {
  const Workload& workload = cell.workloads[key.workload];
  Resources size = key.size;
  size.milli_cores =
      Scale(size.milli_cores,
            LearnedRatio(workload.core_peak, workload.reports), kCoreStep);
  size.memory_mb = Scale(size.memory_mb,
                         LearnedRatio(workload.memory_peak, workload.reports),
                         kMemoryStepMb);
  if (size == key.size) return size;
  // Never more than the largest worker has that can run the declared size.
  Resources limit = key.size;
  for (const CapacityClass& row : cell.capacities) {
    if (!Fits(key.size, row.capacity)) continue;
    if (Fits(limit, row.capacity)) limit = row.capacity;
  }
  return Min(size, limit);
}

void RunUsageLearning(Cell& cell, TimeMs /*now*/, Commands& /*commands*/) {
  if (!cell.options.size_learning) cell.usage.clear();
  for (const UsageReport& report : cell.usage) {
    Workload& workload = cell.workloads[report.workload];
    const double cores = LearnedRatio(workload.core_peak, workload.reports);
    const double memory = LearnedRatio(workload.memory_peak, workload.reports);
    workload.reports = std::min(workload.reports + 1, uint32_t{1'000'000});
    LearnPeak(workload.core_peak, report.used.milli_cores,
              report.declared.milli_cores);
    LearnPeak(workload.memory_peak, report.used.memory_mb,
              report.declared.memory_mb);
    if (LearnedRatio(workload.core_peak, workload.reports) < cores ||
        LearnedRatio(workload.memory_peak, workload.reports) < memory) {
      cell.capacity_epoch++;
    }
  }
  cell.usage.clear();
}

}  // namespace dotterelcove::core
