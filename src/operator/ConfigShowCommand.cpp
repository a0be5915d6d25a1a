#include "operator/Commands.h"
#include "operator/ConfigInput.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

Json MakeRows(const std::vector<ProcessView>& processes) {
  Json rows = Json::array();
  for (const ProcessView& process : processes) {
    Json row = {{"url", process.url}, {"reached", process.reached}};
    for (const char* name : {"process", "zone", "config_version"}) {
      if (process.reached && process.state.contains(name)) {
        row[name] = process.state[name];
      }
    }
    if (!process.reached) row["reason"] = process.detail;
    rows.push_back(std::move(row));
  }
  return rows;
}

void PrintVersions(CtlContext& context, const CellConfig& published,
                   const Json& rows) {
  context.out << "published: version " << published.version << "\n";
  TextTable table;
  table.heading = {"PROCESS", "ZONE", "IN FORCE", "REASON"};
  for (const Json& row : rows) {
    const std::string name = TextOf(row, "process");
    table.rows.push_back({name.empty() ? TextOf(row, "url") : name,
                          TextOf(row, "zone"), ScalarOf(row, "config_version"),
                          TextOf(row, "reason")});
  }
  if (!table.rows.empty()) PrintTable(table, context.out);
}

}  // namespace

int RunConfigShow(CtlContext& context, const ParsedOptions& options) {
  int exit_code = kExitOk;
  const auto published = ReadPublished(context, exit_code);
  if (options.Has("content")) {
    if (published) context.out << SerializeCellConfig(*published) << "\n";
    return exit_code;
  }
  const Json rows = MakeRows(FetchProcesses(context));
  size_t in_force = 0;
  for (const Json& row : rows) {
    const bool current = published && row.contains("config_version") &&
                         row["config_version"] == published->version;
    in_force += current ? 1 : 0;
  }
  const bool everywhere = published && in_force == rows.size();
  const CellConfig shown = published.value_or(CellConfig{});
  if (context.json) {
    Json body = {{"processes", rows}, {"in_force_everywhere", everywhere}};
    if (published) body["published_version"] = published->version;
    PrintJson(context, body);
  } else if (published) {
    PrintVersions(context, shown, rows);
  }
  if (!published) return exit_code;
  return everywhere ? kExitOk : kExitFailed;
}

}  // namespace dotterelcove
