/// A seeded soak of a whole cell: real daemons as separate processes on
/// loopback, stand-ins for the platform, faults from outside, and a judge.
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>

#include "tests/platform/soak/Cell.h"
#include "tests/platform/soak/FaultInjector.h"
#include "tests/platform/soak/FaultPlan.h"
#include "tests/platform/soak/Judge.h"
#include "tests/platform/soak/Traffic.h"

namespace dotterelcove::soak {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

struct SoakOptions {
  uint64_t seed = 0;
  int64_t seconds = 0;
  double jobs_per_second = 0;
  std::string daemon_program;
  std::string folder;
  std::string shape;
  int daemons = 0;
  int workers = 0;
  std::vector<FaultKind> only;
  Plant plant = Plant::kNone;
  bool late_to_next_life = false;
  bool has_accounts = false;
};

void PrintUsage(std::FILE* out) {
  std::fprintf(
      out,
      "Usage: cell_soak [options]\n"
      "Plays one seeded soak of a cell and judges it.\n\n"
      "  --seed N       draws jobs and faults; default 1\n"
      "  --seconds N    length of the traffic; default 40\n"
      "  --rate N       jobs a second; default 10\n"
      "  --shape NAME   stepcare or yard; default stepcare\n"
      "  --daemons N    number of daemons; default 9\n"
      "  --workers N    number of workers; default 48\n"
      "  --only A,B     kinds of fault to choose from; default all\n"
      "  --plant RULE   fault of a stand-in that breaks this rule, with no\n"
      "                 other fault but those it needs; default NONE\n"
      "  --accounts WHICH  yes, no or seed, which draws it; default seed, or\n"
      "                 yes for a plant that needs accounts\n"
      "  --late-to-next-life\n"
      "                 late orders may reach the next life of a worker under\n"
      "                 the same id; the pages leave open whether they do\n"
      "                 (docs/platform.md, question 2); default off\n"
      "  --daemon FILE  program of the daemon; default "
      "build/dotterelcove-celld\n"
      "  --folder DIR   logs, settings and record; default soak-SEED\n"
      "  --help         print this text and exit\n\n"
      "Exit codes: 0 no rule broken, 1 a rule broken, a daemon ended by\n"
      "itself or the cell did not start, 2 wrong usage.\n");
}

bool ParseKinds(const std::string& text, std::vector<FaultKind>& kinds) {
  size_t at = 0;
  while (at <= text.size()) {
    const size_t end = std::min(text.find(',', at), text.size());
    const auto kind = ValueOf(kFaultKindNames, text.substr(at, end - at));
    if (!kind) return false;
    kinds.push_back(*kind);
    at = end + 1;
  }
  return true;
}

/// The faults that bring a planted one to light; empty for all kinds.
std::vector<FaultKind> KindsOf(Plant plant) {
  switch (plant) {
    case Plant::kNone:
      return {};
    case Plant::kLost:
      // A lost row is missed once another owner has read the rows.
      return {FaultKind::kOwnerKilled};
    case Plant::kOne:
      return {FaultKind::kMaintenanceWave};
    case Plant::kForeignKey:
    case Plant::kRevoked:
      return {FaultKind::kKeysRevoked};
    case Plant::kQuota:
      return {FaultKind::kQuotaLowered, FaultKind::kAccountFloods};
    default:
      return {FaultKind::kManifestChanged};
  }
}

bool NeedsAccounts(Plant plant) {
  return plant == Plant::kForeignKey || plant == Plant::kRevoked ||
         plant == Plant::kQuota;
}

/// Returns false for wrong usage.
bool ParseOptions(int argc, char** argv, SoakOptions& options) {
  const option table[] = {{"seed", required_argument, nullptr, 0},
                          {"seconds", required_argument, nullptr, 0},
                          {"rate", required_argument, nullptr, 0},
                          {"shape", required_argument, nullptr, 0},
                          {"daemons", required_argument, nullptr, 0},
                          {"workers", required_argument, nullptr, 0},
                          {"only", required_argument, nullptr, 0},
                          {"plant", required_argument, nullptr, 0},
                          {"accounts", required_argument, nullptr, 0},
                          {"late-to-next-life", no_argument, nullptr, 0},
                          {"daemon", required_argument, nullptr, 0},
                          {"folder", required_argument, nullptr, 0},
                          {"help", no_argument, nullptr, 'h'},
                          {nullptr, 0, nullptr, 0}};
  std::map<std::string, std::string> given;
  int choice = 0;
  int index = 0;
  while ((choice = getopt_long(argc, argv, "", table, &index)) != -1) {
    if (choice == 'h') {
      PrintUsage(stdout);
      std::exit(0);
    }
    if (choice != 0) return false;
    given[table[index].name] = optarg != nullptr ? optarg : "";
  }
  const auto value = [&](const char* name, const std::string& otherwise) {
    const auto found = given.find(name);
    return found == given.end() ? otherwise : found->second;
  };
  const std::string seed = value("seed", "1");
  options.seed = std::strtoull(seed.c_str(), nullptr, 10);
  options.seconds = std::atoll(value("seconds", "40").c_str());
  options.jobs_per_second = std::atof(value("rate", "10").c_str());
  options.shape = value("shape", "stepcare");
  options.daemons = std::atoi(value("daemons", "9").c_str());
  options.workers = std::atoi(value("workers", "48").c_str());
  options.daemon_program = value("daemon", "build/dotterelcove-celld");
  options.folder = value("folder", "soak-" + seed);
  const auto plant = ValueOf(kPlantNames, value("plant", "NONE"));
  if (!plant) return false;
  options.plant = *plant;
  options.late_to_next_life = given.contains("late-to-next-life");
  const std::string accounts =
      value("accounts", NeedsAccounts(*plant) ? "yes" : "seed");
  options.has_accounts =
      accounts == "yes" || (accounts == "seed" && HasAccounts(options.seed));
  if (accounts != "yes" && accounts != "no" && accounts != "seed") return false;
  options.only = KindsOf(*plant);
  const bool known_kinds =
      !given.contains("only") || ParseKinds(given["only"], options.only);
  return known_kinds && optind == argc && options.seconds > 0 &&
         options.jobs_per_second > 0 && options.daemons > 0 &&
         options.workers > 0;
}

/// Plays traffic and faults; returns what was seen.
Observations Play(Cell& cell, const SoakOptions& options,
                  const JudgeBounds& bounds) {
  constexpr int64_t kMsPerSecond = 1'000;
  constexpr int64_t kPollMs = 20;
  const int64_t traffic_ms = options.seconds * kMsPerSecond;
  const std::vector<PlannedFault> plan = MakeFaultPlan(
      options.seed, traffic_ms, options.has_accounts, options.only);
  FaultInjector injector(cell);
  Traffic traffic(cell, options.seed, options.jobs_per_second);
  const int64_t began_ms = NowMs();
  size_t next = 0;
  while (NowMs() - began_ms < traffic_ms) {
    while (next < plan.size() && NowMs() - began_ms >= plan[next].at_ms) {
      injector.Begin(plan[next++]);
    }
    injector.RestartEnded();
    traffic.Advance();
    SleepMs(kPollMs);
  }
  const int64_t traffic_end_ms = NowMs();
  injector.Finish();
  traffic.Finish();
  cell.Say("traffic and faults have ended");
  const int64_t asked_ms = NowMs() + bounds.finish_ms;
  while (NowMs() < asked_ms) {
    injector.RestartEnded();
    SleepMs(kPollMs);
  }
  traffic.AskForAll();
  injector.RestartEnded();
  Observations seen = cell.Collect();
  seen.traffic_end_ms = traffic_end_ms;
  seen.asked_ms = asked_ms;
  return seen;
}

int Report(Cell& cell, const Observations& seen,
           const std::vector<Violation>& found, const std::string& folder) {
  std::map<std::string, int> counts;
  std::ofstream file(folder + "/violations.txt");
  for (const Violation& violation : found) {
    const std::string rule(NameOf(kRuleNames, violation.rule));
    counts[rule]++;
    file << cell.At(violation.at_ms) << " " << rule << " " << violation.subject
         << ": " << violation.text << "\n";
  }
  size_t accepted = 0;
  size_t refused = 0;
  for (const ClientCall& call : seen.calls) {
    if (call.method != ClientMethod::kSubmit) continue;
    if (call.status >= 200 && call.status < 300) ++accepted;
    if (call.status == 503) ++refused;
  }
  std::string line = std::to_string(seen.jobs.size()) + " jobs, " +
                     std::to_string(accepted) + " accepted, " +
                     std::to_string(refused) + " attempts refused, " +
                     std::to_string(seen.runs.size()) + " run events;";
  for (const auto& [rule, count] : counts) {
    line += " " + rule + " " + std::to_string(count);
  }
  if (counts.empty()) line += " no rule broken";
  bool ends = false;
  for (const Daemon& daemon : cell.daemons) {
    if (daemon.ends == 0) continue;
    ends = true;
    line += "; " + daemon.name + " ended by itself";
    if (daemon.ends > 1) line += " " + std::to_string(daemon.ends) + " times";
  }
  cell.Say(line);
  return counts.empty() && !ends ? 0 : kExitBroken;
}

int Main(int argc, char** argv) {
  SoakOptions options;
  CellOptions about;
  if (!ParseOptions(argc, argv, options) ||
      !FindShape(options.shape, about.shape)) {
    PrintUsage(stderr);
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // The daemons inherit it: a reload that comes before one has its handlers
  // does not end it.
  std::signal(SIGHUP, SIG_IGN);
  about.seed = options.seed;
  about.daemon_program = options.daemon_program;
  about.folder = options.folder;
  about.plant = options.plant;
  about.late_to_next_life = options.late_to_next_life;
  about.has_accounts = options.has_accounts;
  if (about.has_accounts) about.add_accounts = AddAccounts;
  about.jobs_per_second = options.jobs_per_second;
  about.shape.daemons = options.daemons;
  about.shape.workers = options.workers;
  Cell cell(about);
  cell.Say("seed " + std::to_string(options.seed) + ", shape " + options.shape +
           ", " + std::to_string(options.seconds) + " s" +
           (options.has_accounts ? ", with accounts" : ""));
  if (!cell.Start()) return kExitBroken;
  JudgeBounds bounds;
  if (options.has_accounts) bounds.revoke_ms = kRevokeMs;
  const Observations seen = Play(cell, options, bounds);
  return Report(cell, seen, Judge(seen, bounds), options.folder);
}

}  // namespace
}  // namespace dotterelcove::soak

int main(int argc, char** argv) { return dotterelcove::soak::Main(argc, argv); }
