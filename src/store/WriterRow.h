/// The row `writer/<partition>`: the last transaction of the present writer
/// and of the writers before it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterelcove {

/// The last transaction of one owner, named by the version of its owner row.
struct TransactionId {
  uint64_t owner_row_version = 0;
  uint64_t sequence = 0;

  friend bool operator==(const TransactionId&, const TransactionId&) = default;
};

/// Marks kept of earlier owners. A writer that lost an answer and is fenced
/// before it can read the row finds its own last transaction among them.
inline constexpr size_t kMaxPastTransactions = 16;

struct WriterRow {
  TransactionId last;
  /// Newest first.
  std::vector<TransactionId> past;
};

std::string WriterRowKey(uint32_t partition);
std::string WriterRowToJson(const WriterRow& row);
/// An empty text gives an empty row; returns false for a malformed one.
bool WriterRowFromJson(const std::string& text, WriterRow& row);

/// The row after the transaction `next`, given the row before it.
WriterRow AdvanceWriterRow(const WriterRow& row, const TransactionId& next);

/// Whether the transaction `id` took effect, given a row read after it can no
/// longer land; nothing when the row no longer tells.
std::optional<bool> WasCommitted(const WriterRow& row, const TransactionId& id);

}  // namespace dotterelcove
