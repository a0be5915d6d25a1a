#pragma once

namespace dotterelcove {

/// Exit codes of dotterelcovectl, part of its interface for scripts.
enum ExitCode : int {
  kExitOk = 0,
  /// The answer is "no": not_run, not found, not ready, faults found.
  kExitFailed = 1,
  kExitBadCommandLine = 2,
  /// Nothing was done and it can be tried again later: no process reachable, no
  /// owner, overload, store down.
  kExitUnavailable = 3,
  /// Another key, version or body is in the way.
  kExitConflict = 4,
  /// It may or may not have been done; ask again.
  kExitUnknown = 5,
};

}  // namespace dotterelcove
