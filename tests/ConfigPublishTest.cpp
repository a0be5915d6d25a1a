#include <criterion/criterion.h>

#include <string>

#include "config/ConfigFollower.h"
#include "config/ConfigPublisher.h"
#include "config/ConfigRows.h"
#include "tests/PlatformHarness.h"

namespace dotterelcove {
namespace {

CellConfig MakeConfig(int64_t quota, size_t services = 1) {
  CellConfig config;
  config.teams["care"].quota = {quota, 1'024, 0};
  for (size_t i = 0; i < services; ++i) {
    ServiceConfig service;
    service.team = "care";
    service.kinds["dispatch"].delivery = Delivery::kRoute;
    service.kinds["dispatch"].request_class = RequestClass::kUrgent;
    config.services["stepline-" + std::to_string(i)] = service;
  }
  return config;
}

struct ConfigHarness : PlatformHarness {
  PublishResult Publish(CellConfig config,
                        std::optional<uint64_t> base = std::nullopt,
                        int64_t time_limit_ms = 5'000) {
    PublishResult result;
    bool done = false;
    PublishConfig(this->loop, this->tables(100), this->objects(1'000),
                  {std::move(config), base, time_limit_ms},
                  [&](PublishResult got) {
                    result = std::move(got);
                    done = true;
                  });
    this->Wait([&] { return done; });
    return result;
  }
  std::unique_ptr<ConfigFollower> Follow(ConfigFollowerCallbacks callbacks,
                                         int64_t poll_ms = 50) {
    ConfigFollowerOptions options;
    options.poll_ms = poll_ms;
    options.spread_ms = 20;
    auto follower = std::make_unique<ConfigFollower>(
        this->loop, this->tables(100), this->objects(1'000), options,
        std::move(callbacks));
    follower->Start();
    return follower;
  }
};

int Int(PublishStatus status) { return static_cast<int>(status); }

}  // namespace

// Guards against a publication that is lost or applied twice when requests to
// the store, or its answers, are lost or delayed.
Test(ConfigPublish, publishes_once_whatever_the_store_does) {
  struct Case {
    const char* name;
    PlatformFaults faults;
    PublishStatus expected;
  };
  const Case cases[] = {
      {"no fault", {}, PublishStatus::kPublished},
      {"answer lost", {.lose_answers = 1}, PublishStatus::kPublished},
      {"request lost", {.lose_requests = 1}, PublishStatus::kPublished},
      {"effect late", {.delay_applied_ms = 250}, PublishStatus::kPublished},
      {"outage", {.outage = true}, PublishStatus::kUnavailable},
      {"silent outage", {.silent_outage = true}, PublishStatus::kUnavailable},
      {"all requests lost", {.lose_requests = 1'000}, PublishStatus::kUnknown},
  };
  for (const Case& test_case : cases) {
    ConfigHarness harness;
    cr_assert_eq(harness.Publish(MakeConfig(1)).version, 1u);
    harness.standin->faults() = test_case.faults;
    const PublishResult result = harness.Publish(MakeConfig(2), {}, 2'000);
    cr_expect_eq(Int(result.status), Int(test_case.expected), "%s",
                 test_case.name);
    harness.standin->faults() = {};
    const bool published = result.status == PublishStatus::kPublished;
    cr_expect_eq(harness.CommitsOf(ConfigHeadKey()), published ? 2 : 1, "%s",
                 test_case.name);
    if (published) cr_expect_eq(result.version, 2u, "%s", test_case.name);
    const PublishResult again = harness.Publish(MakeConfig(2));
    cr_expect_eq(
        Int(again.status),
        Int(published ? PublishStatus::kUnchanged : PublishStatus::kPublished),
        "%s", test_case.name);
    cr_expect_eq(again.version, 2u, "%s", test_case.name);
  }
}

// Guards against a lost update when two operators publish concurrently.
Test(ConfigPublish, one_of_two_racing_operators_gets_a_conflict) {
  ConfigHarness harness;
  harness.Publish(MakeConfig(1));
  PublishResult results[2];
  int done = 0;
  for (int i = 0; i < 2; ++i) {
    PublishConfig(harness.loop, harness.tables(), harness.objects(),
                  {MakeConfig(10 + i), std::nullopt, 5'000},
                  [&results, &done, i](PublishResult got) {
                    results[i] = std::move(got);
                    done++;
                  });
  }
  cr_assert(harness.Wait([&] { return done == 2; }));
  const bool first_won = results[0].status == PublishStatus::kPublished;
  const PublishResult& lost = results[first_won ? 1 : 0];
  cr_expect(results[first_won ? 0 : 1].status == PublishStatus::kPublished);
  cr_expect_eq(Int(lost.status), Int(PublishStatus::kConflict));
  cr_expect_eq(lost.version, 2u);
  const char* difference = first_won
                               ? "~ teams/care/quota/milli_cores: 10 -> 11\n"
                               : "~ teams/care/quota/milli_cores: 11 -> 10\n";
  cr_expect_str_eq(lost.difference.c_str(), difference);
  // An operator who has seen an older version gets the conflict as well.
  const PublishResult stale = harness.Publish(MakeConfig(20), 1);
  cr_expect_eq(Int(stale.status), Int(PublishStatus::kConflict));
  cr_expect_eq(harness.CommitsOf(ConfigHeadKey()), 2);
}

// Guards against a conflict reported for a publication that took effect: its
// answer was lost and another operator published before the head was read.
Test(ConfigPublish, finds_its_own_version_behind_a_newer_one) {
  ConfigHarness harness;
  harness.Publish(MakeConfig(1));
  // Another operator publishes before the first one reads the head back.
  harness.standin->faults() = {.lose_answers = 1};
  PublishResult first;
  bool done = false;
  PublishConfig(harness.loop, harness.tables(), harness.objects(),
                {MakeConfig(2), std::nullopt, 20'000}, [&](PublishResult got) {
                  first = std::move(got);
                  done = true;
                });
  cr_assert(
      harness.Wait([&] { return harness.CommitsOf(ConfigHeadKey()) == 2; }));
  ConfigContent other;
  other.version = 3;
  other.content = SerializeCellConfig(MakeConfig(3));
  other.digest = DigestOf(other.content);
  Commit(harness.standin->tables(),
         {{},
          {{ConfigRowKey(3), ConfigRowToJson(other), false},
           {ConfigHeadKey(), ConfigHeadToJson({3, other.digest}), false}}});
  cr_assert(harness.Wait([&] { return done; }));
  cr_expect_eq(Int(first.status), Int(PublishStatus::kPublished));
  cr_expect_eq(first.version, 2u);
}

// Guards against content too large for a row, and against content corrupted in
// the store.
Test(ConfigPublish, large_content_goes_to_the_object_store) {
  ConfigHarness harness;
  const CellConfig large = MakeConfig(1, 2'000);
  cr_assert_gt(SerializeCellConfig(large).size(), kMaxRowContentBytes);
  cr_assert_eq(harness.Publish(large).version, 1u);
  cr_expect_lt(harness.ValueOf(ConfigRowKey(1)).size(), 1'000u);
  auto follower = harness.Follow({});
  cr_assert(harness.Wait([&] { return follower->in_force().version == 1; }));
  cr_expect_eq(follower->in_force().services.size(), 2'000u);
  harness.Publish(MakeConfig(2, 2'000));
  for (auto& [name, content] : harness.standin->tables().objects) {
    // Still a valid configuration, so that only the digest reveals the change.
    const size_t at = content.find("\"milli_cores\": 2");
    if (at != std::string::npos) content[at + 15] = '3';
  }
  auto late = harness.Follow({});
  const uint64_t reads = harness.standin->stats().reads;
  cr_assert(
      harness.Wait([&] { return harness.standin->stats().reads > reads + 6; }));
  cr_expect_eq(late->in_force().version, 0u);
}

// Guards against a process that misses a version while the store is down, and
// against replies that lower the version or carry corrupted content.
Test(ConfigFollower, takes_a_version_from_a_peer_while_the_store_is_down) {
  ConfigHarness harness;
  harness.Publish(MakeConfig(1));
  auto source = harness.Follow({});
  int requests = 0;
  uint64_t highest = 0;
  std::unique_ptr<ConfigFollower> follower;
  ConfigFollowerCallbacks callbacks;
  callbacks.request = [&](LinkId link, const wire::ConfigRequestT& request) {
    cr_expect_eq(link, 7u);
    requests++;
    wire::ConfigReplyT damaged = source->MakeReply(request);
    damaged.content += " ";
    follower->OnPeerReply(damaged);
    cr_expect_eq(follower->in_force().version, 1u);
    follower->OnPeerReply(source->MakeReply(request));
  };
  callbacks.changed = [&](const CellConfig& config) {
    cr_expect_gt(config.version, highest);
    highest = config.version;
  };
  follower = harness.Follow(callbacks, 10'000);
  cr_assert(harness.Wait([&] { return follower->in_force().version == 1; }));
  harness.Publish(MakeConfig(2));
  cr_assert(harness.Wait([&] { return source->in_force().version == 2; }));
  harness.standin->faults().outage = true;
  follower->OnPeerVersion(7, 2);
  cr_assert(harness.Wait([&] { return follower->in_force().version == 2; }));
  cr_expect_eq(requests, 1);
  cr_expect(follower->digest() == source->digest());
  cr_expect_eq(follower->in_force().teams.at("care").quota.milli_cores, 2);
  // Older content from a peer that lags must be ignored.
  wire::ConfigReplyT old;
  old.version = 1;
  old.content = SerializeCellConfig(MakeConfig(1));
  old.digest = DigestOf(old.content);
  follower->OnPeerReply(old);
  cr_expect_eq(follower->in_force().version, 2u);
  wire::ConfigRequestT higher;
  higher.version = 3;
  cr_expect(source->MakeReply(higher).content.empty());
}

// Guards against a store restored to an older state that lowers the version in
// force, and against invalid content that replaces valid content.
Test(ConfigFollower, never_lowers_the_version_or_applies_invalid_content) {
  ConfigHarness harness;
  harness.Publish(MakeConfig(1));
  harness.Publish(MakeConfig(2));
  auto follower = harness.Follow({});
  cr_assert(harness.Wait([&] { return follower->in_force().version == 2; }));
  ConfigContent bad;
  bad.version = 3;
  bad.content = R"({"services": {"x": {}}})";
  bad.digest = DigestOf(bad.content);
  Commit(harness.standin->tables(),
         {{},
          {{ConfigRowKey(3), ConfigRowToJson(bad), false},
           {ConfigHeadKey(), ConfigHeadToJson({3, bad.digest}), false}}});
  uint64_t reads = harness.standin->stats().reads;
  cr_assert(harness.Wait(
      [&] { return harness.standin->stats().reads >= reads + 6; }));
  cr_expect_eq(follower->in_force().version, 2u);
  Commit(harness.standin->tables(),
         {{}, {{ConfigHeadKey(), ConfigHeadToJson({1, "x"}), false}}});
  reads = harness.standin->stats().reads;
  cr_assert(harness.Wait(
      [&] { return harness.standin->stats().reads >= reads + 4; }));
  cr_expect_eq(follower->in_force().version, 2u);
  cr_expect_eq(follower->in_force().teams.at("care").quota.milli_cores, 2);
}

}  // namespace dotterelcove
