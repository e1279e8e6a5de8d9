// Ownership, scheduling and takeover together, under a paused clock and faults.
#define BOOST_TEST_MODULE owner
#include "catkinseam/ownership/testing/installation.h"

#include "catkinseam/telemetry/log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};

std::string jobId(std::uint64_t Number) {
  std::string Id = std::to_string(Number);
  return std::string(16 - Id.size(), '0') + Id;
}

std::size_t activeOn(const RunHistory &Past, const std::string &Job) {
  return static_cast<std::size_t>(std::count_if(
      Past.m_runs.begin(), Past.m_runs.end(), [&](const SeenRun &Each) {
        return Each.m_task.m_job == Job && Each.m_ended == TimePoint::max();
      }));
}

std::uint64_t numberFrom(const char *Variable, std::uint64_t Fallback) {
  const char *Text = std::getenv(Variable);
  return Text ? std::stoull(Text) : Fallback;
}

void printAll(const std::vector<std::string> &Faults) {
  for (const std::string &Each : Faults)
    BOOST_TEST_MESSAGE(Each);
}

/// Draws one fault and makes it happen.
class FaultPlayer {
public:
  explicit FaultPlayer(Installation &All) : m_all(All) {}

  void play() {
    using Fault = void (FaultPlayer::*)();
    static const std::vector<Fault> Faults = {
        &FaultPlayer::killOwner,    &FaultPlayer::freezeOwner,
        &FaultPlayer::cutOwner,     &FaultPlayer::cutOwnerFromWorkers,
        &FaultPlayer::killAll,      &FaultPlayer::logDown,
        &FaultPlayer::logLosing,    &FaultPlayer::logLate,
        &FaultPlayer::forget,       &FaultPlayer::crashWorker,
        &FaultPlayer::cutWorker,    &FaultPlayer::losingWorker,
        &FaultPlayer::lateWorker,   &FaultPlayer::failingWorker,
        &FaultPlayer::restartNodes, &FaultPlayer::calm};
    (this->*Faults[pick(Faults.size())])();
  }

private:
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count -
                                                             1)(m_all.m_random);
  }
  FakeWorker &anyWorker() { return m_all.worker(pick(m_all.workers())); }

  void killOwner() {
    if (FakeNode *Mine = m_all.owner())
      Mine->kill();
  }
  void freezeOwner() {
    if (FakeNode *Mine = m_all.owner())
      Mine->freeze();
  }
  void cutOwner() {
    if (FakeNode *Mine = m_all.owner())
      Mine->m_log.m_isCut = true;
  }
  void cutOwnerFromWorkers() {
    if (FakeNode *Mine = m_all.owner())
      Mine->m_isCutFromWorkers = true;
  }
  void killAll() {
    for (std::size_t At = 0; At < 3; ++At)
      m_all.node(At).kill();
    m_all.run(Milliseconds(700));
    for (std::size_t At = 0; At < 3; ++At)
      m_all.startNode(At);
  }
  void logDown() { m_all.m_log.m_faults.m_isDown = true; }
  void logLosing() { m_all.m_log.m_faults.m_lostShare = 0.4; }
  void logLate() { m_all.m_log.m_faults.m_lateShare = 0.3; }
  void forget() { m_all.m_log.forgetHistory(); }
  void crashWorker() { m_all.crashWorker(pick(m_all.workers())); }
  void cutWorker() { anyWorker().m_path.m_isCut = true; }
  void losingWorker() { anyWorker().m_path.m_lostShare = 0.3; }
  void lateWorker() { anyWorker().m_path.m_lateShare = 0.3; }
  void failingWorker() { anyWorker().m_failShare = 0.7; }
  void restartNodes() {
    for (std::size_t At = 0; At < 3; ++At)
      if (!m_all.node(At).isRunning())
        m_all.startNode(At);
  }
  void calm() {
    for (std::size_t At = 0; At < m_all.workers(); ++At)
      m_all.worker(At).m_failShare = 0.0;
    m_all.heal();
  }

  Installation &m_all;
};

/// Plays a seed: jobs and faults for ten seconds, then calm. Returns the
/// broken promises.
std::vector<std::string> playSeed(std::uint64_t Seed) {
  Installation All({.m_seed = Seed});
  FaultPlayer Player(All);
  All.run(2 * Second);
  std::vector<std::string> Ids;
  for (int Step = 0; Step < 20; ++Step) {
    const std::string Id = jobId(Ids.size() + 1);
    Ids.push_back(Id);
    if (Step == 0)
      All.submit(serviceJob(Id, 3));
    else if (Step % 3 == 0)
      All.submit(chainedJob(Id, 4));
    else
      All.submit(batchJob(Id, 5));
    if (Step % 7 == 6)
      All.cancel(Ids[Ids.size() - 2]);
    if (Step % 2 == 1)
      Player.play();
    All.run(Milliseconds(500));
  }
  for (std::size_t At = 0; At < All.workers(); ++At)
    All.worker(At).m_failShare = 0.0;
  All.heal();
  // Long enough for leases that an earlier owner granted to end.
  All.run(30 * Second);
  std::vector<std::string> Faults = All.faults();
  for (std::size_t At = 1; At < Ids.size(); ++At)
    if (!isFinal(All.stateOf(Ids[At])))
      Faults.push_back("job \"" + Ids[At] + "\" never ended");
  if (activeOn(All.m_past, Ids[0]) != 3)
    Faults.push_back("the service has " +
                     std::to_string(activeOn(All.m_past, Ids[0])) +
                     " of 3 tasks at work");
  return Faults;
}

} // namespace

BOOST_AUTO_TEST_CASE(CalmJobsEndOnce) {
  Installation All({.m_seed = 1});
  All.run(2 * Second);
  for (std::uint64_t Number = 1; Number <= 20; ++Number)
    All.submit(chainedJob(jobId(Number), 4));
  All.run(15 * Second);
  for (std::uint64_t Number = 1; Number <= 20; ++Number)
    BOOST_TEST((All.stateOf(jobId(Number)) == JobState::Completed));
  BOOST_TEST(All.m_past.m_runs.size() == 160U);
  BOOST_TEST(All.faults().empty());
}

// Pattern: a worker goes silent for good and its services must run elsewhere.
// Looks that carry leases to a silent worker kept its runs alive by reckoning.
BOOST_AUTO_TEST_CASE(ServicesOfASilentWorkerRunElsewhere) {
  Installation All({.m_seed = 2});
  All.run(2 * Second);
  All.submit(serviceJob(jobId(1), 6));
  All.run(1 * Second);
  BOOST_TEST(activeOn(All.m_past, jobId(1)) == 6U);
  for (std::size_t At = 0; At < All.workers(); ++At)
    if (std::any_of(All.m_past.m_runs.begin(), All.m_past.m_runs.end(),
                    [&](const SeenRun &Run) {
                      return Run.m_worker == "w" + std::to_string(At);
                    })) {
      All.worker(At).m_path.m_isCut = true;
      break;
    }
  // A service's task may be away for six seconds.
  All.run(6 * Second);
  BOOST_TEST(activeOn(All.m_past, jobId(1)) == 6U);
  BOOST_TEST(All.faults().empty());
}

// Target: new starts again within 1.5 s of the owner's death, log healthy.
BOOST_AUTO_TEST_CASE(TakeoverTime) {
  constexpr int Seeds = 50;
  std::vector<std::int64_t> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Installation All({.m_seed = Seed});
    All.run(2 * Second + Milliseconds(37 * Seed));
    All.owner()->kill();
    const TimePoint Killed = All.now();
    All.submit(batchJob(jobId(1), 1));
    while (All.m_past.m_runs.empty() && All.now() - Killed < 10 * Second)
      All.run(Milliseconds(5));
    Times.push_back(toMilliseconds(All.now() - Killed).count());
    BOOST_TEST(All.faults().empty());
  }
  std::sort(Times.begin(), Times.end());
  std::cout << "takeover to first start: p50 " << Times[Seeds / 2]
            << " ms, worst " << Times.back() << " ms over " << Seeds
            << " seeds\n";
  BOOST_TEST(Times.back() <= 1500);
}

// Pattern: more workers than one page of the registry lists. A successor looked
// at the first page's workers before it had taken over the jobs; ends that they
// listed belonged to no job yet, were noted, and their tasks ran again.
BOOST_AUTO_TEST_CASE(ASuccessorOfManyWorkersRunsNothingAgain) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    Installation All({.m_seed = Seed, .m_workers = 90});
    All.m_log.m_faults.m_latency = Milliseconds(25);
    All.run(3 * Second);
    for (std::uint64_t Number = 1; Number <= 40; ++Number)
      All.submit(chainedJob(jobId(Number), 4));
    All.run(Milliseconds(150 + 40 * Seed));
    BOOST_REQUIRE(All.owner());
    All.owner()->kill();
    All.run(20 * Second);
    for (std::uint64_t Number = 1; Number <= 40; ++Number)
      BOOST_TEST((All.stateOf(jobId(Number)) == JobState::Completed));
    BOOST_TEST(All.faults().empty());
    BOOST_TEST(All.m_past.m_runs.size() <= 320U);
  }
}

// An owner that wakes from a freeze, or is cut from the log, must not run
// anything a second time beside its successor.
BOOST_AUTO_TEST_CASE(FrozenOwnerWakesBesideItsSuccessor) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Installation All({.m_seed = Seed});
    All.run(2 * Second);
    for (std::uint64_t Number = 1; Number <= 10; ++Number)
      All.submit(batchJob(jobId(Number), 6));
    All.run(Milliseconds(20 * Seed));
    FakeNode *Old = All.owner();
    Old->freeze();
    All.run(4 * Second);
    Old->wake();
    All.run(12 * Second);
    const std::vector<std::string> Faults = All.faults();
    printAll(Faults);
    BOOST_TEST(Faults.empty());
    for (std::uint64_t Number = 1; Number <= 10; ++Number)
      BOOST_TEST((All.stateOf(jobId(Number)) == JobState::Completed));
  }
}

BOOST_AUTO_TEST_CASE(RandomFaultsKeepEveryPromise) {
  const std::uint64_t First = numberFrom("CATKINSEAM_FIRST_SEED", 1);
  const std::uint64_t Seeds = numberFrom("CATKINSEAM_SEEDS", 200);
  // One seed is played with its log, to trace a failure.
  if (Seeds == 1)
    startLogging("info");
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    const std::vector<std::string> Faults = playSeed(Seed);
    for (const std::string &Each : Faults)
      BOOST_ERROR("seed " + std::to_string(Seed) + ": " + Each);
  }
}

} // namespace catkinseam
