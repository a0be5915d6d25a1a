/// The entry daemons of the cell as the owner of the slots sees them: who is
/// connected, who has reported its grants, and who certainly holds none.
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
  /// Start of the present absence.
  TimeMs disconnected_ms = 0;
  /// Row `entry-down/<process>`: present, and being removed or written.
  bool has_down_row = false;
  bool is_row_write_pending = false;
};

class EntryTracker {
 public:
  /// `changed` runs when an entry daemon may be granted slots from now on.
  EntryTracker(Services& services, RecordWriter& writer,
               const std::set<std::string>& down,
               std::function<void()> changed);
  EntryTracker(const EntryTracker&) = delete;
  EntryTracker& operator=(const EntryTracker&) = delete;

  void OnConnected(const std::string& process, LinkId link);
  void OnDisconnected(const std::string& process, LinkId link);
  void OnReport(const std::string& process);

  /// Whether every grant of earlier owners is known or must have ended, so that
  /// free slots can be told.
  bool AreGrantsKnown(TimeMs now) const;
  bool MayGrant(const std::string& process) const;
  /// Whether the daemon has been away so long that its grants must have ended.
  bool IsDown(const std::string& process, TimeMs now) const;
  bool IsConnected(const std::string& process) const;
  /// Writes rows for daemons that are gone.
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
