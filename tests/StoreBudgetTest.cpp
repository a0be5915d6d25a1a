#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>

#include "base/Clock.h"
#include "config/ConfigFollower.h"
#include "config/ConfigPublisher.h"
#include "store/Ownership.h"
#include "store/RecordWriter.h"
#include "tests/PlatformHarness.h"

namespace dotterelcove {
namespace {

constexpr int kSchedulers = 9;
constexpr int kFollowers = 18;
constexpr int kSeconds = 4;

struct Deployment : PlatformHarness {
  Deployment() {
    for (int i = 0; i < kSchedulers; ++i) {
      OwnershipOptions options;
      options.process = "s" + std::to_string(i);
      options.incarnation = 1 + static_cast<uint64_t>(i);
      options.rank = static_cast<uint32_t>(i);
      OwnershipCallbacks callbacks;
      callbacks.acquired = [this](uint64_t, uint64_t version) {
        RecordWriterOptions writing;
        writing.owner_row_version = version;
        this->writer = std::make_unique<RecordWriter>(
            this->loop, this->tables(1'000), writing);
      };
      this->schedulers.push_back(std::make_unique<Ownership>(
          this->loop, this->tables(1'000), options, callbacks));
      this->schedulers.back()->Start();
    }
    for (int i = 0; i < kFollowers; ++i) {
      this->followers.push_back(std::make_unique<ConfigFollower>(
          this->loop, this->tables(1'000), this->objects(),
          ConfigFollowerOptions{}, ConfigFollowerCallbacks{}));
      this->followers.back()->Start();
    }
  }
  void RunFor(TimeMs duration_ms) {
    const TimeMs end = MonotonicMs() + duration_ms;
    this->Wait([&] { return MonotonicMs() >= end; });
  }

  std::vector<std::unique_ptr<Ownership>> schedulers;
  std::vector<std::unique_ptr<ConfigFollower>> followers;
  std::unique_ptr<RecordWriter> writer;
};

}  // namespace

// Guards against a deployment that needs more than 200 reads or 50 writes per
// second of the store in the worst case: the owner writes continuously, all
// standbys poll fast because they lost the connection to the owner, and a
// configuration version is published.
Test(StoreBudget, the_whole_deployment_stays_within_the_budget) {
  Deployment cell;
  cr_assert(cell.Wait([&] { return cell.writer != nullptr; }));
  // The first second is not measured: all processes start in it at once.
  cell.RunFor(1'000);
  const PlatformStats before = cell.standin->stats();
  Timer load(cell.loop, [&] {
    for (int i = 0; i < 4; ++i) {
      cell.writer->Put({"row", "v", false}, true, nullptr);
    }
    for (auto& scheduler : cell.schedulers) scheduler->OwnerLinkLost();
  });
  load.StartEvery(5);
  CellConfig config;
  config.teams["care"].quota.milli_cores = 1;
  PublishConfig(cell.loop, cell.tables(), cell.objects(),
                {config, std::nullopt, 5'000}, [](const PublishResult&) {});
  cell.RunFor(kSeconds * 1'000);
  const PlatformStats& after = cell.standin->stats();
  const auto per_second = [](uint64_t later, uint64_t earlier) {
    return static_cast<double>(later - earlier) / kSeconds;
  };
  const double reads = per_second(after.reads, before.reads);
  const double rows = per_second(after.rows_read, before.rows_read);
  const double writes = per_second(after.writes, before.writes);
  cr_log_warn("store load per second: %.1f reads (%.1f rows), %.1f writes",
              reads, rows, writes);
  cr_expect_leq(reads, 200.0);
  cr_expect_leq(rows, 200.0);
  cr_expect_leq(writes, 50.0);
  cr_expect_gt(writes, 20.0, "the owner wrote continuously");
  for (const auto& follower : cell.followers) {
    cr_expect_eq(follower->in_force().version, 1u);
  }
  cr_expect_eq(std::count_if(cell.schedulers.begin(), cell.schedulers.end(),
                             [](const auto& s) { return s->is_owner(); }),
               1);
}

}  // namespace dotterelcove
