/// Human-readable difference of two configurations.
#pragma once

#include <string>

#include "config/CellConfig.h"

namespace dotterelcove {

/// One line for each value that differs, by path: "+ path = value" for a new
/// one, "- path = value" for a removed one, "~ path: old -> new" for a changed
/// one. Empty when the configurations are equal; versions are not compared.
std::string DiffConfigs(const CellConfig& before, const CellConfig& after);

}  // namespace dotterelcove
