/// Tracks which entry daemons of the cell are connected to the owner, which
/// have reported their grants, and which certainly hold none.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "scheduler/Services.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

struct EntryDaemon {
  /// 0 while not connected.
  LinkId link = 0;
  bool reported = false;
  /// Time of the last disconnect, or of the takeover if none has followed it.
  TimeMs disconnected_ms = 0;
  /// The table row `entry-down/<process>` exists. It tells the next owner that
  /// the daemon holds no grant.
  bool has_down_row = false;
  /// That row is being written or removed.
  bool is_row_write_pending = false;
};

class EntryTracker {
 public:
  /// `down` names the entry daemons with a row `entry-down/<process>`.
  /// `changed` is called when an entry daemon becomes eligible for grants.
  EntryTracker(Services& services, RecordWriter& writer,
               const std::set<std::string>& down,
               std::function<void()> changed);
  EntryTracker(const EntryTracker&) = delete;
  EntryTracker& operator=(const EntryTracker&) = delete;

  void OnConnected(const std::string& process, LinkId link);
  void OnDisconnected(const std::string& process, LinkId link);
  void OnReport(const std::string& process);

  /// Whether every grant of earlier owners is known or must have ended, so that
  /// the number of free slots is certain.
  bool AreGrantsKnown(TimeMs now) const;
  bool MayGrant(const std::string& process) const;
  /// Whether the daemon has been disconnected for so long that its grants must
  /// have ended.
  bool IsDown(const std::string& process, TimeMs now) const;
  bool IsConnected(const std::string& process) const;
  /// Writes rows for the daemons that are down.
  void RecordDown(TimeMs now);
  const std::map<std::string, EntryDaemon>& daemons() const {
    return this->by_process;
  }

 private:
  void RemoveRow(const std::string& process);

  Services& services;
  RecordWriter& writer;
  std::function<void()> changed;
  TimeMs taken_over_ms;
  std::map<std::string, EntryDaemon> by_process;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
