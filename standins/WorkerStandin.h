/// Many stand-in workers behind one HTTP port, with faults that can be set for
/// each worker. Runs in its own process or on the loop of a test.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "border/vmlist/VmList.h"
#include "dotterelcove/Result.h"
#include "http/HttpServer.h"
#include "loop/EventLoop.h"
#include "standins/WorkerJournal.h"
#include "standins/WorkerModel.h"

namespace dotterelcove::standins {

/// Faults of one worker.
struct WorkerFaults {
  bool fail_all = false;
  bool refuse_all = false;
  /// Requests do not reach the worker, which keeps running.
  bool unreachable = false;
  /// This many further requests take effect, but their answers are lost.
  int64_t lose_answers = 0;
  /// The VM has crashed with all its tasks; it restarts empty when the fault is
  /// cleared.
  bool dead = false;
  /// The VM is paused; requests are processed when it resumes.
  bool frozen = false;
  /// Delay before a request reaches the worker.
  int64_t delay_ms = 0;
};

struct WorkerStandinOptions {
  std::string address = "127.0.0.1";
  /// 0 takes a free port.
  uint16_t port = 0;
  /// Only VMs of role worker are served.
  std::vector<Vm> vms;
  std::string journal_file;
  double speed = 1.0;
  int64_t default_run_ms = 100;
  int64_t usage_delay_ms = 2'000;
};

class WorkerStandin {
 public:
  static Result<std::unique_ptr<WorkerStandin>> Start(
      EventLoop& loop, WorkerStandinOptions options);
  ~WorkerStandin();
  WorkerStandin(const WorkerStandin&) = delete;
  WorkerStandin& operator=(const WorkerStandin&) = delete;

  uint16_t port() const;
  /// Base URL of one worker.
  std::string UrlOf(const std::string& worker) const;
  /// The served VMs, with their addresses.
  std::vector<Vm> vms() const;
  /// Also available as POST /control/fault with {"worker": id or "*"} and any
  /// of the fields of WorkerFaults. Returns false for an unknown worker.
  bool SetFaults(const std::string& worker, const WorkerFaults& faults);
  WorkerFaults faults(const std::string& worker) const;
  const WorkerJournal& journal() const;
  size_t running(const std::string& worker) const;

 private:
  struct Worker;
  WorkerStandin(EventLoop& loop, WorkerStandinOptions options);
  void Handle(const HttpRequest& request, const HttpReply& reply);
  void HandleFault(const HttpRequest& request, const HttpReply& reply);
  void Deliver(Worker& worker, const HttpRequest& request,
               const HttpReply& reply);
  void Process(Worker& worker, const HttpRequest& request,
               const HttpReply& reply);
  void Answer(Worker& worker, const HttpReply& reply,
              const WorkerAnswer& answer);
  /// Leaves a request unanswered for longer than callers wait, then frees its
  /// connection.
  void HoldLostAnswer(const HttpReply& reply);
  void RunAfter(int64_t delay_ms, std::function<void()> action);

  EventLoop& loop;
  WorkerStandinOptions options;
  WorkerJournal task_journal;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::map<uint64_t, std::unique_ptr<Timer>> delay_timers;
  uint64_t next_timer = 1;
  std::unique_ptr<HttpServer> server;
};

}  // namespace dotterelcove::standins
