// Suspects under a steady load: every worker starts something all the time.
#define BOOST_TEST_MODULE trial_reservations
#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/testing/steady_load.h"

#include <algorithm>

namespace catkinseam {

namespace {

const std::string One = "00000000000000a1";
Submission jobOf(std::uint32_t Tasks) {
  return SchedulerFixture::makeJob(One, Tasks);
}

} // namespace

// A task whose worker was lost right after the start never started again while
// each worker started something every 200 ms or more often.
BOOST_AUTO_TEST_CASE(SuspectStartsWhileAllWorkersKeepStarting) {
  const LoadShape Shapes[] = {
      {Milliseconds(20), Milliseconds(100), 300},
      {Milliseconds(100), Milliseconds(300), 300},
      {Milliseconds(190), Milliseconds(300), 300},
      // Nothing ends for long, so that each status poll waits.
      {Milliseconds(100), Milliseconds(20000), 10},
      {Milliseconds(190), Milliseconds(20000), 10}};
  for (const LoadShape &Shape : Shapes)
    for (const bool IsService : {false, true})
      for (const int Workers : {1, 2, 17})
        for (const Milliseconds Before :
             {Milliseconds(0), Milliseconds(350), Milliseconds(700),
              Milliseconds(1050)}) {
          SteadyLoad Load(Shape);
          Load.addBusyWorkers(Workers + 1);
          Load.pass(Before);
          Submission Job = jobOf(1);
          Job.m_spec.m_steps.front().m_isService = IsService;
          Load.startJob(Job);
          Load.crashWorker(Load.workersOf(One).front());
          BOOST_TEST_CONTEXT("starts every "
                             << Shape.m_interval.count() << " ms for "
                             << Shape.m_runTime.count() << " ms, service "
                             << IsService << ", " << Workers << " workers") {
            BOOST_TEST(Load.timeUntilActive(One, 1).count() <= MaxWait.count());
            Load.pass(MaxWait);
            BOOST_TEST(Load.longestShortWait().count() <= MaxWait.count());
          }
        }
}

// The same for a gang, whose suspects need several workers at the same time.
BOOST_AUTO_TEST_CASE(SuspectsOfGangStartWhileAllWorkersKeepStarting) {
  for (const int Workers : {4, 8}) {
    SteadyLoad Load;
    Load.addBusyWorkers(Workers + 2);
    Submission Job = jobOf(3);
    Job.m_spec.m_steps.front().m_isGang = true;
    Job.m_spec.m_steps.front().m_request = {2500, 1000, 0};
    Load.startJob(Job);
    const std::vector<std::string> Names = Load.workersOf(One);
    Load.crashWorker(Names[0]);
    Load.crashWorker(Names[1]);
    BOOST_TEST_CONTEXT(Workers << " workers") {
      BOOST_TEST(Load.timeUntilActive(One, 3).count() <= MaxWait.count());
      Load.pass(MaxWait);
      BOOST_TEST(Load.longestShortWait().count() <= MaxWait.count());
    }
  }
}

// Of two workers, the only one that allows a trial was given to the member that
// needs none.
BOOST_AUTO_TEST_CASE(SuspectOfGangGetsTheWorkerThatAllowsATrial) {
  SteadyLoad Load;
  Load.addBusyWorkers(2);
  Submission Job = jobOf(2);
  Job.m_spec.m_steps.front().m_isGang = true;
  Job.m_spec.m_steps.front().m_request = {2500, 1000, 0};
  Load.startJob(Job);
  Load.addBusyWorker("quiet");
  Load.m_busyWorkers["quiet"].m_hasShortTasks = false;
  Submission Other = SchedulerFixture::makeJob("00000000000000a2", 1);
  Other.m_spec.m_steps.front().m_isService = true;
  Other.m_spec.m_steps.front().m_request = {1500, 1000, 0};
  Other.m_spec.m_steps.front().m_requiredLabel = "quiet";
  Load.m_scheduler.addJob(Other, nullptr);
  Load.pass(Milliseconds(10));
  for (const auto &[Name, Row] : Load.m_busyWorkers)
    for (const SteadyLoad::Run &Each : Row.m_runs)
      if (Each.m_order.m_task == TaskKey{One, 0, 0, 1}) {
        Load.crashWorker(Name);
        // The first reservation leads to the trial.
        const TrialReservations::Options Values;
        BOOST_TEST(Load.timeUntilActive(One, 2).count() <=
                   (Values.m_patience + Values.m_maxLength).count());
        return;
      }
  BOOST_TEST(false);
}

// The same for the copy of a task whose worker does not answer.
BOOST_AUTO_TEST_CASE(CopyOfSuspectStartsWhileAllWorkersKeepStarting) {
  SteadyLoad Load;
  Load.addBusyWorkers(4);
  Submission Job = jobOf(1);
  Job.m_spec.m_steps.front().m_isSpeculative = true;
  Load.startJob(Job);
  Load.silence(Load.workersOf(One).front(), OrderOutcome::Unknown);
  BOOST_TEST(Load.timeUntilActive(One, 1).count() <= MaxWait.count());
}

// A task that had failed waited behind a suspect of its step, although it needs
// no trial.
BOOST_AUTO_TEST_CASE(SuspectDoesNotHoldUpItsStep) {
  SteadyLoad Load;
  Load.addBusyWorkers(4);
  Submission Job = jobOf(2);
  Job.m_spec.m_steps.front().m_request = {2500, 1000, 0};
  Load.startJob(Job);
  const std::vector<std::string> Names = Load.workersOf(One);
  BOOST_REQUIRE(Names.size() == 2U);
  Load.crashWorker(Names[0]);
  Load.pass(Milliseconds(20));
  Load.endRunOf({One, 0, 0, 0}, RunEnd::Failed);
  Load.endRunOf({One, 0, 0, 1}, RunEnd::Failed);
  Load.pass(Milliseconds(50));
  BOOST_TEST(Load.workersOf(One).size() == 1U);
}

// No worker is kept for a gang that could not start even so.
BOOST_AUTO_TEST_CASE(GangWithoutRoomReservesNothing) {
  SteadyLoad Load;
  Load.addBusyWorkers(4);
  Submission Gang = jobOf(4);
  Gang.m_spec.m_steps.front().m_isGang = true;
  Gang.m_spec.m_steps.front().m_request = {2500, 1000, 0};
  Load.startJob(Gang);
  const std::string Two = "00000000000000a2";
  Submission Service = SchedulerFixture::makeJob(Two, 1);
  Service.m_spec.m_steps.front().m_isService = true;
  Service.m_spec.m_steps.front().m_request = {100, 100, 0};
  Load.startJob(Service);
  Load.crashWorker(Load.workersOf(Two).front());
  BOOST_TEST(Load.timeUntilActive(Two, 1).count() <= MaxWait.count());
  for (int Round = 0; Round < 300; ++Round) {
    Load.pass(Milliseconds(10));
    for (const auto &[Name, Row] : Load.m_busyWorkers) {
      const StepInfo *Reserved = Load.m_scheduler.findWorker(Name)->m_trialStep;
      BOOST_TEST((!Reserved || !Reserved->m_spec->m_isGang));
    }
  }
  BOOST_TEST(Load.workersOf(One).empty());
}

// A reserved worker stayed idle for as long as a status poll waits.
BOOST_AUTO_TEST_CASE(ReservedWorkerIsPolledOften) {
  constexpr Milliseconds SettlingTime{200};
  SteadyLoad Load({Milliseconds(100), Milliseconds(20000), 10});
  Load.addBusyWorkers(3);
  Load.startJob(jobOf(1));
  Load.crashWorker(Load.workersOf(One).front());
  std::size_t Rounds = 0;
  for (int Tick = 0; Tick < 300; ++Tick, Load.pass(Milliseconds(10)))
    for (const auto &[Name, Row] : Load.m_busyWorkers)
      if (Load.m_scheduler.findWorker(Name)->m_trialStep) {
        ++Rounds;
        BOOST_TEST(Load.m_scheduler.nextPoll(Name)->m_maxWait <= SettlingTime);
      }
  BOOST_TEST(Rounds > 0U);
}

// Guards against tasks that stay away beside free room (review/9): the only
// worker that can run them crashed and came back, and each had its trial alone,
// one after the other.
BOOST_AUTO_TEST_CASE(SuspectsOfOneWorkerStartInFewRounds) {
  // The rule counts three seconds away after four seconds of calm (LOST).
  constexpr Milliseconds MaxAway{7000};
  for (const bool HasShortTasks : {false, true})
    for (const std::uint32_t Tasks : {12U, 24U, 96U}) {
      SteadyLoad Load;
      Load.addBusyWorkers(3);
      Load.m_busyWorkers["w0"].m_hasShortTasks = HasShortTasks;
      std::vector<std::string> Jobs;
      for (int Number = 1; Number <= 4; ++Number) {
        Submission Job = jobOf(Tasks / 4);
        Job.m_id.back() = static_cast<char>('0' + Number);
        StepSpec &Step = Job.m_spec.m_steps.front();
        Step.m_isService = true;
        Step.m_request = {30, 10, 0};
        Step.m_requiredLabel = "w0";
        Load.m_scheduler.addJob(Job, nullptr);
        Jobs.push_back(Job.m_id);
      }
      const auto Running = [&] {
        std::size_t Count = 0;
        for (const std::string &Each : Jobs)
          Count += Load.workersOf(Each).size();
        return Count;
      };
      Load.pass(Milliseconds(150));
      BOOST_REQUIRE(Running() == Tasks);
      Load.crashWorker("w0");
      Load.pass(Milliseconds(1500));
      Load.addBusyWorker("w0");
      Load.m_busyWorkers["w0"].m_hasShortTasks = HasShortTasks;
      const TimePoint Back = Load.m_clock.now();
      while (Running() < Tasks && Load.m_clock.now() - Back < 3 * MaxAway)
        Load.pass(Milliseconds(10));
      BOOST_TEST_CONTEXT(Tasks << " tasks, short tasks " << HasShortTasks) {
        BOOST_TEST(toMilliseconds(Load.m_clock.now() - Back).count() <=
                   MaxAway.count());
        BOOST_TEST(Load.longestShortWait().count() <= MaxWait.count());
      }
    }
}

BOOST_AUTO_TEST_CASE(ReservedWorkerIsOpenToItsStepOnly) {
  for (const bool IsGang : {false, true})
    for (const bool IsSameStep : {false, true})
      for (const bool IsSuspected : {false, true}) {
        StepSpec Spec;
        Spec.m_isGang = IsGang;
        StepInfo Step;
        Step.m_spec = &Spec;
        StepInfo Other;
        Other.m_spec = &Spec;
        TaskInfo Task;
        Task.m_step = &Step;
        Task.m_lostWorkers = IsSuspected ? 1 : 0;
        WorkerInfo Worker;
        BOOST_TEST(!isBarredByTrial(Task, Worker));
        Worker.m_trialStep = IsSameStep ? &Step : &Other;
        BOOST_TEST(isBarredByTrial(Task, Worker) ==
                   !(IsSameStep && (IsGang || IsSuspected)));
      }
}

// The same for the copy of a task that needs no trial.
BOOST_AUTO_TEST_CASE(CopyOfSuspectDoesNotHoldUpItsStep) {
  SteadyLoad Load;
  Load.addBusyWorkers(5);
  Submission Job = jobOf(2);
  Job.m_policy.m_maxAttempts = 4;
  Job.m_spec.m_steps.front().m_isSpeculative = true;
  Job.m_spec.m_steps.front().m_request = {2500, 1000, 0};
  Load.startJob(Job);
  Load.pass(Milliseconds(1000));
  Load.endRunOf({One, 0, 0, 0}, RunEnd::Failed);
  Load.pass(Milliseconds(100));
  for (const std::string &Each : Load.workersOf(One))
    Load.silence(Each, OrderOutcome::Unknown);
  Load.pass(Milliseconds(50));
  BOOST_TEST(Load.workersOf(One).size() == 1U);
}

// However many suspects wait, other tasks for their workers start in time, and
// no more than a quarter of the workers are kept for trials.
BOOST_AUTO_TEST_CASE(SuspectsDoNotKeepOthersWaiting) {
  for (const int Workers : {1, 3, 8, 16}) {
    SteadyLoad Load;
    Load.addBusyWorkers(Workers + 1);
    Submission Job = jobOf(20 * static_cast<std::uint32_t>(Workers + 1));
    Job.m_spec.m_steps.front().m_request = {10, 10, 0};
    Job.m_spec.m_steps.front().m_isService = true;
    Load.startJob(Job);
    const std::size_t Tasks = Load.workersOf(One).size();
    Load.crashWorker(Load.workersOf(One).front());
    BOOST_TEST_CONTEXT(Workers << " workers") {
      BOOST_TEST(Tasks - Load.workersOf(One).size() >= 10U);
      int MostKept = 0;
      for (int Round = 0; Round < 1000; ++Round) {
        Load.pass(Milliseconds(10));
        int Kept = 0;
        for (const auto &[Name, Row] : Load.m_busyWorkers) {
          const WorkerInfo *Worker = Load.m_scheduler.findWorker(Name);
          Kept += Worker->m_trialStep || Worker->m_trials > 0;
        }
        MostKept = std::max(MostKept, Kept);
      }
      BOOST_TEST(MostKept >= 1);
      BOOST_TEST(MostKept <= std::max(1, Workers / 4));
      BOOST_TEST(Load.longestShortWait().count() <= MaxWait.count());
      BOOST_TEST(Load.timeUntilActive(One, Tasks).count() < 20000);
    }
  }
}

// A worker that does not answer a start allows no trial until the reply is
// given up, which takes longer than others may wait.
BOOST_AUTO_TEST_CASE(MissingReplyDoesNotKeepOthersWaiting) {
  SteadyLoad Load;
  Load.addBusyWorkers(2);
  Load.startJob(jobOf(1));
  const std::string Lost = Load.workersOf(One).front();
  const std::string Name = Lost == "w0" ? "w1" : "w0";
  Load.m_busyWorkers[Name].m_losesStart = true;
  Load.pass(Milliseconds(100));
  Load.crashWorker(Lost);
  Load.pass(Milliseconds(10000));
  BOOST_TEST(Load.longestShortWait().count() <= MaxWait.count());
}

} // namespace catkinseam
