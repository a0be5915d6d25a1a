#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "node/Submission.h"
#include "tests/CellModel.h"

namespace dotterelcove {
namespace {

constexpr TimeMs kDeadlineMs = 2'850;

/// A store and an owner that answer as the test says, on virtual time.
struct Scene {
  model::VirtualTime time;
  /// The answer to each try here, and after which time; the last one repeats.
  std::vector<std::pair<JobAnswer, TimeMs>> here;
  JobAnswer by_owner = JobAnswer::kStored;
  TimeMs owner_takes_ms = 20;
  TimeMs store_away_ms = 0;
  bool owner_reaches_store = true;
  size_t tries_here = 0;
  size_t tries_at_owner = 0;
  int answers = 0;
  JobAnswer answer = JobAnswer::kNotFound;
  std::string through;
  TimeMs answered_ms = 0;
};

void Submit(Scene& scene) {
  SubmissionPorts ports;
  ports.runtime.now = [&scene] { return scene.time.now_ms; };
  ports.runtime.after = [&scene](TimeMs delay_ms,
                                 std::function<void()> callback) {
    scene.time.After(delay_ms, std::move(callback));
  };
  ports.insert_here = [&scene](const JobAnswerCallback& done) {
    const size_t index = std::min(scene.tries_here++, scene.here.size() - 1);
    const auto [answer, takes_ms] = scene.here[index];
    scene.time.After(takes_ms, [done, answer] { done(answer, {}); });
  };
  ports.insert_through_owner =
      [&scene](const std::function<void(JobAnswer)>& done) {
        scene.tries_at_owner++;
        scene.time.After(scene.owner_takes_ms,
                         [&scene, done] { done(scene.by_owner); });
      };
  ports.store_away_ms = [&scene] { return scene.store_away_ms; };
  ports.owner_reaches_store = [&scene] { return scene.owner_reaches_store; };
  const TimeMs began_ms = scene.time.now_ms;
  SubmitJob(std::move(ports), began_ms + kDeadlineMs,
            [&scene, began_ms](JobAnswer answer, const char* through,
                               const StoreRow&) {
              scene.answers++;
              scene.answer = answer;
              scene.through = through;
              scene.answered_ms = scene.time.now_ms - began_ms;
            });
  scene.time.RunUntil(began_ms + 20'000);
  cr_expect_eq(scene.answers, 1);
}

}  // namespace

// Guards against callers that get no answer before their deadline: a try was
// once waited for beyond it (trouble-2 of vppca-yard, 33 jobs).
Test(Submission, answers_by_the_deadline) {
  Scene scene;
  scene.here = {{JobAnswer::kUnknown, 1'500}};
  Submit(scene);
  cr_expect(scene.answer == JobAnswer::kUnknown);
  cr_expect_leq(scene.answered_ms, kDeadlineMs);
}

// Guards against a slow store that gets every job twice: the owner was once
// asked after each unanswered try, though the store answered others.
Test(Submission, slow_store_is_asked_by_one_process_only) {
  Scene scene;
  scene.here = {{JobAnswer::kUnknown, 250}, {JobAnswer::kStored, 450}};
  Submit(scene);
  cr_expect(scene.answer == JobAnswer::kStored);
  cr_expect_eq(scene.tries_at_owner, 0U);
}

// Guards against jobs that wait for a store which is away for all.
Test(Submission, store_that_is_away_refuses_at_once) {
  Scene scene;
  scene.here = {{JobAnswer::kUnknown, 1'500}};
  scene.store_away_ms = 400;
  scene.owner_reaches_store = false;
  Submit(scene);
  cr_expect(scene.answer == JobAnswer::kRefused);
  cr_expect_eq(scene.answered_ms, 0);
  cr_expect_eq(scene.tries_here, 0U);
}

// Guards against a process that the store turns away and that does not ask the
// owner.
Test(Submission, owner_inserts_for_a_process_that_is_turned_away) {
  Scene scene;
  scene.here = {{JobAnswer::kRefused, 5}};
  Submit(scene);
  cr_expect(scene.answer == JobAnswer::kStored);
  cr_expect_str_eq(scene.through.c_str(), "owner");
}

// Guards against "refused" for a job that an unanswered try may have stored.
Test(Submission, job_in_doubt_is_never_refused) {
  Scene scene;
  scene.here = {{JobAnswer::kUnknown, 250}, {JobAnswer::kRefused, 5}};
  scene.by_owner = JobAnswer::kRefused;
  Submit(scene);
  cr_expect(scene.answer == JobAnswer::kUnknown);
}

}  // namespace dotterelcove
