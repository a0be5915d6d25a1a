#include "tests/platform/soak/Cell.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/Base64.h"

namespace dotterelcove::soak {
namespace {

using Json = nlohmann::json;

constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kStorePort = 8169;
/// The last two numbers of the address of the VM service.
constexpr const char* kVmServiceIp = "0.79";
constexpr const char* kRegion = "region-1";
/// A daemon that has missed several manifests answers 404 for the queue of the
/// newest, as the one before would, so it shows only by serving a queue that
/// was dropped long ago.
constexpr size_t kProbedQueues = 5;
/// Of queues that come and go.
constexpr int kExtraPriority = 2;

Json MakeRoute(const std::string& queue, int priority, uint32_t attempts) {
  return {{"name", "route-" + queue},
          {"host", kHost},
          {"path_prefix", "/" + queue + "/"},
          {"kind", "unsafe"},
          {"timeout_ms", 3000},
          {"target_duration_ms", 1200},
          {"priority", priority},
          {"service", kService},
          {"attempts", attempts},
          {"stretch", 2.2}};
}

}  // namespace

bool FindShape(const std::string& name, CellShape& shape) {
  if (name == "stepcare") {
    shape.zones = {"sukhbaatar", "bayanzurkh", "khan-uul"};
  } else if (name == "yard") {
    shape.zones = {"akosombo", "kpong", "ada-foah", "sogakope"};
    shape.milli_cores = 32'000;
    shape.memory_mb = 65'536;
    shape.workers_per_rack = 6;
    shape.max_hold_ms = 10'000;
  } else {
    return false;
  }
  shape.name = name;
  return true;
}

Cell::Cell(CellOptions options)
    : order_fault(options.seed),
      options(std::move(options)),
      began_ms(NowMs()) {
  std::filesystem::create_directories(this->options.folder);
  this->record.open(this->options.folder + "/record.txt");
}

Cell::~Cell() {
  this->WriteRecord();
  this->stopping = true;
  for (Daemon& daemon : this->daemons) {
    Signal(daemon, SIGCONT);
    KillDaemon(daemon, SIGKILL);
  }
  if (this->janitor.joinable()) this->janitor.join();
  this->vms.reset();
  for (const auto& worker : this->workers) worker->Crash();
  if (this->store) this->store->Stop();
  // Threads of connections end within a short time after the stops above.
  constexpr int64_t kSettleMs = 300;
  SleepMs(kSettleMs);
}

void Cell::Say(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->record << this->At(NowMs()) << " ms: " << line << std::endl;
  std::printf("%8lld ms: %s\n", static_cast<long long>(this->At(NowMs())),
              line.c_str());
  std::fflush(stdout);
}

bool Cell::Fail(const std::string& problem) {
  this->Say(problem);
  return false;
}

bool Cell::ChooseAddresses() {
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    const int second = 16 + (static_cast<int>(getpid()) + i * 37) % 220;
    this->net = "127." + std::to_string(second) + ".";
    this->store = std::make_unique<StoreStandin>(this->options.seed);
    this->store->plant = this->options.plant;
    this->store->on_put = [this](const Row& row) {
      if (row.table != "owner") return;
      const auto bytes = DecodeBase64(row.value);
      if (!bytes) return;
      const Json owner_row = Json::parse(*bytes, nullptr, false);
      if (!owner_row.is_object()) return;
      const std::lock_guard<std::mutex> lock(this->owner_mutex);
      this->owner = owner_row.value("process", std::string());
    };
    bool served = true;
    for (int daemon = 0; daemon < this->options.shape.daemons; ++daemon) {
      served = served &&
               this->store->Serve(
                   "daemon-" + std::to_string(daemon),
                   this->net + "7." + std::to_string(10 + daemon), kStorePort);
    }
    if (served) return true;
    this->store->Stop();
  }
  return false;
}

void Cell::WriteSettings(const Daemon& daemon) {
  const auto at = [&](int port) {
    return daemon.ip + ":" + std::to_string(port);
  };
  const CellShape& shape = this->options.shape;
  Json zones = Json::object();
  for (const std::string& zone : shape.zones) zones[zone] = kRegion;
  Json settings{
      {"node", daemon.name},
      {"role", "cell"},
      {"class", "front"},
      {"serves", {"front"}},
      {"ip", daemon.ip},
      {"zone", daemon.zone},
      {"region", kRegion},
      {"zones", zones},
      {"listen", {{"front", at(kFrontPort)}, {"ready", at(kReadyPort)}}},
      {"port_range", {kPeerPort, kPeerPort + 15}},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4100},
        {"link_mbps", 1000.0}}},
      {"heartbeat_ms", 1500},
      {"bounds",
       {{"grace_s", 6},
        {"max_hold_ms", shape.max_hold_ms},
        {"status_s", 120},
        {"maintenance_s", 2},
        {"stop_timeout_ms", 900},
        {"finish_s", 14}}},
      {"orders", "rpc"},
      {"advice", this->net + "0.9:8169"},
      {"platform",
       {{"address", daemon.store_ip + ":" + std::to_string(kStorePort)},
        {"form", "table"},
        {"writes_per_s", 800},
        {"reads_per_s", 2000},
        {"txn_ms", 3.0},
        {"row_bytes", 65536},
        {"history_s", 20}}},
      {"cloud_api",
       {{"address",
         this->net + kVmServiceIp + ":" + std::to_string(kStorePort)},
        {"rate_per_s", 60.0}}}};
  if (this->options.has_accounts) {
    settings["bounds"]["revoke_partitioned"] = true;
    settings["bounds"]["revoke_ms"] = kRevokeMs;
  }
  std::ofstream(daemon.settings_file) << settings.dump(2);
}

void Cell::StartDaemon(Daemon& daemon) {
  const std::string variable = "DOTTERELCOVE_SETTINGS=" + daemon.settings_file;
  const std::string program = this->options.daemon_program;
  daemon.restart_ms = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->seen.daemon_starts.push_back({NowMs(), daemon.name});
  }
  const pid_t pid = fork();
  if (pid != 0) {
    daemon.pid = pid;
    return;
  }
  // No daemon outlives the soak, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(daemon.log_file.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  const char* const arguments[] = {program.c_str(), "--metrics-port", "9464",
                                   nullptr};
  const char* const environment[] = {variable.c_str(), "LANG=C.UTF-8", nullptr};
  execve(arguments[0], const_cast<char* const*>(arguments),
         const_cast<char* const*>(environment));
  _exit(127);
}

void Cell::Signal(const Daemon& daemon, int signal) {
  if (daemon.pid > 0) kill(daemon.pid, signal);
}

void Cell::KillDaemon(Daemon& daemon, int signal) {
  if (daemon.pid <= 0) return;
  kill(daemon.pid, signal);
  waitpid(daemon.pid, nullptr, 0);
  daemon.pid = -1;
}

void Cell::NoteEnded(Daemon& daemon) {
  int status = 0;
  if (daemon.pid <= 0) return;
  if (waitpid(daemon.pid, &status, WNOHANG) != daemon.pid) return;
  this->NoteEnd(daemon, status);
}

void Cell::NoteEnd(Daemon& daemon, int status) {
  constexpr int64_t kRestartMs = 1'000;
  daemon.pid = -1;
  daemon.restart_ms = NowMs() + kRestartMs;
  daemon.ends++;
  this->Say(daemon.name + " has ended by itself, " +
            (WIFEXITED(status)
                 ? "exit code " + std::to_string(WEXITSTATUS(status))
                 : "signal " + std::to_string(WTERMSIG(status))));
}

void Cell::NoteDisruption(Disruption disruption) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->seen.disruptions.push_back(std::move(disruption));
}

bool Cell::StartWorkers() {
  const CellShape& shape = this->options.shape;
  constexpr double kRates[] = {1.0, 0.995, 0.98};
  for (int i = 0; i < shape.workers; ++i) {
    CellWorkerOptions about;
    about.id = "i-" + std::to_string(1000 + i);
    about.ip = this->net + "2." + std::to_string(10 + i);
    about.service = kService;
    about.zone = shape.zones[static_cast<size_t>(i) % shape.zones.size()];
    // A third is of the second kind, in all zones and with all clock rates.
    about.kind = kWorkerKinds[i / 2 % 3 == 2 ? 1 : 0];
    about.rack = "r1-" + std::to_string(i / shape.workers_per_rack + 1);
    about.milli_cores = shape.milli_cores;
    about.memory_mb = shape.memory_mb;
    about.max_hold_ms = shape.max_hold_ms;
    about.clock_rate = kRates[i % 3];
    about.plant = this->options.plant;
    about.late_to_next_life = this->options.late_to_next_life;
    this->workers.push_back(std::make_unique<CellWorker>(
        about, *this->store, this->gangs, this->order_fault, this->log));
    if (!this->workers.back()->Boot()) return false;
  }
  this->janitor = std::thread([this] {
    constexpr int64_t kIntervalMs = 100;
    while (!this->stopping) {
      SleepMs(kIntervalMs);
      for (const auto& worker : this->workers) worker->Expire();
    }
  });
  return true;
}

bool Cell::StartPaths() {
  this->paths = std::make_unique<CellPaths>(
      this->net, static_cast<size_t>(this->options.shape.daemons),
      this->workers.size());
  if (!this->paths->Start()) return false;
  this->store->value_for = [this](const std::string& caller, const Row& row) {
    const std::string number = caller.substr(caller.find('-') + 1);
    return this->paths->ValueFor(std::stoul(number), row);
  };
  return true;
}

void Cell::WriteManifest(const std::vector<std::string>& extras) {
  const std::lock_guard<std::mutex> lock(this->manifest_mutex);
  this->extra_queues = extras;
  this->WriteNextManifest();
}

void Cell::WriteNextManifest() {
  ManifestChange change;
  Json routes = Json::array();
  const auto add = [&](const std::string& queue, int priority) {
    change.queues.push_back(queue);
    routes.push_back(MakeRoute(queue, priority, this->options.attempts));
  };
  for (const QueueOptions& queue : kQueues) add(queue.name, queue.priority);
  for (const std::string& queue : this->extra_queues) {
    add(queue, kExtraPriority);
  }
  const Json service{{"name", kService}, {"health_path", "/health"},
                     {"max_conns", 64},  {"protocol", "h1"},
                     {"tls", false},     {"admission_check", false},
                     {"standby", false}};
  // Versions rise in uneven steps.
  constexpr uint64_t kStep = 7;
  this->manifest_version += kStep;
  change.version = this->manifest_version;
  change.service = kService;
  Json manifest{{"version", change.version},
                {"routes", std::move(routes)},
                {"services", {service}},
                {"limits", Json::object()}};
  if (this->options.add_accounts != nullptr) {
    this->options.add_accounts(this->options, this->account_settings, manifest,
                               change);
  }
  change.sent_ms = NowMs();
  this->store->Put("op", "config", manifest.dump());
  change.confirmed_ms = NowMs();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->seen.manifests.push_back(std::move(change));
}

std::vector<std::string> Cell::ChangedQueues() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> changed;
  const auto& all = this->seen.manifests;
  for (auto manifest = all.rbegin(); manifest != all.rend(); ++manifest) {
    for (size_t i = std::size(kQueues); i < manifest->queues.size(); ++i) {
      const std::string& queue = manifest->queues[i];
      const bool is_new =
          std::find(changed.begin(), changed.end(), queue) == changed.end();
      if (is_new) changed.push_back(queue);
      if (changed.size() == kProbedQueues) return changed;
    }
  }
  return changed;
}

bool Cell::Start() {
  if (!std::filesystem::exists(this->options.daemon_program))
    return this->Fail(this->options.daemon_program + " does not exist");
  if (!this->ChooseAddresses())
    return this->Fail("no free addresses for the store");
  this->WriteManifest({});
  if (!this->StartWorkers())
    return this->Fail("the address of a worker is in use");
  if (!this->StartPaths()) return this->Fail("the address of a path is in use");
  this->vms = std::make_unique<VmService>(this->net + kVmServiceIp, kStorePort,
                                          this->workers, *this->store);
  this->vms->plant = this->options.plant;
  if (!this->vms->Start())
    return this->Fail("the address of the VM service is in use");
  const CellShape& shape = this->options.shape;
  for (int i = 0; i < shape.daemons; ++i) {
    Daemon daemon;
    const auto zones = static_cast<int>(shape.zones.size());
    daemon.zone = shape.zones[static_cast<size_t>(i % zones)];
    daemon.caller = "daemon-" + std::to_string(i);
    daemon.name = "front-" + daemon.zone + "-" + std::to_string(i / zones + 1);
    daemon.ip = this->net + "1." + std::to_string(10 + i);
    daemon.store_ip = this->net + "7." + std::to_string(10 + i);
    daemon.settings_file = this->options.folder + "/" + daemon.name + ".json";
    daemon.log_file = this->options.folder + "/" + daemon.name + ".log";
    this->WriteSettings(daemon);
    this->daemons.push_back(std::move(daemon));
  }
  for (Daemon& daemon : this->daemons) this->StartDaemon(daemon);
  return this->WaitUntilReady();
}

bool Cell::WaitUntilReady() {
  constexpr int64_t kLimitMs = 20'000;
  constexpr int64_t kPollMs = 100;
  const int64_t until_ms = NowMs() + kLimitMs;
  while (NowMs() < until_ms) {
    SleepMs(kPollMs);
    const bool ready = std::all_of(
        this->daemons.begin(), this->daemons.end(), [](const Daemon& daemon) {
          return Connection(daemon.ip, kReadyPort)
                     .Call("GET", "/ready", {}, "", 1'000)
                     .status == 200;
        });
    if (ready) return true;
  }
  return this->Fail("the daemons are not ready");
}

void Cell::NoteJob(const JobSpec& job) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->seen.jobs[job.id] = job;
}

void Cell::NoteCall(const ClientCall& call) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->seen.calls.push_back(call);
}

int Cell::Owner() {
  const std::lock_guard<std::mutex> lock(this->owner_mutex);
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].name == this->owner) return static_cast<int>(i);
  }
  return -1;
}

size_t Cell::CountWorkers(const std::string& kind) const {
  return static_cast<size_t>(std::count_if(
      this->workers.begin(), this->workers.end(), [&](const auto& worker) {
        return kind.empty() || worker->about().kind == kind;
      }));
}

Observations Cell::Collect() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Observations collected = this->seen;
  collected.runs = this->log.All();
  collected.vm_orders = this->vms->Orders();
  for (const auto& worker : this->workers) {
    for (const WorkerLife& life : worker->lives()) {
      collected.lives.push_back(life);
    }
  }
  return collected;
}

void Cell::WriteRecord() {
  const std::vector<RunEvent> events = this->log.All();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->record_written) return;
  this->record_written = true;
  this->record << "\nCalls of clients: sent ms, ended ms, method, queue, job, "
                  "daemon, answer, state, key\n";
  for (const ClientCall& call : this->seen.calls) {
    this->record << this->At(call.sent_ms) << " " << this->At(call.ended_ms)
                 << " " << NameOf(kClientMethodNames, call.method) << " "
                 << call.queue << " " << call.job << " " << call.daemon << " "
                 << (call.status == 0 ? "no answer"
                                      : std::to_string(call.status))
                 << " " << call.state << (call.key.empty() ? "" : " key ")
                 << call.key << "\n";
  }
  this->record << "\nRuns on workers: ms, event, task, run, worker, "
                  "incarnation, token, late\n";
  for (const RunEvent& event : events) {
    this->record << this->At(event.at_ms) << " "
                 << NameOf(kRunEventKindNames, event.kind) << " " << event.task
                 << " " << event.run << " " << event.worker << " "
                 << event.incarnation << " " << event.token
                 << (event.is_late ? " late" : "") << "\n";
  }
  this->record.flush();
}

}  // namespace dotterelcove::soak
