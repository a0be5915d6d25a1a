/// Stand-in for the platform's metadata store: rows with conditional
/// transactions, range reads and a feed of changes, as PROTOCOL.md tells.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "base/NameTable.h"
#include "tests/platform/soak/Plant.h"
#include "tests/platform/soak/RawHttp.h"

namespace dotterelcove::soak {

struct Row {
  std::string table;
  std::string part;
  std::string key;
  /// Base64, as on the wire.
  std::string value;
  uint64_t version = 0;
  bool dropped = false;
};

/// What the store does with the calls of one daemon.
enum class StoreFaultKind : uint8_t {
  kNone,
  /// Answers 503 and does nothing.
  kRefuse,
  /// Answers 429 and does nothing.
  kThrottle,
  /// Resets the connection and does nothing.
  kResetBefore,
  /// Performs the call, then resets the connection.
  kResetAfter,
  /// Does nothing and never answers.
  kSilent,
  /// Performs the call and never answers.
  kLoseAnswer,
  /// Never answers a transaction, and performs it `delay_ms` later if its
  /// conditions still hold. Other calls are not answered.
  kPerformLate,
  /// Answers `delay_ms` later.
  kSlow,
  /// Performs the call and answers 500.
  kErrorAfter,
  /// Performs the call and answers 503, which a correct store never does. For
  /// tests of the judge.
  kRefuseAfter,
};
inline constexpr auto kStoreFaultKindNames = MakeNameTable<StoreFaultKind>(
    {{StoreFaultKind::kNone, "none"},
     {StoreFaultKind::kRefuse, "refuse"},
     {StoreFaultKind::kThrottle, "throttle"},
     {StoreFaultKind::kResetBefore, "reset_before"},
     {StoreFaultKind::kResetAfter, "reset_after"},
     {StoreFaultKind::kSilent, "silent"},
     {StoreFaultKind::kLoseAnswer, "lose_answer"},
     {StoreFaultKind::kPerformLate, "perform_late"},
     {StoreFaultKind::kSlow, "slow"},
     {StoreFaultKind::kErrorAfter, "error_after"},
     {StoreFaultKind::kRefuseAfter, "refuse_after"}});

struct StoreFault {
  StoreFaultKind kind = StoreFaultKind::kNone;
  /// Share of the calls that it meets.
  uint32_t percent = 100;
  int64_t delay_ms = 0;
};

class StoreStandin {
 public:
  explicit StoreStandin(uint64_t seed) : random(seed) {}
  /// Serves the daemon `caller` at an address of its own, by which its calls
  /// are told from those of others. Returns false if the address is in use.
  bool Serve(const std::string& caller, const std::string& ip, uint16_t port);
  void Stop();

  /// Writes by the operator and by the workers, which no fault meets. Returns
  /// the version.
  uint64_t Put(const std::string& table, const std::string& key,
               const std::string& text);
  void Remove(const std::string& table, const std::string& key);

  /// Replaces the fault of a daemon's calls. With `reset_connections`, its open
  /// connections are reset at the same moment; calls in progress on them are
  /// performed.
  void SetFault(const std::string& caller, StoreFault fault,
                bool reset_connections);
  /// Forgets all changes so far: a feed from an earlier version is refused.
  void DropHistory();

  Plant plant = Plant::kNone;
  /// Called with each row of a transaction of a daemon.
  std::function<void(const Row&)> on_put;
  /// The value of a row as the caller is to read it. May be empty.
  std::function<std::string(const std::string& caller, const Row&)> value_for;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  Reply Handle(const Request& request);
  Reply Perform(const Request& request);
  /// For the plant CONFIG: no change within the wait, and the first manifest to
  /// all reads.
  Reply HideChanges(const Request& request);
  /// For the plant REFUSED: whether to answer 503 after the transaction.
  bool RefusesInsert(const Request& request) const;
  /// For the plant LOST: whether to lose the transaction.
  bool LosesInsert(const Row& row);
  /// The fault that meets the next call.
  StoreFault DrawFault(const std::string& caller);
  /// Performs the call after `late_ms`, unless the store stops first.
  void PerformLate(const Request& request, int64_t late_ms);
  /// Holds a call whose answer is lost, until its caller has given up.
  Reply Hold();
  Reply Transact(const Request& request);
  Reply Read(const Request& request);
  Reply ListParts(const Request& request);
  Reply Feed(const Request& request);
  void Apply(const Key& key, const std::string& value, bool dropped,
             uint64_t version);
  std::string RowsToJson(const Request& request, const std::vector<Row>& rows,
                         bool has_more) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, Row> rows;
  /// All changes in order.
  std::vector<Row> history;
  uint64_t version = 0;
  /// Version of the newest change that was forgotten.
  uint64_t forgotten = 0;
  std::atomic<bool> is_stopped{false};
  std::map<std::string, StoreFault> faults;
  std::mt19937_64 random;
  uint64_t inserts = 0;
  std::string first_manifest;
  std::map<std::string, std::unique_ptr<Server>> servers;
  /// Threads of calls that are performed late.
  std::vector<std::thread> late;
};

}  // namespace dotterelcove::soak
