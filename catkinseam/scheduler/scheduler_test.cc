// Unit tests of the scheduler's placement, retry, takeover and stop decisions.
#define BOOST_TEST_MODULE scheduler
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <set>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

using Fixture = SchedulerFixture;

} // namespace

BOOST_FIXTURE_TEST_CASE(DoesNotExceedWorkerCapacity, Fixture) {
  addWorker("w1");
  addWorker("w2");
  m_scheduler.addJob(makeJob(Id, 12), nullptr);
  BOOST_TEST(scheduleOnce() == 8U);
  BOOST_TEST(m_sentStarts["w1"].size() == 4U);
  BOOST_TEST(m_sentStarts["w2"].size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(LimitsTasksOfAStepPerWorker, Fixture) {
  addWorker("w1");
  addWorker("w2");
  Submission Job = makeJob(Id, 4);
  Job.m_spec.m_steps[0].m_maxPerWorker = 1;
  m_scheduler.addJob(Job, nullptr);
  BOOST_TEST(scheduleOnce() == 2U);
}

BOOST_FIXTURE_TEST_CASE(PlacesOnlyOnWorkersWithRequiredLabel, Fixture) {
  addWorker("w1", {4000, 8000, 0}, "r1");
  addWorker("w2", {4000, 8000, 0}, "r2");
  Submission Job = makeJob(Id, 2);
  Job.m_spec.m_steps[0].m_requiredLabel = "r2";
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  BOOST_TEST(m_sentStarts["w2"].size() == 2U);
}

// A wide job that cannot be placed at once must not be overtaken by narrow jobs
// that are submitted later.
BOOST_FIXTURE_TEST_CASE(WideJobIsNotOvertakenByLaterNarrowJobs, Fixture) {
  addWorker("w1");
  Submission Wide = makeJob("00000000000000b0", 8);
  Wide.m_acceptedMs = 1000;
  m_scheduler.addJob(Wide, nullptr);
  scheduleOnce();
  for (int Number = 0; Number < 5; ++Number) {
    Submission Narrow = makeJob("00000000000000c" + std::to_string(Number), 1);
    Narrow.m_acceptedMs = 2000;
    m_scheduler.addJob(Narrow, nullptr);
  }
  const std::vector<StartOrder> First = m_sentStarts["w1"];
  for (const StartOrder &Each : First)
    endRun("w1", Each, RunEnd::Done);
  m_sentStarts["w1"].clear();
  m_clock.advance(Milliseconds(100));
  scheduleOnce();
  for (const StartOrder &Each : m_sentStarts["w1"])
    BOOST_TEST(Each.m_task.m_job == "00000000000000b0");
}

// One worker fails every run, and a task has two attempts: the second one must
// go to a worker that has recently completed a run.
BOOST_FIXTURE_TEST_CASE(RetriesPreferWorkersWithRecentSuccess, Fixture) {
  addWorker("w1");
  addWorker("w2");
  addWorker("w3");
  Submission Spread = makeJob("00000000000000d0", 3);
  Spread.m_spec.m_steps[0].m_maxPerWorker = 1;
  m_scheduler.addJob(Spread, nullptr);
  scheduleOnce();
  // Each worker runs one task; w1 fails, w2 succeeds, w3 has not reported.
  const StartOrder Failed = m_sentStarts["w1"].front();
  endRun("w2", m_sentStarts["w2"].front(), RunEnd::Done);
  endRun("w1", Failed, RunEnd::Failed);
  scheduleOnce();
  bool IsOnProven = false;
  for (const StartOrder &Each : m_sentStarts["w2"])
    IsOnProven = IsOnProven || Each.m_task == Failed.m_task;
  BOOST_TEST(IsOnProven);
}

BOOST_FIXTURE_TEST_CASE(JobFailsAfterLastAttempt, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    BOOST_TEST(scheduleOnce() == 1U);
    endRun("w1", m_sentStarts["w1"].front(), RunEnd::Failed);
  }
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Failed));
}

// An end must be acknowledged to the worker only after it is stored.
BOOST_FIXTURE_TEST_CASE(EndIsAcknowledgedOnlyAfterItIsStored, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  BOOST_TEST(m_scheduler.nextPoll("w1")->m_acknowledgedEnd == 0U);
  const Decisions Next = m_scheduler.decide();
  BOOST_TEST(m_scheduler.nextPoll("w1")->m_acknowledgedEnd == 0U);
  m_scheduler.release(Next, false);
  BOOST_TEST(m_scheduler.nextPoll("w1")->m_acknowledgedEnd == 1U);
}

// A successor must know the worker of each run, even if the start was never
// acknowledged.
BOOST_FIXTURE_TEST_CASE(RunIsRecordedBeforeStartIsSent, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  const TaskRecord &Task =
      Next.m_progress[0].second.m_occurrences[0].m_steps[0].m_tasks[0];
  BOOST_REQUIRE(Task.m_runs.size() == 1U);
  BOOST_TEST(Task.m_runs[0].m_worker == "w1");
  BOOST_TEST(Task.m_runs[0].m_run == 1U);
}

// The reply to a start is lost, as by a connection that is reset, and the
// worker runs the task. The run must go on.
BOOST_FIXTURE_TEST_CASE(RunWithLostStartReplyGoesOn, Fixture) {
  addWorker("w1");
  addWorker("w2");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  const Decisions Next = m_scheduler.decide();
  const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  m_scheduler.onStart(Starts[0], {OrderOutcome::Unknown, std::nullopt});
  BOOST_TEST(m_scheduler.control().m_stops.empty());
  // The worker is asked at once.
  BOOST_TEST(
      (m_scheduler.nextPoll(Starts[0].m_worker)->m_maxWait == Milliseconds(0)));
  answerPoll(Starts[0].m_worker, {{Starts[0].m_task, 1, "", 10, 0}}, {});
  BOOST_TEST(m_scheduler.control().m_stops.empty());
  BOOST_TEST(scheduleOnce() == 0U);
  m_sentStarts[Starts[0].m_worker] = Starts;
  endRun(Starts[0].m_worker, Starts[0], RunEnd::Done);
  const Decisions Last = m_scheduler.decide();
  BOOST_REQUIRE(Last.m_progress.size() == 1U);
  BOOST_TEST((Last.m_progress[0].second.m_state == JobState::Completed));
}

// A worker cannot be reached until its leases have expired, and its task runs
// elsewhere. When it returns and reports that it had completed the task, the
// task must not be started again once that end has been acknowledged.
BOOST_FIXTURE_TEST_CASE(DoneReportedAfterDiscardCompletesTask, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  scheduleOnce();
  const StartOrder First = m_sentStarts["w1"].front();
  const auto Lost = m_scheduler.nextPoll("w1");
  m_scheduler.onPoll(*Lost, m_clock.now(), {OrderOutcome::Unknown, {}});
  m_clock.advance(Milliseconds(10000));
  m_scheduler.control();
  addWorker("w2");
  BOOST_TEST(scheduleOnce() == 1U);
  endRun("w1", First, RunEnd::Done);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Completed));
  BOOST_TEST(m_scheduler.control().m_stops.size() == 1U);
}

// A start without a reply, and a worker that does not list the run: the run is
// stopped, and the next one may start only after a status poll that was sent
// after the stop was acknowledged.
BOOST_FIXTURE_TEST_CASE(UnacknowledgedStartIsStoppedBeforeRetry, Fixture) {
  addWorker("w1");
  addWorker("w2");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  const Decisions Next = m_scheduler.decide();
  const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  const std::string Worker = Starts[0].m_worker;
  m_scheduler.onStart(Starts[0], {OrderOutcome::Unknown, std::nullopt});
  BOOST_TEST(scheduleOnce() == 0U);
  answerPoll(Worker, {}, {});
  BOOST_TEST(scheduleOnce() == 0U);
  const ImmediateOrders Orders = m_scheduler.control();
  BOOST_REQUIRE(Orders.m_stops.size() == 1U);
  m_scheduler.onStop(Orders.m_stops[0],
                     {OrderOutcome::Done, Milliseconds(1100)});
  m_clock.advance(Milliseconds(10));
  answerPoll(Worker, {}, {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// Without services on the worker, fillers start at the full CPU rate up to the
// worker's processors.
BOOST_FIXTURE_TEST_CASE(FillersAreLimitedToSpareProcessors, Fixture) {
  addWorker("w1");
  Submission Job = makeJob(Id, 20);
  Job.m_spec.m_steps[0].m_isFiller = true;
  Job.m_spec.m_steps[0].m_request = {1000, 100, 0};
  m_scheduler.addJob(Job, nullptr);
  // Four processors; the last filler may get only part of its request.
  BOOST_TEST(scheduleOnce() == 4U);
}

// A task that runs several times longer than the others of its step is copied
// to another worker, but only if the customer allows it.
BOOST_FIXTURE_TEST_CASE(StragglersAreCopiedOnlyIfSpeculative, Fixture) {
  for (const bool IsAllowed : {false, true}) {
    Fixture Each;
    Each.addWorker("w1", {1000, 8000, 0});
    Each.addWorker("w2", {1000, 8000, 0});
    Each.addWorker("w3", {1000, 8000, 0});
    Submission Job = makeJob(Id, 3);
    Job.m_spec.m_steps[0].m_isSpeculative = IsAllowed;
    Each.m_scheduler.addJob(Job, nullptr);
    BOOST_TEST(Each.scheduleOnce() == 3U);
    Each.endRun("w1", Each.m_sentStarts["w1"].front(), RunEnd::Done);
    Each.endRun("w2", Each.m_sentStarts["w2"].front(), RunEnd::Done);
    BOOST_TEST(Each.scheduleOnce() == 0U);
    Each.m_clock.advance(Milliseconds(500));
    BOOST_TEST(Each.scheduleOnce() == (IsAllowed ? 1U : 0U));
    BOOST_TEST(Each.scheduleOnce() == 0U);
  }
}

// A task and its copy both succeed: the task must be counted once. Counting it
// twice completed the job while a task of its next step had not ended.
BOOST_FIXTURE_TEST_CASE(CompletedCopyIsCountedOnce, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  addWorker("w3", {1000, 8000, 0});
  Submission Job = makeJob(Id, 3);
  Job.m_spec.m_steps[0].m_isSpeculative = true;
  Job.m_spec.m_steps.push_back(Job.m_spec.m_steps[0]);
  Job.m_spec.m_steps[1].m_after = {0};
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  endRun("w2", m_sentStarts["w2"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(scheduleOnce() == 1U);
  const std::string Copied = m_sentStarts["w1"].empty() ? "w2" : "w1";
  endRun("w3", m_sentStarts["w3"].front(), RunEnd::Done);
  endRun(Copied, m_sentStarts[Copied].front(), RunEnd::Done);
  BOOST_TEST(scheduleOnce() == 3U);
  for (const auto &[Job, Progress] : m_scheduler.decide().m_progress)
    BOOST_TEST((Progress.m_state == JobState::InProgress));
}

// A task that always fails is copied as a straggler. Copies must count as
// attempts; otherwise such a task was started 48 times.
BOOST_FIXTURE_TEST_CASE(CopiesCountAsAttempts, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  addWorker("w3", {1000, 8000, 0});
  Submission Job = makeJob(Id, 3);
  Job.m_spec.m_steps[0].m_isSpeculative = true;
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  endRun("w2", m_sentStarts["w2"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(scheduleOnce() == 1U);
  const std::string Copied = m_sentStarts["w1"].empty() ? "w2" : "w1";
  endRun(Copied, m_sentStarts[Copied].front(), RunEnd::Failed);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(scheduleOnce() == 0U);
  endRun("w3", m_sentStarts["w3"].front(), RunEnd::Failed);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Failed));
}

// Takeover while fillers are paused: the successor does not know their CPU
// rates and must send them again; otherwise fillers at rate zero never resumed.
BOOST_FIXTURE_TEST_CASE(CpuRateOfAdoptedFillersIsResent, Fixture) {
  Submission Job = makeJob(Id, 1);
  Job.m_spec.m_steps[0].m_isFiller = true;
  JobProgress Recorded;
  Recorded.m_state = JobState::InProgress;
  TaskRecord Task;
  Task.m_lastRun = 1;
  Task.m_runs.push_back({1, "w1", 1});
  Recorded.m_occurrences.push_back({0, {{{Task}}}});
  WorkerRegistration Registration;
  Registration.m_id = "w1";
  Registration.m_startedMs = 1;
  Registration.m_service = "tally";
  Registration.m_capacity = {4000, 8000, 0};
  m_scheduler.updateWorker(Registration);
  m_scheduler.addJob(Job, &Recorded);
  answerPoll("w1", {{{Id, 0, 0, 0}, 1, "", 40, 0}}, {});
  const ImmediateOrders Orders = m_scheduler.control();
  BOOST_REQUIRE(Orders.m_throttles.size() == 1U);
  BOOST_TEST(Orders.m_throttles[0].m_cpuRatePercent == 100);
}

// No filler may start beside a service that exceeds its target. Replacements of
// ended fillers started at the full CPU rate and prolonged the violation to
// four seconds although all earlier fillers had been paused.
BOOST_FIXTURE_TEST_CASE(NoFillerStartsBesideServiceOverTarget, Fixture) {
  addWorker("w1");
  Submission Service = makeJob("00000000000000e0", 1);
  Service.m_spec.m_steps[0].m_isService = true;
  Service.m_spec.m_steps[0].m_image = "clock";
  Service.m_spec.m_steps[0].m_targetTailLatency = Milliseconds(18);
  m_scheduler.addJob(Service, nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  const TaskKey Task = m_sentStarts["w1"].front().m_task;
  Submission Filler = makeJob(Id, 1);
  Filler.m_spec.m_steps[0].m_isFiller = true;
  Filler.m_spec.m_steps[0].m_request = {40, 100, 0};
  Filler.m_spec.m_steps[0].m_image = "ledger";
  answerPoll("w1", {{Task, 1, "", 100, 25}}, {});
  m_scheduler.addJob(Filler, nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  answerPoll("w1", {{Task, 1, "", 100, 6}}, {});
  m_clock.advance(Milliseconds(100));
  BOOST_TEST(scheduleOnce() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CancelledJobIsStoppedAndNotRestarted, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 6), nullptr);
  scheduleOnce();
  m_scheduler.cancelJob(Id);
  BOOST_TEST(m_scheduler.control().m_stops.size() == 4U);
  BOOST_TEST(scheduleOnce() == 0U);
}

} // namespace catkinseam
