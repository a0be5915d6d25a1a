#include "operator/Commands.h"
#include "operator/ConfigInput.h"

namespace dotterelcove {

int RunConfigCheck(CtlContext& context, const ParsedOptions& options) {
  int exit_code = kExitOk;
  const auto config = ReadConfigInput(context, options, exit_code);
  if (!config) return exit_code;
  size_t kinds = 0;
  for (const auto& [name, service] : config->services) {
    kinds += service.kinds.size();
  }
  if (context.json) {
    PrintJson(context, {{"valid", true},
                        {"services", config->services.size()},
                        {"kinds", kinds},
                        {"teams", config->teams.size()},
                        {"callers", config->callers.size()}});
    return kExitOk;
  }
  context.out << "valid: " << config->services.size() << " services, " << kinds
              << " kinds, " << config->teams.size() << " teams, "
              << config->callers.size() << " callers\n";
  return kExitOk;
}

}  // namespace dotterelcove
