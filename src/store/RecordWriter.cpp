#include "store/RecordWriter.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "base/Clock.h"
#include "base/Random.h"
#include "store/Ownership.h"
#include "store/WriterRow.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

/// A batch is also closed at this size, so that large records stay well below
/// the store's time limit for one request.
constexpr size_t kMaxBatchBytes = 2 << 20;

struct Pending {
  TablePut put;
  bool wait_for_store = false;
  std::function<void(WriteStatus)> done;
};

}  // namespace

struct RecordWriter::State {
  State(EventLoop& loop, TableClient tables, RecordWriterOptions options)
      : tables(std::move(tables)),
        options(options),
        random(MakeSystemRandom()),
        pump_timer(loop, [this] { this->Pump(); }),
        retry_timer(loop, [this] { this->ReadBack(); }),
        finish_timer(loop, [this] { this->RunFinished(); }) {}

  void Put(Pending pending);
  void Pump();
  void Send();
  void ReadBack();
  void OnAnswer(const TransactResult& result);
  void OnReadBack(const ReadResult& result);
  void ResolveAfterReadBack(const WriterRow& read, uint64_t version,
                            bool owner);
  void RetryLater();
  void OnCommitted(uint64_t version);
  void OnFenced();
  void FailNonWaitingRecords();
  void Finish(Pending pending, WriteStatus status);
  void RunFinished();
  std::vector<std::string> Keys() const;

  TableClient tables;
  RecordWriterOptions options;
  Random random;

  std::deque<Pending> queue;
  /// Records of the transaction that is in flight or has an unknown outcome.
  std::vector<Pending> batch;
  TableTransaction transaction;
  /// A copy of the transaction was sent whose outcome is not known.
  bool in_doubt = false;
  bool busy = false;
  bool fenced = false;
  bool is_store_up = true;
  int attempt = 0;
  uint64_t committed = 0;
  TimeMs last_sent_ms = 0;

  /// The writer row as of the last read or commit.
  bool row_known = false;
  uint64_t row_version = 0;
  WriterRow row;
  TransactionId next;

  std::deque<std::pair<Pending, WriteStatus>> finished;
  Timer pump_timer;
  Timer retry_timer;
  Timer finish_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

std::vector<std::string> RecordWriter::State::Keys() const {
  return {OwnerRowKey(this->options.partition),
          WriterRowKey(this->options.partition)};
}

void RecordWriter::State::Finish(Pending pending, WriteStatus status) {
  // Callbacks run from the event loop, never inside a call of Put.
  this->finished.emplace_back(std::move(pending), status);
  if (!this->finish_timer.active()) this->finish_timer.StartAfter(0);
}

void RecordWriter::State::RunFinished() {
  const std::weak_ptr<bool> alive = this->alive;
  auto batch = std::move(this->finished);
  this->finished.clear();
  for (auto& [pending, status] : batch) {
    if (pending.done) pending.done(status);
    if (alive.expired()) return;
  }
}

void RecordWriter::State::Put(Pending pending) {
  if (this->fenced) {
    this->Finish(std::move(pending), WriteStatus::kFenced);
    return;
  }
  if (!this->is_store_up && !pending.wait_for_store) {
    this->Finish(std::move(pending), WriteStatus::kUnavailable);
    return;
  }
  this->queue.push_back(std::move(pending));
  this->Pump();
}

void RecordWriter::State::Pump() {
  if (this->busy || this->fenced || this->queue.empty()) return;
  if (this->retry_timer.active()) return;
  const TimeMs wait =
      this->last_sent_ms + this->options.commit_interval_ms - MonotonicMs();
  if (this->last_sent_ms != 0 && wait > 0) {
    if (!this->pump_timer.active()) this->pump_timer.StartAfter(wait);
    return;
  }
  if (!this->row_known) {
    this->ReadBack();
    return;
  }
  size_t bytes = 0;
  while (!this->queue.empty() &&
         this->batch.size() < this->options.max_records &&
         bytes < kMaxBatchBytes) {
    bytes += this->queue.front().put.value.size();
    this->batch.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  this->next = {this->options.owner_row_version, 1};
  if (this->row.last.owner_row_version == this->next.owner_row_version) {
    this->next.sequence = this->row.last.sequence + 1;
  }
  const uint32_t partition = this->options.partition;
  this->transaction = {};
  this->transaction.checks = {
      {OwnerRowKey(partition), this->options.owner_row_version},
      {WriterRowKey(partition), this->row_version}};
  for (const Pending& pending : this->batch) {
    this->transaction.puts.push_back(pending.put);
  }
  this->transaction.puts.push_back(
      {WriterRowKey(partition),
       WriterRowToJson(AdvanceWriterRow(this->row, this->next)), false});
  this->Send();
}

void RecordWriter::State::Send() {
  this->busy = true;
  this->last_sent_ms = MonotonicMs();
  Transact(
      this->tables, this->transaction,
      [this, alive = std::weak_ptr(this->alive)](const TransactResult& result) {
        if (alive.expired()) return;
        this->busy = false;
        this->OnAnswer(result);
      });
}

void RecordWriter::State::OnAnswer(const TransactResult& result) {
  switch (result.status) {
    case TableStatus::kOk:
      this->OnCommitted(result.version);
      return;
    case TableStatus::kConflict:
      // If no copy is in doubt, a changed owner row proves that nothing was
      // written. Otherwise the rows have to be read.
      if (!this->in_doubt && result.conflict.key == this->Keys().front()) {
        this->OnFenced();
        return;
      }
      this->in_doubt = true;
      this->ReadBack();
      return;
    case TableStatus::kUnavailable:
      break;
    case TableStatus::kUnknown:
      this->in_doubt = true;
      break;
  }
  this->is_store_up = false;
  this->FailNonWaitingRecords();
  this->RetryLater();
}

void RecordWriter::State::RetryLater() {
  this->retry_timer.StartAfter(BackoffMs(this->random, this->attempt++,
                                         this->options.backoff_base_ms,
                                         this->options.backoff_max_ms));
}

void RecordWriter::State::ReadBack() {
  if (this->busy || this->fenced) return;
  this->busy = true;
  ReadRows(
      this->tables, this->Keys(),
      [this, alive = std::weak_ptr(this->alive)](const ReadResult& result) {
        if (alive.expired()) return;
        this->busy = false;
        this->OnReadBack(result);
      });
}

void RecordWriter::State::OnReadBack(const ReadResult& result) {
  if (result.status != TableStatus::kOk) {
    this->is_store_up = false;
    this->FailNonWaitingRecords();
    this->RetryLater();
    return;
  }
  const TableRow& writer = result.rows[1];
  WriterRow read;
  if (!WriterRowFromJson(writer.value, read)) {
    Log(LogLevel::kError, "writer_row_malformed", {F("key", writer.key)});
    this->is_store_up = false;
    this->FailNonWaitingRecords();
    this->RetryLater();
    return;
  }
  this->is_store_up = true;
  const bool owner = result.rows[0].version == this->options.owner_row_version;
  if (this->in_doubt) {
    this->ResolveAfterReadBack(read, writer.version, owner);
    return;
  }
  if (!owner) {
    this->OnFenced();
    return;
  }
  this->row = std::move(read);
  this->row_known = true;
  this->row_version = writer.version;
  // If records are queued, only a commit shows that the store has recovered.
  if (this->queue.empty()) this->attempt = 0;
  this->Pump();
}

void RecordWriter::State::ResolveAfterReadBack(const WriterRow& read,
                                               uint64_t version, bool owner) {
  if (owner && version == this->row_version) {
    // No copy has taken effect. All have the same conditions, so at most one of
    // them can.
    this->Send();
    return;
  }
  const std::optional<bool> committed = WasCommitted(read, this->next);
  if (committed == std::optional<bool>(true)) {
    this->fenced = !owner;
    this->OnCommitted(version);
    if (!owner) this->OnFenced();
    return;
  }
  // If the row no longer shows the outcome, the batch gets no answer: neither
  // answer would be known to be true.
  if (!committed.has_value()) this->batch.clear();
  this->OnFenced();
}

void RecordWriter::State::OnCommitted(uint64_t version) {
  this->is_store_up = true;
  this->in_doubt = false;
  this->attempt = 0;
  this->committed++;
  this->row = AdvanceWriterRow(this->row, this->next);
  this->row_version = version;
  auto batch = std::move(this->batch);
  this->batch.clear();
  for (Pending& pending : batch) {
    this->Finish(std::move(pending), WriteStatus::kCommitted);
  }
  this->Pump();
}

void RecordWriter::State::OnFenced() {
  this->fenced = true;
  this->retry_timer.Cancel();
  this->pump_timer.Cancel();
  for (Pending& pending : this->batch) {
    this->Finish(std::move(pending), WriteStatus::kFenced);
  }
  this->batch.clear();
  for (Pending& pending : this->queue) {
    this->Finish(std::move(pending), WriteStatus::kFenced);
  }
  this->queue.clear();
}

void RecordWriter::State::FailNonWaitingRecords() {
  if (!this->in_doubt) {
    // Nothing of this batch was written, so its records return to the queue.
    for (auto pending = this->batch.rbegin(); pending != this->batch.rend();
         ++pending) {
      this->queue.push_front(std::move(*pending));
    }
    this->batch.clear();
  }
  std::deque<Pending> kept;
  for (Pending& pending : this->queue) {
    if (pending.wait_for_store) {
      kept.push_back(std::move(pending));
      continue;
    }
    this->Finish(std::move(pending), WriteStatus::kUnavailable);
  }
  this->queue = std::move(kept);
}

RecordWriter::RecordWriter(EventLoop& loop, TableClient tables,
                           RecordWriterOptions options)
    : state(std::make_unique<State>(loop, std::move(tables), options)) {}

RecordWriter::~RecordWriter() = default;

void RecordWriter::Put(TablePut put, bool wait_for_store,
                       std::function<void(WriteStatus)> done) {
  this->state->Put({std::move(put), wait_for_store, std::move(done)});
}

bool RecordWriter::store_up() const { return this->state->is_store_up; }

size_t RecordWriter::queued() const {
  return this->state->queue.size() + this->state->batch.size();
}

uint64_t RecordWriter::transactions() const { return this->state->committed; }

}  // namespace dotterelcove
