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
    this->by_process[process].disconnected_ms = this->taken_over_ms;
  }
  for (const std::string& process : down)
    this->by_process[process].has_down_row = true;
}

void EntryTracker::OnConnected(const std::string& process, LinkId link) {
  EntryDaemon& entry = this->by_process[process];
  entry.link = link;
  if (entry.has_down_row && !entry.is_row_write_pending)
    this->RemoveRow(process);
}

void EntryTracker::OnDisconnected(const std::string& process, LinkId link) {
  EntryDaemon& entry = this->by_process[process];
  // A newer connection of the same process may have replaced this one.
  if (entry.link != link) return;
  entry.link = 0;
  entry.disconnected_ms = MonotonicMs();
}

void EntryTracker::OnReport(const std::string& process) {
  this->by_process[process].reported = true;
}

bool EntryTracker::AreGrantsKnown(TimeMs now) const {
  const TimeMs limit = this->services.settings.timing.max_routed_deadline_ms;
  if (now - this->taken_over_ms >= limit) return true;
  return std::all_of(this->by_process.begin(), this->by_process.end(),
                     [](const auto& row) {
                       return row.second.reported || row.second.has_down_row;
                     });
}

bool EntryTracker::MayGrant(const std::string& process) const {
  const auto found = this->by_process.find(process);
  return found != this->by_process.end() && found->second.link != 0 &&
         !found->second.has_down_row && !found->second.is_row_write_pending;
}

bool EntryTracker::IsDown(const std::string& process, TimeMs now) const {
  const auto found = this->by_process.find(process);
  return found != this->by_process.end() && found->second.link == 0 &&
         now - found->second.disconnected_ms >=
             this->services.settings.timing.max_routed_deadline_ms;
}

bool EntryTracker::IsConnected(const std::string& process) const {
  const auto found = this->by_process.find(process);
  return found != this->by_process.end() && found->second.link != 0;
}

void EntryTracker::RecordDown(TimeMs now) {
  if (!this->writer.store_up()) return;
  for (auto& [process, entry] : this->by_process) {
    if (entry.has_down_row || entry.is_row_write_pending ||
        !this->IsDown(process, now)) {
      continue;
    }
    entry.is_row_write_pending = true;
    TablePut put;
    put.key = EntryDownKey(process);
    put.value = "{}";
    this->writer.Put(
        std::move(put), false,
        [this, process = process,
         alive = std::weak_ptr<bool>(this->alive)](WriteStatus status) {
          if (alive.expired()) return;
          EntryDaemon& entry = this->by_process[process];
          entry.is_row_write_pending = false;
          entry.has_down_row = status == WriteStatus::kCommitted;
          if (entry.has_down_row && entry.link != 0) this->RemoveRow(process);
          if (!entry.has_down_row) this->changed();
        });
  }
}

void EntryTracker::RemoveRow(const std::string& process) {
  this->by_process[process].is_row_write_pending = true;
  TablePut put;
  put.key = EntryDownKey(process);
  put.remove = true;
  this->writer.Put(std::move(put), true,
                   [this, process, alive = std::weak_ptr<bool>(this->alive)](
                       WriteStatus status) {
                     if (alive.expired()) return;
                     if (status != WriteStatus::kCommitted) return;
                     this->by_process[process].is_row_write_pending = false;
                     this->by_process[process].has_down_row = false;
                     this->changed();
                   });
}

}  // namespace dotterelcove
