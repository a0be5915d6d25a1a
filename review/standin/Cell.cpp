#include "review/standin/Cell.h"

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
#include <utility>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr uint16_t kFrontPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr const char* kHost = "nony24.example";
constexpr const char* kPrefix = "/lohu930/";
constexpr const char* kService = "huvo11a";
constexpr const char* kZones[] = {"sukhbaatar", "bayanzurkh", "khan-uul"};
constexpr int64_t kClientLimitMs = 3'000;
constexpr int64_t kRetryAfterMs = 1'000;

std::string FromBase64(const std::string& text) {
  std::string plain;
  uint32_t bits = 0;
  int count = 0;
  const std::string alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  for (const char c : text) {
    const size_t value = alphabet.find(c);
    if (value == std::string::npos) break;
    bits = (bits << 6U) | static_cast<uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      plain += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return plain;
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Cell::Cell(const std::string& record_file, CellOptions options)
    : options(std::move(options)), record(record_file), began_ms(NowMs()) {}

Cell::~Cell() {
  this->WriteRecord();
  this->stopping = true;
  for (const Daemon& daemon : this->daemons) {
    if (daemon.pid <= 0) continue;
    kill(daemon.pid, SIGCONT);
    kill(daemon.pid, SIGKILL);
    waitpid(daemon.pid, nullptr, 0);
  }
  if (this->janitor.joinable()) this->janitor.join();
  for (const auto& runner : this->runners) runner->Crash();
  if (this->store) this->store->Stop();
  // Threads of channels end within a short time after the stops above.
  constexpr int64_t kSettleMs = 300;
  SleepMs(kSettleMs);
  if (!this->temp.empty() && std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->temp, ignored);
  }
}

void Cell::Say(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->record << this->At(NowMs()) << " ms: " << line << std::endl;
  std::printf("%s\n", line.c_str());
}

bool Cell::ChooseAddresses() {
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    const int second = 16 + (static_cast<int>(getpid()) + i * 37) % 220;
    this->net = "127." + std::to_string(second) + ".";
    this->store = std::make_unique<Store>(this->net + "0.7", kStorePort);
    this->store->on_put = [this](const Row& row) {
      if (row.table != "owner") return;
      const Json owner_row = Json::parse(FromBase64(row.value), nullptr, false);
      const std::lock_guard<std::mutex> lock(this->owner_mutex);
      this->owner = owner_row.value("process", std::string());
    };
    if (this->store->Start()) return true;
  }
  return false;
}

void Cell::WriteSettings(Daemon& daemon) {
  const auto at = [&](int port) {
    return daemon.ip + ":" + std::to_string(port);
  };
  const std::string store_at = this->net + "0.7:" + std::to_string(kStorePort);
  Json zones = Json::object();
  for (const char* zone : kZones) zones[zone] = "ulaanbaatar";
  const Json settings{
      {"node", daemon.name},
      {"role", "cell"},
      {"class", "front"},
      {"serves", {"front"}},
      {"ip", daemon.ip},
      {"zone", daemon.zone},
      {"region", "ulaanbaatar"},
      {"zones", zones},
      {"listen", {{"front", at(kFrontPort)}, {"ready", at(kReadyPort)}}},
      {"port_range", {7720, 7735}},
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
        {"max_hold_ms", 6000},
        {"status_s", 120},
        {"maintenance_s", 2},
        {"stop_timeout_ms", 900},
        {"finish_s", 14}}},
      {"orders", "rpc"},
      {"advice", this->net + "0.9:8169"},
      {"platform",
       {{"address", store_at},
        {"form", "table"},
        {"writes_per_s", 800},
        {"reads_per_s", 2000},
        {"txn_ms", 3.0},
        {"row_bytes", 65536},
        {"history_s", 20}}},
      {"cloud_api",
       {{"address", this->net + "0.79:8169"}, {"rate_per_s", 60.0}}}};
  std::ofstream(daemon.settings_file) << settings.dump(2);
}

void Cell::StartDaemon(Daemon& daemon) {
  const std::string variable = "DOTTERELCOVE_SETTINGS=" + daemon.settings_file;
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
  // The command of the deploy file.
  const char* const arguments[] = {"target/dotterelcove-celld",
                                   "--metrics-port", "9464", nullptr};
  const char* const environment[] = {variable.c_str(), "LANG=C.UTF-8", nullptr};
  execve(arguments[0], const_cast<char* const*>(arguments),
         const_cast<char* const*>(environment));
  _exit(127);
}

void Cell::Signal(const Daemon& daemon, int number) {
  if (daemon.pid > 0) kill(daemon.pid, number);
}

void Cell::RestartEnded() {
  constexpr int64_t kDelayMs = 1'000;
  for (Daemon& daemon : this->daemons) {
    int status = 0;
    if (daemon.pid > 0 && waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
      daemon.pid = -1;
      daemon.ends++;
      daemon.ended_ms = NowMs();
      this->Say(daemon.name + " has ended by itself, " +
                (WIFEXITED(status)
                     ? "exit code " + std::to_string(WEXITSTATUS(status))
                     : "signal " + std::to_string(WTERMSIG(status))));
    }
    if (daemon.pid < 0 && NowMs() - daemon.ended_ms >= kDelayMs) {
      this->StartDaemon(daemon);
    }
  }
}

bool Cell::Start() {
  if (!std::filesystem::exists("target/dotterelcove-celld")) {
    this->Say(
        "target/dotterelcove-celld is missing: run the deploy file's build");
    return false;
  }
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr || !this->ChooseAddresses()) {
    return false;
  }
  this->temp = pattern;
  const Json route{{"name", "r-1"},
                   {"host", kHost},
                   {"path_prefix", kPrefix},
                   {"kind", "unsafe"},
                   {"timeout_ms", 3000},
                   {"target_duration_ms", 1200},
                   {"priority", 2},
                   {"service", kService},
                   {"attempts", this->options.attempts},
                   {"stretch", 2.2}};
  const Json service{{"name", kService}, {"health_path", "/health"},
                     {"max_conns", 64},  {"protocol", "h1"},
                     {"tls", false},     {"admission_check", false},
                     {"standby", false}};
  this->store->Put(
      "op", "config",
      Json{{"version", 7}, {"routes", {route}}, {"services", {service}}}
          .dump());
  for (int i = 0; i < this->options.runners; ++i) {
    RunnerOptions about;
    about.id = "i-" + std::to_string(1000 + i);
    about.ip = this->net + "2." + std::to_string(10 + i);
    about.service = kService;
    about.zone = kZones[i % 3];
    about.rack = "r1-" + std::to_string(i / 8 + 1);
    const auto index = static_cast<size_t>(i);
    const std::vector<int64_t>& sizes = this->options.milli_cores;
    about.milli_cores = sizes[index % sizes.size()];
    about.kind = this->options.kinds[index % this->options.kinds.size()];
    this->runners.push_back(
        std::make_unique<Runner>(about, *this->store, this->log));
    if (!this->runners.back()->Boot()) return false;
  }
  this->janitor = std::thread([this] {
    constexpr int64_t kIntervalMs = 100;
    while (!this->stopping) {
      SleepMs(kIntervalMs);
      if (this->store->is_down()) continue;
      for (const auto& runner : this->runners) runner->Expire();
    }
  });
  for (int i = 0; i < this->options.daemons; ++i) {
    Daemon daemon;
    daemon.zone = kZones[i % 3];
    daemon.name = "front-" + daemon.zone + "-" + std::to_string(i / 3 + 1);
    daemon.ip = this->net + "1." + std::to_string(10 + i);
    daemon.settings_file = this->temp + "/" + daemon.name + ".json";
    daemon.log_file = this->temp + "/" + daemon.name + ".log";
    this->WriteSettings(daemon);
    this->daemons.push_back(std::move(daemon));
  }
  for (Daemon& daemon : this->daemons) this->StartDaemon(daemon);
  return this->WaitUntilServing();
}

bool Cell::WaitUntilServing() {
  constexpr int64_t kLimitMs = 20'000;
  constexpr int64_t kPollMs = 100;
  constexpr uint64_t kProbe = 1;
  const int64_t until_ms = NowMs() + kLimitMs;
  bool ready = false;
  while (!ready && NowMs() < until_ms) {
    SleepMs(kPollMs);
    ready = std::all_of(
        this->daemons.begin(), this->daemons.end(), [](const Daemon& daemon) {
          return Call(daemon.ip, kReadyPort, "GET", "/ready", {}, "", 1'000)
                     .status == 200;
        });
  }
  const std::string body =
      R"({"spec":"ms=50","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_duration_ms":50}]})";
  if (!ready || !this->Submit(JobId(kProbe), body)) {
    this->Say("the daemons do not serve");
    return false;
  }
  while (NowMs() < until_ms) {
    if (this->StateOf(JobId(kProbe)) == "completed") return true;
    SleepMs(kPollMs);
  }
  this->Say("the first job does not complete");
  return false;
}

std::string Cell::JobId(uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

ClientCall Cell::CallDaemon(const std::string& method, const std::string& job,
                            const std::string& body) {
  const Daemon& daemon =
      this->daemons[this->next_daemon++ % this->daemons.size()];
  ClientCall call;
  call.at_ms = NowMs();
  call.method = method;
  call.job = job;
  call.daemon = daemon.name;
  const Response response =
      Call(daemon.ip, kFrontPort, method, kPrefix + job,
           {{"Host", kHost},
            {"Content-Type", "application/json"},
            {"X-Deadline-Ms", std::to_string(kClientLimitMs)}},
           body, kClientLimitMs + 500);
  call.status = response.status;
  call.body = response.body;
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->calls.push_back(call);
  return call;
}

bool Cell::Submit(const std::string& job, const std::string& body) {
  const int64_t until_ms = NowMs() + kClientLimitMs;
  constexpr int kAttempts = 5;
  for (int i = 0; i < kAttempts; ++i) {
    const ClientCall call = this->CallDaemon("POST", job, body);
    if (call.status >= 200 && call.status < 300) return true;
    // Other answers are final.
    const bool is_final = call.status >= 400 && call.status < 500;
    if (is_final && call.status != 429) return false;
    const int64_t pause_ms =
        call.status == 503 || call.status == 429 ? kRetryAfterMs : 50;
    if (NowMs() + pause_ms >= until_ms) return false;
    SleepMs(pause_ms);
  }
  return false;
}

std::string Cell::StateOf(const std::string& job) {
  const ClientCall call = this->CallDaemon("GET", job, "");
  if (call.status != 200) return {};
  const Json body = Json::parse(call.body, nullptr, false);
  return body.is_object() ? body.value("state", std::string()) : std::string();
}

int Cell::Cancel(const std::string& job) {
  return this->CallDaemon("DELETE", job, "").status;
}

Daemon* Cell::Owner() {
  const std::lock_guard<std::mutex> lock(this->owner_mutex);
  for (Daemon& daemon : this->daemons) {
    if (daemon.name == this->owner) return &daemon;
  }
  return nullptr;
}

std::vector<ClientCall> Cell::Calls() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->calls;
}

void Cell::WriteRecord() {
  const std::vector<RunEvent> events = this->log.All();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->record_written) return;
  this->record_written = true;
  this->record << "\nCalls of clients: ms, method, job, daemon, answer\n";
  for (const ClientCall& call : this->calls) {
    this->record << this->At(call.at_ms) << " " << call.method << " "
                 << call.job << " " << call.daemon << " "
                 << (call.status == 0 ? "no answer"
                                      : std::to_string(call.status))
                 << " " << call.body << "\n";
  }
  this->record
      << "\nRuns on runners: ms, what, task, run, runner, born, kind\n";
  for (const RunEvent& event : events) {
    this->record << this->At(event.at_ms) << " " << event.what << " "
                 << event.task << " " << event.run << " " << event.runner << " "
                 << event.born << " " << event.kind << "\n";
  }
  this->record.flush();
}

}  // namespace review
