#include "store/OwnerCommitter.h"

#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

/// A single rejection may come from something between this process and the
/// store.
constexpr int kMaxRejections = 3;

size_t CountBytes(const std::vector<RowPut>& puts) {
  size_t bytes = 0;
  for (const RowPut& put : puts) bytes += put.value.size();
  return bytes;
}

}  // namespace

std::string OwnerRowToJson(const OwnerRow& row) {
  return nlohmann::json{
      {"epoch", row.epoch},       {"process", row.process},
      {"address", row.address},   {"incarnation", row.incarnation},
      {"sequence", row.sequence}, {"sent", row.sent_clock_ms},
      {"members", row.members}}
      .dump();
}

bool OwnerRowFromJson(const std::string& text, OwnerRow& row) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return false;
  for (const char* number : {"epoch", "incarnation", "sequence"}) {
    if (!json.contains(number) || !json[number].is_number_unsigned()) {
      return false;
    }
  }
  for (const char* word : {"process", "address"}) {
    if (!json.contains(word) || !json[word].is_string()) return false;
  }
  row.epoch = json["epoch"];
  row.incarnation = json["incarnation"];
  row.sequence = json["sequence"];
  const auto sent = json.find("sent");
  const bool is_dated = sent != json.end() && sent->is_number_integer();
  row.sent_clock_ms = is_dated ? sent->get<int64_t>() : 0;
  // Earlier versions write no such field.
  const auto members = json.find("members");
  const bool is_counted =
      members != json.end() && members->is_number_unsigned();
  row.members = is_counted ? members->get<uint32_t>() : 0;
  row.process = json["process"];
  row.address = json["address"];
  return true;
}

OwnerCommitter::OwnerCommitter(Runtime runtime, RowStore store, OwnerRow row,
                               OwnerCommitterOptions options,
                               std::function<void()> deposed)
    : runtime(std::move(runtime)),
      store(std::move(store)),
      current(std::move(row)),
      options(options),
      deposed(std::move(deposed)),
      last_write_ms(this->runtime.now()),
      last_answer_ms(this->runtime.now()) {}

void OwnerCommitter::Start(TimeMs confirmed_ms) {
  this->last_confirmed_ms = confirmed_ms;
  this->Pump();
}

TimeMs OwnerCommitter::store_age_ms() const {
  return this->runtime.now() - this->last_answer_ms;
}

void OwnerCommitter::Commit(std::vector<RowPut> puts,
                            std::vector<RowRemoval> removals,
                            std::function<void()> done,
                            std::function<void()> rejected) {
  if (this->stopped) return;
  this->queue.push_back({std::move(puts), std::move(removals), std::move(done),
                         std::move(rejected)});
  this->Pump();
}

void OwnerCommitter::Release(std::function<void()> done) {
  this->release_requested = true;
  this->released = std::move(done);
  if (this->stopped) {
    this->released();
    return;
  }
  this->Pump();
}

void OwnerCommitter::Stop() {
  this->stopped = true;
  this->queue.clear();
  this->in_flight.clear();
}

void OwnerCommitter::Pump() {
  if (this->stopped || this->writing) return;
  const TimeMs now_ms = this->runtime.now();
  const TimeMs delay_ms = this->queue.empty() ? this->options.heartbeat_ms
                                              : this->options.interval_ms;
  const TimeMs due_ms = this->last_write_ms + delay_ms;
  if (now_ms >= due_ms || this->release_requested) {
    this->Write();
    return;
  }
  if (this->armed_for_ms >= now_ms && this->armed_for_ms <= due_ms) return;
  this->armed_for_ms = due_ms;
  this->runtime.after(due_ms - now_ms, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->armed_for_ms = -1;
    self->Pump();
  });
}

void OwnerCommitter::Write() {
  this->in_flight.clear();
  size_t entries = 2;
  size_t bytes = 0;
  size_t taken = 0;
  for (const Record& record : this->queue) {
    const size_t size = record.puts.size() + record.removals.size();
    const size_t record_bytes = CountBytes(record.puts);
    if (taken > 0 && entries + size > this->options.max_entries) break;
    if (taken > 0 && bytes + record_bytes > this->options.max_bytes) break;
    if (taken > 0 && this->single_records > 0) break;
    entries += size;
    bytes += record_bytes;
    ++taken;
  }
  if (this->single_records > 0) this->single_records--;
  const auto end = this->queue.begin() + static_cast<std::ptrdiff_t>(taken);
  std::move(this->queue.begin(), end, std::back_inserter(this->in_flight));
  this->queue.erase(this->queue.begin(), end);
  this->next = this->current;
  this->next.sequence++;
  this->releasing = this->release_requested && this->queue.empty();
  if (this->releasing) this->next.process.clear();
  this->writing = true;
  this->Send();
}

void OwnerCommitter::Send() {
  this->next.sent_clock_ms =
      this->clock_known ? this->runtime.now() + this->clock_offset_ms : 0;
  RowTransaction transaction;
  transaction.conditions.push_back(
      {kOwnerTable, kOwnerKey, this->current.version});
  transaction.puts.push_back(
      {kOwnerTable, kOwnerKey, OwnerRowToJson(this->next)});
  // A later record for the same row replaces an earlier one.
  std::map<std::pair<std::string, std::string>, const std::string*> rows;
  for (const Record& record : this->in_flight) {
    for (const RowPut& put : record.puts) {
      rows[{put.table, put.key}] = &put.value;
    }
    for (const RowRemoval& removal : record.removals) {
      rows[{removal.table, removal.key}] = nullptr;
    }
  }
  for (const auto& [name, value] : rows) {
    if (value == nullptr) {
      transaction.removals.push_back({name.first, name.second});
    } else {
      transaction.puts.push_back({name.first, name.second, *value});
    }
  }
  this->last_write_ms = this->runtime.now();
  this->store.transact(std::move(transaction), [weak = this->weak_from_this()](
                                                   const StoreAnswer& answer) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->OnAnswer(answer);
  });
}

void OwnerCommitter::OnAnswer(const StoreAnswer& answer) {
  if (answer.store_clock_ms > 0) {
    this->clock_offset_ms = answer.store_clock_ms - this->runtime.now();
    this->clock_known = true;
  }
  if (answer.status == StoreStatus::kOk) {
    this->OnCommitted(answer.version);
    return;
  }
  if (answer.status == StoreStatus::kConflict) {
    for (const StoreRow& row : answer.rows) {
      if (row.key != kOwnerKey) continue;
      OwnerRow seen;
      if (!OwnerRowFromJson(row.value, seen)) continue;
      seen.version = row.version;
      this->OnRow(seen);
      return;
    }
    this->ReadBack();
    return;
  }
  if (this->releasing && this->released) {
    // A planned stop does not wait for a store that does not answer.
    std::exchange(this->released, nullptr)();
  }
  Log(LogLevel::kWarning, "commit_unanswered",
      {F("status", NameOf(kStoreStatusNames, answer.status)),
       F("reason", answer.reason), F("epoch", this->current.epoch),
       F("sequence", this->next.sequence), F("records", this->in_flight.size()),
       F("age_ms", this->store_age_ms())});
  const bool refused = answer.status == StoreStatus::kRefused;
  if (answer.status == StoreStatus::kInvalid) this->rejections++;
  this->runtime.after(this->options.retry_ms,
                      [weak = this->weak_from_this(), refused] {
                        const auto self = weak.lock();
                        if (!self || self->stopped) return;
                        if (refused) {
                          self->Send();
                        } else {
                          self->ReadBack();
                        }
                      });
}

void OwnerCommitter::ReadBack() {
  this->store.read_one(
      kOwnerTable, kOwnerKey,
      [weak = this->weak_from_this()](const StoreAnswer& answer) {
        const auto self = weak.lock();
        if (!self || self->stopped) return;
        OwnerRow seen;
        if (answer.status == StoreStatus::kOk && !answer.rows.empty() &&
            OwnerRowFromJson(answer.rows.front().value, seen)) {
          seen.version = answer.rows.front().version;
          self->OnRow(seen);
          return;
        }
        self->runtime.after(self->options.retry_ms, [weak] {
          const auto later = weak.lock();
          if (later && !later->stopped) later->ReadBack();
        });
      });
}

void OwnerCommitter::OnRow(const OwnerRow& row) {
  const bool is_own_epoch = row.epoch == this->current.epoch &&
                            row.incarnation == this->current.incarnation;
  if (!is_own_epoch) {
    this->OnDeposed(row);
    return;
  }
  if (row.sequence == this->next.sequence) {
    this->OnCommitted(row.version);
    return;
  }
  this->current.version = row.version;
  if (this->rejections >= kMaxRejections) {
    this->OnRejected();
    return;
  }
  this->Send();
}

void OwnerCommitter::OnRejected() {
  for (const Record& record : this->in_flight) {
    for (const RowPut& put : record.puts) {
      Log(LogLevel::kError, "row_of_rejected_commit",
          {F("table", put.table), F("key", put.key),
           F("bytes", put.value.size()), F("sequence", this->next.sequence)});
    }
  }
  Log(LogLevel::kError, "commit_rejected",
      {F("epoch", this->current.epoch), F("sequence", this->next.sequence),
       F("records", this->in_flight.size())});
  const bool is_answered_for =
      this->in_flight.size() == 1 && this->in_flight.front().rejected;
  if (this->in_flight.size() <= 1 && !is_answered_for) {
    this->Stop();
    if (this->released) std::exchange(this->released, nullptr)();
    this->deposed();
    return;
  }
  std::vector<Record> rejected = std::exchange(this->in_flight, {});
  this->writing = false;
  this->rejections = 0;
  const auto self = this->shared_from_this();
  if (is_answered_for) {
    rejected.front().rejected();
  } else {
    this->single_records = rejected.size();
    this->queue.insert(this->queue.begin(),
                       std::make_move_iterator(rejected.begin()),
                       std::make_move_iterator(rejected.end()));
  }
  this->Pump();
}

void OwnerCommitter::OnCommitted(uint64_t version) {
  this->last_answer_ms = this->runtime.now();
  this->last_commit_ms = this->last_answer_ms - this->last_write_ms;
  this->last_confirmed_ms = this->last_write_ms;
  // The count may have changed while the transaction was in flight.
  this->next.members = this->current.members;
  this->current = this->next;
  this->current.version = version;
  this->writing = false;
  this->rejections = 0;
  const std::vector<Record> committed =
      std::exchange(this->in_flight, std::vector<Record>());
  const bool was_release = this->releasing;
  const auto self = this->shared_from_this();
  for (const Record& record : committed) {
    if (record.done) record.done();
  }
  if (this->stopped) return;
  if (was_release) {
    this->Stop();
    if (this->released) std::exchange(this->released, nullptr)();
    return;
  }
  this->Pump();
}

void OwnerCommitter::OnDeposed(const OwnerRow& row) {
  Log(LogLevel::kWarning, "ownership_lost",
      {F("epoch", this->current.epoch), F("new_epoch", row.epoch),
       F("new_owner", row.process)});
  this->Stop();
  if (this->released) std::exchange(this->released, nullptr)();
  this->deposed();
}

}  // namespace dotterelcove
