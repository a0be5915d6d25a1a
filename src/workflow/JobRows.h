/// The rows in which jobs and their progress are stored.
///
/// Table "job": key ID holds the job as accepted, later how it ended; key ID.c
/// exists once its cancellation was asked for. Table "progress": key ID holds
/// what the tasks of an open job have reached; how a job ended is stored here
/// first, in the owner's commit, and moved to the job's row afterwards. Table
/// "fleet": the workers that may hold tasks, spread over a fixed number of
/// rows.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "workflow/Fleet.h"
#include "workflow/JobTable.h"

namespace dotterelcove::workflow {

inline constexpr const char* kJobTable = "job";
inline constexpr const char* kProgressTable = "progress";
inline constexpr const char* kFleetTable = "fleet";
/// Rows of the fleet table. One row would be too long from 1,000 workers on.
inline constexpr uint32_t kFleetRows = 32;
inline constexpr const char* kCancelSuffix = ".c";

/// How a job ended, as kept for callers that ask later.
struct JobEnd {
  JobPhase phase = JobPhase::kCompleted;
  int64_t ended_wall_ms = 0;
};

std::string EncodeJob(const JobSpec& spec);
std::string EncodeJobEnd(const JobEnd& end);

/// A row of the table "job", or of "progress" when the job has ended: one of
/// both is set in a sound row.
struct DecodedJob {
  std::optional<JobSpec> open;
  std::optional<JobEnd> ended;
};
/// Both are empty for text that is not such a row.
DecodedJob DecodeJob(const std::string& text);

/// How the job ended if the row of the table "progress" says that it has.
std::optional<JobEnd> DecodeEnd(const std::string& text);

std::string EncodeProgress(const Job& job);
/// Returns false, leaving `job` partly changed, for text that does not fit it.
bool ApplyProgress(const std::string& text, Job& job);

/// Key of the fleet row that names the worker.
std::string FleetKeyOf(const std::string& worker);

/// The workers of one fleet row, each with what is needed to ask it.
std::string EncodeFleet(const std::vector<RecordedWorker>& workers);
/// Entries that are not such a worker are left out.
std::vector<RecordedWorker> DecodeFleet(const std::string& text);

}  // namespace dotterelcove::workflow
