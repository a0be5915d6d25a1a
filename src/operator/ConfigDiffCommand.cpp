#include "config/ConfigDiff.h"
#include "operator/Commands.h"
#include "operator/ConfigInput.h"

namespace dotterelcove {

int RunConfigDiff(CtlContext& context, const ParsedOptions& options) {
  int exit_code = kExitOk;
  const auto config = ReadConfigInput(context, options, exit_code);
  if (!config) return exit_code;
  const auto published = ReadPublished(context, exit_code);
  if (!published) return exit_code;
  const std::string difference = DiffConfigs(*published, *config);
  if (context.json) {
    PrintJson(context, {{"published_version", published->version},
                        {"equal", difference.empty()},
                        {"difference", difference}});
    return kExitOk;
  }
  if (difference.empty()) {
    context.out << "equal to version " << published->version << "\n";
    return kExitOk;
  }
  context.out << "against version " << published->version << ":\n"
              << difference;
  return kExitOk;
}

}  // namespace dotterelcove
