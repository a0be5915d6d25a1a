#include "scheduler/EndedJobs.h"

namespace dotterelcove {
namespace {

// Memory of one job apart from the texts: the nodes of the two containers and
// the string objects.
constexpr size_t kEntryOverheadBytes = 400;

size_t BytesOf(const EndedJob& job) {
  return kEntryOverheadBytes + job.result.body.size() +
         job.result.detail.size();
}

}  // namespace

void EndedJobs::Add(const std::string& id, EndedJob job) {
  const auto [found, added] = this->jobs.try_emplace(id);
  if (added) {
    this->order.emplace_back(job.ended_ms, id);
  } else {
    this->bytes -= BytesOf(found->second);
  }
  this->bytes += BytesOf(job);
  found->second = std::move(job);
  while (this->bytes > this->max_bytes && this->order.size() > 1 &&
         this->order.front().second != id) {
    this->EvictOldest();
  }
}

const EndedJob* EndedJobs::Find(const std::string& id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

void EndedJobs::EvictExpired(TimeMs now) {
  while (!this->order.empty() &&
         now - this->order.front().first >= kEndedJobRetentionMs) {
    this->EvictOldest();
  }
}

void EndedJobs::EvictOldest() {
  const auto found = this->jobs.find(this->order.front().second);
  this->bytes -= BytesOf(found->second);
  this->jobs.erase(found);
  this->order.pop_front();
}

}  // namespace dotterelcove
