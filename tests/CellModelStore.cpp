// The simulated store.
#include <utility>

#include "tests/CellModelParts.h"

namespace dotterelcove::model {
namespace {

StoreAnswer MakeFailure(StoreStatus status) {
  StoreAnswer answer;
  answer.status = status;
  return answer;
}

/// Whether the store rejects the transaction for its size.
bool IsTooLarge(const StoreFaults& limits, const RowTransaction& transaction) {
  size_t bytes = 0;
  for (const RowPut& put : transaction.puts) {
    if (put.value.size() > limits.row_bytes) return true;
    bytes += put.value.size();
  }
  return bytes > limits.transaction_bytes;
}

StoreAnswer Apply(ModelStore& store, const RowTransaction& transaction) {
  StoreAnswer answer;
  if (IsTooLarge(store.faults, transaction)) {
    answer.status = StoreStatus::kInvalid;
    return answer;
  }
  for (const RowCondition& condition : transaction.conditions) {
    const auto found = store.rows.find({condition.table, condition.key});
    const uint64_t version =
        found == store.rows.end() ? 0 : found->second.version;
    if (version != condition.version) answer.status = StoreStatus::kConflict;
    if (found != store.rows.end()) answer.rows.push_back(found->second);
  }
  if (answer.status == StoreStatus::kConflict) return answer;
  answer.rows.clear();
  answer.status = StoreStatus::kOk;
  answer.version = ++store.version;
  store.transactions++;
  for (const RowPut& put : transaction.puts) {
    StoreRow row{put.table, put.key, put.value, store.version, false};
    store.rows[{put.table, put.key}] = row;
    store.history.push_back({store.version, row});
  }
  for (const RowRemoval& removal : transaction.removals) {
    if (store.rows.erase({removal.table, removal.key}) == 0) continue;
    store.history.push_back(
        {store.version, {removal.table, removal.key, "", store.version, true}});
  }
  return answer;
}

bool IsRefused(const Cell& cell, int daemon) {
  return cell.store.faults.down || cell.store.faults.refused.contains(daemon);
}

void Transact(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
              const RowTransaction& transaction, const StoreCallback& done) {
  const StoreFaults faults = cell.store.faults;
  if (IsRefused(cell, daemon)) {
    Deliver(cell, daemon, alive, faults.latency_ms,
            [done] { done(MakeFailure(StoreStatus::kRefused)); });
    return;
  }
  if (faults.lost_answer_share > 0 && Chance(cell) < faults.lost_answer_share) {
    constexpr TimeMs kLostTimeoutMs = 900;
    cell.time.After(faults.latency_ms + faults.lost_write_delay_ms,
                    [&cell, transaction] { Apply(cell.store, transaction); });
    Deliver(cell, daemon, alive, kLostTimeoutMs,
            [done] { done(MakeFailure(StoreStatus::kUnknown)); });
    return;
  }
  cell.time.After(faults.latency_ms / 2,
                  [&cell, daemon, alive, transaction, done, faults] {
                    StoreAnswer answer = Apply(cell.store, transaction);
                    answer.store_clock_ms = cell.time.now_ms;
                    Deliver(cell, daemon, alive, (faults.latency_ms + 1) / 2,
                            [done, answer] { done(answer); });
                  });
}

void Read(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
          const std::string& table, uint32_t shard, const std::string& from,
          uint32_t limit, const StoreCallback& done) {
  StoreAnswer answer;
  if (IsRefused(cell, daemon)) {
    answer.status = StoreStatus::kRefused;
  } else {
    answer.status = StoreStatus::kOk;
    answer.version = cell.store.version;
    answer.store_clock_ms = cell.time.now_ms;
    for (auto it = cell.store.rows.lower_bound({table, from});
         it != cell.store.rows.end() && it->first.first == table; ++it) {
      if (ShardOf(table, it->first.second) != shard) continue;
      if (answer.rows.size() >= limit) {
        answer.has_more = true;
        break;
      }
      answer.rows.push_back(it->second);
    }
  }
  Deliver(cell, daemon, alive, cell.store.faults.latency_ms,
          [done, answer] { done(answer); });
}

void ReadChanges(Cell& cell, int daemon, const std::shared_ptr<bool>& alive,
                 const std::string& table, uint64_t version, TimeMs wait_ms,
                 const StoreCallback& done) {
  StoreAnswer answer;
  answer.version = cell.store.version;
  if (IsRefused(cell, daemon)) {
    answer.status = StoreStatus::kRefused;
  } else if (version < cell.store.compacted_version) {
    answer.status = StoreStatus::kHistoryLost;
  } else {
    answer.status = StoreStatus::kOk;
    for (const auto& change : cell.store.history) {
      if (change.version <= version || change.row.table != table) continue;
      answer.rows.push_back(change.row);
    }
  }
  constexpr TimeMs kPollMs = 20;
  const bool nothing = answer.status == StoreStatus::kOk && answer.rows.empty();
  if (nothing && wait_ms > 0) {
    Deliver(cell, daemon, alive, kPollMs,
            [&cell, daemon, alive, table, version, wait_ms, done] {
              ReadChanges(cell, daemon, alive, table, version,
                          wait_ms - kPollMs, done);
            });
    return;
  }
  Deliver(cell, daemon, alive, cell.store.faults.latency_ms,
          [done, answer] { done(answer); });
}

}  // namespace

RowStore MakeStore(Cell& cell, int daemon, const std::shared_ptr<bool>& alive) {
  RowStore store;
  store.transact = [&cell, daemon, alive](const RowTransaction& transaction,
                                          const StoreCallback& done) {
    Transact(cell, daemon, alive, transaction, done);
  };
  store.read = [&cell, daemon, alive](const std::string& table, uint32_t shard,
                                      const std::string& from, uint32_t limit,
                                      const StoreCallback& done) {
    Read(cell, daemon, alive, table, shard, from, limit, done);
  };
  store.read_one = [&cell, daemon, alive](const std::string& table,
                                          const std::string& key,
                                          const StoreCallback& done) {
    Read(cell, daemon, alive, table, ShardOf(table, key), key, 1,
         [key, done](StoreAnswer answer) {
           std::erase_if(answer.rows,
                         [&](const StoreRow& row) { return row.key != key; });
           done(answer);
         });
  };
  store.changes = [&cell, daemon, alive](const std::string& table,
                                         uint64_t version, TimeMs wait_ms,
                                         const StoreCallback& done) {
    ReadChanges(cell, daemon, alive, table, version, wait_ms, done);
  };
  return store;
}

}  // namespace dotterelcove::model
