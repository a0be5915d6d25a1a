/// Writes the results of ended jobs to the table service and the object store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/Random.h"
#include "scheduler/Job.h"
#include "scheduler/Services.h"
#include "store/RecordWriter.h"

namespace dotterelcove {

/// Largest body that is stored in a row; larger ones go to the object store.
inline constexpr size_t kMaxRowBodyBytes = 16 << 10;
/// Largest body that is sent in a frame to an entry daemon.
inline constexpr size_t kMaxFrameBodyBytes = 256 << 10;

class ResultRecorder {
 public:
  ResultRecorder(Services& services, RecordWriter& writer);
  ResultRecorder(const ResultRecorder&) = delete;
  ResultRecorder& operator=(const ResultRecorder&) = delete;

  /// Records the result of one member of a recorded job with several members
  /// and acknowledges it after the commit.
  void RecordMember(const Job& job, uint32_t member, Acknowledge acknowledge);
  /// Records the end of a job. `done` runs once the result is durable: for a
  /// recorded job after the commit; for any other job once its body, if too
  /// large for a frame, is in the object store. By then the body of the result
  /// fits into a frame or `object` is set. `done` does not run if the write was
  /// fenced.
  void RecordEnd(Job& job, std::function<void()> done);

 private:
  void PutBody(const std::string& id, const std::string& body, int attempt,
               std::function<void()> done);
  void WriteEnd(const Job& job, std::function<void()> done);

  Services& services;
  RecordWriter& writer;
  Random random;
  /// Timers of the object writes to be retried, by number.
  std::map<uint64_t, std::unique_ptr<Timer>> retries;
  uint64_t next_retry = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace dotterelcove
