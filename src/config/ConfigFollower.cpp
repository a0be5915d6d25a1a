#include "config/ConfigFollower.h"

#include <utility>

#include "base/Random.h"
#include "config/ConfigRows.h"
#include "telemetry/Log.h"

namespace dotterelcove {
namespace {

/// Room for the other fields of a reply in a frame of 1 MiB.
constexpr size_t kMaxReplyContentBytes = (1 << 20) - 4'096;

}  // namespace

struct ConfigFollower::State {
  State(EventLoop& loop, TableClient tables, ObjectClient objects,
        ConfigFollowerOptions options, ConfigFollowerCallbacks callbacks)
      : tables(std::move(tables)),
        objects(std::move(objects)),
        options(options),
        callbacks(std::move(callbacks)),
        random(MakeSystemRandom()),
        poll_timer(loop, [this] { this->PollHead(); }),
        fetch_timer(loop, [this] { this->Fetch(this->highest_peer_version); }) {
  }

  void PollHead();
  void OnHead(FetchStatus status, const ConfigHead& head);
  void Fetch(uint64_t version);
  void OnFetched(uint64_t version, FetchStatus status,
                 const ConfigContent& content);
  bool Apply(const ConfigContent& content);
  void RequestFromPeer();

  TableClient tables;
  ObjectClient objects;
  ConfigFollowerOptions options;
  ConfigFollowerCallbacks callbacks;
  Random random;

  CellConfig config;
  ConfigContent content;
  /// A version with content that this process cannot read; it is not fetched
  /// again.
  uint64_t rejected_version = 0;
  /// The highest version that a peer told, and one peer that has it.
  uint64_t highest_peer_version = 0;
  LinkId peer = 0;
  bool fetching = false;

  Timer poll_timer;
  Timer fetch_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

void ConfigFollower::State::PollHead() {
  this->poll_timer.StartAfter(this->options.poll_ms);
  FetchConfigHead(this->tables,
                  [this, alive = std::weak_ptr(this->alive)](
                      FetchStatus status, const ConfigHead& head, uint64_t) {
                    if (alive.expired()) return;
                    this->OnHead(status, head);
                  });
}

void ConfigFollower::State::OnHead(FetchStatus status, const ConfigHead& head) {
  if (status != FetchStatus::kOk) return;
  if (head.version < this->config.version) {
    // A read that was answered late, or a store that lost a version.
    Log(LogLevel::kWarning, "config_head_is_lower",
        {F("head", head.version), F("in_force", this->config.version)});
    return;
  }
  if (head.version == this->config.version) return;
  this->Fetch(head.version);
}

void ConfigFollower::State::Fetch(uint64_t version) {
  if (this->fetching || version <= this->config.version ||
      version == this->rejected_version) {
    return;
  }
  this->fetching = true;
  FetchConfig(this->tables, this->objects, version,
              [this, version, alive = std::weak_ptr(this->alive)](
                  FetchStatus status, const ConfigContent& content) {
                if (alive.expired()) return;
                this->fetching = false;
                this->OnFetched(version, status, content);
              });
}

void ConfigFollower::State::OnFetched(uint64_t version, FetchStatus status,
                                      const ConfigContent& content) {
  if (status != FetchStatus::kOk) {
    Log(LogLevel::kWarning, "config_fetch_failed", {F("version", version)});
    this->RequestFromPeer();
    return;
  }
  const std::weak_ptr<bool> alive = this->alive;
  this->Apply(content);
  if (alive.expired()) return;
  // A higher version may have been told while this one was being read.
  this->Fetch(this->highest_peer_version);
}

void ConfigFollower::State::RequestFromPeer() {
  if (this->peer == 0 || this->highest_peer_version <= this->config.version)
    return;
  wire::ConfigRequestT request;
  request.version = this->highest_peer_version;
  if (this->callbacks.request) this->callbacks.request(this->peer, request);
}

bool ConfigFollower::State::Apply(const ConfigContent& content) {
  if (content.version <= this->config.version) return false;
  CellConfig parsed;
  const bool valid = leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(parsed,
                          ParseCellConfig(content.content, content.version,
                                          ConfigRowKey(content.version)));
        return true;
      },
      [&](const SettingsError& error) {
        Log(LogLevel::kError, "config_rejected",
            {F("version", content.version), F("faults", FormatFaults(error))});
        return false;
      },
      [] { return false; });
  if (!valid) {
    this->rejected_version = content.version;
    return false;
  }
  this->config = std::move(parsed);
  this->content = content;
  Log(LogLevel::kInfo, "config_in_force", {F("version", content.version)});
  if (this->callbacks.changed) this->callbacks.changed(this->config);
  return true;
}

ConfigFollower::ConfigFollower(EventLoop& loop, TableClient tables,
                               ObjectClient objects,
                               ConfigFollowerOptions options,
                               ConfigFollowerCallbacks callbacks)
    : state(std::make_unique<State>(loop, std::move(tables), std::move(objects),
                                    options, std::move(callbacks))) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::Start() { this->state->poll_timer.StartAfter(0); }

void ConfigFollower::OnPeerVersion(LinkId link, uint64_t version) {
  State& state = *this->state;
  if (version <= state.config.version || version < state.highest_peer_version)
    return;
  state.highest_peer_version = version;
  state.peer = link;
  if (state.fetching || state.fetch_timer.active()) return;
  state.fetch_timer.StartAfter(
      UniformInt(state.random, 0, state.options.spread_ms));
}

void ConfigFollower::OnPeerReply(const wire::ConfigReplyT& reply) {
  if (reply.content.empty()) return;
  if (DigestOf(reply.content) != reply.digest) {
    Log(LogLevel::kWarning, "config_reply_damaged",
        {F("version", reply.version)});
    return;
  }
  this->state->Apply({reply.version, reply.digest, reply.content});
}

wire::ConfigReplyT ConfigFollower::MakeReply(
    const wire::ConfigRequestT& request) const {
  wire::ConfigReplyT reply;
  reply.version = this->state->config.version;
  reply.digest = this->state->content.digest;
  if (reply.version >= request.version &&
      this->state->content.content.size() <= kMaxReplyContentBytes) {
    reply.content = this->state->content.content;
  }
  return reply;
}

const CellConfig& ConfigFollower::in_force() const {
  return this->state->config;
}

const std::string& ConfigFollower::digest() const {
  return this->state->content.digest;
}

}  // namespace dotterelcove
