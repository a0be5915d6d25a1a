#pragma once

namespace dotterelcove {

/// Exit codes of dotterelcovectl, part of its interface for scripts.
enum ExitCode : int {
  kExitOk = 0,
  /// The answer is negative: not_run, not found, not ready, invalid input.
  kExitFailed = 1,
  kExitBadCommandLine = 2,
  /// Nothing was done and the command can be retried: no process reachable, no
  /// owner, overload, store down.
  kExitUnavailable = 3,
  /// Conflict with another version, or with another body under the same key.
  kExitConflict = 4,
  /// The outcome is unknown: it may have been done; query the status.
  kExitUnknown = 5,
};

}  // namespace dotterelcove
