// Several nodes, workers and a log in one process, on a simulated clock.
//
//   SimulatedCluster Cluster({.m_seed = 7});
//   Cluster.submit(batchJob("5c0e7a21d94b36f8", 8));
//   Cluster.run(Milliseconds(5000));
//   BOOST_TEST(Cluster.violations().empty());
#ifndef CATKINSEAM_OWNERSHIP_TESTING_SIMULATED_CLUSTER_H
#define CATKINSEAM_OWNERSHIP_TESTING_SIMULATED_CLUSTER_H

#include "catkinseam/front/job_lookup.h"
#include "catkinseam/front/job_service.h"
#include "catkinseam/ownership/candidate.h"
#include "catkinseam/ownership/testing/fake_log.h"
#include "catkinseam/ownership/testing/fake_worker.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// A process that can be killed, paused and partitioned. Its timers and replies
/// are deferred while it is paused.
class FakeNode final : public Runtime {
public:
  FakeNode(Runtime &Host, FakeLog &Log, const std::string &Name);
  ~FakeNode() override;

  const Clock &clock() const override { return m_host.clock(); }
  TimerId schedule(Duration Delay, std::function<void()> Call) override;
  void cancel(TimerId Id) override;

  struct Options {
    Milliseconds m_jobRetention{0};
    /// See Evacuations::Options.
    Milliseconds m_maxEvacuationAge{0};
    double m_processorShare = 1.0;
  };

  /// Starts a new incarnation of the process.
  void start(Owner::WorkerLinkFactory MakeLink,
             Owner::WorkerRegistrationParser ParseRegistration,
             const Options &Values);
  void kill();
  void pause() { m_isPaused = true; }
  void resume();

  bool isRunning() const { return m_candidate != nullptr; }
  bool isOwner() const { return m_candidate && m_candidate->owner(); }
  bool isPaused() const { return m_isPaused; }
  const std::string &name() const { return m_name; }
  int incarnation() const { return m_incarnation; }
  const Ledger &jobs() const { return *m_jobs; }
  JobService &jobService() { return *m_jobService; }
  JobLookup &jobLookup() { return *m_jobLookup; }

  /// The process's connection to the log.
  FakeLog::View m_log;
  /// The process reaches no worker.
  bool m_isPartitionedFromWorkers = false;
  /// Ids of the workers that the process does not reach.
  std::set<std::string> m_unreachableWorkers;

private:
  class PausableLog;
  class PausableLink;

  /// Runs `Call` now, or on resume() if paused; kill() discards deferred calls.
  /// `Id` is the timer that triggered it, zero for none.
  void deliver(std::function<void()> Call, TimerId Id = 0);

  Runtime &m_host;
  const std::string m_name;
  int m_incarnation = 0;
  bool m_isPaused = false;
  std::deque<std::pair<TimerId, std::function<void()>>> m_deferred;
  std::unique_ptr<PausableLog> m_pausableLog;
  std::unique_ptr<Ledger> m_jobs;
  std::unique_ptr<Evacuations> m_evacuations;
  std::unique_ptr<KeyedLogReader> m_operatorReader;
  std::unique_ptr<Candidate> m_candidate;
  std::unique_ptr<JobService> m_jobService;
  std::unique_ptr<JobLookup> m_jobLookup;
};

class SimulatedCluster {
public:
  struct Options {
    std::uint64_t m_seed = 1;
    std::size_t m_nodes = 3;
    std::size_t m_workers = 6;
    Resources m_capacity{4000, 8000, 0};
    /// See Evacuations::Options.
    Milliseconds m_maxEvacuationAge{4500};
    /// Processor shares of the nodes; those that are not listed have 1.0.
    std::vector<double> m_processorShares{};
    Milliseconds m_jobRetention = Scheduler::Options{}.m_jobRetention;
  };

  explicit SimulatedCluster(const Options &Values);
  ~SimulatedCluster();

  void run(Duration Time) { m_host.advance(Time); }
  TimePoint now() const { return m_host.now(); }

  /// Stores a job as the job service of a node does.
  void submit(const Submission &Job);
  void cancel(const std::string &Id);

  /// Returns a job's state according to the log.
  JobState stateOf(const std::string &Id) const;

  void startNode(std::size_t Index);
  FakeNode &node(std::size_t Index) { return *m_nodes[Index]; }
  /// Returns the owner that is neither paused nor partitioned from the log, or
  /// null.
  FakeNode *owner();

  FakeWorker &worker(std::size_t Index) { return *m_workers[Index]; }
  std::size_t workers() const { return m_workers.size(); }
  /// Crashes the worker; its next incarnation is registered after a delay.
  void crashWorker(std::size_t Index);
  /// Writes the worker's current registration.
  void registerWorker(std::size_t Index);
  /// Changes the worker's capacity and its registration.
  void changeCapacity(std::size_t Index, const Resources &Capacity);
  /// Requests the evacuation of a data centre: "dc0", "dc1" or "dc2".
  void evacuate(const std::string &DataCentre);
  void withdrawEvacuation(const std::string &DataCentre);
  /// Gives all workers the capacity that they began with.
  void restoreCapacities();

  /// Returns a line for each invariant violated so far.
  std::vector<std::string> violations() const;

  /// Removes all faults of the log and the networks, and starts or resumes all
  /// nodes.
  void heal();

  std::mt19937_64 m_random;
  ManualRuntime m_host;
  RunHistory m_history;
  FakeLog m_log;

private:
  const Options m_options;
  std::vector<SubmittedJob> m_submitted;
  std::vector<std::unique_ptr<FakeWorker>> m_workers;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
};

/// Returns a job id of 16 digits.
std::string jobId(std::uint64_t Number);

/// Returns a batch job with one step.
Submission batchJob(const std::string &Id, std::uint32_t Tasks);

/// Returns a batch job with two steps, of which the second depends on the
/// first.
Submission chainedJob(const std::string &Id, std::uint32_t Tasks);

/// Returns a job whose tasks run until they are stopped.
Submission serviceJob(const std::string &Id, std::uint32_t Tasks);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_SIMULATED_CLUSTER_H
