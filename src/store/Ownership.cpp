#include "store/Ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"
#include "base/Random.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

using nlohmann::json;

/// Interval of a standby's reads once the connection to the owner is lost.
constexpr int64_t kFastPollMs = 100;
constexpr int64_t kRankDelayMs = 100;
/// Assumed bound of the rate error of a monotonic clock, as a divisor (0.1 %).
constexpr int64_t kClockErrorDivisor = 1'000;
/// Maximum backoff of a standby's failing reads, so that it notices the end of
/// an outage within about one lease.
constexpr int64_t kMaxReadBackoffMs = 1'000;

std::string OwnerToJson(const OwnerView& view) {
  return json{{"epoch", view.epoch},
              {"process", view.process},
              {"address", view.address},
              {"incarnation", view.incarnation}}
      .dump();
}

bool OwnerFromJson(const std::string& text, OwnerView& view) {
  view = {};
  if (text.empty()) return true;
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return false;
  const json epoch = body.value("epoch", json());
  const json process = body.value("process", json());
  const json address = body.value("address", json());
  const json incarnation = body.value("incarnation", json());
  if (!epoch.is_number_unsigned() || !process.is_string() ||
      !address.is_string() || !incarnation.is_number_unsigned()) {
    return false;
  }
  view = {epoch.get<uint64_t>(), process.get<std::string>(),
          address.get<std::string>(), incarnation.get<uint64_t>()};
  return true;
}

std::string HeartbeatToJson(uint64_t count, bool released) {
  return json{{"count", count}, {"released", released}}.dump();
}

bool IsReleased(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  return body.is_object() && body.value("released", json()) == json(true);
}

}  // namespace

std::string OwnerRowKey(uint32_t partition) {
  return "owner/" + std::to_string(partition);
}

std::string HeartbeatRowKey(uint32_t partition) {
  return OwnerRowKey(partition) + "/beat";
}

struct Ownership::State {
  State(EventLoop& loop, TableClient tables, OwnershipOptions options,
        OwnershipCallbacks callbacks)
      : tables(std::move(tables)),
        options(std::move(options)),
        callbacks(std::move(callbacks)),
        random(MakeSystemRandom()),
        timer(loop, [this] { this->OnTimer(); }) {
    // A heartbeat that takes longer than a lease cannot renew it.
    this->tables.timeout_ms =
        std::min(this->tables.timeout_ms, this->options.lease_ms);
  }

  void OnTimer();
  void Poll();
  void OnRows(const ReadResult& result, TimeMs sent_ms);
  bool UpdateLeaseWindow(const TableRow& heartbeat, TimeMs sent_ms);
  void TakeOver();
  void OnTakeOver(const TransactResult& result);
  void WriteHeartbeat();
  void OnHeartbeatWritten(const TransactResult& result);
  void Acquire(uint64_t epoch, uint64_t row_version);
  void StepDown(const std::string& reason);
  void SetView(const TableRow& row, const OwnerView& view);
  void PollAfter(TimeMs delay_ms);
  int64_t poll_ms() const;

  TableClient tables;
  OwnershipOptions options;
  OwnershipCallbacks callbacks;
  Random random;

  bool started = false;
  bool stopped = false;
  bool is_owner = false;
  /// A read, heartbeat or takeover is in flight.
  bool busy = false;
  bool link_lost = false;
  uint64_t epoch = 0;
  /// Highest epoch that this incarnation held or tried to acquire and gave up.
  /// An owner row with such an epoch does not make it owner again.
  uint64_t abandoned_epoch = 0;
  uint64_t highest_epoch = 0;
  uint64_t heartbeat_count = 0;

  OwnerView view;
  bool row_seen = false;
  uint64_t row_version = 0;
  uint64_t heartbeat_version = 0;
  /// Window in which the heartbeat row was read unchanged: when the answers of
  /// the first and of the last read arrived.
  TimeMs window_start_ms = 0;
  TimeMs window_last_ms = 0;
  /// When the heartbeat row was first read as released or the owner row as
  /// absent, 0 for neither.
  TimeMs released_since_ms = 0;
  TimeMs last_success_ms = MonotonicMs();
  int failed_reads = 0;

  Timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

int64_t Ownership::State::poll_ms() const {
  return this->link_lost ? std::min(kFastPollMs, this->options.poll_ms)
                         : this->options.poll_ms;
}

void Ownership::State::PollAfter(TimeMs delay_ms) {
  if (this->stopped || this->busy) return;
  this->timer.StartAfter(delay_ms);
}

void Ownership::State::OnTimer() {
  if (this->stopped || this->busy) return;
  if (this->is_owner) {
    this->WriteHeartbeat();
    return;
  }
  this->Poll();
}

void Ownership::State::Poll() {
  this->busy = true;
  ReadRows(this->tables,
           {OwnerRowKey(this->options.partition),
            HeartbeatRowKey(this->options.partition)},
           [this, sent_ms = MonotonicMs(),
            alive = std::weak_ptr(this->alive)](const ReadResult& result) {
             if (alive.expired()) return;
             this->busy = false;
             if (this->stopped) return;
             this->OnRows(result, sent_ms);
           });
}

void Ownership::State::OnRows(const ReadResult& result, TimeMs sent_ms) {
  OwnerView read;
  if (result.status != TableStatus::kOk ||
      !OwnerFromJson(result.rows[0].value, read)) {
    this->PollAfter(BackoffMs(this->random, this->failed_reads++,
                              this->poll_ms(), kMaxReadBackoffMs));
    return;
  }
  this->failed_reads = 0;
  this->last_success_ms = MonotonicMs();
  const TableRow& row = result.rows[0];
  const std::weak_ptr<bool> alive = this->alive;
  this->SetView(row, read);
  if (alive.expired() || this->stopped) return;
  const bool own = read.process == this->options.process &&
                   read.incarnation == this->options.incarnation;
  if (own && read.epoch > this->abandoned_epoch) {
    // A takeover whose answer was lost has taken effect.
    this->Acquire(read.epoch, row.version);
    return;
  }
  if (this->UpdateLeaseWindow(result.rows[1], sent_ms)) {
    this->TakeOver();
    return;
  }
  this->PollAfter(this->poll_ms());
}

void Ownership::State::SetView(const TableRow& row, const OwnerView& view) {
  if (this->row_seen && row.version == this->row_version) return;
  this->row_seen = true;
  this->row_version = row.version;
  this->view = view;
  this->highest_epoch = std::max(this->highest_epoch, view.epoch);
  this->link_lost = false;
  this->window_start_ms = 0;
  if (this->callbacks.changed) this->callbacks.changed(this->view);
}

/// Updates the window in which the heartbeat row was read unchanged. Returns
/// whether the owner's lease has expired or was released, and the delay of this
/// process's rank has passed as well.
bool Ownership::State::UpdateLeaseWindow(const TableRow& heartbeat,
                                         TimeMs sent_ms) {
  const TimeMs now = MonotonicMs();
  // After a gap between successful reads the window starts again: the owner may
  // not have reached the store either, so it gets a whole lease to write a
  // heartbeat. A slow answer is no gap, else a slow store would prevent every
  // takeover.
  const int64_t longest_gap_ms =
      std::max(this->options.lease_ms / 2, this->options.poll_ms * 3 / 2);
  const bool gap = sent_ms - this->window_last_ms > longest_gap_ms;
  if (this->window_start_ms == 0 ||
      heartbeat.version != this->heartbeat_version || gap) {
    this->window_start_ms = now;
    this->released_since_ms = 0;
  }
  this->heartbeat_version = heartbeat.version;
  this->window_last_ms = now;
  const int64_t rank_ms = this->options.rank * kRankDelayMs;
  const bool free = this->row_version == 0 || IsReleased(heartbeat.value);
  if (free) {
    if (this->released_since_ms == 0) this->released_since_ms = now;
    return now - this->released_since_ms >= rank_ms;
  }
  const int64_t lease_ms =
      this->options.lease_ms + this->options.lease_ms / kClockErrorDivisor + 1;
  // The heartbeat row was certainly unchanged from the receipt of the first
  // answer until the last read was sent.
  return sent_ms - this->window_start_ms >= lease_ms + rank_ms;
}

void Ownership::State::TakeOver() {
  const uint32_t partition = this->options.partition;
  this->epoch = this->highest_epoch + 1;
  TableTransaction transaction;
  transaction.checks = {{OwnerRowKey(partition), this->row_version},
                        {HeartbeatRowKey(partition), this->heartbeat_version}};
  transaction.puts = {
      {OwnerRowKey(partition),
       OwnerToJson({this->epoch, this->options.process, this->options.address,
                    this->options.incarnation}),
       false},
      {HeartbeatRowKey(partition), HeartbeatToJson(0, false), false}};
  this->busy = true;
  Transact(
      this->tables, transaction,
      [this, alive = std::weak_ptr(this->alive)](const TransactResult& result) {
        if (alive.expired()) return;
        this->busy = false;
        if (this->stopped) return;
        this->OnTakeOver(result);
      });
}

void Ownership::State::OnTakeOver(const TransactResult& result) {
  if (result.status != TableStatus::kOk) {
    // The next read shows which process won, and whether a transaction whose
    // answer was lost has taken effect.
    this->PollAfter(result.status == TableStatus::kUnavailable ? this->poll_ms()
                                                               : 0);
    return;
  }
  const OwnerView own{this->epoch, this->options.process, this->options.address,
                      this->options.incarnation};
  TableRow row;
  row.version = result.version;
  const std::weak_ptr<bool> alive = this->alive;
  const uint64_t epoch = this->epoch;
  this->SetView(row, own);
  if (alive.expired() || this->stopped) return;
  this->Acquire(epoch, result.version);
}

void Ownership::State::Acquire(uint64_t epoch, uint64_t row_version) {
  if (epoch < this->highest_epoch) {
    this->abandoned_epoch = epoch;
    this->PollAfter(0);
    return;
  }
  this->is_owner = true;
  this->epoch = epoch;
  this->row_version = row_version;
  this->heartbeat_count = 0;
  this->last_success_ms = MonotonicMs();
  Log(LogLevel::kInfo, "ownership_acquired",
      {F("epoch", epoch), F("partition", this->options.partition)});
  this->timer.StartAfter(this->options.heartbeat_ms);
  if (this->callbacks.acquired) this->callbacks.acquired(epoch, row_version);
}

void Ownership::State::WriteHeartbeat() {
  const uint32_t partition = this->options.partition;
  TableTransaction transaction;
  transaction.checks = {{OwnerRowKey(partition), this->row_version}};
  transaction.puts = {{HeartbeatRowKey(partition),
                       HeartbeatToJson(++this->heartbeat_count, false), false}};
  this->busy = true;
  const TimeMs sent_ms = MonotonicMs();
  Transact(this->tables, transaction,
           [this, sent_ms,
            alive = std::weak_ptr(this->alive)](const TransactResult& result) {
             if (alive.expired()) return;
             this->busy = false;
             if (this->stopped) return;
             if (!this->is_owner) {
               this->PollAfter(0);
               return;
             }
             const TimeMs elapsed = MonotonicMs() - sent_ms;
             this->timer.StartAfter(
                 std::max<TimeMs>(0, this->options.heartbeat_ms - elapsed));
             this->OnHeartbeatWritten(result);
           });
}

void Ownership::State::OnHeartbeatWritten(const TransactResult& result) {
  switch (result.status) {
    case TableStatus::kOk:
      this->last_success_ms = MonotonicMs();
      return;
    case TableStatus::kConflict:
      this->StepDown("owner row changed");
      return;
    case TableStatus::kUnavailable:
    case TableStatus::kUnknown:
      // While the store is unreachable no standby can take over, so the owner
      // continues.
      return;
  }
}

void Ownership::State::StepDown(const std::string& reason) {
  if (!this->is_owner) return;
  this->is_owner = false;
  this->abandoned_epoch = std::max(this->abandoned_epoch, this->epoch);
  this->window_start_ms = 0;
  Log(LogLevel::kWarning, "ownership_lost",
      {F("epoch", this->epoch), F("reason", reason)});
  this->PollAfter(0);
  if (this->callbacks.lost) this->callbacks.lost(reason);
}

Ownership::Ownership(EventLoop& loop, TableClient tables,
                     OwnershipOptions options, OwnershipCallbacks callbacks)
    : state(std::make_unique<State>(loop, std::move(tables), std::move(options),
                                    std::move(callbacks))) {}

Ownership::~Ownership() = default;

void Ownership::Start() {
  if (this->state->started) return;
  this->state->started = true;
  this->state->PollAfter(0);
}

void Ownership::Release(std::function<void()> done) {
  State& state = *this->state;
  const bool was_owner = state.is_owner;
  state.stopped = true;
  state.timer.Cancel();
  if (!was_owner) {
    done();
    return;
  }
  const uint32_t partition = state.options.partition;
  TableTransaction transaction;
  transaction.checks = {{OwnerRowKey(partition), state.row_version}};
  transaction.puts = {{HeartbeatRowKey(partition),
                       HeartbeatToJson(++state.heartbeat_count, true), false}};
  Transact(state.tables, transaction,
           [done = std::move(done)](const TransactResult&) { done(); });
  state.StepDown("released");
}

void Ownership::OwnerLinkLost() {
  if (this->state->is_owner || this->state->link_lost) return;
  this->state->link_lost = true;
  if (this->state->started) this->state->PollAfter(0);
}

void Ownership::HigherEpochSeen(uint64_t epoch) {
  State& state = *this->state;
  if (epoch <= state.highest_epoch) return;
  state.highest_epoch = epoch;
  if (!state.is_owner) {
    if (state.started) state.PollAfter(0);
    return;
  }
  state.StepDown("a higher epoch was seen");
}

bool Ownership::is_owner() const { return this->state->is_owner; }

const OwnerView& Ownership::view() const { return this->state->view; }

int64_t Ownership::store_age_ms() const {
  return MonotonicMs() - this->state->last_success_ms;
}

}  // namespace dotterelcove
