/// Leader election of a cell: watches the owner row, takes ownership over when
/// the owner has failed, and releases it on a planned stop.
///
/// A takeover does not wait for a lease to expire. The rewritten row makes the
/// previous owner's transactions fail, and the higher epoch, sent to workers as
/// the fencing token, makes them reject its commands. A takeover from a live
/// owner is therefore safe, while a late one delays jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Runtime.h"
#include "store/OwnerCommitter.h"

namespace dotterelcove {

struct LeadershipOptions {
  /// Name of this process.
  std::string process;
  /// Peer address of this process, "ip:port".
  std::string address;
  uint64_t incarnation = 0;
  /// Delay before a takeover, spread over the standbys, so that they rarely
  /// compete at the same moment.
  TimeMs rank_delay_ms = 0;
  /// An owner row that has not changed for this long has no live owner.
  TimeMs stale_ms = 800;
  /// A connected owner that reports no answer of the store for this long may be
  /// replaced by a process that does reach the store.
  TimeMs owner_store_age_ms = 800;
  /// Interval of reads of the owner row.
  TimeMs poll_ms = 150;
  /// The same while the owner's reports arrive and show that it reaches the
  /// store.
  TimeMs healthy_owner_poll_ms = 4'000;
  /// A process that has lost ownership does not compete for this long.
  TimeMs cooldown_ms = 3'500;
  OwnerCommitterOptions commit;
};

/// State of the owner as it reports it over its connection to this process.
struct OwnerReport {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  /// Transactions committed in `epoch`.
  uint64_t sequence = 0;
  /// Time since the store last answered the owner.
  TimeMs store_age_ms = 0;
  /// The owner is about to give ownership up, or has given it up.
  bool releasing = false;
  /// The process that the owner row names says that it does not own the cell in
  /// `epoch` any more.
  bool has_given_up = false;
};

struct LeadershipCallbacks {
  std::function<void(std::shared_ptr<OwnerCommitter>)> acquired;
  std::function<void()> lost;
  /// The owner row shows another owner or epoch than before.
  std::function<void(const OwnerRow&)> owner_changed;
};

class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  Leadership(Runtime runtime, RowStore store, LeadershipOptions options,
             LeadershipCallbacks callbacks);

  void Start();
  void OnReport(const OwnerReport& report);
  /// The connection to the process named in the owner row was established or
  /// was lost. `process_exited`: the process itself has ended.
  void OnOwnerLink(bool up, bool process_exited);
  /// A worker has rejected this owner's fencing token, so there is a newer
  /// owner: steps down and reads the owner row.
  void OnFenced();
  /// Releases ownership, if held, and stops competing for it. `done` runs at
  /// the end, also when the release could not be stored.
  void Release(std::function<void()> done);

  bool is_owner() const { return this->committer != nullptr; }
  const OwnerRow& view() const { return this->row; }
  /// Time since the store last answered this process.
  TimeMs store_age_ms() const;
  /// Age of a standby's view(): the time since it sent the read that showed it.
  /// Nothing if it has not read the row yet.
  std::optional<TimeMs> view_age_ms() const;

 private:
  void Poll();
  void PollIn(TimeMs delay_ms);
  void OnRow(const StoreAnswer& answer);
  bool MayTakeOver() const;
  void TakeOver();
  void Acquire(const OwnerRow& held);
  void OnLost();

  Runtime runtime;
  RowStore store;
  LeadershipOptions options;
  LeadershipCallbacks callbacks;
  std::shared_ptr<OwnerCommitter> committer;
  OwnerRow row;
  bool row_known = false;
  TimeMs row_changed_ms = 0;
  bool is_owner_connected = false;
  bool owner_exited = false;
  OwnerReport report;
  TimeMs report_ms = 0;
  bool read_in_flight = false;
  bool is_taking_over = false;
  bool stopping = false;
  TimeMs cooldown_until_ms = 0;
  TimeMs store_answer_ms = 0;
  /// When the last read or takeover was sent.
  TimeMs sent_ms = 0;
  /// When the call that showed `row` was sent.
  TimeMs row_sent_ms = 0;
  uint64_t poll_round = 0;
  /// Epoch of this process's last takeover transaction.
  uint64_t attempted_epoch = 0;
};

}  // namespace dotterelcove
