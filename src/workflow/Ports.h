/// Interfaces of the controller to workers and the permit authority. The
/// platform's adapter and the tests' fakes implement them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/NameTable.h"
#include "dotterelcove/Types.h"

namespace dotterelcove::workflow {

/// Outcome of an order to a worker.
enum class OrderStatus : uint8_t {
  kOk,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// This run or a later one of the task has already ended on the worker.
  kOldRun,
  /// The lease end sent has already passed on the worker's clock.
  kLate,
  kNoRoom,
  kNoTicket,
  /// The worker is unhealthy; nothing was done.
  kUnhealthy,
  /// Another incarnation of the worker answered; nothing was done.
  kOtherIncarnation,
  /// The worker rejected the order as malformed; nothing was done.
  kMalformed,
  /// The call was not sent; nothing was done.
  kNotSent,
  /// No answer: the order may have been carried out, or may yet be.
  kUnknown,
};
inline constexpr auto kOrderStatusNames = MakeNameTable<OrderStatus>(
    {{OrderStatus::kOk, "ok"},
     {OrderStatus::kFenced, "fenced"},
     {OrderStatus::kOldRun, "old_run"},
     {OrderStatus::kLate, "late"},
     {OrderStatus::kNoRoom, "no_room"},
     {OrderStatus::kNoTicket, "no_ticket"},
     {OrderStatus::kUnhealthy, "unhealthy"},
     {OrderStatus::kOtherIncarnation, "other_incarnation"},
     {OrderStatus::kMalformed, "malformed"},
     {OrderStatus::kNotSent, "not_sent"},
     {OrderStatus::kUnknown, "unknown"}});

struct OrderAnswer {
  OrderStatus status = OrderStatus::kUnknown;
  /// The worker's clock at the answer, 0 if not given.
  int64_t clock_ms = 0;
};
using OrderCallback = std::function<void(OrderAnswer)>;

/// The worker that an order is sent to.
struct WorkerAddress {
  std::string id;
  std::string address;
  std::string zone;
  /// The incarnation that the order is meant for: no other one receives it. 0
  /// for unknown: whichever incarnation answers at the address receives it.
  uint64_t incarnation = 0;
};

struct StartOrder {
  std::string task;
  uint32_t run = 0;
  std::string payload;
  /// End of the lease, on the worker's clock.
  int64_t lease_end_clock_ms = 0;
  uint64_t token = 0;
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  std::string task;
  uint32_t run = 0;
  uint64_t token = 0;
};

struct PaceOrder {
  std::string task;
  uint32_t run = 0;
  int percent = 100;
  uint64_t token = 0;
};

/// Renews the lease, acknowledges ends and requests a list of the runs.
struct SyncOrder {
  uint64_t token = 0;
  uint64_t acked = 0;
  /// 0 renews nothing.
  int64_t lease_end_clock_ms = 0;
  /// How long the worker may hold the answer until a run ends.
  TimeMs wait_ms = 0;
};

struct ReportedRun {
  std::string task;
  uint32_t run = 0;
  std::string checkpoint;
  int percent = 0;
  /// Tail latency in milliseconds of a serving task, processors used of any
  /// other; -1 when not reported.
  double usage = -1;
};

/// How a run ended, as reported by its worker.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  /// Another member of the gang ended.
  kBroken,
  /// The other members of the gang did not start in time.
  kAlone,
};
inline constexpr auto kRunEndNames =
    MakeNameTable<RunEnd>({{RunEnd::kDone, "done"},
                           {RunEnd::kFailed, "failed"},
                           {RunEnd::kStopped, "stopped"},
                           {RunEnd::kLapsed, "lapsed"},
                           {RunEnd::kBroken, "broken"},
                           {RunEnd::kAlone, "alone"}});

struct ReportedEnd {
  uint64_t number = 0;
  std::string task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

struct SyncAnswer {
  OrderStatus status = OrderStatus::kUnknown;
  int64_t clock_ms = 0;
  /// 0 if the worker did not report it.
  uint64_t incarnation = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};
using SyncCallback = std::function<void(SyncAnswer)>;

/// A worker lists at most this many ends in one answer.
inline constexpr size_t kMaxEndsPerAnswer = 500;

/// Whether the answer tells how each run has ended that it does not list as
/// running. If not, nothing follows from the absence of a run.
inline bool ListsAllEnds(const SyncAnswer& answer) {
  return answer.ended.size() < kMaxEndsPerAnswer;
}

struct WorkerPort {
  std::function<void(const WorkerAddress&, const StartOrder&, OrderCallback)>
      start;
  std::function<void(const WorkerAddress&, const StopOrder&, OrderCallback)>
      stop;
  std::function<void(const WorkerAddress&, const PaceOrder&, OrderCallback)>
      pace;
  std::function<void(const WorkerAddress&, const SyncOrder&, SyncCallback)>
      sync;
};

/// Asks which of the workers may run the tasks of one step.
struct PermitRequest {
  std::string step;
  std::vector<std::string> workers;
};
struct PermitGrant {
  std::string worker;
  std::string ticket;
};
enum class PermitStatus : uint8_t { kOk, kBusy, kFailed };
inline constexpr auto kPermitStatusNames =
    MakeNameTable<PermitStatus>({{PermitStatus::kOk, "ok"},
                                 {PermitStatus::kBusy, "busy"},
                                 {PermitStatus::kFailed, "failed"}});
struct PermitAnswer {
  PermitStatus status = PermitStatus::kFailed;
  std::vector<PermitGrant> grants;
  TimeMs validity_ms = 0;
};
using PermitCallback = std::function<void(PermitAnswer)>;
using PermitPort = std::function<void(const PermitRequest&, PermitCallback)>;

}  // namespace dotterelcove::workflow
