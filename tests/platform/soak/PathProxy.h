/// Loopback TCP proxy of many paths, each of which can be disturbed on its own.
/// One thread serves all of them.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/NameTable.h"
#include "loop/EventLoop.h"

namespace dotterelcove::soak {

enum class PathFaultKind : uint8_t {
  kNone,
  /// Nothing is carried. Connections stay open, new ones are accepted, and what
  /// was sent on open ones arrives once the fault is over.
  kCut,
  /// The same, only for what the connecting side sends.
  kForwardCut,
  /// The same, only for what the connecting side is sent.
  kBackwardCut,
  /// The open connections are reset; new ones work.
  kReset,
  /// The open connections carry nothing ever after; new ones work.
  kStalled,
  kDelayed,
};
inline constexpr auto kPathFaultKindNames =
    MakeNameTable<PathFaultKind>({{PathFaultKind::kNone, "none"},
                                  {PathFaultKind::kCut, "both ways"},
                                  {PathFaultKind::kForwardCut, "one way"},
                                  {PathFaultKind::kBackwardCut, "other way"},
                                  {PathFaultKind::kReset, "reset"},
                                  {PathFaultKind::kStalled, "stalled"},
                                  {PathFaultKind::kDelayed, "delayed"}});

struct PathFault {
  PathFaultKind kind = PathFaultKind::kNone;
  int64_t delay_ms = 0;
  /// Of several faults of a path, each is ended by whoever has set it. A whole
  /// cut prevails over others.
  uint64_t set_by = 0;
};

class PathProxy {
 public:
  PathProxy();
  ~PathProxy();
  PathProxy(const PathProxy&) = delete;
  PathProxy& operator=(const PathProxy&) = delete;

  /// Adds a path from `ip` to `target_ip`, both at `port`; paths are numbered
  /// from 0. Returns false if the address is in use. Not after Start().
  bool Add(const std::string& ip, const std::string& target_ip, uint16_t port);
  void Start();
  void SetFault(size_t path, PathFault fault);

 private:
  struct Path;
  struct Channel;

  void OnTick();
  void ApplyFaults();
  void Accept(Path& path);
  /// Carries what can be carried.
  void Pump(Channel& channel);
  /// A path to a target without a listener refuses connections, as that does,
  /// unless it is cut. It learns of this when one of its connections is lost.
  void CheckTarget(Path& path);
  bool UpdateListener(Path& path);

  EventLoop loop;
  Timer tick;
  int64_t checked_ms = 0;
  std::vector<std::unique_ptr<Path>> paths;
  std::vector<std::unique_ptr<Channel>> channels;
  std::mutex mutex;
  /// Faults by path and by who has set them, and changes that the thread has
  /// not applied yet.
  std::map<size_t, std::map<uint64_t, PathFault>> faults;
  std::map<size_t, PathFault> next_faults;
  std::atomic<bool> ended{false};
  std::thread thread;
};

}  // namespace dotterelcove::soak
