// Several nodes, workers and a log in one process, under a paused clock.
//
//   Installation All({.m_seed = 7});
//   All.submit(batchJob("5c0e7a21d94b36f8", 8));
//   All.run(Milliseconds(5000));
//   BOOST_TEST(All.faults().empty());
#ifndef CATKINSEAM_OWNERSHIP_TESTING_INSTALLATION_H
#define CATKINSEAM_OWNERSHIP_TESTING_INSTALLATION_H

#include "catkinseam/ownership/candidate.h"
#include "catkinseam/ownership/testing/fake_log.h"
#include "catkinseam/ownership/testing/fake_worker.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace catkinseam {

/// A process that can be killed, frozen and cut off. Its timers and answers
/// wait while it is frozen.
class FakeNode final : public Runtime {
public:
  FakeNode(Runtime &Host, FakeLog &Log, const std::string &Name);
  ~FakeNode() override;

  const Clock &clock() const override { return m_host.clock(); }
  TimerId schedule(Duration Delay, std::function<void()> Call) override;
  void cancel(TimerId Id) override;

  /// Starts a new life of the process.
  void start(Owner::LinkMaker Links, Owner::EntryReader Entries);
  void kill();
  void freeze() { m_isFrozen = true; }
  void wake();

  bool isRunning() const { return m_candidate != nullptr; }
  bool isOwner() const { return m_candidate && m_candidate->owner(); }
  bool isFrozen() const { return m_isFrozen; }
  const Ledger &jobs() const { return *m_jobs; }

  /// Its way to the log.
  FakeLog::View m_log;
  /// It reaches no worker.
  bool m_isCutFromWorkers = false;

private:
  class GatedLog;
  class GatedLink;

  /// Runs now, or once woken; not at all in a later life. `Id` names the timer
  /// that it comes from; zero for none.
  void pass(std::function<void()> Call, TimerId Id = 0);

  Runtime &m_host;
  const std::string m_name;
  int m_lives = 0;
  bool m_isFrozen = false;
  std::deque<std::pair<TimerId, std::function<void()>>> m_held;
  std::unique_ptr<GatedLog> m_gatedLog;
  std::unique_ptr<Ledger> m_jobs;
  std::unique_ptr<Candidate> m_candidate;
};

class Installation {
public:
  struct Options {
    std::uint64_t m_seed = 1;
    std::size_t m_nodes = 3;
    std::size_t m_workers = 6;
    Resources m_capacity{4000, 8000, 0};
  };

  explicit Installation(const Options &Values);
  ~Installation();

  void run(Duration Time) { m_host.advance(Time); }
  TimePoint now() const { return m_host.now(); }

  /// Stores a job as a node's front does.
  void submit(const Submission &Job);
  void cancel(const std::string &Id);

  /// A job's state as the log has it.
  JobState stateOf(const std::string &Id) const;

  void startNode(std::size_t At);
  FakeNode &node(std::size_t At) { return *m_nodes[At]; }
  /// The owner that is at work; null while there is none.
  FakeNode *owner();

  FakeWorker &worker(std::size_t At) { return *m_workers[At]; }
  std::size_t workers() const { return m_workers.size(); }
  /// Ends the worker's life; the next one is listed after a while.
  void crashWorker(std::size_t At);

  /// Broken promises so far.
  std::vector<std::string> faults() const;

  /// Heals everything: nodes run, paths and log are sound.
  void heal();

  std::mt19937_64 m_random;
  ManualRuntime m_host;
  RunHistory m_past;
  FakeLog m_log;

private:
  void list(std::size_t At);

  const Options m_options;
  std::vector<AskedJob> m_asked;
  std::vector<std::unique_ptr<FakeWorker>> m_workers;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
};

/// A job of one step.
Submission batchJob(const std::string &Id, std::uint32_t Tasks);

/// A job of two steps, the second after the first.
Submission chainedJob(const std::string &Id, std::uint32_t Tasks);

/// A job whose tasks last.
Submission serviceJob(const std::string &Id, std::uint32_t Tasks);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_INSTALLATION_H
