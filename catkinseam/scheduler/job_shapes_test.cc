// Unit tests of gangs, recurring jobs, services and preemption.
#define BOOST_TEST_MODULE job_shapes
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <set>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";
const std::string OtherId = "00000000000000a2";

struct Fixture : SchedulerFixture {
  static Submission gang(const std::string &Name, std::uint32_t Tasks) {
    Submission Job = makeJob(Name, Tasks);
    Job.m_spec.m_steps[0].m_isGang = true;
    Job.m_spec.m_steps[0].m_savesCheckpoints = true;
    return Job;
  }

  static Submission service(const std::string &Name, std::uint32_t Tasks) {
    Submission Job = makeJob(Name, Tasks);
    Job.m_spec.m_steps[0].m_isService = true;
    Job.m_spec.m_steps[0].m_image = "clock";
    return Job;
  }

  /// All starts in m_sentStarts.
  std::vector<StartOrder> allSent() const {
    std::vector<StartOrder> All;
    for (const auto &[Worker, Starts] : m_sentStarts)
      All.insert(All.end(), Starts.begin(), Starts.end());
    return All;
  }

  std::string workerOf(const TaskKey &Task) const {
    for (const auto &[Worker, Starts] : m_sentStarts)
      for (const StartOrder &Each : Starts)
        if (Each.m_task == Task)
          return Worker;
    return "";
  }

  /// Number of stops that the scheduler sends now.
  std::size_t stops() { return m_scheduler.control().m_stops.size(); }
};

} // namespace

// Members of a partly started gang would hold resources while waiting for the
// others, so a gang starts completely or not at all.
BOOST_FIXTURE_TEST_CASE(GangStartsCompletelyOrNotAtAll, Fixture) {
  addWorker("w1", {3000, 8000, 0});
  m_scheduler.addJob(gang(Id, 4), nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  addWorker("w2", {3000, 8000, 0});
  m_clock.advance(Milliseconds(100));
  BOOST_TEST(scheduleOnce() == 4U);
  std::set<RunNumber> Numbers;
  for (const StartOrder &Each : allSent())
    Numbers.insert(Each.m_run);
  BOOST_TEST(Numbers.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CompletedMemberCompletesGang, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(gang(Id, 3), nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Completed));
}

// If one member fails, the others are stopped and all restart under one higher
// run number from the same checkpoint.
BOOST_FIXTURE_TEST_CASE(GangRestartsFromOneCheckpoint, Fixture) {
  addWorker("w1");
  addWorker("w2");
  Submission Job = gang(Id, 2);
  Job.m_spec.m_steps[0].m_maxPerWorker = 1;
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  const StartOrder First = m_sentStarts["w1"].front();
  const StartOrder Second = m_sentStarts["w2"].front();
  answerPoll("w1", {{First.m_task, 1, "saved-1", 50, 0}}, {});
  answerPoll("w2", {{Second.m_task, 1, "saved-2", 50, 0}}, {});
  endRun("w1", First, RunEnd::Failed);
  BOOST_TEST(stops() == 1U);
  BOOST_TEST(scheduleOnce() == 0U);
  endRun("w2", Second, RunEnd::Broken);
  m_sentStarts.clear();
  m_clock.advance(Milliseconds(1000));
  BOOST_TEST(scheduleOnce() == 2U);
  std::set<RunNumber> Numbers;
  std::set<std::string> Saved;
  for (const StartOrder &Each : allSent()) {
    Numbers.insert(Each.m_run);
    Saved.insert(Each.m_checkpoint);
  }
  BOOST_TEST(Numbers.size() == 1U);
  BOOST_TEST(*Numbers.begin() > 1U);
  BOOST_TEST(Saved.size() == 1U);
  BOOST_TEST(!Saved.begin()->empty());
}

BOOST_FIXTURE_TEST_CASE(OccurrencesStartWhenDue, Fixture) {
  addWorker("w1");
  Submission Job = makeJob(Id, 1);
  const std::int64_t NowMs = m_clock.wallNow().time_since_epoch().count();
  Job.m_spec.m_occurrences = 3;
  Job.m_spec.m_firstDueMs = NowMs + 1000;
  Job.m_spec.m_interval = Milliseconds(2000);
  m_scheduler.addJob(Job, nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  m_clock.advance(Milliseconds(900));
  BOOST_TEST(scheduleOnce() == 0U);
  m_clock.advance(Milliseconds(60));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].back().m_task.m_occurrence == 0U);
  // The first occurrence is still running when the second is due.
  m_clock.advance(Milliseconds(2000));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].back().m_task.m_occurrence == 1U);
  const std::vector<StartOrder> Running = m_sentStarts["w1"];
  for (const StartOrder &Each : Running)
    endRun("w1", Each, RunEnd::Done);
  for (const auto &[Name, Progress] : m_scheduler.decide().m_progress)
    BOOST_TEST((Progress.m_state == JobState::InProgress));
  m_clock.advance(Milliseconds(2000));
  BOOST_TEST(scheduleOnce() == 1U);
  endRun("w1", m_sentStarts["w1"].back(), RunEnd::Done);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Completed));
}

// A successor continues with the occurrences that are not completed and must
// not repeat a completed one.
BOOST_FIXTURE_TEST_CASE(SuccessorDoesNotRepeatOccurrences, Fixture) {
  addWorker("w1");
  Submission Job = makeJob(Id, 1);
  Job.m_spec.m_occurrences = 3;
  Job.m_spec.m_firstDueMs = m_clock.wallNow().time_since_epoch().count();
  Job.m_spec.m_interval = Milliseconds(100);
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].back(), RunEnd::Done);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  SchedulerFixture Successor;
  Successor.m_clock.advance(m_clock.now() - Successor.m_clock.now());
  Successor.addWorker("w1");
  Successor.m_scheduler.addJob(Job, &Next.m_progress[0].second);
  for (int Step = 0; Step < 10; ++Step)
    Successor.scheduleOnce();
  std::set<std::uint32_t> Numbers;
  for (const StartOrder &Each : Successor.m_sentStarts["w1"])
    Numbers.insert(Each.m_task.m_occurrence);
  BOOST_TEST((Numbers == std::set<std::uint32_t>{1, 2}));
}

// Services that need less than all workers must be packed, so that some workers
// stay without services and can run any filler.
BOOST_FIXTURE_TEST_CASE(ServicesArePackedOntoFewWorkers, Fixture) {
  addWorker("w1");
  addWorker("w2");
  addWorker("w3");
  m_scheduler.addJob(service(Id, 2), nullptr);
  m_scheduler.addJob(service(OtherId, 2), nullptr);
  scheduleOnce();
  const auto Free =
      std::count_if(m_sentStarts.begin(), m_sentStarts.end(),
                    [](const auto &Each) { return Each.second.empty(); }) +
      3 - static_cast<std::ptrdiff_t>(m_sentStarts.size());
  BOOST_TEST(Free >= 1);
}

// Finite work must be placed before waiting services of the same priority:
// services took all freed resources for good and starved it.
BOOST_FIXTURE_TEST_CASE(FiniteWorkIsPlacedBeforeWaitingServices, Fixture) {
  addWorker("w1");
  Submission Running = service(Id, 4);
  m_scheduler.addJob(Running, nullptr);
  BOOST_TEST(scheduleOnce() == 4U);
  Submission Waiting = service(OtherId, 1);
  Waiting.m_acceptedMs = 1;
  m_scheduler.addJob(Waiting, nullptr);
  scheduleOnce();
  Submission Short = makeJob("00000000000000a3", 1);
  Short.m_acceptedMs = m_clock.wallNow().time_since_epoch().count();
  m_scheduler.addJob(Short, nullptr);
  scheduleOnce();
  m_sentStarts.clear();
  m_scheduler.cancelJob(Id);
  answerPoll("w1", {}, {});
  m_scheduler.control();
  m_clock.advance(Milliseconds(100));
  answerPoll("w1", {}, {{1, {Id, 0, 0, 0}, 1, RunEnd::Stopped, ""}});
  m_clock.advance(Milliseconds(100));
  scheduleOnce();
  BOOST_REQUIRE(!m_sentStarts["w1"].empty());
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000a3");
}

// Higher-priority work arrives at a worker full of lower-priority work: only
// the run with the least lost work is preempted.
BOOST_FIXTURE_TEST_CASE(LowerPriorityWorkIsPreempted, Fixture) {
  addWorker("w1");
  Submission Lower = makeJob(Id, 4);
  Lower.m_policy.m_priority = 2;
  m_scheduler.addJob(Lower, nullptr);
  BOOST_TEST(scheduleOnce() == 4U);
  std::vector<ActiveRun> Active;
  for (std::uint32_t Index = 0; Index < 4; ++Index)
    Active.push_back({{Id, 0, 0, Index}, 1, "", Index == 2 ? 5 : 70, 0});
  answerPoll("w1", Active, {});
  Submission Urgent = makeJob(OtherId, 1);
  Urgent.m_acceptedMs = m_clock.wallNow().time_since_epoch().count();
  m_scheduler.addJob(Urgent, nullptr);
  BOOST_TEST(scheduleOnce() == 0U);
  const ImmediateOrders Orders = m_scheduler.control();
  BOOST_REQUIRE(Orders.m_stops.size() == 1U);
  BOOST_TEST(Orders.m_stops[0].m_task.m_index == 2U);
  // Resources are already being freed, so no other run is stopped.
  scheduleOnce();
  BOOST_TEST(stops() == 0U);
  Active.erase(Active.begin() + 2);
  answerPoll("w1", Active, {{1, {Id, 0, 0, 2}, 1, RunEnd::Stopped, ""}});
  m_sentStarts.clear();
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == OtherId);
}

BOOST_FIXTURE_TEST_CASE(EqualPriorityAndServicesAreNotPreempted, Fixture) {
  addWorker("w1");
  Submission Lasting = service(Id, 2);
  Lasting.m_policy.m_priority = 3;
  m_scheduler.addJob(Lasting, nullptr);
  m_scheduler.addJob(makeJob("00000000000000a3", 2), nullptr);
  BOOST_TEST(scheduleOnce() == 4U);
  Submission Next = makeJob(OtherId, 1);
  Next.m_acceptedMs = m_clock.wallNow().time_since_epoch().count();
  m_scheduler.addJob(Next, nullptr);
  scheduleOnce();
  BOOST_TEST(stops() == 0U);
}

} // namespace catkinseam
