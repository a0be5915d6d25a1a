#include "tests/platform/soak/GangBoard.h"

#include "tests/platform/soak/RawHttp.h"

namespace dotterelcove::soak {

void GangBoard::Join(const GangRun& gang, const std::string& task, size_t count,
                     int64_t work_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Meeting& meeting = this->meetings[gang];
  meeting.present.insert(task);
  if (meeting.state != GangState::kWaiting) return;
  if (meeting.present.size() < count) return;
  meeting.state = GangState::kAtWork;
  meeting.done_ms = NowMs() + work_ms;
}

void GangBoard::Leave(const GangRun& gang) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Meeting& meeting = this->meetings[gang];
  if (meeting.state != GangState::kDone) meeting.state = GangState::kBroken;
}

GangState GangBoard::StateOf(const GangRun& gang) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Meeting& meeting = this->meetings[gang];
  if (meeting.state == GangState::kAtWork && NowMs() >= meeting.done_ms) {
    meeting.state = GangState::kDone;
  }
  return meeting.state;
}

}  // namespace dotterelcove::soak
