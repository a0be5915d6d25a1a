/// Tables of the decision core. Rows are addressed by index; the systems of a
/// tick (Systems.h) read and change them.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Core.h"

namespace dotterelcove::core {

using WorkerIndex = uint32_t;
using JobIndex = uint32_t;
using TeamIndex = uint32_t;
using WorkloadIndex = uint32_t;
using Commands = std::vector<Command>;

inline constexpr uint32_t kNone = UINT32_MAX;

enum class MemberState : uint8_t {
  /// To be placed.
  kWaiting,
  /// To be placed after a backoff.
  kDelayed,
  kStarting,
  kRunning,
  /// Asked to checkpoint or stop.
  kStopping,
  /// May be on a worker that has not answered since the takeover.
  kUncertain,
  kEnded,
};

/// Returns whether a member in this state may occupy a worker.
inline bool IsActive(MemberState state) {
  return state == MemberState::kStarting || state == MemberState::kRunning ||
         state == MemberState::kStopping || state == MemberState::kUncertain;
}

/// One task of a job.
struct Member {
  MemberState state = MemberState::kWaiting;
  bool succeeded = false;
  /// Number of the current or last attempt; the first one is 1.
  uint32_t attempt = 0;
  uint32_t failures = 0;
  uint32_t preemptions = 0;
  WorkerIndex worker = kNone;
  Resources allocated;
  TimeMs started_ms = 0;
};

struct Job {
  std::string id;
  /// Unique per job: timers and reports use it to detect that the row has been
  /// reused for another job.
  uint64_t sequence = 0;
  bool live = false;
  bool queued = false;
  bool gang = false;
  bool idempotent = true;
  bool cancelled = false;
  /// An attempt ended in another way than kNotStarted.
  bool may_have_run = false;
  /// The gang lost a member and is queued again once the others have ended.
  bool restarting = false;
  RequestClass request_class = RequestClass::kBatch;
  TeamIndex team = 0;
  WorkloadIndex workload = 0;
  Resources size;
  TimeMs duration_ms = 0;
  TimeMs start_by_ms = 0;
  TimeMs submitted_ms = 0;
  /// Position within the class queue; lower goes first.
  int64_t order = 0;
  std::vector<Member> members;
  uint32_t waiting = 0;
  uint32_t active = 0;
  uint32_t ended = 0;
  /// Rows of Cell::claims held by this job.
  uint32_t claims = 0;
  /// Set once the end is decided; announced when no member is active.
  std::optional<JobEnd> ending;
  std::string message;
  /// Worker on which an attempt failed last, avoided by the next attempt.
  WorkerIndex failed_on = kNone;
  /// Failed on a worker on which other jobs succeed.
  bool at_fault = false;
};

/// Returns whether the member may be preempted: it can run again, and its class
/// tolerates the delay.
inline bool IsPreemptible(const Job& job, const Member& member) {
  return job.request_class == RequestClass::kBatch && job.idempotent &&
         (member.state == MemberState::kStarting ||
          member.state == MemberState::kRunning);
}

/// A member of a job, as kept in worker rows.
struct MemberRef {
  JobIndex job = kNone;
  uint32_t member = 0;
  friend bool operator==(const MemberRef&, const MemberRef&) = default;
};

struct Worker {
  WorkerSpec spec;
  uint32_t zone = 0;
  uint32_t rack = 0;
  WorkerState state = WorkerState::kUnreachable;
  Resources allocated;
  /// Capacity kept for urgent jobs that wait for preempted tasks to end.
  Resources claimed;
  /// Capacity kept for the job with the reservation.
  Resources reserved;
  std::vector<MemberRef> tasks;
  /// Part of `allocated` held by tasks that were asked to stop.
  Resources stopping;
  /// Part of `allocated` held by tasks that may be preempted.
  Resources preemptible;
  /// Consecutive failures that count against the worker, see CountFailure.
  uint32_t failures = 0;
  /// A task succeeded since the last counted failure.
  bool healthy = false;
  bool quarantined = false;
  /// Quarantined, but one task may be placed to probe for recovery.
  bool probing = false;
  /// The probe task has been placed.
  bool probe_started = false;
  TimeMs probe_at_ms = 0;
  TimeMs probe_delay_ms = 0;
  /// Position in the free-capacity index, kNone when not indexed.
  uint32_t bucket = kNone;
  uint32_t bucket_position = 0;
};

struct TeamQueue;

struct Team {
  std::string name;
  bool has_quota = false;
  Resources quota;
  Resources used;
  /// Part of `used` held by tasks that were asked to stop.
  Resources stopping;
  /// Capacity claimed on workers for its jobs.
  Resources claimed;
  uint32_t queued_jobs = 0;
  /// Lanes with queued jobs of this team.
  std::vector<TeamQueue*> team_queues;
};

/// Usage learned for one workload, as peaks of used against declared sizes.
struct Workload {
  std::string name;
  uint32_t reports = 0;
  /// Decaying peaks of used / declared.
  double core_peak = 0;
  double memory_peak = 0;
  /// Failed on workers on which other workloads succeed, and has not succeeded
  /// since.
  bool at_fault = false;
  /// Active members by zone and by rack, for the spreading of services.
  std::map<uint32_t, uint32_t> by_zone;
  std::map<uint32_t, uint32_t> by_rack;
};

/// Sort key of a job in a queue. The sequence number makes the order total.
struct QueueEntry {
  int64_t order = 0;
  uint64_t sequence = 0;
  JobIndex job = kNone;
  friend auto operator<=>(const QueueEntry& a, const QueueEntry& b) {
    if (a.order != b.order) return a.order <=> b.order;
    return a.sequence <=> b.sequence;
  }
  friend bool operator==(const QueueEntry& a, const QueueEntry& b) {
    return a.sequence == b.sequence;
  }
};

struct ShapeQueue;

/// Queued jobs of one shape and team, in order.
struct TeamQueue {
  TeamIndex team = 0;
  ShapeQueue* shape = nullptr;
  std::set<QueueEntry> jobs;
  /// Starting the head exceeds the quota of the team.
  bool borrowing = false;
  /// Allocation of one task when the head was last listed.
  Resources size;
  /// The entry of this queue in ShapeQueue::heads.
  QueueEntry listed_head;
};

/// First job of a team queue; teams within their quota go first.
struct TeamQueueHead {
  bool borrowing = false;
  QueueEntry entry;
  TeamQueue* team_queue = nullptr;
  friend bool operator<(const TeamQueueHead& a, const TeamQueueHead& b) {
    if (a.borrowing != b.borrowing) return b.borrowing;
    return a.entry < b.entry;
  }
};

/// What decides where a task of a job fits and how it is backfilled.
struct ShapeKey {
  WorkloadIndex workload = 0;
  Resources size;
  /// Bit width of the declared duration in seconds; part of the key since
  /// backfill depends on the duration.
  uint32_t duration_class = 0;
  friend bool operator<(const ShapeKey& a, const ShapeKey& b) {
    if (a.workload != b.workload) return a.workload < b.workload;
    if (a.duration_class != b.duration_class)
      return a.duration_class < b.duration_class;
    if (a.size.milli_cores != b.size.milli_cores)
      return a.size.milli_cores < b.size.milli_cores;
    if (a.size.memory_mb != b.size.memory_mb)
      return a.size.memory_mb < b.size.memory_mb;
    return a.size.accelerators < b.size.accelerators;
  }
};

/// Jobs of one workload, size and duration class: when one of them fits
/// nowhere, none does.
struct ShapeQueue {
  ShapeKey key;
  std::map<TeamIndex, TeamQueue> team_queues;
  std::set<TeamQueueHead> heads;
  /// Value of Cell::capacity_epoch when the shape last fitted nowhere.
  uint64_t failed_epoch = 0;
};

/// Queued jobs of one request class except gangs, which have a queue of their
/// own.
struct ClassQueue {
  std::map<ShapeKey, ShapeQueue> shapes;
  uint64_t jobs = 0;
};

/// Usable workers by free accelerators and free whole cores.
struct FreeIndex {
  static constexpr uint32_t kAcceleratorClasses = 17;
  static constexpr uint32_t kCoreBuckets = 64;
  std::array<std::vector<WorkerIndex>,
             size_t{kAcceleratorClasses} * kCoreBuckets>
      buckets;
  /// Per accelerator class, one bit for each core bucket that is not empty.
  std::array<uint64_t, kAcceleratorClasses> occupied{};
};

/// Workers of equal capacity, for the check whether a job can ever run.
struct CapacityClass {
  Resources capacity;
  uint32_t workers = 0;
};

enum class TimerKind : uint8_t { kRetry, kStartBy, kEscalate };

struct Timer {
  TimeMs at_ms = 0;
  /// Makes the order of timers with equal times total.
  uint64_t order = 0;
  TimerKind kind = TimerKind::kRetry;
  JobIndex job = kNone;
  uint64_t job_sequence = 0;
  uint32_t member = 0;
  uint32_t attempt = 0;
  uint32_t step = 0;
  friend bool operator>(const Timer& a, const Timer& b) {
    if (a.at_ms != b.at_ms) return a.at_ms > b.at_ms;
    return a.order > b.order;
  }
};

/// Capacity reserved for one job that fits nowhere now, with its expected
/// start.
struct Reservation {
  JobIndex job = kNone;
  uint64_t job_sequence = 0;
  TimeMs start_ms = 0;
  TimeMs made_ms = 0;
  std::vector<WorkerIndex> workers;
};

/// Capacity on a worker kept for a job while preempted tasks end there.
struct Claim {
  JobIndex job = kNone;
  uint64_t job_sequence = 0;
  TeamIndex team = 0;
  WorkerIndex worker = kNone;
  Resources size;
  TimeMs made_ms = 0;
};

struct EndedTask {
  MemberRef ref;
  uint64_t job_sequence = 0;
  uint32_t attempt = 0;
  TaskEnd end = TaskEnd::kSucceeded;
};

struct UsageReport {
  WorkloadIndex workload = 0;
  Resources declared;
  Resources used;
};

struct Cell {
  CoreOptions options;
  std::vector<Worker> workers;
  std::vector<std::string> zones;
  std::vector<std::string> racks;
  std::vector<Team> teams;
  std::vector<Workload> workloads;
  std::vector<Job> jobs;
  std::vector<JobIndex> free_jobs;

  std::unordered_map<std::string, WorkerIndex> worker_by_id;
  std::unordered_map<std::string, uint32_t> zone_by_name;
  std::unordered_map<std::string, uint32_t> rack_by_name;
  std::unordered_map<std::string, TeamIndex> team_by_name;
  std::unordered_map<std::string, WorkloadIndex> workload_by_name;
  std::unordered_map<std::string, JobIndex> job_by_id;
  bool has_quotas = false;

  FreeIndex free_index;
  std::vector<CapacityClass> capacities;
  Resources total_capacity;
  /// Incremented when a shape that fitted nowhere may fit now: capacity became
  /// free, a size estimate shrank or a quota changed.
  uint64_t capacity_epoch = 1;

  std::array<ClassQueue, 3> queues;
  /// Queued gangs of all classes.
  std::set<QueueEntry> gangs;
  uint64_t queued_jobs = 0;
  uint64_t active_members = 0;
  uint32_t quarantined = 0;

  /// Input of the next tick.
  std::deque<std::pair<JobIndex, uint64_t>> cancellations;
  std::vector<EndedTask> ended;
  std::vector<EndedTask> lost;
  std::vector<UsageReport> usage;
  std::vector<JobIndex> shed;
  /// Jobs found complete after a takeover.
  std::vector<JobIndex> finished;
  /// A heap, earliest first.
  std::vector<Timer> timers;
  std::optional<Reservation> reservation;
  TimeMs next_reservation_ms = 0;
  TimeMs next_reclaim_ms = 0;
  std::vector<Claim> claims;
  /// Worker at which the next search for preemption victims begins.
  WorkerIndex victim_cursor = 0;

  uint64_t next_sequence = 1;
  uint64_t next_timer = 1;
};

inline Resources FreeOf(const Worker& worker) {
  return worker.spec.capacity - worker.allocated;
}

inline Resources Min(const Resources& a, const Resources& b) {
  return {std::min(a.milli_cores, b.milli_cores),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

inline Resources AtLeastZero(const Resources& a) {
  return {std::max<int64_t>(a.milli_cores, 0),
          std::max<int64_t>(a.memory_mb, 0),
          std::max<int64_t>(a.accelerators, 0)};
}

inline bool IsZero(const Resources& a) { return a == Resources{}; }

/// Adds a timer; it is delivered by the tick at or after `timer.at_ms`.
void AddTimer(Cell& cell, Timer timer);

}  // namespace dotterelcove::core
