// Leases over faults: real drivers, replicas, writers and membership over a
// fake log, fake worker calls and a paused clock.
#define BOOST_TEST_MODULE lease
#include "catkinseam/batch/testing/colocation_bench.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace catkinseam::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(JobRunsToItsEnd) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=500;use_milli=100");
  Bench.runFor(10s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(EntriesReplacedOneByOneLoseNothing) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=20000;use_milli=100");
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    Bench.runFor(3s);
    Bench.replaceEntry(Entry);
  }
  Bench.runFor(60s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
  BOOST_TEST(Bench.starts() == 6U); // Nobody had to move.
}

BOOST_AUTO_TEST_CASE(EntriesReplacedAllAtOnceLoseNothing) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=20000;use_milli=100");
  Bench.runFor(3s);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Bench.replaceEntry(Entry);
  Bench.runFor(60s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(TasksOfARestartedWorkerRunAgain) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=8000;use_milli=100");
  Bench.runFor(4s);
  Bench.restartWorker(0);
  Bench.runFor(60s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(TasksOfASilentWorkerMoveAfterTheirLease) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=8000;use_milli=100");
  Bench.runFor(4s);
  Bench.pauseWorker(0, true);
  Bench.runFor(120s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
  Bench.pauseWorker(0, false);
  Bench.runFor(20s);
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(LogOutageKeepsRunningTasksWhereTheyAre) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 4, "run_ms=60000;use_milli=100");
  Bench.runFor(4s);
  const std::size_t Before = Bench.starts();
  Bench.setLogDown(true);
  Bench.runFor(120s);
  BOOST_TEST(Bench.starts() == Before);
  Bench.setLogDown(false);
  Bench.runFor(30s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.starts() == 4U);
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(EntryCutFromLogAndPeersStopsRenewing) {
  // The hazard: it still reaches the worker, nobody else does.
  ColocationBench Bench(3, 1);
  Bench.submitJob("j", 1, "run_ms=600000;use_milli=100");
  Bench.runFor(4s);
  const std::size_t Holder = Bench.actingEntry(0);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Bench.cutFromWorker(Entry, 0, Entry != Holder);
  Bench.cutFromLog(Holder, true);
  Bench.cutFromPeers(Holder, true);
  Bench.runFor(100s);
  BOOST_TEST(Bench.faults().empty());
  BOOST_TEST(Bench.runningNow() == 0U);
}

BOOST_AUTO_TEST_CASE(CutOffHolderKeepsItsPlaceUntilItsLeaseIsOver) {
  // Only the holder reaches the first worker. When it is cut off, the others
  // have long found that worker silent, but the last lease still runs.
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 2, "run_ms=60000;use_milli=100");
  Bench.runFor(4s);
  // Not the entry that acts first: it and the third find the worker silent.
  const std::size_t Holder = (Bench.actingEntry(0) + 1) % 3;
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Bench.cutFromWorker(Entry, 0, Entry != Holder);
  Bench.runFor(15s);
  BOOST_TEST(Bench.starts() == 2U);
  BOOST_TEST(Bench.actingEntry(0) == Holder);
  Bench.cutFromLog(Holder, true);
  Bench.cutFromPeers(Holder, true);
  Bench.runFor(100s);
  BOOST_TEST(Bench.faults().empty());
  BOOST_TEST(Bench.starts() == 3U);
}

BOOST_AUTO_TEST_CASE(RaisedHeadroomEvictsAndResumesFromTheCheckpoint) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 12, "run_ms=20000;use_milli=100");
  Bench.runFor(5s);
  Bench.setProtected(0, 16000);
  Bench.runFor(5s);
  BOOST_TEST(Bench.runningOn(0) == 0U);
  Bench.runFor(90s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
  BOOST_TEST(Bench.workDoneMs() < 12 * 20000 * 103 / 100);
}

BOOST_AUTO_TEST_CASE(LeavingWorkerIsEmptied) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 6, "run_ms=20000;use_milli=100");
  Bench.runFor(5s);
  Bench.setLeaving(0);
  Bench.runFor(5s);
  BOOST_TEST(Bench.runningOn(0) == 0U);
  Bench.runFor(60s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(WorkerThatFailsEverythingIsSpentFewTasks) {
  ColocationBench Bench(3, 4);
  Bench.setFailing(0);
  Bench.submitJob("j", 40, "run_ms=1000;use_milli=100");
  Bench.runFor(50s);
  BOOST_TEST(Bench.isFinished("j"));
  BOOST_TEST(Bench.failuresOn(0) <= 3U);
  BOOST_TEST(Bench.faults().empty());
}

BOOST_AUTO_TEST_CASE(LaggingEntryDoesNotRestartAFinishedAttempt) {
  // An entry that does not know yet that the attempt is over meets a worker
  // that has been told to forget it.
  ColocationBench Bench(3, 1);
  Bench.submitJob("j", 1, "run_ms=2000;use_milli=100");
  Bench.runFor(1s);
  const std::size_t Holder = Bench.actingEntry(0);
  const std::size_t Lagging = (Holder + 1) % 3;
  Bench.cutFromLog(Lagging, true);
  Bench.cutFromPeers(Lagging, true);
  Bench.runFor(1200ms);
  Bench.pauseEntry(Lagging, true);
  Bench.runFor(2s);
  // The lagging entry wakes and takes the worker over at once.
  Bench.cutFromPeers(Lagging, false);
  Bench.pauseEntry(Lagging, false);
  Bench.cutFromWorker(Holder, 0, true);
  Bench.runFor(30s);
  BOOST_TEST(Bench.faults().empty());
  BOOST_TEST(Bench.starts() == 1U);
}

namespace {

void randomStep(ColocationBench &Bench) {
  const std::size_t Entry = *rc::gen::inRange<std::size_t>(0, 3);
  const std::size_t Worker = *rc::gen::inRange<std::size_t>(0, 2);
  const bool IsOn = *rc::gen::arbitrary<bool>();
  switch (*rc::gen::inRange(0, 16)) {
  case 0:
    Bench.pauseEntry(Entry, IsOn);
    break;
  case 1:
    Bench.cutFromLog(Entry, IsOn);
    break;
  case 2:
    Bench.cutFromPeers(Entry, IsOn);
    break;
  case 3:
  case 4:
    Bench.cutFromWorker(Entry, Worker, IsOn);
    break;
  case 5:
    if (*rc::gen::inRange(0, 3) == 0)
      Bench.replaceEntry(Entry);
    break;
  case 6:
    Bench.pauseWorker(Worker, IsOn);
    break;
  case 7:
    if (*rc::gen::inRange(0, 3) == 0)
      Bench.restartWorker(Worker);
    break;
  case 8:
    Bench.setLogDown(IsOn);
    break;
  case 9:
    Bench.setAppendFate(*rc::gen::inRange(0, 4));
    break;
  case 10:
    Bench.setCallFate(*rc::gen::inRange(0, 4));
    break;
  case 11:
    Bench.setProtected(Worker, *rc::gen::inRange(0, 3) * 8000);
    break;
  case 12:
    Bench.releaseDelayed();
    break;
  default:
    Bench.runFor(Milliseconds(*rc::gen::inRange(50, 9000)));
  }
}

} // namespace

RC_BOOST_PROP(OnePlaceAndOneResumeUnderAnyFaults, ()) {
  ColocationBench Bench(3, 2);
  Bench.submitJob("j", 3, "run_ms=15000;use_milli=100");
  const int Steps = *rc::gen::inRange(5, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    randomStep(Bench);
    RC_ASSERT(Bench.faults() == std::vector<std::string>());
  }
  // Once everything has healed, the job ends.
  Bench.heal();
  Bench.runFor(240s);
  RC_ASSERT(Bench.faults() == std::vector<std::string>());
  RC_ASSERT(Bench.isFinished("j"));
}
