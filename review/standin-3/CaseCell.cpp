#include "review/standin-3/CaseCell.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/Base64.h"

namespace dotterelcove::review {
namespace {

using Json = nlohmann::json;
using soak::NowMs;
using soak::SleepMs;

/// The command of deploy/system.toml.
constexpr const char* kDaemonProgram = "target/dotterelcove-celld";
constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kPeerPort = 7720;
/// What the platform allows a daemon (`memory_mb`).
constexpr int64_t kMemoryMb = 260;
constexpr int64_t kMaxHoldMs = 6'000;

bool EndsRun(soak::RunEventKind kind) {
  switch (kind) {
    case soak::RunEventKind::kDone:
    case soak::RunEventKind::kFailed:
    case soak::RunEventKind::kStopped:
    case soak::RunEventKind::kLapsed:
    case soak::RunEventKind::kBroken:
    case soak::RunEventKind::kAlone:
    case soak::RunEventKind::kCrashed:
      return true;
    default:
      return false;
  }
}

/// Resident memory of a process that this case has started.
int64_t MemoryMbOf(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  int64_t all_pages = 0;
  int64_t resident_pages = 0;
  file >> all_pages >> resident_pages;
  constexpr int64_t kBytesPerMb = 1'000'000;
  return resident_pages * sysconf(_SC_PAGESIZE) / kBytesPerMb;
}

}  // namespace

bool IsTroubleOff() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::string JobName(uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "5c0e7a21%08llx",
                static_cast<unsigned long long>(number));
  return text;
}

CaseCell::CaseCell(CaseOptions options)
    : options(std::move(options)), began_ms(NowMs()), order_fault(1) {
  this->record.open(this->options.folder + "/record.txt");
}

CaseCell::~CaseCell() {
  this->stopping = true;
  if (this->supervisor.joinable()) this->supervisor.join();
  for (DaemonProcess& daemon : this->daemons) {
    if (daemon.pid <= 0) continue;
    kill(daemon.pid, SIGCONT);
    kill(daemon.pid, SIGKILL);
    waitpid(daemon.pid, nullptr, 0);
  }
  for (const auto& worker : this->workers) worker->Crash();
  if (this->store) this->store->Stop();
  // Threads of connections end within a short time after the stops above.
  constexpr int64_t kSettleMs = 300;
  SleepMs(kSettleMs);
  this->WriteRuns();
  const char* keep = std::getenv("KEEP");
  if (keep == nullptr && !this->scratch.empty()) {
    std::filesystem::remove_all(this->scratch);
  }
}

void CaseCell::Say(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->record_mutex);
  this->record << this->At(NowMs()) << " ms: " << line << std::endl;
  std::printf("%8lld ms: %s\n", static_cast<long long>(this->At(NowMs())),
              line.c_str());
  std::fflush(stdout);
}

bool CaseCell::ChooseAddresses() {
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    const int second = 16 + (static_cast<int>(getpid()) + i * 37) % 220;
    this->net = "127." + std::to_string(second) + ".";
    this->store = std::make_unique<soak::StoreStandin>(1);
    this->store->on_put = [this](const soak::Row& row) {
      if (row.table != "owner") return;
      const auto bytes = DecodeBase64(row.value);
      if (!bytes) return;
      const Json owner_row = Json::parse(*bytes, nullptr, false);
      if (!owner_row.is_object()) return;
      const std::lock_guard<std::mutex> lock(this->owner_mutex);
      this->owner = owner_row.value("process", std::string());
    };
    if (this->store->Serve("all", this->net + "7.10", kStorePort)) return true;
    this->store->Stop();
  }
  return false;
}

void CaseCell::WriteSettings(const DaemonProcess& daemon) {
  const auto at = [&](int port) {
    return daemon.ip + ":" + std::to_string(port);
  };
  const Json settings{
      {"node", daemon.name},
      {"role", "cell"},
      {"class", "front"},
      {"serves", {"front"}},
      {"ip", daemon.ip},
      {"zone", "khan-uul"},
      {"region", "ulaanbaatar"},
      {"zones", {{"khan-uul", "ulaanbaatar"}}},
      {"listen", {{"front", at(kFrontPort)}, {"ready", at(kReadyPort)}}},
      {"port_range", {kPeerPort, kPeerPort + 15}},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", kMemoryMb},
        {"max_fds", 4100},
        {"link_mbps", 1000.0}}},
      {"heartbeat_ms", 1500},
      {"bounds",
       {{"grace_s", 6},
        {"max_hold_ms", kMaxHoldMs},
        {"config_apply_ms", 2000},
        {"status_s", 120},
        {"maintenance_s", 2},
        {"stop_timeout_ms", 900},
        {"cancel_ms", 3000},
        {"visible_ms", 3000},
        {"finish_s", 14}}},
      {"orders", "rpc"},
      {"advice", this->net + "0.9:8169"},
      {"platform",
       {{"address", this->net + "7.10:" + std::to_string(kStorePort)},
        {"form", "table"},
        {"writes_per_s", 800},
        {"reads_per_s", 2000},
        {"txn_ms", 3.0},
        {"row_bytes", 65536},
        {"history_s", 20}}},
      {"cloud_api", {{"address", this->net + "0.79:8169"}}}};
  std::ofstream(daemon.settings_file) << settings.dump(2);
}

void CaseCell::StartDaemon(DaemonProcess& daemon) {
  const std::string variable = "DOTTERELCOVE_SETTINGS=" + daemon.settings_file;
  daemon.restart_ms = 0;
  const pid_t pid = fork();
  if (pid != 0) {
    daemon.pid = pid;
    return;
  }
  // No daemon outlives the case, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(daemon.log_file.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  const char* const arguments[] = {kDaemonProgram, "--metrics-port", "9464",
                                   nullptr};
  const char* const environment[] = {variable.c_str(), "LANG=C.UTF-8", nullptr};
  execve(arguments[0], const_cast<char* const*>(arguments),
         const_cast<char* const*>(environment));
  _exit(127);
}

void CaseCell::Supervise() {
  constexpr int64_t kIntervalMs = 20;
  constexpr int64_t kRestartMs = 1'000;
  while (!this->stopping) {
    SleepMs(kIntervalMs);
    for (const auto& worker : this->workers) worker->Expire();
    const std::lock_guard<std::mutex> lock(this->daemons_mutex);
    for (DaemonProcess& daemon : this->daemons) {
      if (daemon.pid <= 0) {
        if (daemon.restart_ms > 0 && NowMs() >= daemon.restart_ms) {
          this->Say(daemon.name + " is started again");
          this->StartDaemon(daemon);
        }
        continue;
      }
      const int64_t memory_mb = MemoryMbOf(daemon.pid);
      if (memory_mb > kMemoryMb) {
        this->Say(daemon.name + " uses " + std::to_string(memory_mb) +
                  " MB of " + std::to_string(kMemoryMb) +
                  " and is killed by the platform");
        daemon.memory_kills++;
        kill(daemon.pid, SIGKILL);
        waitpid(daemon.pid, nullptr, 0);
        daemon.pid = -1;
        daemon.restart_ms = NowMs() + kRestartMs;
        continue;
      }
      int status = 0;
      if (waitpid(daemon.pid, &status, WNOHANG) != daemon.pid) continue;
      this->Say(daemon.name + " has ended by itself, status " +
                std::to_string(status));
      daemon.ends++;
      daemon.pid = -1;
      daemon.restart_ms = NowMs() + kRestartMs;
    }
  }
}

bool CaseCell::StartWorkers() {
  constexpr double kRates[] = {1.0, 0.995, 0.98};
  int number = 0;
  for (const ServiceShape& service : this->options.services) {
    for (int i = 0; i < service.workers; ++i, ++number) {
      soak::CellWorkerOptions about;
      about.id = "i-" + std::to_string(1000 + number);
      about.ip = this->net + "2." + std::to_string(10 + number);
      about.service = service.name;
      about.zone = "khan-uul";
      about.milli_cores = service.milli_cores;
      about.memory_mb = service.memory_mb;
      if (service.workers_per_rack > 0) {
        const int rack = i / service.workers_per_rack + 1;
        about.rack = "r1-" + std::to_string(rack);
      }
      about.max_hold_ms = kMaxHoldMs;
      about.clock_rate = kRates[i % 3];
      this->workers.push_back(std::make_unique<soak::CellWorker>(
          about, *this->store, this->gangs, this->order_fault, this->log));
      if (!this->workers.back()->Boot()) return false;
    }
  }
  return true;
}

bool CaseCell::WaitUntilReady() {
  constexpr int64_t kLimitMs = 15'000;
  const int64_t until_ms = NowMs() + kLimitMs;
  size_t ready = 0;
  while (NowMs() < until_ms && ready < this->daemons.size()) {
    constexpr int64_t kPauseMs = 100;
    SleepMs(kPauseMs);
    ready = 0;
    for (const DaemonProcess& daemon : this->daemons) {
      soak::Connection connection(daemon.ip, kReadyPort);
      if (connection.Call("GET", "/ready", {}, "", 1'000).status == 200) {
        ++ready;
      }
    }
  }
  return ready == this->daemons.size();
}

bool CaseCell::Start(const std::vector<QueueRoute>& routes,
                     const std::vector<Tenant>& tenants) {
  if (!std::filesystem::exists(kDaemonProgram)) {
    this->Say("there is no " + std::string(kDaemonProgram));
    return false;
  }
  std::string scratch_name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(scratch_name.data()) == nullptr) return false;
  this->scratch = scratch_name;
  if (!this->ChooseAddresses() || !this->StartWorkers()) {
    this->Say("no loopback addresses are free");
    return false;
  }
  this->WriteManifest(routes, tenants);
  for (int i = 0; i < this->options.daemons; ++i) {
    DaemonProcess daemon;
    daemon.name = "front-" + std::to_string(i);
    daemon.ip = this->net + "1." + std::to_string(10 + i);
    daemon.settings_file = this->scratch + "/" + daemon.name + ".json";
    daemon.log_file = this->scratch + "/" + daemon.name + ".log";
    this->WriteSettings(daemon);
    this->daemons.push_back(std::move(daemon));
  }
  for (DaemonProcess& daemon : this->daemons) this->StartDaemon(daemon);
  this->supervisor = std::thread([this] { this->Supervise(); });
  if (!this->WaitUntilReady()) {
    this->Say("the daemons are not ready");
    return false;
  }
  this->Say("all daemons are ready");
  // Traffic starts some seconds after the machines do.
  constexpr int64_t kBeforeTrafficMs = 4'000;
  SleepMs(kBeforeTrafficMs);
  return this->Owner() >= 0;
}

void CaseCell::WriteManifest(const std::vector<QueueRoute>& routes,
                             const std::vector<Tenant>& tenants) {
  constexpr uint64_t kStep = 7;
  this->manifest_version += kStep;
  Json manifest{{"version", this->manifest_version},
                {"routes", Json::array()},
                {"services", Json::array()},
                {"limits", Json::object()}};
  std::string text;
  for (const QueueRoute& route : routes) {
    manifest["routes"].push_back({{"name", "route-" + route.queue},
                                  {"host", kHost},
                                  {"path_prefix", "/" + route.queue + "/"},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", 3000},
                                  {"target_duration_ms", 1200},
                                  {"priority", route.priority},
                                  {"service", route.service},
                                  {"attempts", 3},
                                  {"stretch", 2.2}});
    text += " " + route.queue + "->" + route.service;
  }
  for (const ServiceShape& service : this->options.services) {
    manifest["services"].push_back({{"name", service.name},
                                    {"health_path", "/health"},
                                    {"max_conns", 64},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"admission_check", false},
                                    {"standby", false}});
  }
  for (const Tenant& tenant : tenants) {
    manifest["tenants"].push_back(
        {{"name", tenant.name},
         {"api_keys", {"key-" + tenant.name}},
         {"weight", 10.0},
         {"cap",
          {{"cpu", tenant.cap_milli_cores}, {"mem_mb", 0}, {"gpu", 0}}}});
    text +=
        " " + tenant.name + " cap " + std::to_string(tenant.cap_milli_cores);
  }
  this->store->Put("op", "config", manifest.dump());
  this->Say("the store has confirmed manifest " +
            std::to_string(this->manifest_version) + ":" + text);
}

soak::Response CaseCell::Call(size_t daemon, const std::string& method,
                              const std::string& path, const std::string& body,
                              const std::string& key, int64_t timeout_ms) {
  const DaemonProcess& called = this->daemons[daemon % this->daemons.size()];
  soak::Headers headers{{"Host", kHost},
                        {"Content-Type", "application/json"},
                        {"X-Deadline-Ms", std::to_string(timeout_ms)}};
  if (!key.empty()) headers.emplace_back("X-Key", key);
  soak::Connection connection(called.ip, kFrontPort);
  const int64_t sent_ms = NowMs();
  soak::Response response =
      connection.Call(method, path, headers, body, timeout_ms);
  this->Say(
      method + " " + path + " at " + called.name + ", sent at " +
      std::to_string(this->At(sent_ms)) + " ms: " +
      (response.status == 0 ? "no answer" : std::to_string(response.status)) +
      " " + response.body.substr(0, 80));
  return response;
}

bool CaseCell::Submit(const std::string& path, const std::string& body,
                      const std::string& key, int64_t until_ms) {
  constexpr int64_t kTimeLimitMs = 3'000;
  constexpr int64_t kPauseMs = 300;
  for (size_t daemon = 0; NowMs() < until_ms; ++daemon) {
    const int status =
        this->Call(daemon, "POST", path, body, key, kTimeLimitMs).status;
    if (status == 200) return true;
    SleepMs(kPauseMs);
  }
  return false;
}

std::string CaseCell::StateOf(const std::string& path, const std::string& key,
                              int64_t until_ms) {
  constexpr int64_t kTimeLimitMs = 3'000;
  constexpr int64_t kPauseMs = 300;
  for (size_t daemon = 0; NowMs() < until_ms; ++daemon) {
    const soak::Response response =
        this->Call(daemon, "GET", path, "", key, kTimeLimitMs);
    if (response.status == 410) return "gone";
    if (response.status == 200) {
      const Json body = Json::parse(response.body, nullptr, false);
      if (body.is_object()) return body.value("state", std::string());
    }
    SleepMs(kPauseMs);
  }
  return {};
}

int CaseCell::Owner() {
  const std::lock_guard<std::mutex> lock(this->owner_mutex);
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].name == this->owner) return static_cast<int>(i);
  }
  return -1;
}

void CaseCell::Signal(size_t daemon, int signal) {
  const std::lock_guard<std::mutex> lock(this->daemons_mutex);
  if (this->daemons[daemon].pid > 0) kill(this->daemons[daemon].pid, signal);
}

std::vector<soak::CellWorker*> CaseCell::WorkersOf(const std::string& service) {
  std::vector<soak::CellWorker*> found;
  for (const auto& worker : this->workers) {
    if (worker->about().service == service) found.push_back(worker.get());
  }
  return found;
}

size_t CaseCell::CountRunning(const std::string& prefix) const {
  std::set<std::pair<std::string, uint32_t>> running;
  for (const soak::RunEvent& event : this->log.All()) {
    if (!event.task.starts_with(prefix)) continue;
    if (event.kind == soak::RunEventKind::kStart) {
      running.insert({event.task, event.run});
    } else if (EndsRun(event.kind)) {
      running.erase({event.task, event.run});
    }
  }
  return running.size();
}

bool CaseCell::AwaitRunning(const std::string& prefix, size_t count,
                            int64_t limit_ms) {
  constexpr int64_t kPauseMs = 50;
  const int64_t until_ms = NowMs() + limit_ms;
  while (this->CountRunning(prefix) < count) {
    if (NowMs() >= until_ms) return false;
    SleepMs(kPauseMs);
  }
  return true;
}

void CaseCell::WriteRuns() {
  this->record << "\nRuns on workers: ms, event, task, run, worker, "
                  "incarnation, token\n";
  // A case with hundreds of thousands of runs is told by its first ones.
  constexpr size_t kMostLines = 4'000;
  size_t lines = 0;
  for (const soak::RunEvent& event : this->log.All()) {
    if (++lines > kMostLines) break;
    this->record << this->At(event.at_ms) << " "
                 << NameOf(soak::kRunEventKindNames, event.kind) << " "
                 << event.task << " " << event.run << " " << event.worker << " "
                 << event.incarnation << " " << event.token << "\n";
  }
  this->record.flush();
}

}  // namespace dotterelcove::review
