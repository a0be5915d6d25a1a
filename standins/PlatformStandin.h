/// Stand-in for the platform's service: table service, object store and VM
/// list over HTTP, with faults set through a control interface. The protocol
/// is in docs/platform-protocol.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "border/vmlist/VmList.h"
#include "dotterelcove/Result.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"
#include "standins/PlatformTables.h"

namespace dotterelcove {

/// Active faults. Counted ones are decremented as they are used.
struct PlatformFaults {
  /// Tables and objects answer 503; the VM list stays up.
  bool outage = false;
  /// Connections to tables and objects are closed without an answer and
  /// without an effect.
  bool silent_outage = false;
  /// Delay between the effect of a request and its answer.
  int64_t delay_ms = 0;
  /// Delay between the arrival of a transaction and its effect.
  int64_t delay_applied_ms = 0;
  /// Number of next transactions that take effect, but whose connections are
  /// closed without an answer.
  int64_t lose_answers = 0;
  /// Number of next transactions that have no effect and whose connections are
  /// closed.
  int64_t lose_requests = 0;
  /// Age of the VM list that is served.
  int64_t vm_list_lag_ms = 0;
  /// The VM list stays as it was served when the fault was set.
  bool vm_list_frozen = false;
};

/// Requests to tables and objects; one request is one operation.
struct PlatformStats {
  uint64_t reads = 0;
  uint64_t writes = 0;
  /// Rows asked for in reads, and rows written.
  uint64_t rows_read = 0;
  uint64_t rows_written = 0;
  uint64_t vm_list_reads = 0;
  /// Requests refused or lost by a fault.
  uint64_t faulted = 0;
  /// Requests in each whole second since the start.
  std::map<int64_t, uint64_t> reads_by_second;
  std::map<int64_t, uint64_t> writes_by_second;
};

class PlatformStandin {
 public:
  /// Port 0 takes a free one.
  static Result<std::unique_ptr<PlatformStandin>> Start(
      EventLoop& loop, uint16_t port, std::vector<Vm> vms = {});
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  uint16_t port() const;
  /// Base URL of the table service, object store and VM list.
  std::string url() const;

  PlatformFaults& faults() { return this->faults_in_force; }
  PlatformTables& tables() { return this->state; }
  const PlatformStats& stats() const { return this->counts; }
  /// Replaces the current VM list; the list that is served depends on the list
  /// faults.
  void SetVms(std::vector<Vm> vms);
  void FreezeVms(bool frozen);

 private:
  struct ListVersion {
    TimeMs since_ms = 0;
    std::vector<Vm> vms;
  };

  explicit PlatformStandin(EventLoop& loop);
  void Handle(const HttpRequest& request, const HttpReply& reply);
  void HandleTransact(const HttpRequest& request, const HttpReply& reply);
  void HandleRead(const HttpRequest& request, const HttpReply& reply);
  void HandleScan(const HttpRequest& request, const HttpReply& reply);
  void HandleObject(const HttpRequest& request, const HttpReply& reply);
  void HandleControl(const HttpRequest& request, const HttpReply& reply);
  HttpResponse SetFaults(const std::string& body);
  HttpResponse ChangeVms(const std::string& body);
  std::string StatsToJson() const;
  /// Answers or drops the request if an outage is active; returns whether it
  /// did.
  bool RefusedByOutage(const HttpReply& reply);
  void CountRead(uint64_t rows);
  void CountWrite(uint64_t rows);
  int64_t Second() const;
  const std::vector<Vm>& ServedVms() const;
  void SendLater(const HttpReply& reply, HttpResponse response);
  void RunLater(TimeMs delay_ms, std::function<void()> action);

  EventLoop& loop;
  PlatformTables state;
  PlatformFaults faults_in_force;
  PlatformStats counts;
  TimeMs started_ms = 0;
  std::deque<ListVersion> lists;
  std::vector<Vm> frozen_list;
  uint64_t next_timer = 1;
  std::map<uint64_t, std::unique_ptr<Timer>> timers;
  std::unique_ptr<HttpServer> server;
};

}  // namespace dotterelcove
