#pragma once

#include <string>
#include <vector>

#include "dotterelcove/Result.h"

namespace dotterelcove {

/// Addresses at which dotterelcovectl finds the processes of a cell.
struct CellFile {
  /// HTTP base URLs of the entry and scheduler daemons.
  std::vector<std::string> entries;
  std::vector<std::string> schedulers;
  /// Base URLs of the platform's table service and object store. Only commands
  /// that read or publish the configuration need them; `objects` defaults to
  /// `tables`.
  std::string tables;
  std::string objects;
};

/// The cell file is unreadable or invalid; `message` names the file, the key
/// and the allowed values.
struct CellFileError {
  std::string message;
};

Result<CellFile> ParseCellFile(const std::string& text,
                               const std::string& file);
Result<CellFile> LoadCellFile(const std::string& file);

}  // namespace dotterelcove
