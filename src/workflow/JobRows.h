/// Encoding of the store rows of jobs, their progress and the fleet.
///
/// Table "job": key ID holds the job as accepted, later its outcome; key ID.c
/// exists once its cancellation was requested. Table "progress": key ID holds
/// the progress of an open job's tasks. The outcome of a job is first stored
/// here, in the owner's commit, and moved to the job's row afterwards. Table
/// "fleet": the workers that may hold tasks, distributed over a fixed number of
/// rows. Table "estimates": one row with what owners have learnt of run times,
/// see src/estimates/RunTimes.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "workflow/Fleet.h"
#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

inline constexpr const char* kJobTable = "job";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kFleetTable = "fleet";
inline constexpr const char* kEstimatesTable = "estimates";
/// Number of rows of the fleet table. A single row would exceed the store's row
/// size from 1,000 workers on.
inline constexpr uint32_t kFleetRows = 32;
inline constexpr const char* kCancelSuffix = ".c";

/// The outcome of a job, kept for callers that query it later.
struct JobEnd {
  JobPhase phase = JobPhase::kCompleted;
  int64_t ended_wall_ms = 0;
};

std::string EncodeJob(const JobSpec& spec);
std::string EncodeJobEnd(const JobEnd& end);

/// A decoded row of the table "job", or of "progress" if the job has ended.
/// Exactly one of the two members is set for a valid row.
struct DecodedJob {
  std::optional<JobSpec> open;
  std::optional<JobEnd> ended;
};
/// Both members are empty for text that is not a valid row.
DecodedJob DecodeJob(const std::string& text);

/// The outcome in a row of the table "progress", or nothing if the row is of an
/// open job.
std::optional<JobEnd> DecodeEnd(const std::string& text);

/// Whether a task of the job with this progress row has started.
bool HasStarted(const std::string& text);

/// Leaves out checkpoints, and then the ended runs of tasks that have not
/// failed, if the row would have more than `max_bytes`. It may still have more.
std::string EncodeProgress(const Job& job, size_t max_bytes = SIZE_MAX);
/// Returns false for text that does not match the job; `job` may then be partly
/// changed.
bool ApplyProgress(const std::string& text, Job& job);

/// Key of the fleet row that names the worker.
std::string FleetKeyOf(const std::string& worker);

/// Encodes the workers of one fleet row, each with what is needed to sync it.
std::string EncodeFleet(const std::vector<RecordedWorker>& workers);
/// Returns nothing for a row in which any entry is malformed.
struct DecodedFleet {
  std::vector<RecordedWorker> workers;
  /// Damaged entries from which not even the worker's id can be read; 1 for a
  /// row that cannot be read at all.
  size_t unnamed = 0;
};
/// A damaged entry whose id can be read counts as a worker that was not
/// cordoned, so that a new owner waits for its lease.
DecodedFleet DecodeFleet(const std::string& text);

}  // namespace dotterelcove::workflow
