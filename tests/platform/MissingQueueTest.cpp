// Requests for a queue that the manifest in force does not have.
#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

#include "http/HttpServer.h"
#include "loop/LoopRuntime.h"
#include "platform/CallerAdapter.h"
#include "platform/Manifest.h"
#include "platform/StoreAdapter.h"
#include "telemetry/Log.h"
#include "tests/RawSocket.h"

namespace dotterelcove::platform {
namespace {

constexpr TimeMs kWaitMs = 8'000;
constexpr const char* kOldManifest =
    R"({"version": 7, "routes": [{"host": "a", "path_prefix": "/old/",
        "service": "s"}]})";
constexpr const char* kNewManifest =
    R"({"version": 9, "routes": [{"host": "a", "path_prefix": "/old/",
        "service": "s"}, {"host": "a", "path_prefix": "/new/",
        "service": "s"}]})";

/// A daemon's callers and its manifest, with a store that is scripted.
struct CallerHarness {
  CallerHarness()
      : runtimes(loop),
        node(loop, runtimes.MakeRuntime(), {}, {}, metrics),
        callers{node, *follower, metrics} {
    SetLogOutput([](const std::string&) {});
    this->follower->runtime = this->runtimes.MakeRuntime();
    this->follower->changed = [](const Manifest&) {};
    this->follower->store.read = [this](const std::string&, uint32_t,
                                        const std::string&, uint32_t,
                                        const StoreCallback& done) {
      this->reads++;
      if (this->answers) done(this->answer);
    };
    this->follower->current = *DecodeManifest(kOldManifest);
    this->follower->known_version = 10;
    this->server = leaf::try_handle_all(
        [&] {
          return HttpServer::Start(
              this->loop, {},
              [this](const HttpRequest& request, const HttpReply& reply) {
                HandleCaller(this->callers, request, reply);
              });
        },
        [] { return std::unique_ptr<HttpServer>(); });
  }

  /// The manifest in force was known to be the newest so long ago.
  void SetAge(TimeMs age_ms) {
    this->follower->known_ms = this->follower->runtime.now() - age_ms;
  }
  void StoreAnswers(StoreStatus status, const std::string& manifest) {
    this->answers = true;
    this->answer.status = status;
    this->answer.version = 11;
    if (manifest.empty()) return;
    this->answer.rows.push_back(
        {kOperatorTable, "config", manifest, 11, false});
  }
  /// Requests the count of a queue; returns the whole response.
  std::string Get(const std::string& path) {
    RawSocket socket(this->server->port());
    cr_assert(socket.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    const TimeMs began_ms = this->follower->runtime.now();
    cr_assert(
        this->loop.RunUntil([&] { return !socket.Read().empty(); }, kWaitMs));
    this->took_ms = this->follower->runtime.now() - began_ms;
    return socket.received;
  }

  EventLoop loop;
  LoopRuntime runtimes;
  Metrics metrics;
  std::shared_ptr<ManifestFollower> follower =
      std::make_shared<ManifestFollower>();
  Node node;
  CallerAdapter callers;
  std::unique_ptr<HttpServer> server;
  bool answers = false;
  StoreAnswer answer;
  int reads = 0;
  TimeMs took_ms = 0;
};

}  // namespace

// Guards against 404 for a queue that was added more than `config_apply_ms`
// ago, answered by a daemon whose store calls are refused or not answered.
Test(MissingQueue, old_manifest_without_the_store_answers_503) {
  CallerHarness refused;
  refused.SetAge(2'100);
  refused.StoreAnswers(StoreStatus::kRefused, "");
  const std::string response = refused.Get("/new/");
  cr_expect(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
  cr_expect(response.find("Retry-After: 1") != std::string::npos);
  cr_expect_leq(refused.took_ms, 600);
  cr_expect_leq(refused.reads, 6);
  CallerHarness silent;
  silent.SetAge(2'100);
  cr_expect(silent.Get("/new/").starts_with("HTTP/1.1 503"));
  cr_expect_eq(silent.reads, 1);
}

}  // namespace dotterelcove::platform
