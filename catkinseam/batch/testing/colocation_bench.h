// Entries' batch halves over fakes at their interfaces: log, worker calls, peer
// messages, clock. Not a cluster simulator: no load, no timing model.
//
//   ColocationBench Bench(3, 2);
//   Bench.submitJob("j", 6, "run_ms=500");
//   Bench.pauseWorker(0, true);
//   Bench.runFor(std::chrono::seconds(60));
//   BOOST_TEST(Bench.faults().empty());
#ifndef CATKINSEAM_BATCH_TESTING_COLOCATION_BENCH_H
#define CATKINSEAM_BATCH_TESTING_COLOCATION_BENCH_H

#include "catkinseam/batch/driver.h"
#include "catkinseam/batch/testing/place_checker.h"
#include "catkinseam/state/testing/fake_log.h"
#include "standin/task_runner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam::testing {

class ColocationBench {
public:
  ColocationBench(std::size_t Entries, std::size_t Workers);
  ~ColocationBench();

  void submitJob(const std::string &Name, std::uint32_t Tasks,
                 const std::string &Program);
  void setProtected(std::size_t Worker, std::int64_t Milli);
  void setLeaving(std::size_t Worker);
  void setFailing(std::size_t Worker);

  /// Advances the clock in small steps; everything that is not paused acts.
  void runFor(Duration Span);

  // Faults. `IsOn` false ends them.
  void pauseEntry(std::size_t Entry, bool IsOn);
  void cutFromLog(std::size_t Entry, bool IsOn);
  void cutFromPeers(std::size_t Entry, bool IsOn);
  void cutFromWorker(std::size_t Entry, std::size_t Worker, bool IsOn);
  /// A new process on the same seat, with empty memory.
  void replaceEntry(std::size_t Entry);
  void pauseWorker(std::size_t Worker, bool IsOn);
  void restartWorker(std::size_t Worker);
  void setLogDown(bool IsOn) { m_isLogDown = IsOn; }
  /// Which FakeLog::Fate appends meet.
  void setAppendFate(int Fate) {
    m_appendFate = static_cast<FakeLog::Fate>(Fate);
  }
  /// 0: calls work; 1: request lost; 2: answer lost; 3: the request arrives
  /// now and once more later.
  void setCallFate(int Fate) { m_callFate = Fate; }
  /// Lets late appends and doubled worker commands arrive now.
  void releaseDelayed();
  /// Ends all faults.
  void heal();

  // What can be seen.
  std::vector<std::string> faults() const { return m_checker.faults(); }
  bool isFinished(const std::string &Job) const;
  std::size_t starts() const { return m_checker.starts(); }
  std::int64_t workDoneMs() const { return m_checker.workDoneMs(); }
  std::size_t failuresOn(std::size_t Worker) const;
  std::size_t runningNow() const { return m_checker.running(); }
  std::size_t runningOn(std::size_t Worker) const;
  /// The entry whose heartbeats and calls keep the worker's leases.
  std::size_t actingEntry(std::size_t Worker) const;

private:
  class EntryNode;
  struct WorkerNode;

  static std::string workerName(std::size_t Worker);
  void bootWorker(std::size_t Worker);
  std::vector<Instance> listing() const;
  void step();
  void followLog();
  void submitPatch(ConfigChanges Changes);
  void appendDirectly(Record Entry);
  Result<WorkerStatus> callWorker(std::size_t Entry, const Endpoint &Where,
                                  const WorkerCommands &Commands);

  ManualClock m_clock;
  FakeLog m_log;
  bool m_isLogDown = false;
  FakeLog::Fate m_appendFate = FakeLog::Fate::Done;
  int m_callFate = 0;
  PlaceChecker m_checker;
  /// What the log says, applied in order by nobody's entry.
  State m_truth;
  std::uint64_t m_directSequence = 0;
  std::uint64_t m_boots = 0;
  std::vector<std::unique_ptr<WorkerNode>> m_workers;
  std::vector<std::unique_ptr<EntryNode>> m_entries;
  /// Replaced processes: their calls on the way may still arrive.
  std::vector<std::unique_ptr<EntryNode>> m_zombies;
  std::deque<std::pair<std::size_t, WorkerCommands>> m_delayed;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_BATCH_TESTING_COLOCATION_BENCH_H
