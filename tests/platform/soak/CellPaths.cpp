#include "tests/platform/soak/CellPaths.h"

#include <cstdlib>
#include <utility>

#include "base/Base64.h"
#include "platform/StoreAdapter.h"
#include "store/OwnerCommitter.h"
#include "workflow/JobRows.h"

namespace dotterelcove::soak {
namespace {

/// Third numbers of the true addresses, and of those of the first daemon's
/// paths.
constexpr size_t kDaemonNet = 1;
constexpr size_t kWorkerNet = 2;
constexpr size_t kLinkNet = 100;
constexpr size_t kPathNet = 150;
/// Last number of the first daemon or worker.
constexpr size_t kFirstHost = 10;

}  // namespace

CellPaths::CellPaths(std::string net, size_t daemons, size_t workers)
    : net(std::move(net)), daemons(daemons), workers(workers) {}

bool CellPaths::Start() {
  const auto add = [&](size_t from_net, size_t to_net, size_t host,
                       uint16_t port) {
    const std::string last = "." + std::to_string(kFirstHost + host);
    return this->proxy.Add(this->net + std::to_string(from_net) + last,
                           this->net + std::to_string(to_net) + last, port);
  };
  for (size_t from = 0; from < this->daemons; ++from) {
    for (size_t to = 0; to < this->daemons; ++to) {
      if (!add(kLinkNet + from, kDaemonNet, to, kPeerPort)) return false;
    }
    for (size_t to = 0; to < this->workers; ++to) {
      if (!add(kPathNet + from, kWorkerNet, to, kWorkerPort)) return false;
    }
  }
  this->proxy.Start();
  return true;
}

std::string CellPaths::ValueFor(size_t daemon, const Row& row) const {
  const bool has_addresses = row.table == platform::kWorkerTable ||
                             row.table == kOwnerTable ||
                             row.table == workflow::kFleetTable;
  const auto bytes = has_addresses ? DecodeBase64(row.value) : std::nullopt;
  if (!bytes) return row.value;
  std::string text = *bytes;
  for (size_t at = 0; (at = text.find(this->net, at)) != std::string::npos;) {
    at += this->net.size();
    const size_t end = text.find('.', at);
    if (end == std::string::npos) break;
    const size_t from_net = std::strtoul(&text[at], nullptr, 10);
    const size_t host = std::strtoul(&text[end + 1], nullptr, 10) - kFirstHost;
    size_t to_net = from_net;
    if (from_net == kDaemonNet && host != daemon) to_net = kLinkNet + daemon;
    if (from_net == kWorkerNet || from_net >= kPathNet) {
      to_net = kPathNet + daemon;
    }
    text.replace(at, end - at, std::to_string(to_net));
  }
  return EncodeBase64(text);
}

void CellPaths::SetLink(size_t a, size_t b, PathFault fault) {
  const size_t paths_each = this->daemons + this->workers;
  this->proxy.SetFault(a * paths_each + b, fault);
  if (fault.kind == PathFaultKind::kForwardCut) {
    fault.kind = PathFaultKind::kBackwardCut;
  } else if (fault.kind == PathFaultKind::kBackwardCut) {
    fault.kind = PathFaultKind::kForwardCut;
  }
  this->proxy.SetFault(b * paths_each + a, fault);
}

void CellPaths::SetPath(size_t daemon, size_t worker, PathFault fault) {
  const size_t paths_each = this->daemons + this->workers;
  this->proxy.SetFault(daemon * paths_each + this->daemons + worker, fault);
}

}  // namespace dotterelcove::soak
