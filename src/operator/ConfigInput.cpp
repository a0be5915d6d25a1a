#include "operator/ConfigInput.h"

#include <fstream>
#include <iterator>
#include <sstream>

#include "config/ConfigPublisher.h"
#include "config/ServiceFiles.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

Result<CellConfig> ReadContent(const std::string& file) {
  std::ifstream stream(file);
  if (!stream.is_open()) {
    return leaf::new_error(
        SettingsError{{{file, 0, "file", file, "a file that can be read"}}});
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ParseCellConfig(text, 0, file);
}

Result<CellConfig> Collect(const ParsedOptions& options) {
  if (options.Has("content")) return ReadContent(options.Get("content"));
  return CollectServiceFiles(options.operands);
}

}  // namespace

std::optional<CellConfig> ReadConfigInput(CtlContext& context,
                                          const ParsedOptions& options,
                                          int& exit_code) {
  if (options.Has("content") == !options.operands.empty()) {
    exit_code = ReportError(context, kExitBadCommandLine,
                         "give either FOLDER… or --content FILE");
    return std::nullopt;
  }
  return leaf::try_handle_all(
      [&]() -> Result<std::optional<CellConfig>> {
        BOOST_LEAF_AUTO(config, Collect(options));
        return std::optional<CellConfig>(std::move(config));
      },
      [&](const SettingsError& error) {
        std::istringstream lines(FormatFaults(error));
        for (std::string line; std::getline(lines, line);) {
          context.err << Printable(line) << "\n";
        }
        const size_t count = error.faults.size();
        exit_code = ReportError(
            context, kExitFailed,
            std::to_string(count) + (count == 1 ? " fault" : " faults"));
        return std::optional<CellConfig>();
      },
      [&] {
        exit_code = ReportError(context, kExitFailed, "cannot read the files");
        return std::optional<CellConfig>();
      });
}

std::optional<CellConfig> ReadPublished(CtlContext& context, int& exit_code) {
  if (context.cell.tables.empty()) {
    exit_code = ReportError(context, kExitBadCommandLine,
                         "the cell file has no \"tables\"");
    return std::nullopt;
  }
  const TableClient tables{context.http, context.cell.tables,
                           context.timeout_ms};
  const ObjectClient objects{context.http, context.cell.objects,
                             context.timeout_ms};
  bool finished = false;
  ShowStatus status = ShowStatus::kUnavailable;
  CellConfig config;
  ShowConfig(tables, objects, 0, [&](ShowStatus read, CellConfig content) {
    status = read;
    config = std::move(content);
    finished = true;
  });
  // Each read of the store ends at its own timeout.
  while (!finished) {
    WaitWithProgress(
        context, "reading the published configuration",
        [&] { return finished; }, context.timeout_ms);
  }
  if (status == ShowStatus::kOk) return config;
  if (status == ShowStatus::kUnavailable) {
    exit_code = ReportError(context, kExitUnavailable,
                         "the table service cannot be reached");
    return std::nullopt;
  }
  exit_code = ReportError(context, kExitFailed,
                       "the published configuration is missing or malformed");
  return std::nullopt;
}

}  // namespace dotterelcove
