/// The entry daemon: caller API, admission control, messages from the owner and
/// the planned stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "entry/EntryState.h"

namespace dotterelcove {

/// Dependencies of an Entry; all must outlive it.
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

  /// Sets the node that sends messages to the schedulers.
  void SetPeers(PeerNode* peers);
  /// Applies a configuration to new requests.
  void SetConfig(std::shared_ptr<const CellConfig> config);

  /// Serves `/v1/requests…`; returns false for any other path.
  bool Handle(const HttpRequest& request, const HttpReply& reply);

  /// Handlers for PeerCallbacks. OnMessage returns false for messages that
  /// it does not consume.
  void OnDisconnected(const PeerInfo& peer);
  bool OnMessage(const PeerInfo& peer, wire::FrameT& frame);

  /// Ends every open request and query at the end of a planned stop. A request
  /// that may have run is answered "unknown", any other "not_run".
  void EndAll(const std::string& reason);
  /// Rejects new requests from now on with 503 and outcome not_run.
  void RefuseNew();
  bool is_refusing_new() const { return this->refuse_new; }
  /// Whether a configuration is in force and an owner is connected.
  bool is_ready() const;
  /// Number of requests and queries in progress.
  size_t in_progress() const;
  const EntryState& view() const { return *this->state; }

 private:
  void Submit(const HttpRequest& request, const std::string& caller,
              const HttpReply& reply);
  /// Answers a request that was not admitted; returns false for an admitted
  /// one.
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
