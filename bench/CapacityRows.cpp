// CPU time, memory and peer traffic of the daemons at several cell sizes.
// docs/CAPACITY.md derives the cost per worker and per task from these rows.
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "base/Clock.h"
#include "bench/BenchRows.h"
#include "standins/Deployment.h"
#include "standins/Measurements.h"

namespace dotterelcove::bench {
namespace {

constexpr int kWorkerCounts[] = {50, 275, 1'100};
constexpr int kTasksPerWorker = 4;
constexpr TimeMs kWindowMs = 10'000;
/// Resource limits of a control-plane daemon, see docs/design.md 1.6.
constexpr double kCoreLimitPercent = 1.6;
constexpr double kMemoryLimitMb = 32;
constexpr double kPeerLimitKbPerSecond = 5;

/// Cumulative CPU time and resident memory of one process, from /proc.
struct ProcessUsage {
  double cpu_ms = 0;
  double resident_mb = 0;
};

ProcessUsage ReadProcessUsage(pid_t pid) {
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat(folder + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)),
                   std::istreambuf_iterator<char>());
  // Fields are counted from the end of the process name, which may contain
  // spaces.
  unsigned long user = 0;
  unsigned long system = 0;
  std::sscanf(text.c_str() + text.rfind(')') + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
              &system);
  usage.cpu_ms = static_cast<double>(user + system) * 1000.0 /
                 static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream statm(folder + "/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  usage.resident_mb =
      resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  return usage;
}

/// Adds the CPU time of a process over kWindowMs and its resident memory at the
/// end of it.
void AddProcessUsageRows(BenchTable& table, Deployment& deployment,
                         const std::string& process, const std::string& what) {
  const pid_t pid = deployment.pid(process);
  const ProcessUsage before = ReadProcessUsage(pid);
  deployment.loop().RunUntil([] { return false; }, kWindowMs);
  const ProcessUsage after = ReadProcessUsage(pid);
  BenchRow core;
  core.name = what + ": processor time";
  core.unit = "% of a core";
  core.target = "<= 1.6";
  core.ours = (after.cpu_ms - before.cpu_ms) * 100.0 / kWindowMs;
  core.met = core.ours <= kCoreLimitPercent;
  core.note = "over 10 s";
  AddRow(table, core);
  BenchRow memory;
  memory.name = what + ": resident memory";
  memory.unit = "MB";
  memory.target = "<= 32";
  memory.ours = after.resident_mb;
  memory.met = memory.ours <= kMemoryLimitMb;
  AddRow(table, memory);
}

/// Submits recorded long-running tasks and waits until all run. Returns false
/// if they do not within 60 s.
bool FillCell(Deployment& deployment, int tasks) {
  TrafficOptions options;
  options.kinds = {{"watch", true, true, 1, 3'600'000, 100}};
  options.rate = 500;
  options.max_wait_ms = 1;
  Traffic traffic(deployment, options);
  traffic.Start();
  deployment.loop().RunUntil(
      [&] { return static_cast<int>(traffic.sent().size()) >= tasks; }, 60'000);
  traffic.StopSending();
  const std::string owner = deployment.Owner();
  return deployment.loop().RunUntil(
      [&] {
        const auto state = deployment.Get(owner, "/v1/state");
        return state.is_object() && state.value("running", 0) >= tasks;
      },
      60'000);
}

/// Measures a deployment of production size: 9 entry VMs, 50 workers, 50
/// endpoints.
void AddFullDeploymentRows(BenchTable& table) {
  DeploymentOptions options;
  options.entries = 9;
  options.schedulers = 9;
  options.workers = 50;
  options.endpoints = 50;
  Deployment deployment(options);
  if (!deployment.Start()) return;
  const std::string owner = deployment.Owner();
  const std::string standby = owner == "sched-1" ? "sched-2" : "sched-1";
  deployment.loop().RunUntil([] { return false; }, 3'000);
  const std::pair<std::string, std::string> daemons[] = {
      {"owner", owner}, {"standby", standby}, {"entry daemon", "entry-1"}};
  for (const auto& [role, process] : daemons) {
    const std::string what = role + ", 9 entry VMs, no requests";
    const double before = deployment.Metric(process, "peer_bytes_sent");
    const TimeMs start = MonotonicMs();
    AddProcessUsageRows(table, deployment, process, what);
    const double bytes = deployment.Metric(process, "peer_bytes_sent") - before;
    BenchRow row;
    row.name = what + ": sent to other processes";
    row.unit = "KB/s";
    row.target = "<= 5";
    row.ours = bytes / static_cast<double>(MonotonicMs() - start);
    row.met = row.ours <= kPeerLimitKbPerSecond;
    row.note = "over 10 s";
    AddRow(table, row);
  }
}

}  // namespace

void AddCapacityRows(BenchTable& table) {
  AddFullDeploymentRows(table);
  for (const int workers : kWorkerCounts) {
    DeploymentOptions options;
    options.schedulers = 1;
    options.entries = 1;
    options.workers = workers;
    Deployment deployment(options);
    if (!deployment.Start()) return;
    const std::string size = std::to_string(workers) + " workers";
    deployment.loop().RunUntil([] { return false; }, 3'000);
    AddProcessUsageRows(table, deployment, "sched-1",
                        "owner, " + size + ", no tasks");
    const int tasks = workers * kTasksPerWorker;
    const std::string loaded =
        size + ", " + std::to_string(tasks) + " tasks running";
    if (!FillCell(deployment, tasks)) {
      std::fprintf(stderr,
                   "%s: not all tasks were running after 60 s; rows skipped\n",
                   loaded.c_str());
      continue;
    }
    AddProcessUsageRows(table, deployment, "sched-1", "owner, " + loaded);
    AddProcessUsageRows(table, deployment, "entry-1",
                        "entry daemon, " + loaded);
  }
}

}  // namespace dotterelcove::bench
