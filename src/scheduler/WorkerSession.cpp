#include "scheduler/WorkerSession.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/Clock.h"
#include "base/Random.h"

namespace dotterelcove {
namespace {

constexpr int64_t kRetryBaseMs = 100;
constexpr int64_t kRetryMaxMs = 2'000;
// Three renewals fit into a lease, so that it survives one lost answer.
constexpr int64_t kSyncsPerLease = 3;
// Reciprocal of the assumed bound on the relative difference of two clock
// rates, see docs/design.md 3.4.
constexpr int64_t kClockRateErrorDivisor = 1'000;
// With the backoff, about half a minute, by when the lease of an unreachable
// worker has lapsed.
constexpr int kMaxControlAttempts = 20;

/// A control message that the worker has not answered yet.
struct ControlCall {
  ControlCall(EventLoop& loop, std::function<void()> resend)
      : timer(loop, std::move(resend)) {}
  ControlAction action = ControlAction::kStop;
  uint64_t number = 0;
  int attempt = 0;
  Timer timer;
};

}  // namespace

struct WorkerSession::State {
  State(EventLoop& loop, HttpClient& http, WorkerSessionOptions options,
        WorkerSessionCallbacks callbacks)
      : loop(loop),
        client{http, options.vm.address, options.call_timeout_ms},
        options(std::move(options)),
        callbacks(std::move(callbacks)),
        random(MakeSystemRandom()),
        retry_timer(loop, [this] { this->SendFence(); }),
        lease_timer(loop, [this] { this->CheckLease(); }) {
    this->token.epoch = this->options.epoch;
    this->lease_end_ms = this->options.initial_lease_end_ms;
  }

  void SendFence();
  void OnFenced(const WorkerResult<FenceReply>& result, FenceToken sent);
  void SendSync(int64_t wait_ms);
  void OnSynced(const WorkerResult<SyncReply>& result);
  void OnStaleToken(const FenceToken& highest);
  void OnContactLost();
  void CheckLease();
  void CancelSync();
  void MarkReceived(uint64_t sequence);
  void SendControl(const std::string& task);
  void OnControlReply(const std::string& task, uint64_t number,
                      const WorkerResult<NoReply>& result);
  void SetState(SessionState next);

  EventLoop& loop;
  WorkerClient client;
  WorkerSessionOptions options;
  WorkerSessionCallbacks callbacks;
  Random random;
  SessionState state = SessionState::kUnanswered;
  FenceToken token;
  uint64_t incarnation = 0;
  int attempt = 0;
  bool fence_in_flight = false;
  bool sync_in_flight = false;
  bool fence_pending = false;
  uint64_t sync_call = 0;
  TimeMs lease_end_ms = 0;
  uint64_t sync_generation = 0;
  /// Highest sequence number of an ended task received.
  uint64_t received = 0;
  /// Sequence numbers of received ended tasks that the worker must still keep.
  std::set<uint64_t> unacknowledged;
  std::map<std::string, std::unique_ptr<ControlCall>> controls;
  uint64_t next_control = 1;
  Timer retry_timer;
  Timer lease_timer;
  std::weak_ptr<State> self;
};

void WorkerSession::State::SetState(SessionState next) {
  if (this->state == next) return;
  this->state = next;
  this->callbacks.state_changed(next);
}

void WorkerSession::State::SendFence() {
  this->retry_timer.Cancel();
  if (this->fence_in_flight) {
    this->fence_pending = true;
    return;
  }
  this->fence_in_flight = true;
  this->fence_pending = false;
  this->token.count++;
  FenceWorker(this->client, {this->token},
              [weak = this->self,
               sent = this->token](const WorkerResult<FenceReply>& result) {
                const std::shared_ptr<State> state = weak.lock();
                if (state != nullptr) state->OnFenced(result, sent);
              });
}

void WorkerSession::State::OnFenced(const WorkerResult<FenceReply>& result,
                                    FenceToken sent) {
  this->fence_in_flight = false;
  if (result.status == WorkerStatus::kStaleToken) {
    this->OnStaleToken(result.highest);
    return;
  }
  if (result.status != WorkerStatus::kOk) {
    this->OnContactLost();
    return;
  }
  if (this->fence_pending) {
    // A start failed after this fence had been sent; only a later fence
    // determines its outcome.
    this->SendFence();
    return;
  }
  this->token = sent;
  if (result.reply.incarnation != this->incarnation) {
    this->incarnation = result.reply.incarnation;
    this->received = 0;
    this->unacknowledged.clear();
  }
  FenceReply reply = result.reply;
  std::erase_if(reply.ended, [this](const EndedTask& task) {
    return task.sequence <= this->received;
  });
  for (const EndedTask& task : reply.ended) this->MarkReceived(task.sequence);
  this->callbacks.fenced(reply);
  // The lease must be valid before a start is sent, and a fence does not renew
  // it. A sync from before the loss of contact may stay pending for long, so it
  // is replaced by a new one.
  if (this->state != SessionState::kReachable) this->CancelSync();
  this->SendSync(0);
}

void WorkerSession::State::SendSync(int64_t wait_ms) {
  if (this->sync_in_flight) return;
  this->sync_in_flight = true;
  SyncRequest request;
  request.token = this->token;
  request.lease_ms = this->options.lease_ms;
  request.renew = this->callbacks.may_renew();
  request.acknowledged = this->unacknowledged.empty()
                             ? this->received
                             : *this->unacknowledged.begin() - 1;
  request.received = this->received;
  request.wait_ms = wait_ms;
  if (request.renew) {
    const int64_t lease = this->options.lease_ms;
    this->lease_end_ms =
        std::max(this->lease_end_ms,
                 MonotonicMs() + lease + lease / kClockRateErrorDivisor + 1);
  }
  this->sync_call =
      SyncWorker(this->client, request,
                 [weak = this->self, generation = ++this->sync_generation](
                     const WorkerResult<SyncReply>& result) {
                   const std::shared_ptr<State> state = weak.lock();
                   if (state == nullptr || state->sync_generation != generation)
                     return;
                   state->OnSynced(result);
                 });
}

void WorkerSession::State::CancelSync() {
  if (!this->sync_in_flight) return;
  this->sync_in_flight = false;
  this->sync_generation++;
  this->client.http.Cancel(this->sync_call);
}

void WorkerSession::State::OnSynced(const WorkerResult<SyncReply>& result) {
  this->sync_in_flight = false;
  if (result.status == WorkerStatus::kStaleToken) {
    this->OnStaleToken(result.highest);
    return;
  }
  if (result.status != WorkerStatus::kOk) {
    this->OnContactLost();
    return;
  }
  if (result.reply.incarnation != this->incarnation) {
    this->SendFence();
    return;
  }
  this->attempt = 0;
  this->lease_timer.Cancel();
  this->SetState(SessionState::kReachable);
  for (const EndedTask& task : result.reply.ended) {
    if (task.sequence <= this->received) continue;
    this->MarkReceived(task.sequence);
    this->callbacks.ended(task);
  }
  if (!result.reply.usage.empty()) this->callbacks.usage(result.reply.usage);
  this->SendSync(this->options.lease_ms / kSyncsPerLease);
}

void WorkerSession::State::MarkReceived(uint64_t sequence) {
  this->received = std::max(this->received, sequence);
  this->unacknowledged.insert(sequence);
}

void WorkerSession::State::OnStaleToken(const FenceToken& highest) {
  if (highest.epoch > this->options.epoch) {
    this->callbacks.higher_epoch(highest.epoch);
    return;
  }
  this->token.count = std::max(this->token.count, highest.count);
  this->OnContactLost();
}

void WorkerSession::State::OnContactLost() {
  if (this->state == SessionState::kReachable) {
    this->SetState(SessionState::kUnreachable);
  }
  this->CheckLease();
  this->retry_timer.StartAfter(
      BackoffMs(this->random, this->attempt++, kRetryBaseMs, kRetryMaxMs));
}

void WorkerSession::State::CheckLease() {
  if (this->state == SessionState::kReachable ||
      this->state == SessionState::kLapsed) {
    return;
  }
  const TimeMs left = this->lease_end_ms - MonotonicMs();
  if (left > 0) {
    this->lease_timer.StartAfter(left);
    return;
  }
  this->SetState(SessionState::kLapsed);
}

void WorkerSession::State::SendControl(const std::string& task) {
  const ControlCall& call = *this->controls.at(task);
  ControlTask(this->client, {this->token, task, call.action},
              [weak = this->self, task,
               number = call.number](const WorkerResult<NoReply>& result) {
                const std::shared_ptr<State> state = weak.lock();
                if (state != nullptr)
                  state->OnControlReply(task, number, result);
              });
}

void WorkerSession::State::OnControlReply(const std::string& task,
                                          uint64_t number,
                                          const WorkerResult<NoReply>& result) {
  const auto found = this->controls.find(task);
  // A later action on the same task has replaced this one.
  if (found == this->controls.end() || found->second->number != number) return;
  ControlCall& call = *found->second;
  const bool repeat = result.status == WorkerStatus::kNotSent ||
                      result.status == WorkerStatus::kUnknown;
  if (repeat && ++call.attempt < kMaxControlAttempts) {
    call.timer.StartAfter(
        BackoffMs(this->random, call.attempt, kRetryBaseMs, kRetryMaxMs));
    return;
  }
  this->controls.erase(found);
  if (result.status == WorkerStatus::kStaleToken)
    this->OnStaleToken(result.highest);
}

WorkerSession::WorkerSession(EventLoop& loop, HttpClient& http,
                             WorkerSessionOptions options,
                             WorkerSessionCallbacks callbacks)
    : session(std::make_shared<State>(loop, http, std::move(options),
                                      std::move(callbacks))) {
  this->session->self = this->session;
}

WorkerSession::~WorkerSession() {
  // Otherwise the long poll would stay open until the worker's wait time ends.
  this->session->CancelSync();
}

void WorkerSession::Open() {
  this->session->SendFence();
  this->session->CheckLease();
}

void WorkerSession::Refence() { this->session->SendFence(); }

void WorkerSession::Start(const WorkerTask& task, const std::string& payload,
                          std::function<void(WorkerResult<NoReply>)> done) {
  StartTask(this->session->client, {this->session->token, task, payload},
            [weak = std::weak_ptr<State>(this->session),
             done = std::move(done)](const WorkerResult<NoReply>& result) {
              if (weak.lock() != nullptr) done(result);
            });
}

void WorkerSession::Control(const std::string& task, ControlAction action) {
  State& state = *this->session;
  auto call = std::make_unique<ControlCall>(
      state.loop, [&state, task] { state.SendControl(task); });
  call->action = action;
  call->number = state.next_control++;
  state.controls[task] = std::move(call);
  state.SendControl(task);
}

void WorkerSession::Acknowledge(uint64_t incarnation, uint64_t sequence) {
  if (incarnation != this->session->incarnation) return;
  this->session->unacknowledged.erase(sequence);
}

void WorkerSession::SetVm(const Vm& vm) {
  this->session->options.vm = vm;
  this->session->client.base_url = vm.address;
}

SessionState WorkerSession::state() const { return this->session->state; }
const Vm& WorkerSession::vm() const { return this->session->options.vm; }
FenceToken WorkerSession::token() const { return this->session->token; }
uint64_t WorkerSession::incarnation() const {
  return this->session->incarnation;
}

}  // namespace dotterelcove
