#pragma once

#include <string>
#include <vector>

#include "dotterelcove/Result.h"

namespace dotterelcove {

/// Where the operator's command finds the processes of a cell.
struct CellFile {
  /// HTTP base URLs of the entry and scheduler daemons.
  std::vector<std::string> entries;
  std::vector<std::string> schedulers;
  /// Base URLs of the platform's table service and object store; publishing
  /// needs them, the rest does not.
  std::string tables;
  std::string objects;
};

/// The cell file could not be used; `message` names file, key and what is
/// allowed.
struct CellFileError {
  std::string message;
};

Result<CellFile> ParseCellFile(const std::string& text,
                               const std::string& file);
Result<CellFile> LoadCellFile(const std::string& file);

}  // namespace dotterelcove
