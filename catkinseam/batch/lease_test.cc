// Tests leases under faults: real drivers, replicas, log writers and membership
// run over a fake log, fake worker calls and a manual clock.
#define BOOST_TEST_MODULE lease
#include "catkinseam/batch/testing/batch_test_harness.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace catkinseam::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(JobRunsToCompletion) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=500;use_milli=100");
  Harness.runFor(10s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(RollingEntryReplacementLosesNoTask) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=20000;use_milli=100");
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    Harness.runFor(3s);
    Harness.replaceEntry(Entry);
  }
  Harness.runFor(60s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
  BOOST_TEST(Harness.startCount() == 6U); // No task was restarted.
}

BOOST_AUTO_TEST_CASE(SimultaneousEntryReplacementLosesNoTask) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=20000;use_milli=100");
  Harness.runFor(3s);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Harness.replaceEntry(Entry);
  Harness.runFor(60s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(TasksOfRestartedWorkerRunAgain) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=8000;use_milli=100");
  Harness.runFor(4s);
  Harness.restartWorker(0);
  Harness.runFor(60s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(TasksOfUnreachableWorkerMoveAfterLeaseExpiry) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=8000;use_milli=100");
  Harness.runFor(4s);
  Harness.setWorkerPaused(0, true);
  Harness.runFor(120s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
  Harness.setWorkerPaused(0, false);
  Harness.runFor(20s);
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(LogOutageDoesNotMoveRunningTasks) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 4, "run_ms=60000;use_milli=100");
  Harness.runFor(4s);
  const std::size_t Before = Harness.startCount();
  Harness.setLogDown(true);
  Harness.runFor(120s);
  BOOST_TEST(Harness.startCount() == Before);
  Harness.setLogDown(false);
  Harness.runFor(30s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.startCount() == 4U);
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(EntryPartitionedFromLogAndPeersStopsRenewing) {
  // Guards against an entry that renews leases after it has lost the log and
  // its peers: it still reaches the worker, and no other entry does.
  BatchTestHarness Harness(3, 1);
  Harness.submitJob("j", 1, "run_ms=600000;use_milli=100");
  Harness.runFor(4s);
  const std::size_t Holder = Harness.lastSyncingEntry(0);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Harness.setWorkerPartition(Entry, 0, Entry != Holder);
  Harness.setLogPartition(Holder, true);
  Harness.setPeerPartition(Holder, true);
  Harness.runFor(100s);
  BOOST_TEST(Harness.violations().empty());
  BOOST_TEST(Harness.runningCount() == 0U);
}

BOOST_AUTO_TEST_CASE(TaskOfPartitionedEntryIsHeldUntilLeaseExpiry) {
  // Guards against starting a task elsewhere while its last lease is valid.
  // Only one entry reaches the first worker. When that entry is partitioned
  // from the log and its peers, the others have already considered the worker
  // unreachable for longer than a lease, but the last renewal is still in
  // effect.
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 2, "run_ms=60000;use_milli=100");
  Harness.runFor(4s);
  // Not the entry that manages the worker first: that one and the third entry
  // find the worker unreachable.
  const std::size_t Holder = (Harness.lastSyncingEntry(0) + 1) % 3;
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    Harness.setWorkerPartition(Entry, 0, Entry != Holder);
  Harness.runFor(15s);
  BOOST_TEST(Harness.startCount() == 2U);
  BOOST_TEST(Harness.lastSyncingEntry(0) == Holder);
  Harness.setLogPartition(Holder, true);
  Harness.setPeerPartition(Holder, true);
  Harness.runFor(100s);
  BOOST_TEST(Harness.violations().empty());
  BOOST_TEST(Harness.startCount() == 3U);
}

BOOST_AUTO_TEST_CASE(RaisedHeadroomEvictsTasksThatResumeFromCheckpoint) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 12, "run_ms=20000;use_milli=100");
  Harness.runFor(5s);
  Harness.setProtectedProcessors(0, 16000);
  Harness.runFor(5s);
  BOOST_TEST(Harness.runningCountOn(0) == 0U);
  Harness.runFor(90s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
  BOOST_TEST(Harness.workDoneMs() < 12 * 20000 * 103 / 100);
}

BOOST_AUTO_TEST_CASE(LeavingWorkerIsDrained) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 6, "run_ms=20000;use_milli=100");
  Harness.runFor(5s);
  Harness.setLeaving(0);
  Harness.runFor(5s);
  BOOST_TEST(Harness.runningCountOn(0) == 0U);
  Harness.runFor(60s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(WorkerThatFailsAllTasksGetsFewTasks) {
  BatchTestHarness Harness(3, 4);
  Harness.setFailingStarts(0);
  Harness.submitJob("j", 40, "run_ms=1000;use_milli=100");
  Harness.runFor(50s);
  BOOST_TEST(Harness.isFinished("j"));
  BOOST_TEST(Harness.failureCountOn(0) <= 3U);
  BOOST_TEST(Harness.violations().empty());
}

BOOST_AUTO_TEST_CASE(LaggingEntryDoesNotRestartFinishedAttempt) {
  // Guards against starting a finished attempt again: an entry whose replica
  // lags does not know yet that the attempt has ended, and takes over a worker
  // that has been told to forget it.
  BatchTestHarness Harness(3, 1);
  Harness.submitJob("j", 1, "run_ms=2000;use_milli=100");
  Harness.runFor(1s);
  const std::size_t Holder = Harness.lastSyncingEntry(0);
  const std::size_t Lagging = (Holder + 1) % 3;
  Harness.setLogPartition(Lagging, true);
  Harness.setPeerPartition(Lagging, true);
  Harness.runFor(1200ms);
  Harness.setEntryPaused(Lagging, true);
  Harness.runFor(2s);
  // The lagging entry resumes and takes the worker over immediately.
  Harness.setPeerPartition(Lagging, false);
  Harness.setEntryPaused(Lagging, false);
  Harness.setWorkerPartition(Holder, 0, true);
  Harness.runFor(30s);
  BOOST_TEST(Harness.violations().empty());
  BOOST_TEST(Harness.startCount() == 1U);
}

namespace {

void randomStep(BatchTestHarness &Harness) {
  const std::size_t Entry = *rc::gen::inRange<std::size_t>(0, 3);
  const std::size_t Worker = *rc::gen::inRange<std::size_t>(0, 2);
  const bool IsActive = *rc::gen::arbitrary<bool>();
  switch (*rc::gen::inRange(0, 16)) {
  case 0:
    Harness.setEntryPaused(Entry, IsActive);
    break;
  case 1:
    Harness.setLogPartition(Entry, IsActive);
    break;
  case 2:
    Harness.setPeerPartition(Entry, IsActive);
    break;
  case 3:
  case 4:
    Harness.setWorkerPartition(Entry, Worker, IsActive);
    break;
  case 5:
    if (*rc::gen::inRange(0, 3) == 0)
      Harness.replaceEntry(Entry);
    break;
  case 6:
    Harness.setWorkerPaused(Worker, IsActive);
    break;
  case 7:
    if (*rc::gen::inRange(0, 3) == 0)
      Harness.restartWorker(Worker);
    break;
  case 8:
    Harness.setLogDown(IsActive);
    break;
  case 9:
    Harness.setAppendFault(*rc::gen::inRange(0, 4));
    break;
  case 10:
    Harness.setCallFault(*rc::gen::inRange(0, 4));
    break;
  case 11:
    Harness.setProtectedProcessors(Worker, *rc::gen::inRange(0, 3) * 8000);
    break;
  case 12:
    Harness.deliverDelayed();
    break;
  default:
    Harness.runFor(Milliseconds(*rc::gen::inRange(50, 9000)));
  }
}

} // namespace

RC_BOOST_PROP(AttemptsNeverOverlapUnderRandomFaults, ()) {
  BatchTestHarness Harness(3, 2);
  Harness.submitJob("j", 3, "run_ms=15000;use_milli=100");
  const int Steps = *rc::gen::inRange(5, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    randomStep(Harness);
    RC_ASSERT(Harness.violations() == std::vector<std::string>());
  }
  // Once all faults have ended, the job finishes.
  Harness.clearFaults();
  Harness.runFor(240s);
  RC_ASSERT(Harness.violations() == std::vector<std::string>());
  RC_ASSERT(Harness.isFinished("j"));
}
