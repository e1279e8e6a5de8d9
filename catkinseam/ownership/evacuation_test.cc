// Evacuations: no run starts in a data centre that the operator has asked to
// evacuate, whatever fails meanwhile.
#define BOOST_TEST_MODULE evacuation
#include "catkinseam/ownership/testing/simulated_cluster.h"
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};
const std::string Evacuated = "dc0";

/// A cluster of two workers in each of three data centres, under steady load.
struct Fixture {
  SimulatedCluster m_cluster{{.m_seed = 3}};
  std::uint64_t m_submitted = 0;

  Fixture() { m_cluster.run(2 * Second); }

  /// Lets time pass while a job of six tasks arrives every 200 ms.
  void runUnderLoad(Duration Time) {
    constexpr Milliseconds Interval{200};
    for (const TimePoint End = m_cluster.now() + Time; m_cluster.now() < End;) {
      m_cluster.submit(batchJob(jobId(++m_submitted), 6));
      m_cluster.run(Interval);
    }
  }

  /// Runs started in the evacuated data centre since `From`.
  std::size_t startsSince(TimePoint From) {
    return static_cast<std::size_t>(std::count_if(
        m_cluster.m_history.m_runs.begin(), m_cluster.m_history.m_runs.end(),
        [&](const RecordedRun &Each) {
          const std::size_t Worker = std::stoul(Each.m_worker.substr(1));
          return Each.m_startedAt >= From &&
                 m_cluster.worker(Worker).m_dataCentre == Evacuated;
        }));
  }

  bool areAllCompleted() const {
    for (std::uint64_t Number = 1; Number <= m_submitted; ++Number)
      if (m_cluster.stateOf(jobId(Number)) != JobState::Completed)
        return false;
    return true;
  }
};

std::size_t startsOn(const std::vector<StartOrder> &Starts,
                     const std::string &Worker) {
  return static_cast<std::size_t>(
      std::count_if(Starts.begin(), Starts.end(), [&](const StartOrder &Each) {
        return Each.m_worker == Worker;
      }));
}

/// A worker in each of two data centres.
struct TwoCentresFixture : SchedulerFixture {
  TwoCentresFixture() {
    addWorkerIn("w0", Evacuated);
    addWorkerIn("w1", "dc1");
  }

  void addWorkerIn(const std::string &Name, const std::string &DataCentre) {
    WorkerRegistration Added = registration(Name, {2000, 8000, 0});
    Added.m_dataCentre = DataCentre;
    m_scheduler.updateWorker(Added);
    answerPoll(Name, {}, {});
  }
};

} // namespace

// Guards against starts in an evacuated data centre, against stops of what runs
// there, and against a data centre that stays out of use after its return.
BOOST_FIXTURE_TEST_CASE(NothingStartsUntilTakenBack, Fixture) {
  runUnderLoad(2 * Second);
  m_cluster.evacuate(Evacuated);
  m_cluster.run(Milliseconds(100));
  const TimePoint Noticed = m_cluster.now();
  runUnderLoad(6 * Second);
  BOOST_TEST(startsSince(Noticed) == 0U);
  m_cluster.withdrawEvacuation(Evacuated);
  const TimePoint Withdrawn = m_cluster.now();
  runUnderLoad(2 * Second);
  BOOST_TEST(startsSince(Withdrawn) > 0U);
  m_cluster.run(5 * Second);
  BOOST_TEST(areAllCompleted());
  for (const RecordedRun &Each : m_cluster.m_history.m_runs)
    BOOST_TEST((Each.m_end == RunEnd::Done));
}

// Guards against starts that were planned before the request arrived and sent
// after it. The tasks must run elsewhere.
BOOST_FIXTURE_TEST_CASE(PlannedStartsAreWithdrawn, TwoCentresFixture) {
  m_scheduler.addJob(makeJob(jobId(1), 4), nullptr);
  const Decisions Planned = m_scheduler.decide();
  m_scheduler.setEvacuatedDataCentres({Evacuated});
  const std::vector<StartOrder> Starts = m_scheduler.release(Planned, false);
  BOOST_TEST(startsOn(Starts, "w0") == 0U);
  BOOST_TEST(startsOn(Starts, "w1") == 2U);
  BOOST_TEST(m_scheduler.summarize().m_waitingTasks == 2U);
}

// Guards against a gang of which only the members outside the data centre
// start, and then wait for the others.
BOOST_FIXTURE_TEST_CASE(PlannedGangIsWithdrawnAsAWhole, TwoCentresFixture) {
  Submission Job = makeJob(jobId(1), 4);
  Job.m_spec.m_steps[0].m_isGang = true;
  m_scheduler.addJob(Job, nullptr);
  const Decisions Planned = m_scheduler.decide();
  m_scheduler.setEvacuatedDataCentres({Evacuated});
  BOOST_TEST(m_scheduler.release(Planned, false).empty());
}

// Guards against an evacuation that ends when a worker of the data centre
// starts again or is added.
BOOST_FIXTURE_TEST_CASE(NewWorkersAreEvacuatedToo, TwoCentresFixture) {
  m_scheduler.setEvacuatedDataCentres({Evacuated});
  addWorkerIn("w2", Evacuated);
  WorkerRegistration Restarted = m_scheduler.findWorker("w0")->m_registration;
  Restarted.m_startedMs = 2;
  m_scheduler.updateWorker(Restarted);
  m_scheduler.addJob(makeJob(jobId(1), 8), nullptr);
  BOOST_TEST(scheduleOnce() == 2U);
  BOOST_TEST(m_sentStarts["w1"].size() == 2U);
}

// Cold workers are slow; they get work only when the others are full.
BOOST_AUTO_TEST_CASE(ColdWorkersComeLast) {
  for (const auto &[ColdName, WarmName] :
       {std::pair("w0", "w1"), std::pair("w1", "w0")}) {
    SchedulerFixture Each;
    Each.addWorker(WarmName);
    WorkerRegistration Cold =
        SchedulerFixture::registration(ColdName, {4000, 8000, 0});
    Cold.m_coldFor = 10 * Second;
    Each.m_scheduler.updateWorker(Cold);
    Each.answerPoll(ColdName, {}, {});
    Each.m_scheduler.addJob(SchedulerFixture::makeJob(jobId(1), 4), nullptr);
    BOOST_TEST(Each.scheduleOnce() == 4U);
    BOOST_TEST(Each.m_sentStarts[WarmName].size() == 4U);
    Each.m_scheduler.addJob(SchedulerFixture::makeJob(jobId(2), 2), nullptr);
    BOOST_TEST(Each.scheduleOnce() == 2U);
    BOOST_TEST(Each.m_sentStarts[ColdName].size() == 2U);
  }
}

// Guards against requests that are lost with the owner: it is killed or paused
// at the moment of the request, and another node takes over.
BOOST_AUTO_TEST_CASE(RequestWhileTheOwnerIsAway) {
  for (const bool IsKilled : {true, false}) {
    Fixture Each;
    Each.runUnderLoad(1 * Second);
    FakeNode *Owner = Each.m_cluster.owner();
    BOOST_REQUIRE(Owner);
    if (IsKilled)
      Owner->kill();
    else
      Owner->pause();
    Each.m_cluster.evacuate(Evacuated);
    Each.m_cluster.run(Milliseconds(100));
    const TimePoint Noticed = Each.m_cluster.now();
    Each.runUnderLoad(5 * Second);
    Owner->resume();
    Each.runUnderLoad(3 * Second);
    BOOST_TEST(Each.startsSince(Noticed) == 0U);
    BOOST_TEST(Each.m_cluster.violations().empty());
  }
}

// Guards against a successor that starts runs before it knows of the request:
// all nodes were restarted and cannot read the operator's records, but
// everything else.
BOOST_FIXTURE_TEST_CASE(SuccessorWaitsForTheOperatorsRecords, Fixture) {
  m_cluster.evacuate(Evacuated);
  for (std::size_t Index = 0; Index < 3; ++Index)
    m_cluster.node(Index).kill();
  m_cluster.m_log.m_faults.m_unreadableTopic = LogTopic::Operator;
  for (std::size_t Index = 0; Index < 3; ++Index)
    m_cluster.startNode(Index);
  runUnderLoad(6 * Second);
  BOOST_TEST(m_cluster.m_history.m_runs.empty());
  m_cluster.heal();
  m_cluster.run(10 * Second);
  BOOST_TEST(areAllCompleted());
  BOOST_TEST(startsSince(TimePoint()) == 0U);
}

// Guards against an owner that goes on for longer than the bound although it
// can't read the requests. Short gaps must not hold up starts.
BOOST_FIXTURE_TEST_CASE(RequestsCannotBeReadForLong, Fixture) {
  m_cluster.m_log.m_faults.m_unreadableTopic = LogTopic::Operator;
  // The read in flight still succeeds.
  m_cluster.run(Milliseconds(2100));
  m_cluster.evacuate(Evacuated);
  runUnderLoad(1 * Second);
  const std::size_t Started = m_cluster.m_history.m_runs.size();
  BOOST_TEST(Started > 0U);
  runUnderLoad(6 * Second);
  BOOST_TEST(m_cluster.violations().empty());
  m_cluster.heal();
  m_cluster.run(10 * Second);
  BOOST_TEST(areAllCompleted());
}

// Without a bound in its settings, an installation is not held up by operator
// records that cannot be read.
BOOST_AUTO_TEST_CASE(WithoutBoundStartsGoOn) {
  SimulatedCluster Cluster(
      {.m_seed = 3, .m_maxEvacuationAge = Milliseconds(0)});
  Cluster.run(2 * Second);
  Cluster.m_log.m_faults.m_unreadableTopic = LogTopic::Operator;
  Cluster.run(8 * Second);
  Cluster.submit(batchJob(jobId(1), 6));
  Cluster.run(3 * Second);
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
}

// Guards against a request that is forgotten, or one that stays in force, when
// the log deletes its history while the owner is partitioned from it.
BOOST_AUTO_TEST_CASE(HistoryIsDeletedMeanwhile) {
  for (const bool IsWithdrawn : {true, false}) {
    Fixture Each;
    if (IsWithdrawn)
      Each.m_cluster.evacuate(Evacuated);
    Each.runUnderLoad(1 * Second);
    FakeNode *Owner = Each.m_cluster.owner();
    BOOST_REQUIRE(Owner);
    Owner->m_log.m_isPartitioned = true;
    if (IsWithdrawn)
      Each.m_cluster.withdrawEvacuation(Evacuated);
    else
      Each.m_cluster.evacuate(Evacuated);
    Each.m_cluster.m_log.compact();
    Each.m_cluster.run(Milliseconds(400));
    Owner->m_log.m_isPartitioned = false;
    Each.m_cluster.run(3 * Second);
    const TimePoint Reloaded = Each.m_cluster.now();
    Each.runUnderLoad(3 * Second);
    BOOST_TEST((Each.startsSince(Reloaded) > 0U) == IsWithdrawn);
    BOOST_TEST(Each.m_cluster.violations().empty());
  }
}

// Guards against a request that is lost when it follows its predecessor's
// withdrawal within a second.
BOOST_FIXTURE_TEST_CASE(RequestedAgainAtOnce, Fixture) {
  m_cluster.evacuate(Evacuated);
  m_cluster.run(1 * Second);
  m_cluster.withdrawEvacuation(Evacuated);
  m_cluster.evacuate(Evacuated);
  m_cluster.run(Milliseconds(100));
  const TimePoint Noticed = m_cluster.now();
  runUnderLoad(3 * Second);
  BOOST_TEST(startsSince(Noticed) == 0U);
}

// Guards against starts in one of several data centres that are evacuated
// together, the last one included. What cannot run waits and is not lost.
BOOST_FIXTURE_TEST_CASE(AllDataCentresAtOnce, Fixture) {
  for (const char *Each : {"dc0", "dc1", "dc2"})
    m_cluster.evacuate(Each);
  m_cluster.run(Milliseconds(100));
  const std::size_t Started = m_cluster.m_history.m_runs.size();
  runUnderLoad(6 * Second);
  BOOST_TEST(m_cluster.m_history.m_runs.size() == Started);
  for (const char *Each : {"dc0", "dc1", "dc2"})
    m_cluster.withdrawEvacuation(Each);
  m_cluster.run(20 * Second);
  BOOST_TEST(areAllCompleted());
}

} // namespace catkinseam
