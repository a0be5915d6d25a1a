/// A TCP relay for tests: forwards between two processes and can block either
/// direction, as a network partition does, without closing connections.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/NameTable.h"
#include "dotterelcove/Result.h"
#include "loop/EventLoop.h"

namespace dotterelcove {

/// Directions in which a link passes no bytes. "Forward" is from the process
/// that connects to the one that listens.
enum class LinkCut : uint8_t { kNone, kForward, kBackward, kBoth };
inline constexpr auto kLinkCutNames =
    MakeNameTable<LinkCut>({{LinkCut::kNone, "none"},
                            {LinkCut::kForward, "forward"},
                            {LinkCut::kBackward, "backward"},
                            {LinkCut::kBoth, "both"}});

struct LinkSpec {
  std::string name;
  uint16_t listen_port = 0;
  /// "ip:port" the connections are passed on to.
  std::string target;
};

/// A relay port could not be opened.
struct LinkListenError {
  std::string name;
  uint16_t port;
};

class LinkStandin {
 public:
  explicit LinkStandin(EventLoop& loop);
  ~LinkStandin();
  LinkStandin(const LinkStandin&) = delete;
  LinkStandin& operator=(const LinkStandin&) = delete;

  /// Opens the listening port of a link.
  Result<void> Add(const LinkSpec& spec);
  /// Sets the blocked directions of every link whose name matches `pattern`,
  /// where a trailing '*' matches any suffix. Returns the number of links.
  int SetCut(const std::string& pattern, LinkCut cut);

 private:
  struct Relay;
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace dotterelcove
