// Faults of the links between daemons and of the paths from daemons to workers.
#include <algorithm>
#include <numeric>

#include "tests/platform/soak/FaultInjector.h"

namespace dotterelcove::soak {

void FaultInjector::SplitDaemons(const PlannedFault& fault) {
  const std::unique_lock<std::mutex> lock(this->split_mutex, std::try_to_lock);
  const int owner = this->cell.Owner();
  const size_t count = this->cell.daemons.size();
  constexpr size_t kLeastDaemons = 3;
  if (!lock.owns_lock() || owner < 0 || count < kLeastDaemons) return;
  std::vector<size_t> others(count);
  std::iota(others.begin(), others.end(), 0);
  std::erase(others, static_cast<size_t>(owner));
  std::shuffle(others.begin(), others.end(), std::mt19937_64(fault.seed));
  const auto wanted =
      static_cast<size_t>(fault.share * static_cast<double>(count));
  others.resize(std::clamp<size_t>(wanted, 1, count - 2));
  std::vector<bool> inside(count, false);
  inside[static_cast<size_t>(owner)] = true;
  for (const size_t i : others) inside[i] = true;
  std::string names = "cut off:";
  for (size_t i = 0; i < inside.size(); ++i) {
    if (inside[i]) names += " " + this->cell.daemons[i].name;
  }
  std::vector<bool> workers(this->cell.workers.size(), false);
  if (fault.splits_workers) {
    for (const size_t i : this->Choose(fault, workers.size())) {
      workers[i] = true;
      names += " " + this->cell.workers[i]->about().id;
    }
  }
  this->cell.Say(names);
  // Each daemon has links that are cut.
  this->NoteDaemon("", fault, 0);
  const auto set = [&](PathFaultKind kind, StoreFaultKind store, bool reset) {
    const PathFault path{kind, 0, fault.seed};
    for (size_t a = 0; a < inside.size(); ++a) {
      if (inside[a]) {
        this->cell.store->SetFault(this->cell.daemons[a].caller, {store},
                                   reset);
      }
      for (size_t b = 0; b < a; ++b) {
        if (inside[a] != inside[b]) this->cell.paths->SetLink(a, b, path);
      }
      for (size_t i = 0; fault.splits_workers && i < workers.size(); ++i) {
        if (inside[a] != workers[i]) this->cell.paths->SetPath(a, i, path);
      }
    }
  };
  set(PathFaultKind::kCut, fault.store, fault.reset_connections);
  SleepMs(fault.for_ms);
  set(PathFaultKind::kNone, StoreFaultKind::kNone, false);
}

void FaultInjector::CutLinks(const PlannedFault& fault) {
  const size_t count = this->cell.daemons.size();
  const std::vector<size_t> chosen = this->Choose(fault, count * count);
  const auto set = [&](PathFaultKind kind) {
    for (const size_t i : chosen) {
      if (i / count == i % count) continue;
      this->cell.paths->SetLink(i / count, i % count,
                                {kind, fault.delay_ms, fault.seed});
    }
  };
  for (const size_t i : chosen) {
    this->NoteDaemon(this->cell.daemons[i / count].name, fault, fault.delay_ms);
    this->NoteDaemon(this->cell.daemons[i % count].name, fault, fault.delay_ms);
  }
  set(fault.path);
  SleepMs(fault.for_ms);
  set(PathFaultKind::kNone);
}

void FaultInjector::CutPaths(const PlannedFault& fault) {
  const size_t workers = this->cell.workers.size();
  const std::vector<size_t> chosen =
      this->Choose(fault, this->cell.daemons.size() * workers);
  const auto set = [&](PathFaultKind kind) {
    for (const size_t i : chosen) {
      this->cell.paths->SetPath(i / workers, i % workers,
                                {kind, fault.delay_ms, fault.seed});
    }
  };
  // Most daemons have such a path.
  this->NoteDaemon("", fault, fault.delay_ms);
  set(fault.path);
  SleepMs(fault.for_ms);
  set(PathFaultKind::kNone);
}

}  // namespace dotterelcove::soak
