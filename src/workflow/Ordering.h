/// The order in which steps are placed. Designed for a cell in which bursts
/// bring more work than it has room for, or one client account sends many times
/// its usual: urgent work goes first, then work by how soon it must start to be
/// on time. With more work than room that would make all of it late, so jobs go
/// by the work that they still need: those that have begun end first, and as
/// many as possible are on time. What an account sends beyond its share comes
/// after that of all accounts within theirs, and jobs that are too late to have
/// any value last.
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

/// A job has no value any more once it takes longer than this multiple of its
/// objective.
inline constexpr int kLateFactor = 3;

/// Sort key, compared member by member; lower goes first.
struct OrderKey {
  /// The job is too late to have any value.
  bool is_without_value = false;
  /// The job is beyond the share of its client account.
  bool is_beyond_share = false;
  int priority = 0;
  /// `latest_start_ms`; in an overloaded service see OverloadRank().
  int64_t rank = 0;
  TimeMs accepted_ms = 0;
  // The members below are not compared.
  /// Monotonic time by which the step has to start for the job to meet its
  /// objective.
  TimeMs latest_start_ms = 0;
  /// The service is overloaded, and the job cannot meet its objective any more.
  bool is_late = false;

  friend bool operator==(const OrderKey& a, const OrderKey& b) {
    return !(a < b) && !(b < a);
  }
  friend bool operator<(const OrderKey& a, const OrderKey& b) {
    return std::tie(a.is_without_value, a.is_beyond_share, a.priority, a.rank,
                    a.accepted_ms) < std::tie(b.is_without_value,
                                              b.is_beyond_share, b.priority,
                                              b.rank, b.accepted_ms);
  }
};

/// The stated run time of each step.
std::vector<TimeMs> StatedMs(const JobSpec& spec);

/// For each step, the estimated length of the critical path from its start to
/// the end of the job, given the run time of each step.
std::vector<TimeMs> RemainingPathsMs(const JobSpec& spec,
                                     const std::vector<TimeMs>& run_ms);

/// Sets the run times to expect of the job's steps, and what follows from them.
/// The job's objective stays that of the stated ones, which the caller counts
/// on.
void SetExpectedMs(Job& job, std::vector<TimeMs> expected_ms);

/// The moment for which steps are ordered.
struct OrderTime {
  TimeMs now_ms = 0;
  int64_t wall_ms = 0;
  /// More work waits for the service than it can do soon.
  bool is_overloaded = false;
};

/// The rank of a job in an overloaded service: the work that it still needs, in
/// core-milliseconds. That of a job that is late weighs as much more as its
/// value is less. It falls with the time waited: a job with `n` times the work
/// of the smallest ones waits at most `n` times `kAgeingMs` longer than they
/// do, so that none starves.
inline constexpr TimeMs kAgeingMs = 10'000;
int64_t OverloadRank(int64_t remaining_work, bool is_late, TimeMs waited_ms);

OrderKey MakeOrderKey(const Job& job, uint32_t occurrence, uint32_t step,
                      const OrderTime& time);

}  // namespace dotterelcove::workflow
