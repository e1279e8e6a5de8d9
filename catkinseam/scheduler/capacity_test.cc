// Starts on workers whose capacity changes, and on workers that run more than
// the scheduler started.
#define BOOST_TEST_MODULE worker_capacity
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";
const std::string OtherId = "00000000000000a2";

struct Fixture : SchedulerFixture {
  void changeCapacity(const std::string &Name, const Resources &Capacity) {
    WorkerRegistration Changed = m_scheduler.findWorker(Name)->m_registration;
    Changed.m_capacity = Capacity;
    m_scheduler.updateWorker(Changed);
  }

  /// Starts that are sent if the worker's capacity changes while the decision
  /// is being stored.
  std::size_t releaseAfterChange(const std::string &Name,
                                 const Resources &Capacity) {
    const Decisions Planned = m_scheduler.decide();
    changeCapacity(Name, Capacity);
    const std::vector<StartOrder> Starts = m_scheduler.release(Planned, false);
    for (const StartOrder &Each : Starts)
      m_scheduler.onStart(Each, {OrderOutcome::Done, Milliseconds(1000)});
    m_clock.advance(Milliseconds(50));
    return Starts.size();
  }

  /// Adds a job that has ended under an earlier owner.
  void addEndedJob(const Submission &Job, JobState State) {
    JobProgress Recorded;
    Recorded.m_state = State;
    m_scheduler.addJob(Job, &Recorded);
  }

  /// Lets the worker list first runs of the first `Count` tasks of a step.
  void listRuns(const std::string &Name, const std::string &Job,
                std::uint32_t Count) {
    std::vector<ActiveRun> Active;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Active.push_back({{Job, 0, 0, Index}, 1, "", 50, 0});
    for (const StartOrder &Each : m_sentStarts[Name])
      Active.push_back({Each.m_task, Each.m_run, "", 50, 0});
    answerPoll(Name, Active, {});
    m_clock.advance(Milliseconds(50));
  }

  /// Adds a job that preempts others: jobs past their objective do not.
  void addUrgentJob(Submission Job) {
    Job.m_acceptedMs = m_clock.wallNow().time_since_epoch().count();
    m_scheduler.addJob(Job, nullptr);
  }

  void registerIncarnation(const std::string &Name, std::int64_t StartedMs,
                           const Resources &Capacity) {
    WorkerRegistration Next;
    Next.m_id = Name;
    Next.m_startedMs = StartedMs;
    Next.m_service = "tally";
    Next.m_capacity = Capacity;
    m_scheduler.updateWorker(Next);
  }

  void answerPollOfIncarnation(const std::string &Name,
                               std::int64_t StartedMs) {
    const auto Order = m_scheduler.nextPoll(Name);
    BOOST_REQUIRE(Order.has_value());
    PollReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_snapshot.m_startedMs = StartedMs;
    Reply.m_snapshot.m_clock = Milliseconds(1000);
    m_scheduler.onPoll(*Order, m_clock.now(), Reply);
  }

  static Submission makeJobOf(const std::string &Name, std::uint32_t Tasks,
                              const Resources &Request) {
    Submission Job = makeJob(Name, Tasks);
    Job.m_spec.m_steps[0].m_request = Request;
    return Job;
  }
};

} // namespace

// Starts brought a worker over its capacity, which had shrunk while they were
// being stored. Those that still fit must be sent.
BOOST_FIXTURE_TEST_CASE(PlannedStartsBeyondShrunkCapacityAreWithdrawn,
                        Fixture) {
  for (const Resources &Shrunk :
       {Resources{2000, 8000, 8}, Resources{8000, 2000, 8},
        Resources{8000, 8000, 2}}) {
    Fixture Each;
    Each.addWorker("w1", {8000, 8000, 8});
    Each.m_scheduler.addJob(makeJobOf(Id, 4, {1000, 1000, 1}), nullptr);
    BOOST_TEST(Each.releaseAfterChange("w1", Shrunk) == 2U);
    BOOST_TEST(Each.m_scheduler.summarize().m_waitingTasks == 2U);
    BOOST_TEST(Each.scheduleOnce() == 0U);
    Each.changeCapacity("w1", {8000, 8000, 8});
    BOOST_TEST(Each.scheduleOnce() == 2U);
  }
}

// The same beside runs that are being stopped, which still hold their
// resources.
BOOST_FIXTURE_TEST_CASE(RunsBeingStoppedCountAgainstShrunkCapacity, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  m_scheduler.addJob(makeJob(OtherId, 2), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 2U);
  m_scheduler.cancelJob(OtherId);
  m_scheduler.addJob(makeJob(Id, 2), nullptr);
  BOOST_TEST(releaseAfterChange("w1", {3000, 8000, 0}) == 1U);
}

// Of the starts on a worker that has shrunk, the most urgent one must be sent.
BOOST_FIXTURE_TEST_CASE(MostUrgentPlannedStartsAreKept, Fixture) {
  addWorker("w1", {2000, 8000, 0});
  Submission Urgent = makeJob(OtherId, 1);
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  Urgent.m_policy.m_priority = -1;
  m_scheduler.addJob(Urgent, nullptr);
  const Decisions Planned = m_scheduler.decide();
  changeCapacity("w1", {1000, 8000, 0});
  const std::vector<StartOrder> Starts = m_scheduler.release(Planned, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  BOOST_TEST(Starts[0].m_task.m_job == OtherId);
}

// Starts went beyond the memory of a worker that had shrunk: fillers hold
// memory and accelerators.
BOOST_FIXTURE_TEST_CASE(PlannedFillersBeyondShrunkMemoryAreWithdrawn, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  Submission Job = makeJob(Id, 4);
  Job.m_spec.m_steps[0].m_isFiller = true;
  m_scheduler.addJob(Job, nullptr);
  BOOST_TEST(releaseAfterChange("w1", {4000, 3000, 0}) == 3U);
}

// A gang is started with all members or not at all.
BOOST_FIXTURE_TEST_CASE(GangBeyondShrunkCapacityIsWithdrawnAsAWhole, Fixture) {
  addWorker("w1", {2000, 8000, 0});
  addWorker("w2", {2000, 8000, 0});
  Submission Job = makeJob(Id, 4);
  Job.m_spec.m_steps[0].m_isGang = true;
  m_scheduler.addJob(Job, nullptr);
  BOOST_TEST(releaseAfterChange("w2", {1000, 8000, 0}) == 0U);
  BOOST_TEST(m_scheduler.summarize().m_stopping == 0U);
  changeCapacity("w2", {2000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 4U);
}

// After a takeover, starts brought a worker over its capacity: runs of a job
// that had ended under the earlier owner were still being stopped there.
BOOST_FIXTURE_TEST_CASE(RunsOfEndedJobCountUntilTheyAreGone, Fixture) {
  for (const JobState State :
       {JobState::Completed, JobState::Failed, JobState::Cancelled}) {
    Fixture Each;
    Each.addEndedJob(makeJobOf(OtherId, 3, {1000, 1000, 1}), State);
    Each.addWorker("w1", {4000, 8000, 4});
    Each.listRuns("w1", OtherId, 3);
    Each.m_scheduler.addJob(makeJobOf(Id, 4, {1000, 1000, 1}), nullptr);
    BOOST_TEST(Each.m_scheduler.control().m_stops.size() == 3U);
    BOOST_TEST(Each.scheduleOnce() == 1U);
    Each.listRuns("w1", OtherId, 2);
    BOOST_TEST(Each.scheduleOnce() == 1U);
    Each.listRuns("w1", OtherId, 0);
    BOOST_TEST(Each.scheduleOnce() == 2U);
  }
}

// The same for the runs of a completed task, whose job is not over.
BOOST_FIXTURE_TEST_CASE(RunsOfCompletedTaskCountUntilTheyAreGone, Fixture) {
  JobProgress Recorded;
  Recorded.m_state = JobState::InProgress;
  TaskRecord Done;
  Done.m_isDone = true;
  Done.m_lastRun = 2;
  Recorded.m_occurrences.push_back({0, {{{Done, TaskRecord{}}}}});
  m_scheduler.addJob(makeJob(Id, 2), &Recorded);
  addWorker("w1", {1000, 8000, 0});
  listRuns("w1", Id, 1);
  BOOST_TEST(scheduleOnce() == 0U);
  listRuns("w1", Id, 0);
  BOOST_TEST(scheduleOnce() == 1U);
}

// The same for fillers, which hold memory and no processors.
BOOST_FIXTURE_TEST_CASE(FillersOfEndedJobCountWithTheirMemory, Fixture) {
  Submission Ended = makeJobOf(OtherId, 2, {4000, 3000, 0});
  Ended.m_spec.m_steps[0].m_isFiller = true;
  addEndedJob(Ended, JobState::Completed);
  addWorker("w1", {4000, 8000, 0});
  listRuns("w1", OtherId, 2);
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  BOOST_TEST(scheduleOnce() == 2U);
}

// The same for runs of a job that is not known at all: what they hold is not
// known either.
BOOST_FIXTURE_TEST_CASE(NothingStartsBesideRunOfUnknownJob, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  listRuns("w1", OtherId, 1);
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  listRuns("w1", OtherId, 0);
  BOOST_TEST(scheduleOnce() == 4U);
}

// A decision was stored when the worker listed a run of an ended job.
BOOST_FIXTURE_TEST_CASE(PlannedStartsBesideRunOfEndedJobAreWithdrawn, Fixture) {
  addEndedJob(makeJob(OtherId, 1), JobState::Completed);
  addWorker("w1", {4000, 8000, 0});
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  const Decisions Planned = m_scheduler.decide();
  listRuns("w1", OtherId, 1);
  BOOST_TEST(m_scheduler.release(Planned, false).size() == 3U);
}

// Runs of an ended job must not occupy the next incarnation of their worker.
BOOST_FIXTURE_TEST_CASE(RunsOfEndedJobAreGoneWithTheirIncarnation, Fixture) {
  addEndedJob(makeJob(OtherId, 4), JobState::Completed);
  addWorker("w1", {4000, 8000, 0});
  listRuns("w1", OtherId, 4);
  registerIncarnation("w1", 2, {4000, 8000, 0});
  BOOST_TEST(m_scheduler.findWorker("w1")->m_reserved.isZero());
}

// Less urgent work must not be stopped for resources that runs of an ended job
// are about to free.
BOOST_FIXTURE_TEST_CASE(NothingIsPreemptedWhileRunsOfEndedJobStop, Fixture) {
  addEndedJob(makeJob(OtherId, 2), JobState::Completed);
  addWorker("w1", {4000, 8000, 0});
  Submission Batch = makeJob(Id, 2);
  Batch.m_policy.m_priority = 2;
  m_scheduler.addJob(Batch, nullptr);
  BOOST_REQUIRE(scheduleOnce() == 2U);
  listRuns("w1", OtherId, 2);
  m_scheduler.control();
  addUrgentJob(makeJob("00000000000000a3", 1));
  BOOST_TEST(scheduleOnce() == 0U);
  BOOST_TEST(m_scheduler.summarize().m_stopping == 0U);
}

// Starts exceeded the capacity of a worker that had come back as one of another
// kind: its status poll was answered before its new registration was read.
BOOST_FIXTURE_TEST_CASE(NewIncarnationIsNotUsedBeforeItsRegistration, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  answerPollOfIncarnation("w1", 2);
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  // A delayed registration of the earlier incarnation.
  registerIncarnation("w1", 1, {4000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 0U);
  registerIncarnation("w1", 2, {1000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 1U);
}

// The same for a successor that knows the new incarnation from the recorded
// runs.
BOOST_FIXTURE_TEST_CASE(RecordedIncarnationIsNotUsedBeforeItsRegistration,
                        Fixture) {
  registerIncarnation("w1", 1, {4000, 8000, 0});
  JobProgress Recorded;
  Recorded.m_state = JobState::InProgress;
  TaskRecord Task;
  Task.m_lastRun = 1;
  Task.m_runs.push_back({1, "w1", 2});
  Recorded.m_occurrences.push_back({0, {{{Task}}}});
  m_scheduler.addJob(makeJob(OtherId, 1), &Recorded);
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  answerPollOfIncarnation("w1", 2);
  BOOST_TEST(scheduleOnce() == 0U);
  // The recorded run is barred there.
  BOOST_TEST(sendStops() == 1U);
  answerPollOfIncarnation("w1", 2);
  BOOST_TEST(scheduleOnce() == 0U);
  registerIncarnation("w1", 2, {1000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 1U);
}

// The free processors in the summary were understated by what workers run
// beyond a capacity that has shrunk.
BOOST_FIXTURE_TEST_CASE(OverloadedWorkerHasNoNegativeFreeProcessors, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  m_scheduler.addJob(makeJob(Id, 4), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 4U);
  addWorker("w2", {3000, 8000, 0});
  changeCapacity("w1", {1000, 8000, 0});
  BOOST_TEST(m_scheduler.summarize().m_freeProcessors == 3000);
}

// A worker that runs more than its capacity gets no start until its runs fit
// and there is room for one more, or its capacity has grown.
BOOST_FIXTURE_TEST_CASE(OverloadedWorkerGetsStartsAfterItHasGrown, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  m_scheduler.addJob(makeJob(Id, 8), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 4U);
  changeCapacity("w1", {2000, 8000, 0});
  for (int Ended = 0; Ended < 2; ++Ended) {
    endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
    BOOST_TEST(scheduleOnce() == 0U);
  }
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  BOOST_TEST(scheduleOnce() == 1U);
  changeCapacity("w1", {4000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 2U);
}

// Work must not be stopped for a task that would not fit afterwards: neither on
// a worker that has shrunk below the task, nor beside a service that fills it.
BOOST_FIXTURE_TEST_CASE(NothingIsPreemptedOnWorkerThatIsTooSmall, Fixture) {
  addWorker("w1", {4000, 8000, 0});
  addWorker("w2", {4000, 8000, 0});
  Submission Service = makeJobOf("00000000000000a3", 1, {3000, 1000, 0});
  Service.m_spec.m_steps[0].m_isService = true;
  m_scheduler.addJob(Service, nullptr);
  BOOST_REQUIRE(scheduleOnce() == 1U);
  Submission Batch = makeJob(OtherId, 5);
  Batch.m_policy.m_priority = 2;
  m_scheduler.addJob(Batch, nullptr);
  BOOST_REQUIRE(scheduleOnce() == 5U);
  const std::string Serving = m_sentStarts["w1"].size() == 2U ? "w1" : "w2";
  changeCapacity(Serving, {3000, 8000, 0});
  changeCapacity(Serving == "w1" ? "w2" : "w1", {1000, 8000, 0});
  addUrgentJob(makeJobOf(Id, 1, {2000, 1000, 0}));
  BOOST_TEST(scheduleOnce() == 0U);
  BOOST_TEST(m_scheduler.summarize().m_stopping == 0U);
  changeCapacity(Serving, {5000, 8000, 0});
  BOOST_TEST(scheduleOnce() == 0U);
  BOOST_TEST(m_scheduler.summarize().m_stopping == 1U);
}

// A registration may state a capacity that makes no sense.
BOOST_FIXTURE_TEST_CASE(NothingStartsOnNegativeCapacity, Fixture) {
  for (const Resources &Capacity :
       {Resources{-4000, 8000, 0}, Resources{4000, -8000, 0},
        Resources{4000, 8000, -1}}) {
    Fixture Each;
    Each.addWorker("w1", Capacity);
    Each.m_scheduler.addJob(makeJobOf(Id, 4, {1000, 0, 0}), nullptr);
    BOOST_TEST(Each.scheduleOnce() == 0U);
  }
}

} // namespace catkinseam
