/// Process-wide services that all parts of the scheduler daemon share.
#pragma once

#include <functional>

#include "border/objects/ObjectClient.h"
#include "border/tables/TableClient.h"
#include "http/HttpClient.h"
#include "loop/EventLoop.h"
#include "peer/PeerNode.h"
#include "settings/DaemonSettings.h"
#include "telemetry/Events.h"
#include "telemetry/Metrics.h"

namespace dotterelcove {

struct Services {
  EventLoop& loop;
  HttpClient& http;
  const DaemonSettings& settings;
  TableClient tables;
  ObjectClient objects;
  Metrics& metrics;
  EventRing& events;
  /// Sends a frame to a connected peer.
  std::function<void(LinkId, wire::FrameT)> send;
};

}  // namespace dotterelcove
