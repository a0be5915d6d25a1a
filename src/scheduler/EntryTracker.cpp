#include "scheduler/EntryTracker.h"

#include <algorithm>
#include <utility>

#include "base/Clock.h"
#include "scheduler/JobRecords.h"

namespace dotterelcove {

EntryTracker::EntryTracker(Services& services, RecordWriter& writer,
                           const std::set<std::string>& down,
                           std::function<void()> changed)
    : services(services),
      writer(writer),
      changed(std::move(changed)),
      taken_over_ms(MonotonicMs()) {
  for (const std::string& process : services.settings.entries) {
    this->rows[process].lost_ms = this->taken_over_ms;
  }
  for (const std::string& process : down) this->rows[process].down_row = true;
}

void EntryTracker::Connected(const std::string& process, LinkId link) {
  EntryDaemon& entry = this->rows[process];
  entry.link = link;
  if (entry.down_row && !entry.row_pending) this->RemoveRow(process);
}

void EntryTracker::Disconnected(const std::string& process, LinkId link) {
  EntryDaemon& entry = this->rows[process];
  // A newer connection of the same process may have replaced this one.
  if (entry.link != link) return;
  entry.link = 0;
  entry.lost_ms = MonotonicMs();
}

void EntryTracker::Reported(const std::string& process) {
  this->rows[process].reported = true;
}

bool EntryTracker::Ready(TimeMs now) const {
  const TimeMs limit = this->services.settings.timing.max_routed_deadline_ms;
  if (now - this->taken_over_ms >= limit) return true;
  return std::all_of(this->rows.begin(), this->rows.end(), [](const auto& row) {
    return row.second.reported || row.second.down_row;
  });
}

bool EntryTracker::MayGrant(const std::string& process) const {
  const auto found = this->rows.find(process);
  return found != this->rows.end() && found->second.link != 0 &&
         !found->second.down_row && !found->second.row_pending;
}

bool EntryTracker::Gone(const std::string& process, TimeMs now) const {
  const auto found = this->rows.find(process);
  return found != this->rows.end() && found->second.link == 0 &&
         now - found->second.lost_ms >=
             this->services.settings.timing.max_routed_deadline_ms;
}

bool EntryTracker::connected(const std::string& process) const {
  const auto found = this->rows.find(process);
  return found != this->rows.end() && found->second.link != 0;
}

void EntryTracker::RecordGone(TimeMs now) {
  if (!this->writer.store_up()) return;
  for (auto& [process, entry] : this->rows) {
    if (entry.down_row || entry.row_pending || !this->Gone(process, now)) {
      continue;
    }
    entry.row_pending = true;
    TablePut put;
    put.key = EntryDownKey(process);
    put.value = "{}";
    this->writer.Put(
        std::move(put), false,
        [this, process = process,
         alive = std::weak_ptr<bool>(this->alive)](WriteStatus status) {
          if (alive.expired()) return;
          EntryDaemon& entry = this->rows[process];
          entry.row_pending = false;
          entry.down_row = status == WriteStatus::kCommitted;
          if (entry.down_row && entry.link != 0) this->RemoveRow(process);
          if (!entry.down_row) this->changed();
        });
  }
}

void EntryTracker::RemoveRow(const std::string& process) {
  this->rows[process].row_pending = true;
  TablePut put;
  put.key = EntryDownKey(process);
  put.remove = true;
  this->writer.Put(std::move(put), true,
                   [this, process, alive = std::weak_ptr<bool>(this->alive)](
                       WriteStatus status) {
                     if (alive.expired()) return;
                     if (status != WriteStatus::kCommitted) return;
                     this->rows[process].row_pending = false;
                     this->rows[process].down_row = false;
                     this->changed();
                   });
}

}  // namespace dotterelcove
