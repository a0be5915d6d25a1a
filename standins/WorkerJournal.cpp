#include "standins/WorkerJournal.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/Clock.h"

namespace dotterelcove::standins {

WorkerJournal::WorkerJournal(const std::string& file) {
  if (!file.empty()) this->file = std::fopen(file.c_str(), "ae");
}

WorkerJournal::~WorkerJournal() {
  if (this->file != nullptr) std::fclose(this->file);
}

void WorkerJournal::Add(const std::string& worker, JournalEvent event,
                        const WorkerTask& task, uint64_t epoch,
                        std::string detail) {
  JournalEntry entry;
  entry.wall_ms = WallMs();
  entry.monotonic_ms = MonotonicMs();
  entry.worker = worker;
  entry.event = event;
  entry.task = task;
  entry.epoch = epoch;
  entry.detail = std::move(detail);
  if (this->file == nullptr) {
    this->kept.push_back(std::move(entry));
    return;
  }
  const std::string line = ToJsonLine(entry) + "\n";
  std::fwrite(line.data(), 1, line.size(), this->file);
  // Flushed, so that the journal is complete when a signal ends the process.
  std::fflush(this->file);
}

std::string ToJsonLine(const JournalEntry& entry) {
  return nlohmann::json{{"wall_ms", entry.wall_ms},
                        {"monotonic_ms", entry.monotonic_ms},
                        {"worker", entry.worker},
                        {"event", NameOf(kJournalEventNames, entry.event)},
                        {"task", entry.task.id},
                        {"job", entry.task.job},
                        {"member", entry.task.member},
                        {"attempt", entry.task.attempt},
                        {"epoch", entry.epoch},
                        {"milli_cores", entry.task.size.milli_cores},
                        {"memory_mb", entry.task.size.memory_mb},
                        {"accelerators", entry.task.size.accelerators},
                        {"idempotent", entry.task.idempotent},
                        {"detail", entry.detail}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace dotterelcove::standins
