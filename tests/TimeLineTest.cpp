#include <criterion/criterion.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/HybridClock.h"
#include "operator/TimeLine.h"
#include "telemetry/Events.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

constexpr int64_t kWallMs = 1'790'000'000'000;

/// A process with its own skewed wall clock.
struct FakeProcess {
  std::string name;
  int64_t skew_ms;
  int64_t& now_ms;
  HybridClock clock = {};
  EventRing ring{clock, 100, [this] { return this->now_ms + this->skew_ms; }};

  /// Simulates one message to `to`, advancing both clocks as PeerNode does.
  void SendTo(FakeProcess& to) {
    const HybridTime sent = Advance(this->clock, this->now_ms + this->skew_ms);
    Merge(to.clock, sent, to.now_ms + to.skew_ms);
  }
  Json Served() const {
    return Json::parse(EventsToJson(this->ring.Find({}), this->name, "kpong"));
  }
};

std::vector<std::string> NamesOf(const std::vector<TimeLineEvent>& events) {
  std::vector<std::string> names;
  for (const TimeLineEvent& event : events) names.push_back(event.name);
  return names;
}

}  // namespace

// Guards against a timeline that shows an effect before its cause under clock
// skew between VMs: here 50 ms, ten times the interval between the events.
Test(TimeLine, keeps_causal_order_with_clocks_50_ms_apart) {
  const std::vector<std::string> expected = {"owner_lost", "take_over", "fence",
                                             "fence_answered", "restart"};
  for (const int64_t skew_ms : {50, -50}) {
    int64_t now_ms = kWallMs;
    FakeProcess entry{"entry-1", skew_ms, now_ms};
    FakeProcess standby{"sched-2", 0, now_ms};
    FakeProcess other{"sched-3", -skew_ms, now_ms};
    entry.ring.Add("owner_lost", {});
    now_ms += 5;
    entry.SendTo(standby);
    standby.ring.Add("take_over", {"", "", "", 2});
    now_ms += 5;
    standby.ring.Add("fence", {"", "", "w-1", 2});
    standby.SendTo(other);
    now_ms += 5;
    other.ring.Add("fence_answered", {"", "", "w-1", 2});
    other.SendTo(entry);
    now_ms += 5;
    entry.ring.Add("restart", {"j", "j.0.1", "w-1", 2});
    std::vector<TimeLineEvent> events;
    for (const FakeProcess* process : {&other, &entry, &standby}) {
      cr_assert(AddEvents(process->Served(), events));
    }
    SortEvents(events);
    cr_expect(NamesOf(events) == expected, "skew %d ms",
              static_cast<int>(skew_ms));
  }
}

// Guards against one malformed event or response invalidating the whole
// timeline.
Test(TimeLine, skips_malformed_events) {
  std::vector<TimeLineEvent> events;
  cr_expect_not(AddEvents(Json::object(), events));
  cr_expect_not(AddEvents(Json::parse("{", nullptr, false), events));
  const Json rows = {{{"time", "0000000000010000"}, {"event", "good"}},
                     {{"time", "zz"}, {"event", "bad time"}},
                     {{"time", 7}, {"event", "number"}},
                     {{"event", "no time"}},
                     "text",
                     nullptr};
  cr_expect(AddEvents(rows, events));
  cr_assert_eq(events.size(), 1u);
  cr_expect_str_eq(events[0].name.c_str(), "good");
}

// Guards against a trace that a viewer rejects or shows out of order.
Test(TimeLine, writes_the_trace_event_format) {
  std::vector<TimeLineEvent> events(4);
  const char* names[] = {"task_started", "checkpoint", "task_ended", "other"};
  for (size_t i = 0; i < events.size(); ++i) {
    events[i].time = (static_cast<HybridTime>(kWallMs) << 16) + i;
    events[i].process = i == 3 ? "sched-2" : "sched-1";
    events[i].name = names[i];
    events[i].task = "j.0.0";
  }
  const Json trace = ToTrace(events);
  std::map<std::string, int> phases;
  int64_t last_us = 0;
  for (const Json& row : trace["traceEvents"]) {
    phases[row["ph"]]++;
    cr_expect(row["pid"].is_number_integer());
    if (row["ph"] == "M") continue;
    cr_expect_geq(row["ts"].get<int64_t>(), last_us);
    last_us = row["ts"];
  }
  cr_expect_eq(phases["M"], 2, "one track for each process");
  cr_expect_eq(phases["i"], 4);
  cr_expect_eq(phases["b"], 1);
  cr_expect_eq(phases["e"], 1);
}

}  // namespace dotterelcove
