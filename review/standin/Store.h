/// Stand-in for the platform's metadata store: rows with conditional
/// transactions, range reads and a feed of changes, as PROTOCOL.md tells.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "review/standin/Http.h"

namespace review {

struct Row {
  std::string table;
  std::string part;
  std::string key;
  /// Base64, as on the wire.
  std::string value;
  uint64_t version = 0;
  bool dropped = false;
};

std::string ToBase64(const std::string& bytes);

class Store {
 public:
  Store(const std::string& ip, uint16_t port);
  bool Start() { return this->server.Start(); }
  void Stop();

  /// Writes by the operator and by the runners; not limited by an outage.
  void Put(const std::string& table, const std::string& key,
           const std::string& text);
  void Remove(const std::string& table, const std::string& key);

  /// From now on answers 503 to all calls.
  void SetDown(bool down);
  /// Goes down during the next insert of a job: that transaction and the other
  /// calls in progress are performed, all open channels are reset, and calls on
  /// new channels are answered with 503. `down_ms` later the store is back.
  void GoDownDuringNextInsert(int64_t down_ms);
  /// Share of the transactions that are performed and not answered, in percent.
  void LoseAnswers(int percent);
  bool is_down() const;
  int64_t last_outage_ms() const { return this->outage_ms; }

  /// Called with each row of a transaction of a daemon.
  std::function<void(const Row&)> on_put;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  Reply Handle(const Request& request);
  Reply Transact(const Request& request);
  Reply Read(const Request& request);
  Reply ListParts(const Request& request);
  Reply Feed(const Request& request);
  void Apply(const Key& key, const std::string& value, bool dropped,
             uint64_t version);
  std::string RowsToJson(const std::vector<Row>& rows, bool has_more) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows;
  /// All changes in order.
  std::vector<Row> history;
  uint64_t version = 0;
  bool down = false;
  int64_t armed_down_ms = 0;
  int64_t back_ms = 0;
  int64_t outage_ms = 0;
  bool stopped = false;
  int lost_percent = 0;
  uint64_t lost_count = 0;
  Server server;
};

}  // namespace review
