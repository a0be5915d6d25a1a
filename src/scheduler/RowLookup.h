/// Reads of single rows, collected into few read calls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "border/tables/TableClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// One read is in flight at a time, and all lookups that come meanwhile share
/// the next, so the number of reads stays bounded at any rate of requests.
class RowLookup {
 public:
  RowLookup(EventLoop& loop, TableClient tables);
  ~RowLookup();
  RowLookup(const RowLookup&) = delete;
  RowLookup& operator=(const RowLookup&) = delete;

  /// Calls `done` with the rows in the order of `keys`, or with false when the
  /// store gave no answer. Never called after the destruction of this object.
  using Done = std::function<void(bool ok, const std::vector<TableRow>& rows)>;
  void Read(std::vector<std::string> keys, Done done);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace dotterelcove
