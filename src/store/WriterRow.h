/// The row `writer/<partition>`: the last transaction of the current writer
/// and of earlier writers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelcove {

/// Identifies a transaction of one owner.
struct TransactionId {
  /// Version of the row with which the owner acquired the partition.
  uint64_t owner_row_version = 0;
  /// Number of the transaction, from 1.
  uint64_t sequence = 0;

  friend bool operator==(const TransactionId&, const TransactionId&) = default;
};

/// Number of earlier owners whose last transaction is kept. A writer that lost
/// an answer and is fenced before it can read the row finds its own last
/// transaction among them.
inline constexpr size_t kMaxPastTransactions = 16;

struct WriterRow {
  TransactionId last;
  /// Newest first.
  std::vector<TransactionId> past;
};

std::string WriterRowKey(uint32_t partition);
std::string WriterRowToJson(const WriterRow& row);
/// Parses a row; an empty text gives an empty row. Returns false if `text` is
/// malformed.
bool WriterRowFromJson(const std::string& text, WriterRow& row);

/// Returns the row as the transaction `next` writes it, given the row before.
WriterRow AdvanceWriterRow(const WriterRow& row, const TransactionId& next);

/// Returns whether the transaction `id` took effect, given a row read at a time
/// when the transaction can no longer be applied; nothing if the row no longer
/// shows it.
std::optional<bool> WasCommitted(const WriterRow& row, const TransactionId& id);

}  // namespace dotterelcove
