/// The entry daemon: caller API, admission, the owner's messages and the
/// planned stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/EntryState.h"

namespace dotterelcove {

/// What an Entry works with; all of it outlives the Entry.
struct EntryDependencies {
  EventLoop& loop;
  Metrics& metrics;
  EventRing& events;
  HttpClient& endpoint_http;
  ObjectReader read_object;
};

class Entry {
 public:
  Entry(EntryDependencies parts, EntryOptions options);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// The node through which messages to schedulers go.
  void SetPeers(PeerNode* peers);
  /// Puts a configuration in force for new requests.
  void SetConfig(std::shared_ptr<const CellConfig> config);

  /// Serves `/v1/requests…`; returns false for any other path.
  bool Handle(const HttpRequest& request, const HttpReply& reply);

  /// Peer events, for PeerCallbacks. OnMessage returns false for messages that
  /// are not the entry's.
  void OnDisconnected(const PeerInfo& peer);
  bool OnMessage(const PeerInfo& peer, wire::FrameT& frame);

  /// Answers every open request with what is known, for the end of a stop.
  void EndAll(const std::string& reason);
  /// Refuses new requests from now on with 503 and outcome not_run.
  void RefuseNew();
  bool is_refusing_new() const { return this->refuse_new; }
  /// Whether a configuration is in force and an owner is connected.
  bool is_ready() const;
  /// Requests and queries that callers wait for.
  size_t in_progress() const;
  const EntryState& view() const { return *this->state; }

 private:
  void Submit(const HttpRequest& request, const std::string& caller,
              const HttpReply& reply);
  /// Answers a request that was not admitted; returns whether it did.
  bool RejectUnlessAdmitted(const AdmissionResult& result,
                            const std::string& key, const HttpReply& reply);
  void StartRequest(CallerRequest spec, const HttpReply& reply);
  void JoinRequest(Request& request, const CallerRequest& spec,
                   const HttpReply& reply);
  void HandleQuery(const HttpRequest& request, const std::string& caller,
                   const HttpReply& reply);
  void OnOwnerChange();
  void Sweep();
  void EndStaleRequests(TimeMs now);

  std::unique_ptr<EntryState> state;
  bool refuse_new = false;
  Timer sweep;
};

}  // namespace dotterelcove
