/// Who owns the cell: watches the owner row, takes it over when its holder is
/// gone, and gives it up.
///
/// A take-over needs no lease to lapse: the changed row shuts out the old
/// owner's writes, and its higher epoch, sent to workers as the fencing token,
/// its orders. So it may be early; being late costs waiting time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/Runtime.h"
#include "store/OwnerCommitter.h"

namespace dotterelcove {

struct LeadershipOptions {
  std::string process;
  /// Peer address of this process, "ip:port".
  std::string address;
  uint64_t incarnation = 0;
  /// Keeps standbys from competing at the same moment.
  TimeMs rank_delay_ms = 0;
  /// A row that has not changed for this long has no live owner.
  TimeMs stale_ms = 800;
  /// An owner that cannot reach the store for this long, while this process
  /// can, has to give way.
  TimeMs owner_store_age_ms = 800;
  TimeMs poll_ms = 150;
  /// Polling while the owner is heard.
  TimeMs healthy_owner_poll_ms = 4'000;
  /// A deposed owner does not compete for this long.
  TimeMs cooldown_ms = 3'500;
  OwnerCommitterOptions commit;
};

/// What the owner says of itself over its connection to this process.
struct OwnerReport {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  TimeMs store_age_ms = 0;
  bool releasing = false;
};

struct LeadershipCallbacks {
  std::function<void(std::shared_ptr<OwnerCommitter>)> acquired;
  std::function<void()> lost;
  /// The owner row names another holder than before.
  std::function<void(const OwnerRow&)> owner_changed;
};

class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  Leadership(Runtime runtime, RowStore store, LeadershipOptions options,
             LeadershipCallbacks callbacks);

  void Start();
  void OnReport(const OwnerReport& report);
  /// The connection to the process that the owner row names came up or broke.
  /// `process_exited` tells that the process itself has ended.
  void OnOwnerLink(bool up, bool process_exited);
  /// A worker has refused this owner's token: look at the row now.
  void OnFenced();
  /// Gives up ownership, if held, and competes no more.
  void Release(std::function<void()> done);

  bool is_owner() const { return this->committer != nullptr; }
  const OwnerRow& view() const { return this->row; }
  /// Age of the last answer of the store to this process.
  TimeMs store_age_ms() const;

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
  uint64_t poll_round = 0;
  uint64_t attempted_epoch = 0;
};

}  // namespace dotterelcove
