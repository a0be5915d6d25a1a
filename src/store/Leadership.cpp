#include "store/Leadership.h"

#include <algorithm>
#include <utility>

#include "telemetry/Log.h"

namespace dotterelcove {

Leadership::Leadership(Runtime runtime, RowStore store,
                       LeadershipOptions options, LeadershipCallbacks callbacks)
    : runtime(std::move(runtime)),
      store(std::move(store)),
      options(std::move(options)),
      callbacks(std::move(callbacks)),
      row_changed_ms(this->runtime.now()),
      store_answer_ms(this->runtime.now()) {}

void Leadership::Start() { this->Poll(); }

TimeMs Leadership::store_age_ms() const {
  if (this->committer) return this->committer->store_age_ms();
  return this->runtime.now() - this->store_answer_ms;
}

std::optional<TimeMs> Leadership::view_age_ms() const {
  if (this->committer || !this->row_known) return std::nullopt;
  return this->runtime.now() - this->row_sent_ms;
}

void Leadership::PollIn(TimeMs delay_ms) {
  // Only the newest timer is valid, so that a shorter delay replaces a longer
  // one.
  const uint64_t round = ++this->poll_round;
  this->runtime.after(delay_ms, [weak = this->weak_from_this(), round] {
    const auto self = weak.lock();
    if (!self || round != self->poll_round) return;
    self->Poll();
  });
}

void Leadership::Poll() {
  if (this->stopping || this->is_owner()) return;
  const bool has_recent_report =
      this->is_owner_connected && this->runtime.now() - this->report_ms < 800;
  const bool owner_healthy =
      has_recent_report &&
      this->report.store_age_ms < this->options.owner_store_age_ms;
  this->PollIn(owner_healthy ? this->options.healthy_owner_poll_ms
                             : this->options.poll_ms);
  if (this->read_in_flight || this->is_taking_over) return;
  this->read_in_flight = true;
  this->sent_ms = this->runtime.now();
  this->store.read_one(
      kOwnerTable, kOwnerKey,
      [weak = this->weak_from_this()](const StoreAnswer& answer) {
        const auto self = weak.lock();
        if (!self) return;
        self->read_in_flight = false;
        self->OnRow(answer);
      });
}

void Leadership::OnRow(const StoreAnswer& answer) {
  if (this->stopping || this->is_owner()) return;
  if (answer.status != StoreStatus::kOk &&
      answer.status != StoreStatus::kConflict) {
    return;
  }
  const TimeMs now_ms = this->runtime.now();
  this->store_answer_ms = now_ms;
  OwnerRow seen;
  for (const StoreRow& stored : answer.rows) {
    if (stored.key != kOwnerKey || stored.version == 0) continue;
    if (!OwnerRowFromJson(stored.value, seen)) {
      Log(LogLevel::kError, "owner_row_unreadable",
          {F("version", stored.version)});
    }
    seen.version = stored.version;
  }
  const bool other_holder = seen.incarnation != this->row.incarnation ||
                            seen.epoch != this->row.epoch ||
                            seen.process != this->row.process;
  if (!this->row_known || seen.version != this->row.version) {
    this->row_changed_ms = now_ms;
    // The row may have been written long ago by an owner that has since failed,
    // so its age on the store's clock counts as unchanged time. A connected
    // owner is alive, however long its writes take: its last report bounds that
    // age.
    if (answer.store_clock_ms > 0 && seen.sent_clock_ms > 0) {
      const int64_t age_ms = answer.store_clock_ms - seen.sent_clock_ms;
      this->row_changed_ms -= std::max<int64_t>(age_ms, 0);
      if (this->is_owner_connected) {
        this->row_changed_ms = std::max(this->row_changed_ms, this->report_ms);
      }
    }
    // The owner's last report may already have covered this version of the row,
    // and then dates it.
    if (this->report.epoch == seen.epoch &&
        this->report.sequence >= seen.sequence) {
      this->row_changed_ms = this->report_ms;
    }
  }
  this->row = seen;
  this->row_known = true;
  this->row_sent_ms = this->sent_ms;
  if (other_holder) {
    this->owner_exited = false;
    this->is_owner_connected = false;
    this->callbacks.owner_changed(this->row);
    this->PollIn(this->options.poll_ms);
  }
  if (!this->row.process.empty() &&
      this->row.incarnation == this->options.incarnation &&
      this->row.epoch == this->attempted_epoch) {
    // A takeover whose answer was lost has taken effect.
    this->Acquire(this->row);
    return;
  }
  if (this->MayTakeOver()) this->TakeOver();
}

bool Leadership::MayTakeOver() const {
  const TimeMs now_ms = this->runtime.now();
  const TimeMs unchanged_ms = now_ms - this->row_changed_ms;
  if (now_ms < this->cooldown_until_ms) return false;
  if (this->row.version == 0 || this->row.process.empty()) return true;
  // Held by an earlier incarnation of this process, which has certainly ended.
  if (this->row.process == this->options.process) return true;
  if (this->owner_exited) return true;
  if (this->report.has_given_up && this->report.epoch == this->row.epoch) {
    return true;
  }
  if (unchanged_ms < this->options.stale_ms) return false;
  if (!this->is_owner_connected) return true;
  return now_ms - this->report_ms >= this->options.stale_ms ||
         this->report.store_age_ms >= this->options.owner_store_age_ms;
}

void Leadership::TakeOver() {
  if (this->is_taking_over) return;
  this->is_taking_over = true;
  this->runtime.after(
      this->options.rank_delay_ms, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->stopping) return;
        OwnerRow next;
        next.epoch = self->row.epoch + 1;
        next.process = self->options.process;
        next.address = self->options.address;
        next.incarnation = self->options.incarnation;
        next.members = self->row.members;
        self->attempted_epoch = next.epoch;
        RowTransaction transaction;
        transaction.conditions.push_back(
            {kOwnerTable, kOwnerKey, self->row.version});
        transaction.puts.push_back(
            {kOwnerTable, kOwnerKey, OwnerRowToJson(next)});
        Log(LogLevel::kInfo, "takeover_attempted",
            {F("epoch", next.epoch), F("previous", self->row.process),
             F("row_age_ms", self->runtime.now() - self->row_changed_ms),
             F("owner_connected", self->is_owner_connected),
             F("owner_exited", self->owner_exited),
             F("owner_has_given_up", self->report.has_given_up)});
        self->sent_ms = self->runtime.now();
        self->store.transact(std::move(transaction),
                             [weak, next](const StoreAnswer& answer) {
                               const auto later = weak.lock();
                               if (!later) return;
                               later->is_taking_over = false;
                               if (later->stopping || later->is_owner()) return;
                               if (answer.status == StoreStatus::kOk) {
                                 OwnerRow held = next;
                                 held.version = answer.version;
                                 later->Acquire(held);
                                 return;
                               }
                               if (answer.status == StoreStatus::kConflict) {
                                 later->OnRow(answer);
                               }
                               later->PollIn(later->options.poll_ms);
                             });
      });
}

void Leadership::Acquire(const OwnerRow& held) {
  this->row = held;
  this->owner_exited = false;
  this->is_owner_connected = false;
  Log(LogLevel::kInfo, "ownership_acquired", {F("epoch", held.epoch)});
  this->committer = std::make_shared<OwnerCommitter>(
      this->runtime, this->store, held, this->options.commit,
      [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self) self->OnLost();
      });
  this->committer->Start(this->sent_ms);
  this->callbacks.acquired(this->committer);
}

void Leadership::OnLost() {
  if (!this->committer) return;
  this->committer->Stop();
  this->committer = nullptr;
  // The row may still name this epoch. It must not be taken for a takeover
  // whose answer was lost.
  this->attempted_epoch = 0;
  this->report = {};
  this->row_known = false;
  this->cooldown_until_ms = this->runtime.now() + this->options.cooldown_ms;
  this->callbacks.lost();
  this->Poll();
}

void Leadership::OnReport(const OwnerReport& received) {
  if (this->committer) {
    // A report with a higher epoch proves that there is a newer owner.
    if (received.epoch > this->committer->row().epoch) this->OnLost();
    return;
  }
  if (received.epoch < this->row.epoch) return;
  if (received.sequence != this->report.sequence ||
      received.epoch != this->report.epoch) {
    this->row_changed_ms = std::max(
        this->row_changed_ms, this->runtime.now() - received.store_age_ms);
  }
  this->report = received;
  this->report_ms = this->runtime.now();
  const bool is_failing_or_releasing =
      received.releasing ||
      received.store_age_ms >= this->options.owner_store_age_ms;
  if (is_failing_or_releasing) this->Poll();
}

void Leadership::OnOwnerLink(bool up, bool process_exited) {
  this->is_owner_connected = up;
  if (up) {
    this->report_ms = this->runtime.now();
    return;
  }
  this->owner_exited = this->owner_exited || process_exited;
  this->Poll();
}

void Leadership::OnFenced() {
  if (!this->committer) return;
  Log(LogLevel::kWarning, "token_refused_by_worker",
      {F("epoch", this->committer->row().epoch)});
  this->OnLost();
}

void Leadership::Release(std::function<void()> done) {
  this->stopping = true;
  if (!this->committer) {
    done();
    return;
  }
  this->committer->Release(
      [weak = this->weak_from_this(), done = std::move(done)] {
        const auto self = weak.lock();
        if (self && self->committer) {
          self->committer->Stop();
          self->committer = nullptr;
          self->callbacks.lost();
        }
        done();
      });
}

}  // namespace dotterelcove
