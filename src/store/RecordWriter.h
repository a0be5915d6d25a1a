/// Group commit of an owner's records: one transaction in flight, each under a
/// check of the owner row and of the writer's own sequence row, see
/// docs/design.md 3.2 and 3.3.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "border/tables/TableClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

enum class WriteStatus : uint8_t {
  kCommitted,
  /// Another process owns the partition now; nothing was written.
  kFenced,
  /// Given up before the record was sent; nothing was written.
  kUnavailable,
};

struct RecordWriterOptions {
  uint32_t partition = 0;
  uint64_t owner_row_version = 0;
  int64_t commit_interval_ms = 25;
  size_t max_records = 500;
  int64_t backoff_base_ms = 100;
  int64_t backoff_max_ms = 5'000;
};

/// At most one writer exists for each version of the owner row: the sequence
/// numbers of two would be taken for one another. A new owner makes a new one.
class RecordWriter {
 public:
  RecordWriter(EventLoop& loop, TableClient tables,
               RecordWriterOptions options);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Queues one record. `done` runs when its transaction is known to have
  /// committed or to be impossible. With `wait_for_store` the record is kept
  /// through an outage; without, it fails with kUnavailable as soon as the
  /// store is known to be down and the record has not been sent.
  void Put(TablePut put, bool wait_for_store,
           std::function<void(WriteStatus)> done);
  /// False after a failed attempt until the next success.
  bool store_up() const;
  size_t queued() const;
  uint64_t transactions() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
