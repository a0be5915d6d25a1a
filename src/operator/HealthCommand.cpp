#include "operator/Commands.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

bool IsReady(const ProcessView& process) {
  return process.reached && process.state.value("ready", Json(false)) == true;
}

/// Longest time without an answer of the store that is taken for normal: three
/// reads of a standby and the time limit of one.
constexpr int64_t kMaxStoreAgeMs = 3'000;

/// Milliseconds since any scheduler daemon had an answer of the store, or -1
/// when none of them tells.
int64_t StoreAgeMs(const std::vector<ProcessView>& processes) {
  int64_t age_ms = -1;
  for (const ProcessView& process : processes) {
    if (!process.reached || !process.state.contains("store_age_ms")) continue;
    const Json& value = process.state["store_age_ms"];
    if (!value.is_number_integer()) continue;
    const auto own_ms = value.get<int64_t>();
    if (age_ms < 0 || own_ms < age_ms) age_ms = own_ms;
  }
  return age_ms;
}

std::string ReasonOf(const ProcessView& process) {
  if (!process.reached) return process.detail;
  return TextOf(process.state, "not_ready_reason");
}

Json MakeRow(const ProcessView& process, bool owner) {
  Json row = {{"url", process.url},
              {"role", process.is_scheduler ? "scheduler" : "entry"},
              {"reached", process.reached},
              {"ready", IsReady(process)},
              {"owner", owner}};
  const std::string reason = ReasonOf(process);
  if (!reason.empty()) row["reason"] = reason;
  for (const char* name : {"process", "zone", "version", "config_version",
                           "owner_epoch", "draining", "store_up"}) {
    if (process.state.is_object() && process.state.contains(name)) {
      row[name] = process.state[name];
    }
  }
  return row;
}

void PrintRows(CtlContext& context, const Json& rows) {
  TextTable table;
  table.heading = {"PROCESS", "ZONE",   "ROLE",    "READY", "OWNER",
                   "EPOCH",   "CONFIG", "VERSION", "REASON"};
  for (const Json& row : rows) {
    const std::string name = TextOf(row, "process");
    table.rows.push_back(
        {name.empty() ? TextOf(row, "url") : name, TextOf(row, "zone"),
         TextOf(row, "role"), row["ready"] == true ? "yes" : "no",
         row["owner"] == true ? "yes" : "", ScalarOf(row, "owner_epoch"),
         ScalarOf(row, "config_version"), TextOf(row, "version"),
         TextOf(row, "reason")});
  }
  PrintTable(table, context.out);
}

}  // namespace

int RunHealth(CtlContext& context, const ParsedOptions&) {
  const auto processes = FetchProcesses(context);
  if (processes.empty()) {
    return ReportError(context, kExitBadCommandLine,
                    "the cell file names no processes");
  }
  const ProcessView* owner = FindOwner(processes);
  Json rows = Json::array();
  size_t reached = 0;
  size_t ready = 0;
  for (const ProcessView& process : processes) {
    rows.push_back(MakeRow(process, &process == owner));
    reached += process.reached ? 1 : 0;
    ready += IsReady(process) ? 1 : 0;
  }
  const int64_t store_age_ms = StoreAgeMs(processes);
  const bool store_down = store_age_ms > kMaxStoreAgeMs;
  if (context.json) {
    PrintJson(context, {{"processes", rows},
                        {"has_owner", owner != nullptr},
                        {"store_age_ms", store_age_ms}});
  } else {
    PrintRows(context, rows);
    context.out << ready << " of " << processes.size() << " ready, "
                << (owner == nullptr ? "no owner" : "one owner");
    if (store_down) {
      context.out << ", store down for " << store_age_ms / 1'000 << " s";
    }
    context.out << "\n";
  }
  if (reached == 0) return kExitUnavailable;
  const bool healthy =
      ready == processes.size() && owner != nullptr && !store_down;
  return healthy ? kExitOk : kExitFailed;
}

}  // namespace dotterelcove
