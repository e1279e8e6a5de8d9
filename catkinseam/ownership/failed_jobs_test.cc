// Jobs that are shown as failed, under random faults of workers, nodes and the
// log. No task of these tests crashes its worker.
//
// CATKINSEAM_FIRST_SEED and CATKINSEAM_SEEDS select the seeds. With
// CATKINSEAM_CRASH_STORM=1, workers crash all the time; a task may then be
// there often enough to be given up.
#define BOOST_TEST_MODULE failed_jobs
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include "catkinseam/telemetry/log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace catkinseam {

namespace {

constexpr std::size_t Nodes = 3;
constexpr std::size_t Workers = 12;
constexpr std::uint32_t MaxAttempts = 2;

std::uint64_t readEnvironment(const char *Variable, std::uint64_t Fallback) {
  const char *Text = std::getenv(Variable);
  return Text ? std::stoull(Text) : Fallback;
}

/// Random jobs and faults on one cluster.
class Day {
public:
  explicit Day(std::uint64_t Seed)
      : m_cluster({.m_seed = Seed, .m_nodes = Nodes, .m_workers = Workers}) {
    m_isStorm = readEnvironment("CATKINSEAM_CRASH_STORM", 0) != 0;
    const double FailureRate = 0.05 * static_cast<double>(number(0, 4));
    m_changesIds = chance(0.5);
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      FakeWorker &Worker = m_cluster.worker(Index);
      Worker.m_failureRate = FailureRate;
      Worker.m_changesId = m_changesIds;
      Worker.m_runTime = Milliseconds(number(100, 2500));
    }
    m_cluster.run(Milliseconds(2000));
  }

  void play() {
    for (int Step = 0; Step < 60; ++Step) {
      submit();
      if (chance(m_isStorm ? 0.9 : 0.4))
        injectFault();
      m_cluster.run(Milliseconds(number(50, 700)));
    }
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      m_cluster.worker(Index).m_failureRate = 0.0;
      m_cluster.worker(Index).m_stopTime = Milliseconds(0);
    }
    m_cluster.heal();
    m_cluster.run(Milliseconds(40000));
  }

  /// Returns a line for each job that is shown as failed and has no task that
  /// failed as often as permitted.
  std::vector<std::string> unfoundedFailures() const {
    std::map<TaskKey, std::uint32_t> Failures;
    for (const RecordedRun &Each : m_cluster.m_history.m_runs)
      if (Each.m_hasEnd && Each.m_end == RunEnd::Failed)
        ++Failures[Each.m_task];
    std::map<std::string, std::uint32_t> MostFailures;
    for (const auto &[Task, Count] : Failures)
      MostFailures[Task.m_job] = std::max(MostFailures[Task.m_job], Count);
    std::vector<std::string> Found;
    for (const Submission &Each : m_jobs) {
      const auto Most = MostFailures.find(Each.m_id);
      const std::uint32_t Count = Most == MostFailures.end() ? 0 : Most->second;
      const bool IsService = Each.m_spec.m_steps.front().m_isService;
      if (m_cluster.stateOf(Each.m_id) == JobState::Failed &&
          (IsService || Count < MaxAttempts))
        Found.push_back("job \"" + Each.m_id + "\" is shown as failed after " +
                        std::to_string(Count) + " failures of one task" +
                        (IsService ? " of a service" : ""));
    }
    return Found;
  }

  std::size_t failedJobs() const {
    return static_cast<std::size_t>(std::count_if(
        m_jobs.begin(), m_jobs.end(), [&](const Submission &Each) {
          return m_cluster.stateOf(Each.m_id) == JobState::Failed;
        }));
  }

private:
  std::uint64_t number(std::uint64_t First, std::uint64_t Last) {
    return std::uniform_int_distribution<std::uint64_t>(First, Last)(
        m_cluster.m_random);
  }
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(m_cluster.m_random) <
           Probability;
  }
  void later(Milliseconds Delay, std::function<void()> Call) {
    m_cluster.m_host.schedule(Delay, std::move(Call));
  }

  void submit() {
    const std::string Id = jobId(m_jobs.size() + 1);
    const auto Width = static_cast<std::uint32_t>(number(1, Workers));
    Submission Job;
    switch (number(0, 5)) {
    case 0:
      Job = serviceJob(Id, std::min(Width, 4U));
      break;
    case 1:
      Job = chainedJob(Id, Width);
      break;
    case 2:
      Job = batchJob(Id, std::min(Width, 5U));
      Job.m_spec.m_steps.front().m_isGang = true;
      break;
    case 3:
      Job = batchJob(Id, Width);
      Job.m_spec.m_steps.front().m_isSpeculative = true;
      break;
    default:
      Job = batchJob(Id, Width);
      break;
    }
    Job.m_policy.m_maxAttempts = MaxAttempts;
    for (StepSpec &Each : Job.m_spec.m_steps)
      Each.m_request = {300, 200, 0};
    m_jobs.push_back(Job);
    m_cluster.submit(Job);
  }

  void injectFault() {
    const Milliseconds Time(number(300, 5000));
    if (m_isStorm && chance(0.6))
      return crashWorkers(Time);
    switch (number(0, 11)) {
    case 0:
    case 1:
      return killOwner(Time);
    case 2:
      return pauseOwner(Time);
    case 3:
      return partitionOwner(Time);
    case 4:
      return partitionOwnerFromWorkers(Time);
    case 5:
      return disturbLog(Time);
    case 6:
    case 7:
    case 8:
      return crashWorkers(Time);
    case 9:
      return partitionWorker(Time);
    default:
      return disturbWorker(Time);
    }
  }

  std::optional<std::size_t> ownerIndex() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      if (&m_cluster.node(Index) == m_cluster.owner())
        return Index;
    return std::nullopt;
  }

  void killOwner(Milliseconds Time) {
    const auto Index = ownerIndex();
    if (!Index)
      return;
    m_cluster.node(*Index).kill();
    later(Time, [this, Node = *Index] {
      if (!m_cluster.node(Node).isRunning())
        m_cluster.startNode(Node);
    });
  }
  void pauseOwner(Milliseconds Time) {
    const auto Index = ownerIndex();
    if (!Index)
      return;
    m_cluster.node(*Index).pause();
    later(Time, [this, Node = *Index] { m_cluster.node(Node).resume(); });
  }
  void partitionOwner(Milliseconds Time) {
    const auto Index = ownerIndex();
    if (!Index)
      return;
    m_cluster.node(*Index).m_log.m_isPartitioned = true;
    later(Time, [this, Node = *Index] {
      m_cluster.node(Node).m_log.m_isPartitioned = false;
    });
  }
  void partitionOwnerFromWorkers(Milliseconds Time) {
    const auto Index = ownerIndex();
    if (!Index)
      return;
    m_cluster.node(*Index).m_isPartitionedFromWorkers = true;
    later(Time, [this, Node = *Index] {
      m_cluster.node(Node).m_isPartitionedFromWorkers = false;
    });
  }
  void disturbLog(Milliseconds Time) {
    FakeLog::Faults &Faults = m_cluster.m_log.m_faults;
    switch (number(0, 2)) {
    case 0:
      Faults.m_isDown = true;
      break;
    case 1:
      Faults.m_lostReplyRate = 0.4;
      break;
    default:
      Faults.m_delayedRate = 0.3;
      break;
    }
    later(Time, [this] { m_cluster.m_log.m_faults = {}; });
  }
  /// Crashes one worker or a sixth of them, which stay away for a while or are
  /// back at once.
  void crashWorkers(Milliseconds Time) {
    const std::size_t Count = chance(0.5) ? 1 : Workers / 6;
    const bool IsDark = chance(0.5);
    for (std::size_t Crash = 0; Crash < Count; ++Crash) {
      const std::size_t Index = number(0, Workers - 1);
      m_cluster.crashWorker(Index);
      if (IsDark)
        partition(Index, Time);
    }
  }
  void partitionWorker(Milliseconds Time) {
    partition(number(0, Workers - 1), Time);
  }
  void partition(std::size_t Index, Milliseconds Time) {
    m_cluster.worker(Index).m_network.m_isPartitioned = true;
    later(Time, [this, Index] {
      m_cluster.worker(Index).m_network.m_isPartitioned = false;
    });
  }
  void disturbWorker(Milliseconds Time) {
    const std::size_t Index = number(0, Workers - 1);
    FakeWorker &Worker = m_cluster.worker(Index);
    if (chance(0.5))
      Worker.m_network.m_lostReplyRate = 0.4;
    else
      Worker.m_network.m_delayedRate = 0.4;
    Worker.m_stopTime = Milliseconds(number(0, 900));
    later(Time, [&Worker] {
      Worker.m_network.m_lostReplyRate = 0.0;
      Worker.m_network.m_delayedRate = 0.0;
    });
  }

  SimulatedCluster m_cluster;
  bool m_isStorm = false;
  bool m_changesIds = false;
  std::vector<Submission> m_jobs;
};

} // namespace

// Users saw jobs as failed none of whose tasks had failed as often as
// permitted.
BOOST_AUTO_TEST_CASE(OnlyRepeatedFailuresOfATaskFailItsJob) {
  const std::uint64_t First = readEnvironment("CATKINSEAM_FIRST_SEED", 1);
  const std::uint64_t Seeds = readEnvironment("CATKINSEAM_SEEDS", 20);
  // A single seed runs with logging enabled, to trace a failure.
  if (Seeds == 1)
    startLogging("info");
  std::size_t Failed = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    Day Each(Seed);
    Each.play();
    Failed += Each.failedJobs();
    for (const std::string &Line : Each.unfoundedFailures())
      BOOST_ERROR("seed " + std::to_string(Seed) + ": " + Line);
  }
  BOOST_TEST_MESSAGE(std::to_string(Failed) + " jobs failed");
  // Few seeds may have no job that failed for cause.
  BOOST_TEST((Failed > 0 || Seeds < 20));
}

} // namespace catkinseam
