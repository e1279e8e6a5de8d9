// Placement and health decisions of the scheduler, without any process.
#define BOOST_TEST_MODULE scheduler
#include "catkinseam/scheduler/testing/plan_fixture.h"

#include <set>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

using Fixture = PlanFixture;

} // namespace

BOOST_FIXTURE_TEST_CASE(FillsNoWorkerBeyondItsCapacity, Fixture) {
  addWorker("w1");
  addWorker("w2");
  m_plan.addJob(job(Id, 12), nullptr);
  BOOST_TEST(step() == 8U);
  BOOST_TEST(m_sent["w1"].size() == 4U);
  BOOST_TEST(m_sent["w2"].size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(KeepsTasksOfAStepApart, Fixture) {
  addWorker("w1");
  addWorker("w2");
  Submission Job = job(Id, 4);
  Job.m_spec.m_steps[0].m_maxPerWorker = 1;
  m_plan.addJob(Job, nullptr);
  BOOST_TEST(step() == 2U);
}

BOOST_FIXTURE_TEST_CASE(GoesOnlyWhereTheLabelIs, Fixture) {
  addWorker("w1", {4000, 8000, 0}, "r1");
  addWorker("w2", {4000, 8000, 0}, "r2");
  Submission Job = job(Id, 2);
  Job.m_spec.m_steps[0].m_requiredLabel = "r2";
  m_plan.addJob(Job, nullptr);
  step();
  BOOST_TEST(m_sent["w2"].size() == 2U);
}

// Pattern: a wide job is submitted before many narrow ones and needs more room
// than is free at once. It keeps its place in the order.
BOOST_FIXTURE_TEST_CASE(AWideJobIsNotPassedByLaterNarrowOnes, Fixture) {
  addWorker("w1");
  Submission Wide = job("00000000000000b0", 8);
  Wide.m_acceptedMs = 1000;
  m_plan.addJob(Wide, nullptr);
  step();
  for (int Number = 0; Number < 5; ++Number) {
    Submission Narrow = job("00000000000000c" + std::to_string(Number), 1);
    Narrow.m_acceptedMs = 2000;
    m_plan.addJob(Narrow, nullptr);
  }
  const std::vector<StartOrder> First = m_sent["w1"];
  for (const StartOrder &Each : First)
    end("w1", Each, RunEnd::Done);
  m_sent["w1"].clear();
  m_clock.advance(Milliseconds(100));
  step();
  for (const StartOrder &Each : m_sent["w1"])
    BOOST_TEST(Each.m_task.m_job == "00000000000000b0");
}

// Pattern: one worker fails all that it starts, with two attempts a task. The
// second attempt goes to a worker that has lately finished work.
BOOST_FIXTURE_TEST_CASE(SecondAttemptsGoToProvenWorkers, Fixture) {
  addWorker("w1");
  addWorker("w2");
  addWorker("w3");
  Submission Spread = job("00000000000000d0", 3);
  Spread.m_spec.m_steps[0].m_maxPerWorker = 1;
  m_plan.addJob(Spread, nullptr);
  step();
  // Each worker has one; w1 fails, w2 finishes, w3 says nothing yet.
  const StartOrder Failed = m_sent["w1"].front();
  end("w2", m_sent["w2"].front(), RunEnd::Done);
  end("w1", Failed, RunEnd::Failed);
  step();
  bool IsOnProven = false;
  for (const StartOrder &Each : m_sent["w2"])
    IsOnProven = IsOnProven || Each.m_task == Failed.m_task;
  BOOST_TEST(IsOnProven);
}

BOOST_FIXTURE_TEST_CASE(AJobFailsAfterItsLastAttempt, Fixture) {
  addWorker("w1");
  m_plan.addJob(job(Id, 1), nullptr);
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    BOOST_TEST(step() == 1U);
    end("w1", m_sent["w1"].front(), RunEnd::Failed);
  }
  const Decisions Next = m_plan.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Failed));
}

// An end counts as taken note of by the worker only once it is stored.
BOOST_FIXTURE_TEST_CASE(ObservedPassesAnEndOnlyWhenItIsStored, Fixture) {
  addWorker("w1");
  m_plan.addJob(job(Id, 1), nullptr);
  step();
  end("w1", m_sent["w1"].front(), RunEnd::Done);
  BOOST_TEST(m_plan.nextHold("w1")->m_observed == 0U);
  const Decisions Next = m_plan.decide();
  BOOST_TEST(m_plan.nextHold("w1")->m_observed == 0U);
  m_plan.release(Next, false);
  BOOST_TEST(m_plan.nextHold("w1")->m_observed == 1U);
}

// A successor must find where each run was sent, even if its start was never
// answered.
BOOST_FIXTURE_TEST_CASE(RunsAreRecordedBeforeTheyAreSent, Fixture) {
  addWorker("w1");
  m_plan.addJob(job(Id, 1), nullptr);
  const Decisions Next = m_plan.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  const TaskRecord &Task =
      Next.m_progress[0].second.m_occurrences[0].m_steps[0].m_tasks[0];
  BOOST_REQUIRE(Task.m_runs.size() == 1U);
  BOOST_TEST(Task.m_runs[0].m_worker == "w1");
  BOOST_TEST(Task.m_runs[0].m_run == 1U);
}

// A start without an answer: the run is stopped there and a higher one starts
// only after a look that was sent after the stop's answer.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsStoppedBeforeItRunsElsewhere,
                        Fixture) {
  addWorker("w1");
  addWorker("w2");
  m_plan.addJob(job(Id, 1), nullptr);
  const Decisions Next = m_plan.decide();
  const std::vector<StartOrder> Starts = m_plan.release(Next, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  const std::string Worker = Starts[0].m_worker;
  m_plan.onStart(Starts[0], {OrderOutcome::Unknown, std::nullopt});
  BOOST_TEST(step() == 0U);
  look(Worker, {}, {});
  BOOST_TEST(step() == 0U);
  const Controls Orders = m_plan.control();
  BOOST_REQUIRE(Orders.m_stops.size() == 1U);
  m_plan.onStop(Orders.m_stops[0], {OrderOutcome::Done, Milliseconds(1100)});
  m_clock.advance(Milliseconds(10));
  look(Worker, {}, {});
  BOOST_TEST(step() == 1U);
}

// A slowed filler has more than one reason to be let go; a filler beside no
// service has none to be slowed.
BOOST_FIXTURE_TEST_CASE(FillersTakeOnlyWhatOthersLeave, Fixture) {
  addWorker("w1");
  Submission Job = job(Id, 20);
  Job.m_spec.m_steps[0].m_isFiller = true;
  Job.m_spec.m_steps[0].m_request = {1000, 100, 0};
  m_plan.addJob(Job, nullptr);
  // Four processors; the last may get a part of what it asks for.
  BOOST_TEST(step() == 4U);
}

// Pattern: one task of a step runs several times longer than the others. Only
// where the customer allows it, a copy runs on another worker.
BOOST_FIXTURE_TEST_CASE(StragglersAreCopiedWhereThatIsAllowed, Fixture) {
  for (const bool IsAllowed : {false, true}) {
    Fixture Each;
    Each.addWorker("w1", {1000, 8000, 0});
    Each.addWorker("w2", {1000, 8000, 0});
    Each.addWorker("w3", {1000, 8000, 0});
    Submission Job = job(Id, 3);
    Job.m_spec.m_steps[0].m_isSpeculative = IsAllowed;
    Each.m_plan.addJob(Job, nullptr);
    BOOST_TEST(Each.step() == 3U);
    Each.end("w1", Each.m_sent["w1"].front(), RunEnd::Done);
    Each.end("w2", Each.m_sent["w2"].front(), RunEnd::Done);
    BOOST_TEST(Each.step() == 0U);
    Each.m_clock.advance(Milliseconds(500));
    BOOST_TEST(Each.step() == (IsAllowed ? 1U : 0U));
    BOOST_TEST(Each.step() == 0U);
  }
}

// Pattern: a task and its copy both end as done. The step counts once; a job
// was shown as completed while a task of its next step had not ended.
BOOST_FIXTURE_TEST_CASE(ACopyThatEndsTooCountsOnce, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  addWorker("w3", {1000, 8000, 0});
  Submission Job = job(Id, 3);
  Job.m_spec.m_steps[0].m_isSpeculative = true;
  Job.m_spec.m_steps.push_back(Job.m_spec.m_steps[0]);
  Job.m_spec.m_steps[1].m_after = {0};
  m_plan.addJob(Job, nullptr);
  step();
  end("w1", m_sent["w1"].front(), RunEnd::Done);
  end("w2", m_sent["w2"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(step() == 1U);
  const std::string Copied = m_sent["w1"].empty() ? "w2" : "w1";
  end("w3", m_sent["w3"].front(), RunEnd::Done);
  end(Copied, m_sent[Copied].front(), RunEnd::Done);
  BOOST_TEST(step() == 3U);
  for (const auto &[Job, Progress] : m_plan.decide().m_progress)
    BOOST_TEST((Progress.m_state == JobState::InProgress));
}

// Pattern: a task that fails wherever it runs is copied as a straggler. Copies
// count as attempts; a hopeless task was started 48 times.
BOOST_FIXTURE_TEST_CASE(CopiesAreNoExtraAttempts, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  addWorker("w3", {1000, 8000, 0});
  Submission Job = job(Id, 3);
  Job.m_spec.m_steps[0].m_isSpeculative = true;
  m_plan.addJob(Job, nullptr);
  step();
  end("w1", m_sent["w1"].front(), RunEnd::Done);
  end("w2", m_sent["w2"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(step() == 1U);
  const std::string Copied = m_sent["w1"].empty() ? "w2" : "w1";
  end(Copied, m_sent[Copied].front(), RunEnd::Failed);
  m_clock.advance(Milliseconds(500));
  BOOST_TEST(step() == 0U);
  end("w3", m_sent["w3"].front(), RunEnd::Failed);
  const Decisions Next = m_plan.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Failed));
}

// Pattern: a takeover while fillers stand still. The successor does not know
// what pace they were given; those left at zero never went on.
BOOST_FIXTURE_TEST_CASE(AdoptedFillersAreGivenAPaceAnew, Fixture) {
  Submission Job = job(Id, 1);
  Job.m_spec.m_steps[0].m_isFiller = true;
  JobProgress Recorded;
  Recorded.m_state = JobState::InProgress;
  TaskRecord Task;
  Task.m_lastRun = 1;
  Task.m_runs.push_back({1, "w1", 1});
  Recorded.m_occurrences.push_back({0, {{{Task}}}});
  WorkerReport Report;
  Report.m_id = "w1";
  Report.m_bornMs = 1;
  Report.m_service = "tally";
  Report.m_capacity = {4000, 8000, 0};
  m_plan.updateWorker(Report);
  m_plan.addJob(Job, &Recorded);
  look("w1", {{{Id, 0, 0, 0}, 1, "", 40, 0}}, {});
  const Controls Orders = m_plan.control();
  BOOST_REQUIRE(Orders.m_paces.size() == 1U);
  BOOST_TEST(Orders.m_paces[0].m_percent == 100);
}

// Pattern: fillers that end are followed by others on a worker whose service is
// over its target. Each began at full pace, and the harm went on for four
// seconds although all before it had been halted.
BOOST_FIXTURE_TEST_CASE(NoFillerStartsBesideAServiceOverItsTarget, Fixture) {
  addWorker("w1");
  Submission Service = job("00000000000000e0", 1);
  Service.m_spec.m_steps[0].m_isService = true;
  Service.m_spec.m_steps[0].m_image = "clock";
  Service.m_spec.m_steps[0].m_targetTail = Milliseconds(18);
  m_plan.addJob(Service, nullptr);
  BOOST_TEST(step() == 1U);
  const TaskKey Task = m_sent["w1"].front().m_task;
  Submission Filler = job(Id, 1);
  Filler.m_spec.m_steps[0].m_isFiller = true;
  Filler.m_spec.m_steps[0].m_request = {40, 100, 0};
  Filler.m_spec.m_steps[0].m_image = "ledger";
  look("w1", {{Task, 1, "", 100, 25}}, {});
  m_plan.addJob(Filler, nullptr);
  BOOST_TEST(step() == 0U);
  look("w1", {{Task, 1, "", 100, 6}}, {});
  m_clock.advance(Milliseconds(100));
  BOOST_TEST(step() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CancelledJobsAreStoppedAndNotStarted, Fixture) {
  addWorker("w1");
  m_plan.addJob(job(Id, 6), nullptr);
  step();
  m_plan.cancelJob(Id);
  BOOST_TEST(m_plan.control().m_stops.size() == 4U);
  BOOST_TEST(step() == 0U);
}

} // namespace catkinseam
