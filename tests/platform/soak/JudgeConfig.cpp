/// CONFIG and ONE: manifests, and orders to the VM service.
#include <algorithm>
#include <utility>

#include "tests/platform/soak/JudgeCase.h"

namespace dotterelcove::soak {
namespace {

/// "Eight times that on a slowed machine" (CONFIG).
constexpr int64_t kSlowedFactor = 8;
constexpr int kNotFound = 404;

/// Versions, by position in the observations, that may have given an answer.
using Versions = std::vector<size_t>;

bool HasQueue(const ManifestChange& manifest, const std::string& queue) {
  return std::find(manifest.queues.begin(), manifest.queues.end(), queue) !=
         manifest.queues.end();
}

/// Versions known before the answer that allow it.
Versions AllowedBy(const JudgeCase& judged, const ClientCall& call) {
  Versions allowed;
  for (size_t i = 0; i < judged.seen.manifests.size(); ++i) {
    const ManifestChange& manifest = judged.seen.manifests[i];
    if (manifest.sent_ms > call.ended_ms) continue;
    const bool is_served = call.status != kNotFound;
    if (HasQueue(manifest, call.queue) == is_served) allowed.push_back(i);
  }
  return allowed;
}

/// The newest version that was confirmed before `by_ms`.
std::optional<size_t> ConfirmedBefore(const JudgeCase& judged, int64_t by_ms) {
  std::optional<size_t> newest;
  for (size_t i = 0; i < judged.seen.manifests.size(); ++i) {
    if (judged.seen.manifests[i].confirmed_ms < by_ms) newest = i;
  }
  return newest;
}

void Report(JudgeCase& judged, const ClientCall& call, size_t version,
            const std::string& text) {
  judged.found.push_back(
      {call.sent_ms, Rule::kConfig, call.daemon,
       "queue " + call.queue + " answered " + std::to_string(call.status) +
           " " + text + " version " +
           std::to_string(judged.seen.manifests[version].version)});
}

/// Returns whether the answer is only that of a version that is too old.
bool IsTooOld(JudgeCase& judged, const ClientCall& call,
              const Versions& allowed) {
  int64_t bound_ms = judged.bounds.config_apply_ms;
  const bool is_stretched =
      !IsInTouch(judged, call.daemon, call.sent_ms, call.ended_ms);
  if (is_stretched) {
    // RULES.md, In touch, Outer.
    bound_ms += judged.bounds.max_skew_ms;
    if (!IsInTouchBeyondStore(judged, call.daemon, call.sent_ms,
                              call.ended_ms)) {
      return false;
    }
  }
  const auto due = ConfirmedBefore(judged, call.sent_ms - bound_ms);
  if (!due) return false;
  if (!allowed.empty() && allowed.back() >= *due) return false;
  const int64_t confirmed_ms = judged.seen.manifests[*due].confirmed_ms;
  // "As long as the store has not been down or slow and has lost no answers all
  // the while": otherwise no bound holds until the core is stable again.
  if (is_stretched && !WasStoreSound(judged, confirmed_ms, call.ended_ms)) {
    return false;
  }
  const int64_t late_ms = call.sent_ms - confirmed_ms;
  Report(judged, call, *due,
         std::to_string(late_ms) + " ms after the confirmation of");
  return true;
}

/// A version whose effect a client has seen.
struct SeenEffect {
  int64_t at_ms = 0;
  size_t version = 0;
};

/// The newest version whose effect the daemon's process had shown before.
std::optional<size_t> ShownBefore(const JudgeCase& judged,
                                  const std::vector<SeenEffect>& effects,
                                  const ClientCall& call) {
  int64_t started_ms = -1;
  for (const DaemonStart& start : judged.seen.daemon_starts) {
    if (start.daemon != call.daemon || start.at_ms > call.ended_ms) continue;
    started_ms = std::max(started_ms, start.at_ms);
  }
  int64_t slack_ms = judged.bounds.downgrade_slack_ms;
  if (!IsInTouch(judged, call.daemon, call.sent_ms, call.ended_ms)) {
    slack_ms *= kSlowedFactor;
  }
  std::optional<size_t> shown;
  for (const SeenEffect& effect : effects) {
    if (effect.at_ms < started_ms) continue;
    if (call.sent_ms <= effect.at_ms + slack_ms) continue;
    shown = std::max(shown.value_or(0), effect.version);
  }
  return shown;
}

}  // namespace

void CheckManifests(JudgeCase& judged) {
  std::map<std::string, std::vector<SeenEffect>> effects;
  for (const ClientCall& call : judged.seen.calls) {
    // Other answers come before the queue is looked up, or after a failure.
    if (call.status != kNotFound && !IsSuccess(call.status)) continue;
    const Versions allowed = AllowedBy(judged, call);
    const auto shown = ShownBefore(judged, effects[call.daemon], call);
    const auto oldest =
        std::lower_bound(allowed.begin(), allowed.end(), shown.value_or(0));
    if (IsTooOld(judged, call, allowed)) continue;
    if (oldest == allowed.end()) {
      if (shown) Report(judged, call, *shown, "after answers by");
      continue;
    }
    effects[call.daemon].push_back({call.ended_ms, *oldest});
  }
}

void CheckVmOrders(JudgeCase& judged) {
  std::map<std::pair<std::string, uint64_t>, std::string> holders;
  std::map<std::string, VmOrder> last;
  for (const VmOrder& order : judged.seen.vm_orders) {
    const auto report = [&](const std::string& text) {
      judged.found.push_back({order.at_ms, Rule::kOne, order.vm,
                              "holder " + order.holder + " with token " +
                                  std::to_string(order.token) + text});
    };
    const auto [known, is_new] =
        holders.emplace(std::make_pair(order.vm, order.token), order.holder);
    const auto before = last.find(order.vm);
    if (!is_new && known->second != order.holder) {
      report(", which " + known->second + " had used");
    } else if (before != last.end()) {
      const VmOrder& earlier = before->second;
      const bool is_soon = order.at_ms - earlier.at_ms < judged.bounds.lease_ms;
      if (order.token < earlier.token) {
        report(" after token " + std::to_string(earlier.token));
      } else if (earlier.holder != order.holder && is_soon &&
                 IsInTouch(judged, earlier.holder, earlier.at_ms,
                           order.at_ms) &&
                 IsInTouch(judged, order.holder, earlier.at_ms, order.at_ms)) {
        report(" within the lease of " + earlier.holder + " in touch");
      }
    }
    last[order.vm] = order;
  }
}

}  // namespace dotterelcove::soak
