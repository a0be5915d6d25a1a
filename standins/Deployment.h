/// A small deployment of real processes on loopback, for tests: entry and
/// scheduler daemons, the platform, worker and endpoint stand-ins, and a relay
/// on every connection that a test can block.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/HttpClient.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

struct DeploymentOptions {
  int entries = 2;
  int schedulers = 3;
  int workers = 6;
  int endpoints = 4;
  int slots = 8;
  int64_t worker_cores = 16;
  int64_t worker_memory_mb = 32'000;
  /// Overrides of the daemons' "timing" settings.
  nlohmann::json timing = nlohmann::json::object();
  /// Configuration files by name; see MakeTestConfig().
  nlohmann::json config;
};

/// Service and cell files: one service with routed and placed kinds.
nlohmann::json MakeTestConfig();

class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  /// Kills every process that still runs and removes the folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts everything and waits until the entry daemons are ready.
  bool Start();
  void Kill(const std::string& process);
  /// Stops a process with SIGSTOP, so that it keeps its connections and memory.
  void Freeze(const std::string& process);
  /// Continues a frozen process with SIGCONT.
  void Thaw(const std::string& process);
  /// Starts a process again that was killed or has ended.
  void Restart(const std::string& process);
  /// Sends SIGTERM and waits; returns the exit code, or -1 on timeout.
  int Terminate(const std::string& process, TimeMs timeout_ms);
  bool Running(const std::string& process) const;
  pid_t pid(const std::string& process) const;

  /// Sets which directions of the relays that match `link` are blocked; `cut`
  /// is a name of LinkCut. Relay names are "entry-1>sched-2",
  /// "sched-1>platform" and so on.
  void Cut(const std::string& link, const std::string& cut);
  /// Sends a control request to a stand-in and returns the JSON answer.
  nlohmann::json Control(const std::string& standin, const std::string& path,
                         const nlohmann::json& body);
  nlohmann::json Get(const std::string& process, const std::string& path);
  /// The sum of one metric of a daemon over its label sets, 0 if it has none.
  double Metric(const std::string& process, const std::string& name);
  /// The scheduler daemon that owns the partition now, or empty.
  std::string Owner();
  /// Waits until some scheduler daemon is the owner.
  bool WaitForOwner(TimeMs timeout_ms);
  /// Publishes configuration files with `dotterelcovectl config publish`.
  bool Publish(const nlohmann::json& config);

  std::string entry_url(int index) const;
  std::string url(const std::string& process) const;
  const std::string& folder() const { return this->root; }
  std::vector<nlohmann::json> WorkerJournal() const;
  std::vector<nlohmann::json> EndpointJournal() const;
  EventLoop& loop() { return this->event_loop; }
  HttpClient& http() { return this->client; }
  const DeploymentOptions& options() const { return this->deployment_options; }
  const nlohmann::json& vms() const { return this->vm_list; }

 private:
  struct Process {
    std::vector<std::string> command;
    pid_t pid = 0;
    uint16_t port = 0;
  };

  uint16_t NextPort();
  void AddLink(const std::string& name, uint16_t target);
  uint16_t LinkPort(const std::string& name) const;
  void WriteFiles();
  void WriteCellFile();
  void WriteVms();
  void WriteDaemonSettings(const std::string& process, bool scheduler);
  void Spawn(const std::string& process);
  HttpResult Fetch(const std::string& method, const std::string& url,
                   const std::string& body);
  nlohmann::json Call(const std::string& method, const std::string& url,
                      const std::string& body);
  bool WaitForHttp(const std::string& process, const std::string& path,
                   TimeMs timeout_ms);

  DeploymentOptions deployment_options;
  std::string root;
  uint16_t next_port = 0;
  int port_lock = -1;
  std::map<std::string, Process> processes;
  std::map<std::string, uint16_t> peer_ports;
  nlohmann::json links = nlohmann::json::array();
  nlohmann::json vm_list = nlohmann::json::array();
  EventLoop event_loop;
  HttpClient client;
};

}  // namespace dotterelcove
