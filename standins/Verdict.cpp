#include "standins/Verdict.h"

#include <set>

namespace dotterelcove {
namespace {

/// Runs of one unit of work in one journal: a member of a job on workers, or a
/// request at endpoints.
struct Runs {
  int started = 0;
  int running = 0;
  bool succeeded = false;
};

using RunTable = std::map<std::string, Runs>;

struct Journals {
  /// By job id, over all members and both journals.
  std::map<std::string, int> started;
  std::set<std::string> succeeded;
  std::set<std::string> failed;
};

std::string Text(const nlohmann::json& line, const char* key) {
  return line.value(key, std::string());
}

int64_t Number(const nlohmann::json& line, const char* key) {
  return line.value(key, int64_t{0});
}

Resources SizeOf(const nlohmann::json& line) {
  return {Number(line, "milli_cores"), Number(line, "memory_mb"),
          Number(line, "accelerators")};
}

/// Records one start and checks it against earlier and current runs of the
/// unit.
void CheckStart(RunTable& runs, const std::string& unit, bool idempotent,
                const std::string& place,
                std::vector<std::string>& violations) {
  Runs& state = runs[unit];
  state.started++;
  state.running++;
  if (state.running > 1) {
    violations.push_back(unit + " runs in two places at once, now on " + place);
  }
  if (!idempotent && state.started > 1) {
    violations.push_back("non-idempotent " + unit + " started again on " +
                         place);
  }
}

void CheckWorkers(const VerdictInput& input, Journals& journals,
                  std::vector<std::string>& violations) {
  std::map<std::string, Resources> capacity;
  for (const auto& vm : input.vms) {
    if (Text(vm, "role") == "worker") {
      capacity[Text(vm, "id")] = SizeOf(vm);
    }
  }
  RunTable runs;
  std::map<std::string, Resources> allocated;
  for (const auto& line : input.worker_journal) {
    const std::string event = Text(line, "event");
    const std::string job = Text(line, "job");
    const std::string worker = Text(line, "worker");
    const std::string unit =
        "member " + std::to_string(Number(line, "member")) + " of job " + job;
    if (event == "started") {
      journals.started[job]++;
      CheckStart(runs, unit, line.value("idempotent", true), worker,
                 violations);
      allocated[worker] = allocated[worker] + SizeOf(line);
      if (!Fits(allocated[worker], capacity[worker])) {
        violations.push_back("worker " + worker + " is above its capacity");
      }
      continue;
    }
    if (event != "ended") continue;
    runs[unit].running--;
    allocated[worker] = allocated[worker] - SizeOf(line);
    if (Text(line, "detail") == "succeeded") journals.succeeded.insert(job);
    if (Text(line, "detail") == "failed") journals.failed.insert(job);
  }
}

void CheckEndpoints(const VerdictInput& input, Journals& journals,
                    const std::set<std::string>& non_idempotent,
                    std::vector<std::string>& violations) {
  std::map<std::string, nlohmann::json> limits;
  for (const auto& vm : input.vms) {
    if (Text(vm, "role") == "endpoint") limits[Text(vm, "id")] = vm;
  }
  RunTable runs;
  for (const auto& line : input.endpoint_journal) {
    const std::string event = Text(line, "event");
    const std::string endpoint = Text(line, "endpoint");
    const std::string job = Text(line, "request");
    const auto& limit = limits[endpoint];
    if (Number(line, "busy_slots") > Number(limit, "slots")) {
      violations.push_back("endpoint " + endpoint + " is above its slots");
    }
    if (Number(line, "open_connections") > Number(limit, "connections")) {
      violations.push_back("endpoint " + endpoint +
                           " is above its connections");
    }
    if (event == "over_slots" || event == "over_connections") {
      violations.push_back("endpoint " + endpoint + " reports " + event);
    }
    if (event == "started") {
      journals.started[job]++;
      CheckStart(runs, "request " + job, non_idempotent.count(job) == 0,
                 endpoint, violations);
      continue;
    }
    if (event != "ended") continue;
    runs["request " + job].running--;
    journals.succeeded.insert(job);
  }
}

void CheckCallers(const VerdictInput& input, const Journals& journals,
                  std::vector<std::string>& violations) {
  for (const auto& [key, sent] : input.sent) {
    const std::string what = sent.kind.kind + " " + key + " (" + sent.job + ")";
    const bool ran = journals.started.count(sent.job) != 0;
    if (sent.outcome.empty()) {
      violations.push_back(what + " got no answer, last status " +
                           std::to_string(sent.status));
    }
    if (sent.outcome == "accepted") {
      violations.push_back(what + " was accepted and never ended");
    }
    // A job that ran and failed is answered as done, with the reason.
    const bool failed = sent.reason.starts_with("failed");
    if (sent.outcome == "done" && failed &&
        journals.failed.count(sent.job) == 0) {
      violations.push_back(what + " was told failed and did not fail");
    }
    if (sent.outcome == "done" && !failed && !sent.answer_matches) {
      violations.push_back(what + " got another answer than its own");
    }
    if (sent.outcome == "done" && !failed &&
        journals.succeeded.count(sent.job) == 0) {
      violations.push_back(what + " was told done and never ran to its end");
    }
    if (sent.outcome == "not_run" && ran) {
      violations.push_back(what + " was told not_run and ran");
    }
    if (sent.outcome == "not_run" && sent.was_accepted) {
      violations.push_back(what +
                           " was accepted and then not run: " + sent.reason);
    }
    if (sent.outcome == "unknown" && sent.was_accepted &&
        sent.kind.idempotent) {
      violations.push_back(what + " was accepted and lost: " + sent.reason);
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const VerdictInput& input) {
  std::vector<std::string> violations;
  std::set<std::string> non_idempotent;
  for (const auto& [key, sent] : input.sent) {
    if (!sent.kind.idempotent) non_idempotent.insert(sent.job);
  }
  Journals journals;
  CheckWorkers(input, journals, violations);
  CheckEndpoints(input, journals, non_idempotent, violations);
  CheckCallers(input, journals, violations);
  return violations;
}

std::map<std::string, int> CountOutcomes(
    const std::map<std::string, SentRequest>& sent) {
  std::map<std::string, int> counts;
  for (const auto& [key, request] : sent) {
    counts[request.outcome.empty() ? "none" : request.outcome]++;
  }
  return counts;
}

}  // namespace dotterelcove
