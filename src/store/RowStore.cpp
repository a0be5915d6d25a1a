#include "store/RowStore.h"

#include <memory>
#include <utility>

namespace dotterelcove {
namespace {

constexpr uint32_t kPageRows = 500;

struct TableRead {
  RowStore store;
  std::string table;
  StoreCallback done;
  StoreAnswer whole;
};

void ReadPage(const std::shared_ptr<TableRead>& read, const std::string& from) {
  read->store.read(read->table, from, kPageRows, [read](StoreAnswer page) {
    if (page.status != StoreStatus::kOk) {
      read->done(std::move(page));
      return;
    }
    if (read->whole.version == 0) read->whole.version = page.version;
    for (StoreRow& row : page.rows) {
      read->whole.rows.push_back(std::move(row));
    }
    if (page.more && !read->whole.rows.empty()) {
      // The smallest key after the last one read.
      ReadPage(read, read->whole.rows.back().key + '\x01');
      return;
    }
    read->whole.status = StoreStatus::kOk;
    read->done(std::move(read->whole));
  });
}

}  // namespace

void ReadTable(const RowStore& store, const std::string& table,
               StoreCallback done) {
  ReadPage(std::make_shared<TableRead>(
               TableRead{store, table, std::move(done), StoreAnswer{}}),
           "");
}

}  // namespace dotterelcove
