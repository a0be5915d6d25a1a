/// The stand-in platform service and its clients, on one event loop.
#pragma once

#include <memory>
#include <string>

#include "border/objects/ObjectClient.h"
#include "border/tables/TableClient.h"
#include "border/vmlist/VmList.h"
#include "http/HttpClient.h"
#include "loop/EventLoop.h"
#include "standins/PlatformStandin.h"

namespace dotterelcove {

struct PlatformHarness {
  PlatformHarness()
      : http(loop),
        standin(leaf::try_handle_all(
            [&] { return PlatformStandin::Start(this->loop, 0); },
            [] { return std::unique_ptr<PlatformStandin>(); })) {}

  /// Short timeouts keep tests with lost answers fast.
  TableClient tables(int64_t timeout_ms = 300) {
    return {this->http, this->standin->url(), timeout_ms};
  }
  ObjectClient objects(int64_t timeout_ms = 300) {
    return {this->http, this->standin->url(), timeout_ms};
  }
  /// Runs the event loop until `done` is true; returns false on timeout.
  bool Wait(const std::function<bool()>& done, TimeMs timeout_ms = 20'000) {
    return this->loop.RunUntil(done, timeout_ms);
  }

  TransactResult TransactAndWait(const TableTransaction& transaction,
                                 int64_t timeout_ms = 300) {
    TransactResult result;
    bool done = false;
    Transact(this->tables(timeout_ms), transaction, [&](TransactResult got) {
      result = std::move(got);
      done = true;
    });
    this->Wait([&] { return done; });
    return result;
  }
  ReadResult ReadAndWait(const std::vector<std::string>& keys) {
    ReadResult result;
    bool done = false;
    ReadRows(this->tables(), keys, [&](ReadResult got) {
      result = std::move(got);
      done = true;
    });
    this->Wait([&] { return done; });
    return result;
  }

  /// Number of committed writes of one row.
  int CommitsOf(const std::string& key) {
    int count = 0;
    for (const JournalEntry& entry : this->standin->tables().journal) {
      for (const TablePut& put : entry.puts) count += put.key == key ? 1 : 0;
    }
    return count;
  }
  /// Value of a row, empty for an absent one.
  std::string ValueOf(const std::string& key) {
    const auto found = this->standin->tables().rows.find(key);
    return found == this->standin->tables().rows.end() ? ""
                                                       : found->second.value;
  }

  EventLoop loop;
  HttpClient http;
  std::unique_ptr<PlatformStandin> standin;
};

}  // namespace dotterelcove
