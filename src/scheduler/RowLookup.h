/// Batches reads of single rows into few read calls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "border/tables/TableClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// At most one read is in flight; the lookups that arrive in the meantime share
/// the next one, so the number of reads is bounded at any rate of requests.
class RowLookup {
 public:
  RowLookup(EventLoop& loop, TableClient tables);
  ~RowLookup();
  RowLookup(const RowLookup&) = delete;
  RowLookup& operator=(const RowLookup&) = delete;

  /// Gets the rows in the order of the requested keys, or false when the store
  /// gave no complete answer. Not called after the destruction of this object.
  using Done = std::function<void(bool ok, const std::vector<TableRow>& rows)>;
  void Read(std::vector<std::string> keys, Done done);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace dotterelcove
