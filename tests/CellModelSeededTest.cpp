#include <criterion/criterion.h>

#include <cstdlib>
#include <functional>
#include <iterator>
#include <string>
#include <utility>

#include "telemetry/Log.h"
#include "tests/CellModelDays.h"

namespace dotterelcove::model {
namespace {

/// One fault drawn from the seed, at a drawn moment.
void ScheduleRandomFault(Cell& cell) {
  const TimeMs at_ms = UniformInt(cell.random, kSecond, 12 * kSecond);
  const TimeMs for_ms = UniformInt(cell.random, 500, 6'000);
  const int kind = static_cast<int>(UniformInt(cell.random, 0, 11));
  const auto any_daemon = [&cell] {
    return static_cast<int>(UniformInt(
        cell.random, 0, static_cast<int64_t>(cell.daemons.size()) - 1));
  };
  const auto any_worker = [&cell]() -> ModelWorker& {
    return cell.workers.at(
        "w" +
        std::to_string(UniformInt(
            cell.random, 0, static_cast<int64_t>(cell.workers.size()) - 1)));
  };
  const auto later = [&cell, at_ms](TimeMs delay_ms,
                                    std::function<void()> callback) {
    cell.time.After(at_ms + delay_ms, std::move(callback));
  };
  const int daemon = any_daemon();
  ModelWorker& worker = any_worker();
  const std::string id = worker.info.id;
  switch (kind) {
    case 0:  // The owner is killed and started again.
      later(0, [&cell] {
        const int owner = FindOwner(cell);
        if (owner < 0) return;
        KillDaemon(cell, owner);
        cell.time.After(400, [&cell, owner] { StartDaemon(cell, owner); });
      });
      break;
    case 1:  // All processes are killed at once.
      later(0, [&cell] {
        for (size_t i = 0; i < cell.daemons.size(); ++i) {
          if (cell.daemons[i]->up) KillDaemon(cell, static_cast<int>(i));
        }
      });
      later(600, [&cell] {
        for (size_t i = 0; i < cell.daemons.size(); ++i) {
          StartDaemon(cell, static_cast<int>(i));
        }
      });
      break;
    case 2:  // A daemon stands still.
      later(0, [&cell, for_ms] {
        const int owner = FindOwner(cell);
        if (owner < 0) return;
        cell.daemons[static_cast<size_t>(owner)]->frozen_until_ms =
            cell.time.now_ms + for_ms;
      });
      break;
    case 3:  // A planned stop.
      later(0, [&cell] {
        const int owner = FindOwner(cell);
        if (owner < 0) return;
        StopDaemon(cell, owner);
        cell.time.After(1'500, [&cell, owner] { StartDaemon(cell, owner); });
      });
      break;
    case 4:  // The store is away for all.
      later(0, [&cell] { cell.store.faults.down = true; });
      later(for_ms, [&cell] { cell.store.faults.down = false; });
      break;
    case 5:  // The store turns one daemon away.
      later(0, [&cell, daemon] { cell.store.faults.refused.insert(daemon); });
      later(for_ms,
            [&cell, daemon] { cell.store.faults.refused.erase(daemon); });
      break;
    case 6:  // Answers of the store are lost, some carried out late.
      later(0, [&cell, for_ms] {
        cell.store.faults.lost_answer_share = 0.3;
        cell.store.faults.lost_write_delay_ms = for_ms > 3'000 ? 2'000 : 0;
      });
      later(for_ms, [&cell] { cell.store.faults.lost_answer_share = 0; });
      break;
    case 7:  // A worker crashes and starts again under its id.
      later(0, [&cell, id] { CrashWorker(cell, id); });
      later(for_ms, [&cell, id] { RestartWorker(cell, id); });
      break;
    case 11:  // A worker is lost for good, but never one that all may use.
      if (id == "w0" || id == "w1") break;
      later(0, [&cell, id] { CrashWorker(cell, id); });
      later(4'500, [&worker] { worker.listed = false; });
      break;
    case 8:  // A worker is cut off and runs on.
      later(0, [&worker] { worker.partitioned = true; });
      later(for_ms, [&worker] { worker.partitioned = false; });
      break;
    case 9:  // A worker fails all, or stands still.
      later(0, [&worker, for_ms] {
        worker.fails_all = for_ms % 2 == 0;
        worker.hangs = for_ms % 2 != 0;
      });
      later(for_ms, [&worker] {
        worker.fails_all = false;
        worker.hangs = false;
      });
      break;
    default:  // Orders are carried out late; history is compacted_version.
      later(0, [&cell] {
        for (auto& [each, w] : cell.workers) w.delayed_order_share = 0.05;
        cell.store.compacted_version = cell.store.version;
      });
      later(for_ms, [&cell] {
        for (auto& [each, w] : cell.workers) w.delayed_order_share = 0;
      });
      break;
  }
}

void RunSeed(uint64_t seed) {
  Cell cell({.seed = seed, .permits = seed % 3 == 0});
  cell.time.RunUntil(2 * kSecond);
  SubmitRandomJobs(cell, 12, 5);
  // A few callers change their mind.
  for (int i = 0; i < 4; ++i) {
    const TimeMs at_ms = UniformInt(cell.random, 1'000, 10'000);
    cell.time.After(at_ms, [&cell] {
      if (cell.jobs.empty()) return;
      auto job = cell.jobs.begin();
      std::advance(job, UniformInt(cell.random, 0,
                                   static_cast<int64_t>(cell.jobs.size()) - 1));
      if (job->second.accepted) Cancel(cell, 0, job->first);
    });
  }
  const int64_t faults = UniformInt(cell.random, 1, 4);
  for (int64_t i = 0; i < faults; ++i) ScheduleRandomFault(cell);
  cell.time.RunUntil(70 * kSecond);
  ExpectNoViolations(cell, true);
}

}  // namespace

// Guards against combinations that nobody thought of. DOTTERELCOVE_SEED plays
// one seed, with its log on standard error.
Test(CellModel, random_faults_violate_no_invariant, .init = DiscardLogs) {
  constexpr uint64_t kSeeds = 400;
  if (const char* seed = std::getenv("DOTTERELCOVE_SEED")) {
    SetLogOutput({});
    SetLogLinesPerSecond(1'000'000);
    RunSeed(std::strtoull(seed, nullptr, 10));
    return;
  }
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) RunSeed(seed);
}

}  // namespace dotterelcove::model
