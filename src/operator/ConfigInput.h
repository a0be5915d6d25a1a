#pragma once

#include <optional>

#include "config/CellConfig.h"
#include "operator/CtlContext.h"
#include "operator/Options.h"

namespace dotterelcove {

/// Reads the configuration from the operands (folders of service files) or from
/// --content FILE (the whole content). On failure prints every validation error
/// and sets `exit_code`.
std::optional<CellConfig> ReadConfigInput(CtlContext& context,
                                          const ParsedOptions& options,
                                          int& exit_code);

/// Reads the newest published configuration (version 0 before the first one).
/// On failure prints the reason and sets `exit_code`.
std::optional<CellConfig> ReadPublished(CtlContext& context, int& exit_code);

}  // namespace dotterelcove
