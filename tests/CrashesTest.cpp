#include <criterion/criterion.h>

#include <vector>

#include "workflow/Crashes.h"

namespace dotterelcove::workflow {
namespace {

/// Crashes in a fleet in which no other worker is lost, by run number.
TaskCrashes LoneCrashes(const std::vector<CrashPhase>& phases) {
  TaskCrashes crashes;
  uint32_t run = 0;
  for (const CrashPhase phase : phases) {
    crashes[++run] = {phase, WeighCrash(phase, {.workers = 48})};
  }
  return crashes;
}

}  // namespace

// Guards against giving a task up for one crash, which the callers' rules do
// not allow, or for crashes that may not have been under it.
Test(Crashes, a_task_is_given_up_for_two_certain_crashes_at_the_earliest) {
  cr_expect_not(MustGiveUp({}));
  cr_expect_not(MustGiveUp(LoneCrashes({CrashPhase::kOnProbation})));
  cr_expect_not(MustGiveUp(
      LoneCrashes({CrashPhase::kUnconfirmed, CrashPhase::kOnProbation})));
  cr_expect(MustGiveUp(
      LoneCrashes({CrashPhase::kJustStarted, CrashPhase::kOnProbation})));
  // The last run had survived its start, so it is not to blame.
  cr_expect_not(MustGiveUp(
      LoneCrashes({CrashPhase::kOnProbation, CrashPhase::kRunning})));
}

// Guards against innocent tasks that are given up because they ran beside one
// that crashes its workers.
Test(Crashes, tasks_beside_the_one_to_blame_go_on) {
  cr_expect_not(
      MustGiveUp(LoneCrashes({CrashPhase::kRunning, CrashPhase::kRunning})));
  cr_expect_not(MustGiveUp(
      LoneCrashes({CrashPhase::kJustStarted, CrashPhase::kJustStarted,
                   CrashPhase::kRunning})));
  cr_expect(MustGiveUp(
      LoneCrashes({CrashPhase::kJustStarted, CrashPhase::kJustStarted,
                   CrashPhase::kJustStarted})));
}

// Guards against a job that fails for crashes of its workers long after the
// start of its task, which are no failed attempts, and against such a task that
// takes worker after worker down at once and beside other work.
Test(Crashes, late_crashes_space_a_task_and_set_it_apart) {
  std::vector<CrashPhase> phases;
  TimeMs earlier_ms = 0;
  for (int run = 1; run <= 20; ++run) {
    phases.push_back(CrashPhase::kRunning);
    const TaskCrashes crashes = LoneCrashes(phases);
    cr_expect_not(MustGiveUp(crashes));
    cr_expect_eq(IsSuspect(crashes), run >= 3);
    const TimeMs delay_ms = RetryDelayMs(crashes);
    cr_expect_eq(delay_ms > 0, run >= 3);
    cr_expect_geq(delay_ms, earlier_ms);
    // A task that lasts must be started again within 3 s.
    cr_expect_leq(delay_ms, 2'000);
    earlier_ms = delay_ms;
  }
}

// Guards against a task that is never certain to be alone, or whose starts are
// never answered, and is started for ever.
Test(Crashes, four_crashes_at_the_start_end_a_task) {
  cr_expect(MustGiveUp(
      LoneCrashes({CrashPhase::kUnconfirmed, CrashPhase::kUnconfirmed,
                   CrashPhase::kUnconfirmed, CrashPhase::kUnconfirmed})));
  cr_expect(MustGiveUp(
      LoneCrashes({CrashPhase::kUnconfirmed, CrashPhase::kUnconfirmed,
                   CrashPhase::kJustStarted})));
}

// Guards against a task that crashes worker after worker and is never blamed,
// because many others are lost at the same time.
Test(Crashes, five_early_crashes_end_a_task_in_any_fleet) {
  TaskCrashes crashes;
  for (uint32_t run = 1; run <= 4; ++run) {
    crashes[run] = {CrashPhase::kJustStarted, 0};
  }
  crashes[5] = {CrashPhase::kRunning, 0};
  cr_expect_not(MustGiveUp(crashes));
  crashes[6] = {CrashPhase::kOnProbation, 0};
  cr_expect(MustGiveUp(crashes));
  cr_expect_not(MustGiveUp(crashes, 27));
}

// Guards against blame for crashes that fall together with those of other
// workers, or in a fleet that loses many.
Test(Crashes, losses_of_other_workers_weaken_a_crash) {
  const FleetLosses none{.workers = 48};
  const FleetLosses third{.workers = 48, .together = 16};
  const FleetLosses all{.workers = 48, .together = 47};
  const FleetLosses often{.workers = 48, .recent = 144};
  for (const CrashPhase phase :
       {CrashPhase::kUnconfirmed, CrashPhase::kJustStarted,
        CrashPhase::kOnProbation}) {
    cr_expect_eq(WeighCrash(phase, none), FullWeight(phase));
    cr_expect_leq(WeighCrash(phase, third), 5);
    cr_expect_eq(WeighCrash(phase, all), 0);
    cr_expect_lt(WeighCrash(phase, often), FullWeight(phase));
  }
  // A tenth of the workers lost each second: two crashes prove nothing.
  const int first = WeighCrash(CrashPhase::kJustStarted, often);
  const int second = WeighCrash(CrashPhase::kOnProbation, often);
  cr_expect_not(MustGiveUp({{1, {CrashPhase::kJustStarted, first}},
                            {2, {CrashPhase::kOnProbation, second}}}));
}

// Guards against a gang that is given up because any two of its many workers
// crashed: a gang of 27 has 27 times the chance of that.
Test(Crashes, crashes_of_different_members_weigh_less) {
  const TaskCrashes crashes =
      LoneCrashes({CrashPhase::kJustStarted, CrashPhase::kOnProbation});
  cr_expect(MustGiveUp(crashes));
  cr_expect(MustGiveUp(crashes, 1));
  cr_expect_not(MustGiveUp(crashes, 27));
  const std::vector<CrashPhase> many(6, CrashPhase::kOnProbation);
  cr_expect(MustGiveUp(LoneCrashes(many), 27));
}

// Guards against a wrong phase, which decides who is to blame.
Test(Crashes, phase_follows_from_what_was_last_heard) {
  cr_expect(PhaseAtCrash(false, true, 5) == CrashPhase::kUnconfirmed);
  cr_expect(PhaseAtCrash(true, true, 5) == CrashPhase::kOnProbation);
  cr_expect(PhaseAtCrash(true, false, 5) == CrashPhase::kJustStarted);
  cr_expect(PhaseAtCrash(true, true, kProbationMs) == CrashPhase::kRunning);
}

// Guards against probation for tasks that had survived their start.
Test(Crashes, only_tasks_that_had_just_started_are_suspects) {
  cr_expect_not(IsSuspect(LoneCrashes({CrashPhase::kRunning})));
  cr_expect(IsSuspect(LoneCrashes({CrashPhase::kJustStarted})));
  cr_expect(IsSuspect(LoneCrashes({CrashPhase::kUnconfirmed})));
}

// Guards against suspects that take a large part of the fleet down at once, or
// that never run in a small one.
Test(Crashes, suspects_take_a_third_of_the_fleet_at_most) {
  cr_expect_eq(MaxProbations(48), 16U);
  cr_expect_eq(MaxProbations(2), 2U);
}

}  // namespace dotterelcove::workflow
