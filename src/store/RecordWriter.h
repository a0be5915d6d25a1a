/// Group commit of an owner's records, with at most one transaction in flight.
/// Each is conditional on the owner row and on the writer row, which holds its
/// sequence number, see docs/design.md 3.2 and 3.3.
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
  /// Another process has become owner; nothing was written.
  kFenced,
  /// The store is down and the record was not sent; nothing was written.
  kUnavailable,
};

struct RecordWriterOptions {
  uint32_t partition = 0;
  /// Version of the owner row with which this process acquired the partition.
  uint64_t owner_row_version = 0;
  /// Minimum time between two transactions.
  int64_t commit_interval_ms = 25;
  /// Maximum number of records in one transaction.
  size_t max_records = 500;
  int64_t backoff_base_ms = 100;
  int64_t backoff_max_ms = 5'000;
};

/// At most one writer may exist for each version of the owner row: the sequence
/// numbers of two could not be told apart. Each new owner creates its own.
class RecordWriter {
 public:
  RecordWriter(EventLoop& loop, TableClient tables,
               RecordWriterOptions options);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Queues one record. `done` runs from the event loop once its transaction is
  /// known to have committed or to be unable to commit; it never runs if the
  /// writer row no longer shows the outcome. With `wait_for_store` the record
  /// stays queued through an outage; without, it fails with kUnavailable as
  /// soon as the store is known to be down and the record has not been sent.
  void Put(TablePut put, bool wait_for_store,
           std::function<void(WriteStatus)> done);
  /// False after a failed attempt until the next success.
  bool store_up() const;
  /// Number of records queued or in flight.
  size_t queued() const;
  /// Number of committed transactions.
  uint64_t transactions() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
