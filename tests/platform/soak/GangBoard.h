/// Where the members of gangs meet. All workers of a cell share one.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace dotterelcove::soak {

/// One run of a gang: "JOB.OCCURRENCE.STEP" and the number of the run.
using GangRun = std::pair<std::string, uint32_t>;

enum class GangState : uint8_t {
  /// Not all members are present.
  kWaiting,
  kAtWork,
  /// The work is done: all members end `done`.
  kDone,
  /// A member has ended otherwise.
  kBroken,
};

class GangBoard {
 public:
  /// A member of a gang of `count` arrives. The work begins with the last one
  /// and takes `work_ms`.
  void Join(const GangRun& gang, const std::string& task, size_t count,
            int64_t work_ms);
  /// A member ends otherwise than `done`.
  void Leave(const GangRun& gang);
  GangState StateOf(const GangRun& gang);

 private:
  struct Meeting {
    std::set<std::string> present;
    GangState state = GangState::kWaiting;
    int64_t done_ms = 0;
  };
  std::mutex mutex;
  std::map<GangRun, Meeting> meetings;
};

}  // namespace dotterelcove::soak
