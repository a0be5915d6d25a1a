/// Contract of the worker interface: the client against the stand-in worker
/// with injected faults, and the message codec.
#include <criterion/criterion.h>

#include "border/worker/WorkerClient.h"
#include "standins/WorkerStandin.h"
#include "standins/WorkerVerdict.h"

namespace dotterelcove::tests {
namespace {

constexpr int64_t kLeaseMs = 400;

struct Fixture {
  Fixture() {
    standins::WorkerStandinOptions options;
    Vm vm;
    vm.id = "w-0";
    vm.capacity = {2'000, 1'000, 0};
    options.vms = {vm};
    this->workers = leaf::try_handle_all(
        [&] { return standins::WorkerStandin::Start(this->loop, options); },
        [] { return std::unique_ptr<standins::WorkerStandin>(); });
  }
  WorkerClient client() {
    return {this->http, this->workers->UrlOf("w-0"), 300};
  }
  template <class Reply, class Call>
  WorkerResult<Reply> Wait(Call call) {
    bool done = false;
    WorkerResult<Reply> result;
    call([&](const WorkerResult<Reply>& answer) {
      result = answer;
      done = true;
    });
    cr_assert(this->loop.RunUntil([&] { return done; }, 5'000));
    return result;
  }
  WorkerResult<FenceReply> Fence(FenceToken token) {
    return this->Wait<FenceReply>(
        [&](auto done) { FenceWorker(this->client(), {token}, done); });
  }
  WorkerResult<SyncReply> Sync(FenceToken token, uint64_t acknowledged = 0,
                               bool renew = true, int64_t wait_ms = 0) {
    SyncRequest request;
    request.token = token;
    request.lease_ms = kLeaseMs;
    request.renew = renew;
    request.acknowledged = acknowledged;
    request.received = acknowledged;
    request.wait_ms = wait_ms;
    return this->Wait<SyncReply>(
        [&](auto done) { SyncWorker(this->client(), request, done); });
  }
  WorkerResult<NoReply> Start(
      FenceToken token, const std::string& job, int64_t milli_cores = 1'000,
      const std::string& payload = R"({"run_ms": -1})") {
    StartRequest request;
    request.token = token;
    request.task.job = job;
    request.task.id = MakeTaskId(job, 0, 1);
    request.task.size = {milli_cores, 100, 0};
    request.task.idempotent = false;
    request.payload = payload;
    return this->Wait<NoReply>(
        [&](auto done) { StartTask(this->client(), request, done); });
  }
  void FenceAndSync(FenceToken token) {
    cr_assert_eq(this->Fence(token).status, WorkerStatus::kOk);
    cr_assert_eq(this->Sync(token).status, WorkerStatus::kOk);
  }

  EventLoop loop;
  HttpClient http{this->loop};
  std::unique_ptr<standins::WorkerStandin> workers;
};

struct StartCase {
  const char* name;
  FenceToken token;
  int64_t milli_cores;
  standins::WorkerFaults faults;
  WorkerStatus expected;
};

}  // namespace

// Guards against reporting "not started" after an answer that does not prove
// it, and against starting a task that the worker must refuse.
Test(WorkerClient, start_outcomes, .timeout = 60) {
  standins::WorkerFaults refuse;
  refuse.refuse_all = true;
  standins::WorkerFaults lose;
  lose.lose_answers = true;
  standins::WorkerFaults unreachable;
  unreachable.unreachable = true;
  const StartCase rows[] = {
      {"started", {2, 1}, 1'000, {}, WorkerStatus::kOk},
      {"lower epoch", {1, 9}, 1'000, {}, WorkerStatus::kStaleToken},
      {"earlier fence", {2, 0}, 1'000, {}, WorkerStatus::kStaleToken},
      {"too large", {2, 1}, 3'000, {}, WorkerStatus::kNoCapacity},
      {"refused", {2, 1}, 1'000, refuse, WorkerStatus::kRefused},
      {"answer lost", {2, 1}, 1'000, lose, WorkerStatus::kUnknown},
      {"request lost", {2, 1}, 1'000, unreachable, WorkerStatus::kUnknown},
  };
  for (const StartCase& row : rows) {
    Fixture fixture;
    fixture.FenceAndSync({2, 1});
    fixture.workers->SetFaults("w-0", row.faults);
    const auto result = fixture.Start(row.token, "job", row.milli_cores);
    cr_expect_eq(result.status, row.expected, "%s", row.name);
    if (row.expected == WorkerStatus::kStaleToken) {
      cr_expect(result.highest == (FenceToken{2, 1}), "%s", row.name);
    }
    const bool ran = fixture.workers->running("w-0") == 1;
    const bool may_run = row.expected == WorkerStatus::kOk ||
                         row.expected == WorkerStatus::kUnknown;
    cr_expect(may_run || !ran, "%s", row.name);
  }
}

// Guards against classifying a refused connection as "may have run".
Test(WorkerClient, refused_connection_is_not_sent, .timeout = 60) {
  Fixture fixture;
  WorkerClient client = fixture.client();
  fixture.workers.reset();
  const auto result = fixture.Wait<FenceReply>([&](auto done) {
    FenceWorker(client, {{1, 1}}, done);
  });
  cr_expect_eq(result.status, WorkerStatus::kNotSent);
}

// Guards against running a task twice when its start arrives twice.
Test(WorkerClient, second_start_is_a_duplicate, .timeout = 60) {
  Fixture fixture;
  fixture.FenceAndSync({1, 1});
  cr_expect_eq(fixture.Start({1, 1}, "job").status, WorkerStatus::kOk);
  cr_expect_eq(fixture.Start({1, 1}, "job").status, WorkerStatus::kDuplicate);
  cr_expect_eq(standins::CountEntries(fixture.workers->journal().entries(),
                                      standins::JournalEvent::kStarted, "job"),
               1);
}

// Guards against losing a result before it has been recorded, and against
// keeping it after its acknowledgement.
Test(WorkerClient, ended_task_is_kept_until_acknowledged, .timeout = 60) {
  Fixture fixture;
  fixture.FenceAndSync({1, 1});
  const std::string payload = "{\"run_ms\": 1, \"result\": \"r\xC3\xA9\"}";
  fixture.Start({1, 1}, "job", 1'000, payload);
  const auto first = fixture.Sync({1, 1}, 0, true, 300);
  cr_assert_eq(first.reply.ended.size(), 1);
  cr_expect_eq(first.reply.ended[0].result, "r\xC3\xA9");
  // Receiving it does not acknowledge it.
  cr_expect_eq(fixture.Sync({1, 1}).reply.ended.size(), 1);
  const auto fence = fixture.Fence({2, 1});
  cr_assert_eq(fence.reply.ended.size(), 1);
  fixture.Sync({2, 1}, fence.reply.ended[0].sequence);
  cr_expect_eq(fixture.Fence({2, 2}).reply.ended.size(), 0);
}

// Guards against a task that runs on after its lease, when a later owner takes
// it as ended, and against probes that extend the lease.
Test(WorkerClient, expired_lease_stops_tasks, .timeout = 60) {
  Fixture fixture;
  fixture.FenceAndSync({1, 1});
  fixture.Start({1, 1}, "job");
  const TimeMs renewed =
      fixture.workers->journal().entries().back().monotonic_ms;
  while (fixture.workers->running("w-0") == 1) {
    fixture.Sync({1, 1}, 0, false);
    fixture.Fence({1, 1});
  }
  const auto& end = fixture.workers->journal().entries();
  TimeMs ended = 0;
  for (const auto& entry : end) {
    if (entry.event == standins::JournalEvent::kEnded) {
      ended = entry.monotonic_ms;
    }
  }
  cr_expect_leq(ended - renewed, kLeaseMs + 100);
  cr_expect_eq(fixture.Start({1, 1}, "other").status, WorkerStatus::kRefused);
}

// Guards against a codec that accepts an incomplete message.
Test(WorkerClient, malformed_messages_are_refused) {
  const char* const texts[] = {
      "",
      "[]",
      "{}",
      R"({"epoch": 1})",
      R"({"epoch": "1", "fence": 1})",
      R"({"epoch": 1, "fence": 1, "task": {}, "payload": ""})",
      R"({"incarnation": 1, "held": [1], "ended": []})",
      R"({"incarnation": 1, "ended": {}, "usage": []})",
  };
  for (const char* text : texts) {
    FenceReply fence;
    StartRequest start;
    SyncReply sync;
    ControlRequest control;
    cr_expect_not(FromJson(text, fence), "%s", text);
    cr_expect_not(FromJson(text, start), "%s", text);
    cr_expect_not(FromJson(text, sync), "%s", text);
    cr_expect_not(FromJson(text, control), "%s", text);
  }
}

}  // namespace dotterelcove::tests
