#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "http/HttpServer.h"
#include "platform/CallerAdapter.h"
#include "platform/Manifest.h"
#include "platform/Settings.h"
#include "platform/WorkerAdapter.h"

namespace dotterelcove::platform {
namespace {

constexpr const char* kSettings = R"({
  "node": "front-1", "zone": "z", "ip": "10.1.0.13",
  "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
  "port_range": [7720, 7735], "advice": "10.200.1.9:8169",
  "bounds": {"max_hold_ms": 10000, "config_apply_ms": 2500, "grace_s": 6.5, "status_s": 120},
  "platform": {"address": "10.200.1.7:8169"}, "unknown": {"field": 1}
})";

std::string ProblemOf(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParsePlatformSettings(text, "boot.json"));
        return std::string();
      },
      [](const SettingsFileError& error) { return error.problem; },
      [] { return std::string("another error"); });
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

// Guards against interpreting bounds in seconds as milliseconds.
Test(PlatformSettings, bounds_become_milliseconds) {
  const auto settings = ParsePlatformSettings(kSettings, "boot.json");
  cr_assert(settings);
  cr_expect_eq(settings->grace_ms, 6'500);
  cr_expect_eq(settings->status_retention_ms, 120'000);
  cr_expect_eq(settings->max_lease_ms, 10'000);
  cr_expect_eq(settings->config_apply_ms, 2'500);
  cr_expect_eq(settings->front.port, 8161);
  cr_expect_eq(settings->first_port, 7720);
}

// Guards against counting a VM with a fraction of a core as a whole core, which
// lets it become owner.
Test(PlatformSettings, processors_are_the_share_of_a_core) {
  std::string text = kSettings;
  text.insert(text.find('{') + 1,
              R"("limits": {"cpu_share": 0.12, "cores": 1},)");
  const auto settings = ParsePlatformSettings(text, "boot.json");
  cr_assert(settings);
  cr_expect_float_eq(settings->cores, 0.12, 0.001);
}

// Guards against a daemon that starts with settings it cannot use.
Test(PlatformSettings, faults_name_the_key) {
  cr_expect(ProblemOf("{").find("JSON") != std::string::npos);
  cr_expect(ProblemOf(Replace(kSettings, "\"front-1\"", "7")).find("node") ==
            0);
  cr_expect(ProblemOf(Replace(kSettings, "10.1.0.13:8161", "10.1.0.13"))
                .find("listen.front") == 0);
  cr_expect(ProblemOf(Replace(kSettings, "[7720, 7735]", "[7735, 7720]"))
                .find("port_range") == 0);
  cr_expect(ProblemOf(Replace(kSettings, "10.200.1.7:8169", ""))
                .find("platform.address") == 0);
}

// Guards against rejecting a whole manifest for unknown or malformed parts.
Test(PlatformManifest, broken_routes_are_left_out) {
  const auto manifest = DecodeManifest(R"({"version": 7, "new": [], "routes": [
    {"name": "r", "host": "h", "path_prefix": "/a/", "service": "s",
     "priority": 2, "attempts": 3, "stretch": 2.2, "target_duration_ms": 1200,
     "advice": {"decision_ms": 420.0, "period_ms": 6.1, "validity_ms": 2500}},
    {"name": "no host"}]})");
  cr_assert(manifest.has_value());
  cr_assert_eq(manifest->routes.size(), 1U);
  const workflow::QueuePolicy& policy = manifest->routes.front().policy;
  cr_expect_eq(policy.priority, 2);
  cr_expect_eq(policy.attempts, 3U);
  cr_expect_eq(policy.target_ms, 1'200);
  cr_expect(policy.permits.required);
  cr_expect_eq(policy.permits.validity_ms, 2'500);
  cr_expect_not(DecodeManifest("{}").has_value());
  cr_expect_not(DecodeManifest("no JSON").has_value());
}

// Guards against matching a route of another host or with a shorter path.
Test(PlatformManifest, longest_path_of_the_host_wins) {
  Manifest manifest;
  manifest.routes = {{"h", "/a/", "short", {}},
                     {"h", "/a/b/", "long", {}},
                     {"other", "/a/b/c/", "other", {}}};
  cr_expect_str_eq(FindRoute(manifest, "h", "/a/b/c/1")->queue.c_str(), "long");
  cr_expect_str_eq(FindRoute(manifest, "h", "/a/1")->queue.c_str(), "short");
  cr_expect_null(FindRoute(manifest, "h", "/b/1"));
}

// Guards against job fields that are dropped while decoding.
Test(PlatformCaller, job_is_decoded_whole) {
  std::string problem;
  const auto spec = DecodeJobRequest(
      R"({"spec": "text", "times": 3, "start_at_ms": 1000, "interval_ms": 500,
          "steps": [{"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1,
          "est_duration_ms": 900, "data_rack": "r1", "requires": "a",
          "max_per_server": 2, "gang": true, "same_rack": true,
          "speculative": true, "image": "i", "target_ms": 20, "may_miss": 1},
          {"cpu": 1, "after": [0], "checkpointing": true, "fills": true,
           "long_running": true}]})",
      problem);
  cr_assert(spec.has_value(), "%s", problem.c_str());
  cr_expect_eq(spec->occurrences, 3U);
  cr_expect_eq(spec->interval_ms, 500);
  const workflow::StepSpec& first = spec->steps.at(0);
  cr_expect_eq(first.count, 4U);
  cr_expect(first.size == (Resources{500, 256, 1}));
  cr_expect(first.gang && first.same_rack && first.speculative);
  cr_expect_eq(first.max_per_worker, 2U);
  cr_expect_eq(first.tail_target_ms, 20);
  cr_expect_eq(first.disruption_allowance, 1U);
  const workflow::StepSpec& second = spec->steps.at(1);
  cr_expect_eq(second.count, 1U);
  cr_expect(second.checkpoints && second.filler && second.long_running);
  cr_expect_eq(second.after.size(), 1U);
}

// Guards against malformed bodies that crash the process or are accepted.
Test(PlatformCaller, malformed_jobs_are_refused) {
  for (const char* body :
       {"", "{", "[]", "{}", R"({"steps": 1})", R"({"steps": [1]})",
        R"({"steps": [{"cpu": "many"}]})"}) {
    std::string problem;
    const auto spec = DecodeJobRequest(body, problem);
    cr_expect(!spec.has_value() && !problem.empty(), "%s", body);
  }
}

// Guards against an answer that cannot be built because it quotes a body which
// is not UTF-8: the daemon ended, and the job counted as accepted.
Test(PlatformCaller, job_that_is_not_utf8_is_refused) {
  std::string problem;
  cr_expect_not(
      DecodeJobRequest("{\"spec\": \"Jo\xe3o\", \"steps\": [{}]}", problem)
          .has_value());
  cr_expect_not(problem.empty());
  const HttpResponse response = MakeErrorResponse(400, problem);
  cr_expect_eq(response.status, 400);
  cr_expect(nlohmann::json::accept(response.body));
}

// Guards against numbers that cannot be represented, whose conversion is
// undefined, and against times and sizes whose sums overflow.
Test(PlatformCaller, numbers_out_of_range_are_refused) {
  for (const char* name : {"cpu", "mem_mb", "gpu", "est_duration_ms"}) {
    for (const char* value : {"-1", "1e300", "1e400", "18446744073709551615"}) {
      const std::string body =
          std::string(R"({"steps": [{")") + name + "\": " + value + "}]}";
      std::string problem;
      cr_expect_not(DecodeJobRequest(body, problem).has_value(), "%s",
                    body.c_str());
      cr_expect_not(problem.empty());
    }
  }
}

// Guards against decoding rows of other writers as workers.
Test(PlatformWorkers, malformed_rows_name_no_worker) {
  const std::string good = R"({"service": "s", "address": "1.2.3.4:5",
    "zone": "z", "state": "ready", "labels": ["a", "r1-3"], "born": 17,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}})";
  const auto worker = DecodeWorker("i-1", good);
  cr_assert(worker.has_value());
  cr_expect_str_eq(worker->rack.c_str(), "r1-3");
  cr_expect_eq(worker->incarnation, 17U);
  cr_expect_not(worker->draining);
  cr_expect(DecodeWorker("i", Replace(good, "ready", "draining"))->draining);
  cr_expect_not(DecodeWorker("i", Replace(good, "ready", "odd")).has_value());
  cr_expect_not(DecodeWorker("i", Replace(good, "16000", "\"x\"")).has_value());
  cr_expect_not(DecodeWorker("i", "\xff\xfe").has_value());
  cr_expect_not(DecodeWorker("i", "[]").has_value());
}

}  // namespace dotterelcove::platform
