#pragma once

#include <optional>

#include "config/CellConfig.h"
#include "operator/CtlContext.h"
#include "operator/Options.h"

namespace dotterelcove {

/// Collects the configuration that the operands (folders of service files) or
/// --content FILE (whole content) name. On failure prints every fault and sets
/// `exit_code`.
std::optional<CellConfig> ReadConfigInput(CtlContext& context,
                                          const ParsedOptions& options,
                                          int& exit_code);

/// Reads the newest published configuration (version 0 before the first one).
/// On failure prints why and sets `exit_code`.
std::optional<CellConfig> ReadPublished(CtlContext& context, int& exit_code);

}  // namespace dotterelcove
