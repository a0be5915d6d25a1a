/// Input of publishing: a short file kept with each service's code, and one
/// file for the teams and callers of the cell.
///
/// A file is a JSON object with comments. It holds a service ("service",
/// "team", "kinds"), or "teams" and "callers", or both.
#pragma once

#include <string>
#include <vector>

#include "config/CellConfig.h"
#include "dotterelcove/Result.h"

namespace dotterelcove {

/// Name and content of a service file.
struct ServiceFile {
  std::string name;
  std::string text;
};

/// Merges the files into one configuration with version 0; fails with a
/// SettingsError that lists the faults of all files.
Result<CellConfig> MergeServiceFiles(const std::vector<ServiceFile>& files);

/// Reads all files "*.json" below the folders, recursively, and merges them. A
/// folder that cannot be read or holds no such file is a fault.
Result<CellConfig> CollectServiceFiles(const std::vector<std::string>& folders);

}  // namespace dotterelcove
