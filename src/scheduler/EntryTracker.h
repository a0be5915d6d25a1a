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
  TimeMs lost_ms = 0;
  /// Row `entry-down/<process>`: present, and being removed or written.
  bool down_row = false;
  bool row_pending = false;
};

class EntryTracker {
 public:
  /// `changed` runs when an entry daemon may be granted slots from now on.
  EntryTracker(Services& services, RecordWriter& writer,
               const std::set<std::string>& down,
               std::function<void()> changed);
  EntryTracker(const EntryTracker&) = delete;
  EntryTracker& operator=(const EntryTracker&) = delete;

  void Connected(const std::string& process, LinkId link);
  void Disconnected(const std::string& process, LinkId link);
  void Reported(const std::string& process);

  /// Whether every grant of earlier owners is known or must have ended, so that
  /// free slots can be told.
  bool Ready(TimeMs now) const;
  bool MayGrant(const std::string& process) const;
  /// Whether the daemon has been away so long that its grants must have ended.
  bool Gone(const std::string& process, TimeMs now) const;
  bool connected(const std::string& process) const;
  /// Writes rows for daemons that are gone.
  void RecordGone(TimeMs now);
  const std::map<std::string, EntryDaemon>& entries() const {
    return this->rows;
  }

 private:
  void RemoveRow(const std::string& process);

  Services& services;
  RecordWriter& writer;
  std::function<void()> changed;
  TimeMs taken_over_ms;
  std::map<std::string, EntryDaemon> rows;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
