#include "standins/Deployment.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/Clock.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kReadyTimeoutMs = 15'000;
/// Below the ephemeral port range, so that no outgoing connection takes a port.
constexpr int kFirstPort = 12'000;
constexpr int kPortsPerDeployment = 320;
constexpr int kPortRanges = 60;

/// The folder of the running binary, where the build puts all binaries.
std::string BinaryFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

/// Takes a range of ports for this deployment by locking a file, so that
/// deployments of several test processes do not collide. Returns the descriptor
/// that holds the lock.
int LockPortRange(uint16_t& first_port) {
  for (int range = 0; range < kPortRanges; ++range) {
    const auto file = std::filesystem::temp_directory_path() /
                      ("dotterelcove-ports-" + std::to_string(range));
    const int fd = open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) {
      first_port =
          static_cast<uint16_t>(kFirstPort + range * kPortsPerDeployment);
      return fd;
    }
    if (fd >= 0) close(fd);
  }
  std::fprintf(stderr, "no free range of ports\n");
  std::abort();
}

std::string Address(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

void WriteJson(const std::string& file, const nlohmann::json& value) {
  std::ofstream(file) << value.dump(2) << "\n";
}

std::vector<nlohmann::json> ReadJsonLines(const std::string& file) {
  std::vector<nlohmann::json> lines;
  std::ifstream input(file);
  std::string line;
  while (std::getline(input, line)) {
    auto value = nlohmann::json::parse(line, nullptr, false);
    if (value.is_object()) lines.push_back(std::move(value));
  }
  return lines;
}

std::string Name(const char* prefix, int index) {
  return prefix + std::to_string(index + 1);
}

}  // namespace

nlohmann::json MakeTestConfig() {
  const nlohmann::json small = {{"milli_cores", 1000}, {"memory_mb", 1000}};
  nlohmann::json kinds;
  kinds["check"] = {{"delivery", "route"},
                    {"class", "urgent"},
                    {"idempotent", true},
                    {"deadline_ms", 10'000}};
  kinds["order"] = {{"delivery", "route"},
                    {"class", "urgent"},
                    {"idempotent", false},
                    {"deadline_ms", 10'000}};
  kinds["dispatch"] = {{"delivery", "place"},
                       {"class", "urgent"},
                       {"idempotent", true},
                       {"size", small}};
  kinds["crew"] = {{"delivery", "place"},
                   {"class", "urgent"},
                   {"idempotent", false},
                   {"size", small}};
  kinds["audit"] = {{"delivery", "place"},
                    {"class", "batch"},
                    {"idempotent", true},
                    {"size", {{"milli_cores", 2000}, {"memory_mb", 2000}}}};
  kinds["watch"] = {{"delivery", "place"},
                    {"class", "service"},
                    {"idempotent", true},
                    {"size", small}};
  kinds["gang"] = {{"delivery", "place"}, {"class", "batch"},
                   {"idempotent", true},  {"gang", true},
                   {"tasks", 4},          {"size", small}};
  nlohmann::json config;
  config["stepline"] = {
      {"service", "stepline"}, {"team", "care"}, {"kinds", kinds}};
  config["cell"]["teams"]["care"] = {
      {"quota", {{"milli_cores", 1'000'000}, {"memory_mb", 4'000'000}}}};
  config["cell"]["callers"]["default"] = {{"max_in_progress", 100'000},
                                          {"requests_per_second", 100'000}};
  return config;
}

Deployment::Deployment(DeploymentOptions options)
    : deployment_options(std::move(options)),
      next_port(static_cast<uint16_t>(kFirstPort + (getpid() % kPortRanges) *
                                                       kPortsPerDeployment)),
      client(this->event_loop) {
  this->port_lock = LockPortRange(this->next_port);
  if (this->deployment_options.config.is_null()) {
    this->deployment_options.config = MakeTestConfig();
  }
  std::string pattern =
      (std::filesystem::temp_directory_path() / "dotterelcove-XXXXXX").string();
  this->root = mkdtemp(pattern.data());
  this->WriteFiles();
}

Deployment::~Deployment() {
  for (auto& [name, process] : this->processes) {
    if (process.pid == 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  close(this->port_lock);
  if (std::getenv("DOTTERELCOVE_KEEP") != nullptr) {
    std::fprintf(stderr, "kept %s\n", this->root.c_str());
    return;
  }
  std::filesystem::remove_all(this->root);
}

uint16_t Deployment::NextPort() { return this->next_port++; }

void Deployment::AddLink(const std::string& name, uint16_t target) {
  this->links.push_back({{"name", name},
                         {"listen_port", this->NextPort()},
                         {"target", Address(target)}});
}

uint16_t Deployment::LinkPort(const std::string& name) const {
  for (const auto& link : this->links) {
    if (link["name"] == name) return link["listen_port"];
  }
  return 0;
}

void Deployment::WriteVms() {
  const char* zones[] = {"sukhbaatar", "bayanzurkh", "khan-uul"};
  const uint16_t worker_port = this->processes["workers"].port;
  for (int i = 0; i < this->deployment_options.workers; ++i) {
    const std::string id = Name("w-", i);
    this->vm_list.push_back(
        {{"id", id},
         {"role", "worker"},
         {"state", "live"},
         {"zone", zones[i % 3]},
         {"rack", "rack-" + std::to_string(i / 2)},
         {"address", "http://" + Address(worker_port) + "/w/" + id},
         {"milli_cores", this->deployment_options.worker_cores * 1000},
         {"memory_mb", this->deployment_options.worker_memory_mb},
         {"accelerators", 0}});
  }
  for (int i = 0; i < this->deployment_options.endpoints; ++i) {
    this->vm_list.push_back({{"id", Name("e-", i)},
                             {"role", "endpoint"},
                             {"state", "live"},
                             {"zone", zones[i % 3]},
                             {"rack", ""},
                             {"address", "http://" + Address(this->NextPort())},
                             {"service", "stepline"},
                             {"slots", this->deployment_options.slots},
                             {"connections", 64}});
  }
  WriteJson(this->root + "/vms.json", {{"vms", this->vm_list}});
}

void Deployment::WriteDaemonSettings(const std::string& process,
                                     bool scheduler) {
  nlohmann::json settings;
  settings["process"] = process;
  settings["zone"] = "sukhbaatar";
  settings["http"] = {{"address", "127.0.0.1"},
                      {"port", this->processes[process].port}};
  nlohmann::json dial = nlohmann::json::array();
  for (const auto& [name, port] : this->peer_ports) {
    // Without a link, the address is the process's own.
    const uint16_t link = this->LinkPort(process + ">" + name);
    dial.push_back(Address(link != 0 ? link : port));
  }
  settings["schedulers"] = dial;
  nlohmann::json entries = nlohmann::json::array();
  for (int i = 0; i < this->deployment_options.entries; ++i) {
    entries.push_back(Name("entry-", i));
  }
  settings["entries"] = entries;
  if (scheduler) {
    settings["peer"] = {{"address", "127.0.0.1"},
                        {"port", this->peer_ports[process]}};
  }
  const std::string platform =
      "http://" + Address(this->LinkPort(process + ">platform"));
  settings["platform"] = {
      {"tables", platform}, {"objects", platform}, {"vm_list", platform}};
  settings["timing"] = this->deployment_options.timing;
  WriteJson(this->root + "/" + process + ".json", settings);
}

void Deployment::WriteFiles() {
  const std::string bin = BinaryFolder() + "/";
  const auto add = [&](const std::string& name, uint16_t port,
                       std::vector<std::string> command) {
    command[0] = bin + command[0];
    this->processes[name] = Process{std::move(command), 0, port};
  };
  const std::string vms = this->root + "/vms.json";
  uint16_t port = this->NextPort();
  add("platform", port,
      {"standin-platform", "--port", std::to_string(port), "--vms", vms});
  port = this->NextPort();
  add("workers", port,
      {"standin-worker", "--port", std::to_string(port), "--vms", vms,
       "--journal", this->root + "/workers.jsonl"});
  port = this->NextPort();
  add("endpoints", port,
      {"standin-endpoint", "--port", std::to_string(port), "--vms", vms,
       "--journal", this->root + "/endpoints.jsonl"});
  port = this->NextPort();
  add("link", port,
      {"standin-link", "--port", std::to_string(port), "--links",
       this->root + "/links.json"});
  this->WriteVms();

  std::vector<std::string> daemons;
  for (int i = 0; i < this->deployment_options.schedulers; ++i) {
    const std::string name = Name("sched-", i);
    port = this->NextPort();
    add(name, port,
        {"dotterelcove-schedd", "--settings",
         this->root + "/" + name + ".json"});
    this->peer_ports[name] = this->NextPort();
    daemons.push_back(name);
  }
  for (int i = 0; i < this->deployment_options.entries; ++i) {
    const std::string name = Name("entry-", i);
    port = this->NextPort();
    add(name, port,
        {"dotterelcove-entryd", "--settings",
         this->root + "/" + name + ".json"});
    daemons.push_back(name);
  }
  for (const std::string& from : daemons) {
    this->AddLink(from + ">platform", this->processes["platform"].port);
    for (const auto& [to, peer_port] : this->peer_ports) {
      if (from != to) this->AddLink(from + ">" + to, peer_port);
    }
  }
  WriteJson(this->root + "/links.json", this->links);
  this->WriteCellFile();
  for (const std::string& name : daemons) {
    this->WriteDaemonSettings(name, name.rfind("sched", 0) == 0);
  }
}

void Deployment::Spawn(const std::string& name) {
  Process& process = this->processes.at(name);
  const std::string log = this->root + "/" + name + ".log";
  std::vector<char*> arguments;
  for (std::string& word : process.command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  process.pid = fork();
  if (process.pid != 0) return;
  // The kernel kills this process when the test process crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(fd, 1);
  dup2(fd, 2);
  execv(arguments[0], arguments.data());
  _exit(127);
}

bool Deployment::Start() {
  for (const char* name : {"platform", "workers", "endpoints", "link"}) {
    this->Spawn(name);
    if (!this->WaitForHttp(name, "/control/none", kReadyTimeoutMs))
      return false;
  }
  if (!this->Publish(this->deployment_options.config)) return false;
  for (const auto& [name, process] : this->processes) {
    if (process.pid == 0) this->Spawn(name);
  }
  for (int i = 0; i < this->deployment_options.entries; ++i) {
    if (!this->WaitForHttp(Name("entry-", i), "/readyz", kReadyTimeoutMs)) {
      return false;
    }
  }
  return this->WaitForOwner(kReadyTimeoutMs);
}

bool Deployment::Publish(const nlohmann::json& config) {
  const std::string config_folder = this->root + "/config";
  std::filesystem::create_directory(config_folder);
  for (const auto& [name, content] : config.items()) {
    WriteJson(config_folder + "/" + name + ".json", content);
  }
  const std::string command = BinaryFolder() + "/dotterelcovectl --cell " +
                              this->root + "/cell.json config publish " +
                              config_folder + " >>" + this->root +
                              "/ctl.log 2>&1";
  return std::system(command.c_str()) == 0;
}

void Deployment::WriteCellFile() {
  nlohmann::json entries = nlohmann::json::array();
  nlohmann::json schedulers = nlohmann::json::array();
  for (const auto& [name, process] : this->processes) {
    if (name.starts_with("entry-")) entries.push_back(this->url(name));
    if (name.starts_with("sched-")) schedulers.push_back(this->url(name));
  }
  const std::string platform = this->url("platform");
  WriteJson(this->root + "/cell.json", {{"entries", entries},
                                        {"schedulers", schedulers},
                                        {"tables", platform},
                                        {"objects", platform}});
}

void Deployment::Kill(const std::string& name) {
  Process& process = this->processes.at(name);
  if (process.pid == 0) return;
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

void Deployment::Freeze(const std::string& name) {
  const pid_t pid = this->processes.at(name).pid;
  if (pid != 0) kill(pid, SIGSTOP);
}

void Deployment::Thaw(const std::string& name) {
  const pid_t pid = this->processes.at(name).pid;
  if (pid != 0) kill(pid, SIGCONT);
}

void Deployment::Restart(const std::string& name) {
  if (this->processes.at(name).pid == 0) this->Spawn(name);
}

int Deployment::Terminate(const std::string& name, TimeMs timeout_ms) {
  Process& process = this->processes.at(name);
  if (process.pid == 0) return -1;
  kill(process.pid, SIGTERM);
  int status = 0;
  const bool ended = this->event_loop.RunUntil(
      [&] { return waitpid(process.pid, &status, WNOHANG) == process.pid; },
      timeout_ms);
  if (!ended) return -1;
  process.pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Deployment::Running(const std::string& name) const {
  return this->processes.at(name).pid != 0;
}

pid_t Deployment::pid(const std::string& name) const {
  return this->processes.at(name).pid;
}

HttpResult Deployment::Fetch(const std::string& method, const std::string& url,
                             const std::string& body) {
  HttpCall call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.timeout_ms = 2'000;
  bool finished = false;
  HttpResult result;
  const uint64_t id = this->client.Send(call, [&](HttpResult received) {
    result = std::move(received);
    finished = true;
  });
  this->event_loop.RunUntil([&] { return finished; }, 3'000);
  if (!finished) this->client.Cancel(id);
  return result;
}

nlohmann::json Deployment::Call(const std::string& method,
                                const std::string& url,
                                const std::string& body) {
  const HttpResult result = this->Fetch(method, url, body);
  auto answer = nlohmann::json::parse(result.body, nullptr, false);
  if (answer.is_discarded() || result.failure != HttpFailure::kNone) return {};
  if (answer.is_object()) answer["http_status"] = result.status;
  return answer;
}

double Deployment::Metric(const std::string& process, const std::string& name) {
  const HttpResult result =
      this->Fetch("GET", this->url(process) + "/metrics", "");
  const std::string full_name = "dotterelcove_" + name;
  std::istringstream lines(result.body);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    if (!line.starts_with(full_name)) continue;
    const char next = line[full_name.size()];
    if (next != ' ' && next != '{') continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

bool Deployment::WaitForHttp(const std::string& name, const std::string& path,
                             TimeMs timeout_ms) {
  const bool any_status = path.rfind("/control", 0) == 0;
  const TimeMs deadline = MonotonicMs() + timeout_ms;
  while (MonotonicMs() < deadline) {
    bool finished = false;
    HttpResult result;
    HttpCall call;
    call.url = this->url(name) + path;
    call.timeout_ms = 1'000;
    this->client.Send(call, [&](HttpResult received) {
      result = std::move(received);
      finished = true;
    });
    this->event_loop.RunUntil([&] { return finished; }, 2'000);
    if (result.failure == HttpFailure::kNone &&
        (any_status || result.status == 200)) {
      return true;
    }
    this->event_loop.RunUntil([] { return false; }, 20);
  }
  std::fprintf(stderr, "%s is not ready after %ld ms\n", name.c_str(),
               static_cast<long>(timeout_ms));
  return false;
}

void Deployment::Cut(const std::string& link, const std::string& cut) {
  this->Control("link", "/control/cut", {{"link", link}, {"cut", cut}});
}

nlohmann::json Deployment::Control(const std::string& standin,
                                   const std::string& path,
                                   const nlohmann::json& body) {
  return this->Call("POST", this->url(standin) + path, body.dump());
}

nlohmann::json Deployment::Get(const std::string& process,
                               const std::string& path) {
  return this->Call("GET", this->url(process) + path, "");
}

std::string Deployment::Owner() {
  for (const auto& [name, port] : this->peer_ports) {
    if (this->processes.at(name).pid == 0) continue;
    const auto state = this->Get(name, "/v1/state");
    if (state.is_object() && state.value("serving", false)) return name;
  }
  return "";
}

bool Deployment::WaitForOwner(TimeMs timeout_ms) {
  const TimeMs deadline = MonotonicMs() + timeout_ms;
  while (MonotonicMs() < deadline) {
    if (!this->Owner().empty()) return true;
    this->event_loop.RunUntil([] { return false; }, 20);
  }
  return false;
}

std::string Deployment::url(const std::string& process) const {
  return "http://" + Address(this->processes.at(process).port);
}

std::string Deployment::entry_url(int index) const {
  return this->url(Name("entry-", index));
}

std::vector<nlohmann::json> Deployment::WorkerJournal() const {
  return ReadJsonLines(this->root + "/workers.jsonl");
}

std::vector<nlohmann::json> Deployment::EndpointJournal() const {
  return ReadJsonLines(this->root + "/endpoints.jsonl");
}

}  // namespace dotterelcove
