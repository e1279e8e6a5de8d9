// Test harness that runs the batch scheduling of several entries over a fake
// log, fake worker calls, fake heartbeats between entries and a manual clock.
// It injects faults at these interfaces; it models neither load nor timing.
//
//   BatchTestHarness Harness(3, 2);
//   Harness.submitJob("j", 6, "run_ms=500");
//   Harness.setWorkerPaused(0, true);
//   Harness.runFor(std::chrono::seconds(60));
//   BOOST_TEST(Harness.violations().empty());
#ifndef CATKINSEAM_BATCH_TESTING_BATCH_TEST_HARNESS_H
#define CATKINSEAM_BATCH_TESTING_BATCH_TEST_HARNESS_H

#include "catkinseam/batch/driver.h"
#include "catkinseam/batch/testing/attempt_checker.h"
#include "catkinseam/state/testing/fake_log.h"
#include "standin/task_runner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam::testing {

/// Entries and workers under test, identified by index from 0. Not thread-safe.
class BatchTestHarness {
public:
  BatchTestHarness(std::size_t Entries, std::size_t Workers);
  ~BatchTestHarness();

  /// Appends a job of `Tasks` tasks that run `Program` to the log.
  void submitJob(const std::string &Name, std::uint32_t Tasks,
                 const std::string &Program);
  /// Protects `MilliProcessors` thousandths of a processor on the worker for
  /// services; batch tasks that no longer fit are evicted.
  void setProtectedProcessors(std::size_t Worker, std::int64_t MilliProcessors);
  /// Lists the worker as leaving.
  void setLeaving(std::size_t Worker);
  /// Makes every task that starts on the worker from now on fail immediately.
  void setFailingStarts(std::size_t Worker);

  /// Advances the clock by `Span` in small steps. At each step, every entry and
  /// worker that is not paused runs.
  void runFor(Duration Span);

  // Fault injection. `IsActive` false ends the fault.
  void setEntryPaused(std::size_t Entry, bool IsActive);
  void setLogPartition(std::size_t Entry, bool IsActive);
  void setPeerPartition(std::size_t Entry, bool IsActive);
  void setWorkerPartition(std::size_t Entry, std::size_t Worker, bool IsActive);
  /// Replaces the entry by a new process on the same seat, without any state.
  void replaceEntry(std::size_t Entry);
  void setWorkerPaused(std::size_t Worker, bool IsActive);
  void restartWorker(std::size_t Worker);
  void setLogDown(bool IsActive) { m_isLogDown = IsActive; }
  /// Sets the outcome of log appends, a FakeLog::AppendEffect.
  void setAppendFault(int Effect) {
    m_appendFault = static_cast<FakeLog::AppendEffect>(Effect);
  }
  /// Sets the fault of worker calls: 0: none; 1: request lost; 2: response
  /// lost; 3: request delivered now and again by deliverDelayed().
  void setCallFault(int Fault) { m_callFault = Fault; }
  /// Delivers up to eight late log appends and all duplicated worker commands
  /// now. Commands for paused workers are dropped.
  void deliverDelayed();
  /// Ends all faults, and resets the capacity protected for services to 0.
  void clearFaults();

  // Observations.

  /// Returns the violations found so far, one message each.
  std::vector<std::string> violations() const { return m_checker.violations(); }
  bool isFinished(const std::string &Job) const;
  std::size_t startCount() const { return m_checker.startCount(); }
  /// Returns the milliseconds of work done by all ended attempts.
  std::int64_t workDoneMs() const { return m_checker.workDoneMs(); }
  std::size_t failureCountOn(std::size_t Worker) const;
  std::size_t runningCount() const { return m_checker.runningCount(); }
  std::size_t runningCountOn(std::size_t Worker) const;
  /// Returns the entry whose sync call was the last to reach the worker.
  std::size_t lastSyncingEntry(std::size_t Worker) const;

private:
  class EntryNode;
  struct WorkerNode;

  static std::string workerName(std::size_t Worker);
  void startWorker(std::size_t Worker);
  std::vector<Instance> listInstances() const;
  void step();
  void applyLog();
  void submitPatch(ConfigChanges Changes);
  void appendRecord(Record NewRecord);
  Result<WorkerStatus> callWorker(std::size_t Entry, const Endpoint &Where,
                                  const WorkerCommands &Commands);

  ManualClock m_clock;
  FakeLog m_log;
  bool m_isLogDown = false;
  FakeLog::AppendEffect m_appendFault = FakeLog::AppendEffect::Immediate;
  int m_callFault = 0;
  AttemptChecker m_checker;
  /// Reference state: the log applied in order, independent of the entries.
  ReplicatedState m_referenceState;
  std::uint64_t m_appendSequence = 0;
  std::uint64_t m_bootCount = 0;
  std::vector<std::unique_ptr<WorkerNode>> m_workers;
  std::vector<std::unique_ptr<EntryNode>> m_entries;
  /// Replaced processes. They no longer run, but are kept until the harness is
  /// destroyed.
  std::vector<std::unique_ptr<EntryNode>> m_replacedEntries;
  std::deque<std::pair<std::size_t, WorkerCommands>> m_delayedCommands;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_BATCH_TESTING_BATCH_TEST_HARNESS_H
