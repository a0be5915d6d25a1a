// The judge of the soak, rules ROUTE and LIMIT: records that break them, and
// near misses that do not. Guards against a soak that passes starts on workers
// without the required label, beyond a step's limit, of another service, or
// without capacity.
#include <string>

#include "tests/platform/SoakJudgeRecord.h"

namespace dotterelcove::soak {
namespace {

/// A step of three tasks without an order among them.
Observations MakeRouteRecord(const std::string& label, uint32_t limit) {
  Observations seen = MakeRecord();
  seen.calls.clear();
  StepSpec& step = seen.jobs["j1"].steps[0];
  step.count = 3;
  step.required_label = label;
  step.max_per_worker = limit;
  return seen;
}

RunEvent Started(int64_t at_ms, const std::string& task,
                 const std::string& worker = "w1") {
  return Event(at_ms, RunEventKind::kStart, 1, worker, task);
}

std::string TextOfOnly(const Observations& seen) {
  const std::vector<Violation> found = Find(seen);
  cr_assert(found.size() == 1, "%s", DescribeAll(found).c_str());
  return found.front().text;
}

constexpr const char* kOtherTask = "j1.0.0.1";
constexpr const char* kThirdTask = "j1.0.0.2";

}  // namespace

Test(SoakJudge, route_finds_a_start_without_the_label) {
  const Observations seen = MakeRouteRecord("b", 0);
  ExpectOnly(With(seen, Started(2'000, kTask)), Rule::kRoute);
  ExpectNone(With(seen, Started(2'000, kTask, "w2")));
  ExpectNone(With(MakeRouteRecord("", 0), Started(2'000, kTask)));
}

// An order that is carried out late is one that a daemon has given.
Test(SoakJudge, route_finds_a_late_start_without_the_label) {
  const Observations seen = MakeRouteRecord("b", 0);
  const std::string text = TextOfOnly(With(seen, Late(Started(2'000, kTask))));
  cr_assert(text.find("without the label") != std::string::npos, "%s",
            text.c_str());
  cr_assert(text.find("carried out late") != std::string::npos, "%s",
            text.c_str());
}

// The life counts that carried the start out, not the one before it.
Test(SoakJudge, route_judges_the_kind_of_the_life) {
  Observations seen = MakeRouteRecord("a", 0);
  seen.lives[0].to_ms = 5'000;
  seen.lives.push_back({"w1", 2, 6'000, INT64_MAX, 16'000, kService, "b"});
  RunEvent again = Started(7'000, kTask);
  again.incarnation = 2;
  const std::string text = TextOfOnly(With(seen, again));
  cr_assert(text.find("before of kind \"a\"") != std::string::npos, "%s",
            text.c_str());
  ExpectNone(With(seen, Started(4'000, kTask)));
}

Test(SoakJudge, route_finds_a_start_beyond_the_limit) {
  const Observations one = MakeRouteRecord("", 1);
  const Observations beside =
      With(one, Started(2'000, kTask), Started(2'000, kOtherTask));
  ExpectOnly(beside, Rule::kRoute);
  const std::string text = TextOfOnly(beside);
  cr_assert(text.find("limit of 1") != std::string::npos, "%s", text.c_str());
  cr_assert(text.find(kTask) != std::string::npos, "%s", text.c_str());
  ExpectNone(
      With(one, Started(2'000, kTask), Started(2'000, kOtherTask, "w2")));
  const Observations two = MakeRouteRecord("", 2);
  ExpectNone(With(two, Started(2'000, kTask), Started(2'100, kOtherTask)));
  ExpectOnly(With(two, Started(2'000, kTask), Started(2'100, kOtherTask),
                  Started(2'200, kThirdTask)),
             Rule::kRoute);
  ExpectNone(With(MakeRouteRecord("", 0), Started(2'000, kTask),
                  Started(2'000, kOtherTask)));
}

// "What is being stopped still counts": it runs until its end.
Test(SoakJudge, route_counts_a_run_that_is_being_stopped) {
  const Observations seen =
      With(MakeRouteRecord("", 1), Started(2'000, kTask),
           Event(3'000, RunEventKind::kStopping, 1), Started(3'020, kOtherTask),
           Event(3'030, RunEventKind::kStopped, 1));
  const std::string text = TextOfOnly(seen);
  cr_assert(text.find("being stopped") != std::string::npos, "%s",
            text.c_str());
}

Test(SoakJudge, route_counts_a_run_that_was_started_late) {
  ExpectOnly(With(MakeRouteRecord("", 1), Late(Started(2'000, kTask)),
                  Started(2'100, kOtherTask)),
             Rule::kRoute);
}

Test(SoakJudge, route_allows_a_start_after_the_end_of_the_other_run) {
  for (const RunEventKind end :
       {RunEventKind::kDone, RunEventKind::kFailed, RunEventKind::kStopped,
        RunEventKind::kLapsed, RunEventKind::kBroken, RunEventKind::kAlone,
        RunEventKind::kCrashed}) {
    Observations seen = MakeRouteRecord("", 1);
    // Without a disruption near, an end `alone` breaks GANG.
    seen.disruptions = {Disrupted(2'000, 3'000, "", DisruptionScope::kWorkers)};
    ExpectNone(With(seen, Started(2'000, kTask), Event(3'000, end, 1),
                    Started(3'000, kOtherTask)));
    // ROUTE holds near disruptions too.
    ExpectOnly(With(seen, Started(2'000, kTask), Event(3'000, end, 1),
                    Started(2'999, kOtherTask)),
               Rule::kRoute);
  }
}

// An end of an earlier run of the task does not end the later one.
Test(SoakJudge, route_counts_the_later_run_of_a_task) {
  const Observations seen =
      With(MakeRouteRecord("", 1), Started(2'000, kTask),
           Event(2'500, RunEventKind::kStopped, 1),
           Event(2'600, RunEventKind::kStart, 2),
           Event(2'700, RunEventKind::kListed, 1), Started(3'000, kOtherTask));
  ExpectOnly(seen, Rule::kRoute);
}

// The next life of a worker runs nothing of the one before, even if no event
// tells the end of its runs.
Test(SoakJudge, route_allows_a_start_after_the_worker_has_restarted) {
  Observations seen = MakeRouteRecord("", 1);
  seen.lives[0].to_ms = 5'000;
  seen.lives.push_back({"w1", 2, 6'000, INT64_MAX, 16'000, kService, "a"});
  RunEvent next = Started(7'000, kOtherTask);
  next.incarnation = 2;
  ExpectNone(With(seen, Started(2'000, kTask), next));
}

// Another step and another job have limits of their own.
Test(SoakJudge, route_counts_each_step_by_itself) {
  Observations seen = MakeRouteRecord("", 1);
  JobSpec& job = seen.jobs["j1"];
  job.steps.push_back(job.steps[0]);
  JobSpec other = job;
  other.id = "j2";
  seen.jobs["j2"] = other;
  ExpectNone(With(seen, Started(2'000, kTask), Started(2'000, "j1.0.1.0"),
                  Started(2'000, "j2.0.0.0")));
}

Test(SoakJudge, route_finds_a_start_on_another_service) {
  Observations seen = With(MakeRouteRecord("", 0), Started(2'000, kTask));
  seen.lives[0].service = "other";
  ExpectOnly(seen, Rule::kRoute);
  // "To which no manifest sends the queue": one is enough.
  seen.manifests.push_back({9'000, 2, {kQueue}, 8'990, "other"});
  ExpectNone(seen);
  seen.manifests.back().queues = {"new"};
  ExpectOnly(seen, Rule::kRoute);
}

// LIMIT.

/// Each task takes half of a worker.
Observations MakeFullRecord() {
  Observations seen = MakeRouteRecord("", 0);
  seen.jobs["j1"].steps[0].milli_cores = 8'000;
  return With(seen, Started(2'000, kTask), Started(2'100, kOtherTask));
}

Test(SoakJudge, limit_finds_a_start_beyond_the_capacity) {
  ExpectNone(MakeFullRecord());
  ExpectOnly(With(MakeFullRecord(), Started(2'200, kThirdTask)), Rule::kLimit);
  ExpectOnly(With(MakeFullRecord(), Late(Started(2'200, kThirdTask))),
             Rule::kLimit);
  ExpectNone(With(MakeFullRecord(), Started(2'200, kThirdTask, "w2")));
}

// "What is being stopped still counts."
Test(SoakJudge, limit_counts_a_run_until_it_has_ended) {
  const Observations stopping =
      With(MakeFullRecord(), Event(2'150, RunEventKind::kStopping, 1));
  ExpectOnly(With(stopping, Started(2'170, kThirdTask),
                  Event(2'180, RunEventKind::kStopped, 1)),
             Rule::kLimit);
  ExpectNone(With(stopping, Event(2'180, RunEventKind::kStopped, 1),
                  Started(2'190, kThirdTask)));
}

Test(SoakJudge, limit_allows_starts_after_the_worker_has_restarted) {
  Observations seen = MakeFullRecord();
  seen.lives[0].to_ms = 5'000;
  seen.lives.push_back({"w1", 2, 6'000, INT64_MAX, 16'000, kService, "a"});
  RunEvent next = Started(7'000, kThirdTask);
  next.incarnation = 2;
  ExpectNone(With(seen, next));
}

}  // namespace dotterelcove::soak
