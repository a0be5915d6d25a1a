#pragma once

#include <cstdint>
#include <string>

#include "base/NameTable.h"

namespace dotterelcove {

/// Milliseconds on the monotonic clock of one process, or a duration.
using TimeMs = int64_t;

/// Priority class of a request kind; lower values are served first.
enum class RequestClass : uint8_t { kUrgent, kService, kBatch };
inline constexpr auto kRequestClassNames =
    MakeNameTable<RequestClass>({{RequestClass::kUrgent, "urgent"},
                                 {RequestClass::kService, "service"},
                                 {RequestClass::kBatch, "batch"}});

/// How a request kind is served: routed to an endpoint, or placed on workers.
enum class Delivery : uint8_t { kRoute, kPlace };
inline constexpr auto kDeliveryNames = MakeNameTable<Delivery>(
    {{Delivery::kRoute, "route"}, {Delivery::kPlace, "place"}});

/// Outcome of a request as reported to its caller. `kAccepted` means that the
/// request is recorded and has not ended yet; the other values are final.
enum class Outcome : uint8_t { kAccepted, kDone, kNotRun, kUnknown };
inline constexpr auto kOutcomeNames =
    MakeNameTable<Outcome>({{Outcome::kAccepted, "accepted"},
                            {Outcome::kDone, "done"},
                            {Outcome::kNotRun, "not_run"},
                            {Outcome::kUnknown, "unknown"}});

/// Capacity of a VM, or the resources one task needs. CPU is in thousandths of
/// a core.
struct Resources {
  int64_t milli_cores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Whether `need` fits into `free` in every dimension.
inline bool Fits(const Resources& need, const Resources& free) {
  return need.milli_cores <= free.milli_cores &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

inline Resources operator+(Resources a, const Resources& b) {
  return {a.milli_cores + b.milli_cores, a.memory_mb + b.memory_mb,
          a.accelerators + b.accelerators};
}

inline Resources operator*(const Resources& a, int64_t count) {
  return {a.milli_cores * count, a.memory_mb * count, a.accelerators * count};
}

inline Resources operator-(Resources a, const Resources& b) {
  return {a.milli_cores - b.milli_cores, a.memory_mb - b.memory_mb,
          a.accelerators - b.accelerators};
}

}  // namespace dotterelcove
