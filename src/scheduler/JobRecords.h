/// Rows of the table service that hold jobs, see docs/design.md 4.
///   job/<partition>/<id>            an open job
///   job/<partition>/<id>/<member>   a member that has ended
///   ended/<partition>/<id>          an ended job, kept for 24 hours
///   intent/<partition>/<id>         a non-idempotent routed request
///   entry-down/<process>            an entry daemon that holds no grant
///   worker/<partition>/<id>         a worker that may hold tasks
#pragma once

#include <cstdint>
#include <string>

#include "border/vmlist/VmList.h"
#include "scheduler/Job.h"

namespace dotterelcove {

/// Time after which the row of an ended job may be deleted.
inline constexpr int64_t kEndedRecordRetentionMs = 86'400'000;

std::string OpenJobPrefix(uint32_t partition);
std::string OpenJobKey(uint32_t partition, const std::string& job);
std::string MemberKey(uint32_t partition, const std::string& job,
                      uint32_t member);
std::string EndedJobPrefix(uint32_t partition);
std::string EndedJobKey(uint32_t partition, const std::string& job);
std::string IntentPrefix(uint32_t partition);
std::string IntentKey(uint32_t partition, const std::string& job);
std::string EntryDownPrefix();
std::string EntryDownKey(const std::string& process);
std::string UsedWorkerPrefix(uint32_t partition);
std::string UsedWorkerKey(uint32_t partition, const std::string& worker);

/// Serializes a Submit for rows and task descriptors.
std::string PackSubmit(const wire::SubmitT& submit);
bool UnpackSubmit(const std::string& bytes, wire::SubmitT& submit);

/// Row of an open job. The wall-clock time of its acceptance lets the next
/// owner compute the remaining deadline and the age.
struct OpenJobRow {
  wire::SubmitT submit;
  int64_t accepted_wall_ms = 0;
};
std::string ToRow(const OpenJobRow& row);
bool FromRow(const std::string& text, OpenJobRow& row);

struct MemberRow {
  std::string result;
  std::string worker;
};
std::string ToRow(const MemberRow& row);
bool FromRow(const std::string& text, MemberRow& row);

struct EndedJobRow {
  std::string body_digest;
  JobResult result;
  int64_t ended_wall_ms = 0;
};
std::string ToRow(const EndedJobRow& row);
bool FromRow(const std::string& text, EndedJobRow& row);

/// Row written before a non-idempotent routed request may be granted a slot.
struct IntentRow {
  std::string entry;
  std::string caller;
  std::string key;
  std::string body_digest;
};
std::string ToRow(const IntentRow& row);
bool FromRow(const std::string& text, IntentRow& row);

/// Row of a worker that may hold tasks of its current incarnation. A later
/// owner that finds another incarnation there knows that such tasks may have
/// run.
struct UsedWorkerRow {
  Vm vm;
  uint64_t incarnation = 0;
};
std::string ToRow(const UsedWorkerRow& row);
bool FromRow(const std::string& text, UsedWorkerRow& row);

}  // namespace dotterelcove
