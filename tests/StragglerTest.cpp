#include <criterion/criterion.h>

#include "workflow/Straggler.h"

namespace dotterelcove::workflow {
namespace {

StepSpec MakeStep(TimeMs estimate_ms) {
  StepSpec step;
  step.estimate_ms = estimate_ms;
  return step;
}

}  // namespace

// Guards against urgent tasks that crawl on a worker five times slower until
// their job is late (trouble-1 of grown ub-stepcare: 417 late dispatches).
Test(Straggler, crawling_run_is_moved) {
  const StepSpec step = MakeStep(800);
  // A fifth of the speed: 1 s gives 25 percent.
  cr_expect(IsWorthMoving(step, {1'000, 25}));
  cr_expect_float_eq(EstimateSlowness(step, {1'000, 25}), 5, 0.01);
  // Nearly done, a new run would take longer.
  cr_expect_not(IsWorthMoving(step, {3'000, 75}));
}

// Guards against work that is thrown away since its estimate was rough.
Test(Straggler, run_of_a_rough_estimate_stays) {
  const StepSpec step = MakeStep(800);
  cr_expect_not(IsWorthMoving(step, {1'000, 60}));
  cr_expect_not(IsWorthMoving(step, {600, 35}));
  // Too early to tell.
  cr_expect_not(IsWorthMoving(step, {200, 1}));
  cr_expect_eq(EstimateSlowness(step, {200, 1}), 0);
}

// Guards against sound workers that are taken for slow because of one task: a
// calm day of vppca-yard once had 250 tasks moved for nothing.
Test(Straggler, one_long_task_makes_no_worker_slow) {
  cr_expect_eq(SharedSlowness({5.0, 4.0}), 0);
  cr_expect_float_eq(SharedSlowness({5.0, 1.1, 4.0}), 1.1, 0.01);
  cr_expect_float_eq(SharedSlowness({5.0, 4.4, 6.1}), 4.4, 0.01);
}

// Guards against gangs and lasting tasks that are broken up.
Test(Straggler, gangs_and_lasting_tasks_stay) {
  StepSpec step = MakeStep(800);
  step.gang = true;
  cr_expect_not(IsWorthMoving(step, {2'000, 5}));
  step.gang = false;
  step.long_running = true;
  cr_expect_not(IsWorthMoving(step, {2'000, 5}));
}

// Guards against a task with checkpoints that is judged as if it lost all.
Test(Straggler, checkpoints_make_moving_cheaper) {
  StepSpec step = MakeStep(6'000);
  const RunProgress progress{9'000, 50};
  cr_expect_not(IsWorthMoving(step, progress));
  step.checkpoints = true;
  cr_expect(IsWorthMoving(step, progress));
}

}  // namespace dotterelcove::workflow
