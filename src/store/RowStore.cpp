#include "store/RowStore.h"

#include <memory>
#include <utility>

#include "base/Hash.h"

namespace dotterelcove {
namespace {

constexpr uint32_t kPageRows = 500;

constexpr uint32_t kJobShards = 48;
/// The rows of one job share a shard: their keys begin with the job's id of
/// this length.
constexpr size_t kJobIdLength = 16;
constexpr const char* kShardedTable = "job";

/// State of a read of all shards of a table.
struct TableRead {
  RowStore store;
  std::string table;
  StoreCallback done;
  StoreAnswer combined;
  uint32_t pending_shards = 0;
};
using TableReadPtr = std::shared_ptr<TableRead>;

void FinishShard(const TableReadPtr& read, StoreStatus status) {
  if (status != StoreStatus::kOk) read->combined.status = status;
  if (--read->pending_shards == 0) read->done(std::move(read->combined));
}

void ReadPage(const TableReadPtr& read, uint32_t shard,
              const std::string& from) {
  read->store.read(read->table, shard, from, kPageRows,
                   [read, shard, from](StoreAnswer page) {
                     StoreAnswer& combined = read->combined;
                     if (page.status != StoreStatus::kOk) {
                       FinishShard(read, page.status);
                       return;
                     }
                     const bool first = from.empty();
                     const bool lower = combined.version == 0 ||
                                        page.version < combined.version;
                     if (first && lower) combined.version = page.version;
                     // The smallest key after the last one read.
                     const std::string next =
                         page.rows.empty() ? std::string()
                                           : page.rows.back().key + '\x01';
                     for (StoreRow& row : page.rows) {
                       combined.rows.push_back(std::move(row));
                     }
                     if (page.has_more && !next.empty()) {
                       ReadPage(read, shard, next);
                       return;
                     }
                     FinishShard(read, StoreStatus::kOk);
                   });
}

}  // namespace

uint32_t ShardCount(const std::string& table) {
  return table == kShardedTable ? kJobShards : 1;
}

uint32_t ShardOf(const std::string& table, const std::string& key) {
  if (table != kShardedTable) return 0;
  return static_cast<uint32_t>(Hash64(key.substr(0, kJobIdLength)) %
                               kJobShards);
}

void ReadTable(const RowStore& store, const std::string& table,
               StoreCallback done) {
  const auto read = std::make_shared<TableRead>();
  read->store = store;
  read->table = table;
  read->done = std::move(done);
  read->combined.status = StoreStatus::kOk;
  read->pending_shards = ShardCount(table);
  for (uint32_t shard = 0; shard < ShardCount(table); ++shard) {
    ReadPage(read, shard, "");
  }
}

}  // namespace dotterelcove
