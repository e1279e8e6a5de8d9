// Tasks that crash the workers which start them.
#define BOOST_TEST_MODULE crashing_task
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

namespace catkinseam {

namespace {

/// Starts of one task until it is given up at the latest. After three crashes
/// it may be started twice more.
constexpr std::size_t MaxStarts = 5;
constexpr std::size_t Workers = 12;

/// A cluster in which some tasks crash each worker that starts them.
class CrashingCluster {
public:
  /// A crashed worker is down for `DownTime`, and registers again a second
  /// after its return.
  CrashingCluster(std::uint64_t Seed, Milliseconds DownTime)
      : m_cluster({.m_seed = Seed, .m_workers = Workers}),
        m_downTime(DownTime) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      m_cluster.worker(Index).m_onStart = [this, Index](const TaskKey &Task) {
        if (m_crashing.contains(Task))
          m_cluster.m_host.schedule(CrashDelay,
                                    [this, Index] { crash(Index); });
      };
    m_cluster.run(Milliseconds(2000));
  }

  /// Submits a job; its task `Index` crashes workers.
  void submitCrashing(const Submission &Job, std::uint32_t Index) {
    m_crashing.insert({Job.m_id, 0, 0, Index});
    m_cluster.submit(Job);
  }

  std::size_t startsOf(const TaskKey &Task) const {
    return static_cast<std::size_t>(std::count_if(
        m_cluster.m_history.m_runs.begin(), m_cluster.m_history.m_runs.end(),
        [&](const RecordedRun &Each) { return Each.m_task == Task; }));
  }

  SimulatedCluster m_cluster;
  std::set<TaskKey> m_crashing;

private:
  static constexpr Milliseconds CrashDelay{10};

  void crash(std::size_t Index) {
    FakeWorker &Worker = m_cluster.worker(Index);
    if (Worker.m_network.m_isPartitioned)
      return;
    Worker.m_network.m_isPartitioned = true;
    Worker.crash();
    m_cluster.m_host.schedule(
        m_downTime, [&Worker] { Worker.m_network.m_isPartitioned = false; });
    m_cluster.m_host.schedule(m_downTime + Milliseconds(1000), [this, Index] {
      m_cluster.registerWorker(Index);
    });
  }

  const Milliseconds m_downTime;
};

Submission fourTasks(std::uint64_t Number, bool IsSpeculative) {
  Submission Job = batchJob(jobId(Number), 4);
  Job.m_spec.m_steps.front().m_isSpeculative = IsSpeculative;
  return Job;
}

} // namespace

// One task crashed server after server: it was started again for as long as the
// job lived. The owner is killed while the first workers are down.
BOOST_AUTO_TEST_CASE(CrashingTaskIsGivenUp) {
  for (const bool IsSpeculative : {false, true})
    for (const Milliseconds DownTime : {Milliseconds(3000), Milliseconds(8000)})
      for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
        CrashingCluster Each(Seed, DownTime);
        Each.submitCrashing(fourTasks(1, IsSpeculative), 2);
        for (std::uint64_t Number = 2; Number < 40; ++Number) {
          Each.m_cluster.submit(fourTasks(Number, IsSpeculative));
          Each.m_cluster.run(Milliseconds(50));
        }
        Each.m_cluster.run(Milliseconds(100 * Seed));
        if (Seed % 2 == 0)
          Each.m_cluster.owner()->kill();
        Each.m_cluster.run(Milliseconds(60000));
        BOOST_TEST_CONTEXT("seed " << Seed << ", speculative " << IsSpeculative
                                   << ", down for " << DownTime.count()
                                   << " ms") {
          BOOST_TEST(Each.startsOf({jobId(1), 0, 0, 2}) <= MaxStarts);
          BOOST_TEST((Each.m_cluster.stateOf(jobId(1)) == JobState::Failed));
          // The jobs that ran beside it complete.
          for (std::uint64_t Number = 2; Number < 40; ++Number)
            BOOST_TEST(
                (Each.m_cluster.stateOf(jobId(Number)) == JobState::Completed));
          BOOST_TEST(Each.m_cluster.violations().empty());
        }
      }
}

// Many tasks that crash their workers at the same time looked like an outage of
// many workers, which blames nobody, each time that they were started again.
BOOST_AUTO_TEST_CASE(SimultaneousCrashingTasksAreGivenUp) {
  for (const bool IsService : {false, true})
    for (const Milliseconds DownTime : {Milliseconds(3000), Milliseconds(8000)})
      for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
        CrashingCluster Each(Seed, DownTime);
        for (std::uint64_t Number = 1; Number <= 6; ++Number)
          Each.submitCrashing(IsService ? serviceJob(jobId(Number), 2)
                                        : batchJob(jobId(Number), 2),
                              0);
        for (std::uint64_t Number = 7; Number < 20; ++Number) {
          Each.m_cluster.submit(fourTasks(Number, false));
          Each.m_cluster.run(Milliseconds(50));
        }
        Each.m_cluster.run(Milliseconds(90000));
        BOOST_TEST_CONTEXT("seed " << Seed << ", service " << IsService
                                   << ", down for " << DownTime.count()
                                   << " ms") {
          for (std::uint64_t Number = 1; Number <= 6; ++Number) {
            BOOST_TEST(Each.startsOf({jobId(Number), 0, 0, 0}) <= MaxStarts);
            BOOST_TEST(
                (Each.m_cluster.stateOf(jobId(Number)) == JobState::Failed));
          }
          for (std::uint64_t Number = 7; Number < 20; ++Number)
            BOOST_TEST(
                (Each.m_cluster.stateOf(jobId(Number)) == JobState::Completed));
          BOOST_TEST(Each.m_cluster.violations().empty());
        }
      }
}

// A task crashed a worker for each change of owner: successors counted the
// crashes that they learned of from stored progress, but never gave it up.
BOOST_AUTO_TEST_CASE(CrashingTaskIsGivenUpByRepeatedSuccessors) {
  for (const Milliseconds DownTime : {Milliseconds(1000), Milliseconds(3000)})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      CrashingCluster Each(Seed, DownTime);
      const TaskKey Task{jobId(1), 0, 0, 2};
      Each.submitCrashing(fourTasks(1, false), 2);
      std::size_t Kills = 0;
      for (int Step = 0; Step < 12000; ++Step) {
        Each.m_cluster.run(Milliseconds(10));
        FakeNode *Owner = Each.m_cluster.owner();
        if (!Owner || Each.startsOf(Task) <= Kills)
          continue;
        Each.m_cluster.run(Milliseconds(20 + 10 * Seed));
        ++Kills;
        for (std::size_t Index = 0; Index < 3; ++Index) {
          FakeNode &Node = Each.m_cluster.node(Index);
          if (&Node == Owner) {
            Node.kill();
            Each.m_cluster.m_host.schedule(
                DownTime + Milliseconds(1500),
                [&Each, Index] { Each.m_cluster.startNode(Index); });
          }
        }
      }
      BOOST_TEST_CONTEXT("seed " << Seed << ", down for " << DownTime.count()
                                 << " ms") {
        BOOST_TEST(Each.startsOf(Task) <= MaxStarts);
        BOOST_TEST((Each.m_cluster.stateOf(jobId(1)) == JobState::Failed));
        BOOST_TEST(Each.m_cluster.violations().empty());
      }
    }
}

// All tasks of a step crash their workers, as a step and as a gang, and owners
// are killed every few seconds.
BOOST_AUTO_TEST_CASE(CrashingStepsAreGivenUpUnderOwnerChanges) {
  for (const bool IsGang : {false, true})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      CrashingCluster Each(Seed, Milliseconds(3000));
      for (std::uint64_t Number = 1; Number <= 3; ++Number) {
        Submission Job = batchJob(jobId(Number), 5);
        Job.m_spec.m_steps.front().m_isGang = IsGang;
        for (std::uint32_t Index = 0; Index < 5; ++Index)
          Each.m_crashing.insert({Job.m_id, 0, 0, Index});
        Each.m_cluster.submit(Job);
      }
      for (std::uint64_t Number = 4; Number < 12; ++Number)
        Each.m_cluster.submit(fourTasks(Number, false));
      for (int Kill = 0; Kill < 8; ++Kill) {
        Each.m_cluster.run(Milliseconds(1500 + 130 * Seed));
        if (FakeNode *Owner = Each.m_cluster.owner())
          Owner->kill();
        Each.m_cluster.run(Milliseconds(300));
        for (std::size_t Index = 0; Index < 3; ++Index)
          if (!Each.m_cluster.node(Index).isRunning())
            Each.m_cluster.startNode(Index);
      }
      Each.m_cluster.run(Milliseconds(60000));
      BOOST_TEST_CONTEXT("seed " << Seed << ", gang " << IsGang) {
        for (const TaskKey &Task : Each.m_crashing)
          BOOST_TEST(Each.startsOf(Task) <= MaxStarts);
        for (std::uint64_t Number = 1; Number <= 3; ++Number)
          BOOST_TEST(
              (Each.m_cluster.stateOf(jobId(Number)) == JobState::Failed));
        for (std::uint64_t Number = 4; Number < 12; ++Number)
          BOOST_TEST(
              (Each.m_cluster.stateOf(jobId(Number)) == JobState::Completed));
        BOOST_TEST(Each.m_cluster.violations().empty());
      }
    }
}

// A suspect waited for a worker that starts nothing for 200 ms, while short
// tasks keep all workers busy.
BOOST_AUTO_TEST_CASE(SuspectsStartBesideShortTasks) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SimulatedCluster Cluster({.m_seed = Seed, .m_workers = 4});
    Cluster.run(Milliseconds(2000));
    std::uint64_t Number = 1;
    const auto SubmitShort = [&](int Rounds) {
      for (int Round = 0; Round < Rounds; ++Round) {
        Cluster.submit(batchJob(jobId(++Number), 3));
        Cluster.run(Milliseconds(60 + Cluster.m_random() % 20));
      }
    };
    SubmitShort(40);
    Cluster.submit(serviceJob(jobId(1), 1));
    const auto ServiceWorker = [&]() -> std::optional<std::size_t> {
      for (const RecordedRun &Each : Cluster.m_history.m_runs)
        if (Each.m_task.m_job == jobId(1) && !Each.m_hasEnd)
          return std::stoul(Each.m_worker.substr(1));
      return std::nullopt;
    };
    while (!ServiceWorker())
      SubmitShort(1);
    Cluster.crashWorker(*ServiceWorker());
    const TimePoint CrashedAt = Cluster.now();
    std::size_t Starts = 0;
    while (Starts < 2 && Cluster.now() - CrashedAt < Milliseconds(20000)) {
      SubmitShort(1);
      Starts = static_cast<std::size_t>(std::count_if(
          Cluster.m_history.m_runs.begin(), Cluster.m_history.m_runs.end(),
          [](const RecordedRun &Each) {
            return Each.m_task.m_job == jobId(1);
          }));
    }
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(toMilliseconds(Cluster.now() - CrashedAt).count() <= 3000);
    }
  }
}

// A service whose worker was lost right after the start never started again
// while wide jobs made each worker start something all the time (review/2). It
// may be away for 6 s, in which the lease of its last run expires, and 3 s
// more.
BOOST_AUTO_TEST_CASE(SuspectStartsWhileAllWorkersKeepStarting) {
  constexpr Milliseconds MaxAway{9000};
  constexpr std::uint32_t Width = 17;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SimulatedCluster Cluster(
        {.m_seed = Seed, .m_workers = Width, .m_capacity = {16000, 64000, 0}});
    Cluster.run(Milliseconds(2000));
    std::uint64_t Number = 1;
    const auto SubmitWide = [&] {
      Submission Wide = batchJob(jobId(++Number), Width);
      Wide.m_spec.m_steps.front().m_request = {300, 100, 0};
      Cluster.submit(Wide);
      Cluster.run(Milliseconds(100 + Cluster.m_random() % 40));
    };
    for (int Round = 0; Round < 20; ++Round)
      SubmitWide();
    Cluster.submit(serviceJob(jobId(1), 1));
    const auto ServiceRuns = [&] {
      std::vector<RecordedRun> Found;
      for (const RecordedRun &Each : Cluster.m_history.m_runs)
        if (Each.m_task.m_job == jobId(1))
          Found.push_back(Each);
      return Found;
    };
    while (ServiceRuns().empty())
      SubmitWide();
    const std::size_t Lost =
        std::stoul(ServiceRuns().front().m_worker.substr(1));
    Cluster.worker(Lost).m_network.m_isPartitioned = true;
    Cluster.worker(Lost).crash();
    const TimePoint LostAt = Cluster.now();
    while (ServiceRuns().size() < 2 &&
           Cluster.now() - LostAt < Milliseconds(30000))
      SubmitWide();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(toMilliseconds(Cluster.now() - LostAt).count() <=
                 MaxAway.count());
      BOOST_TEST(Cluster.violations().empty());
    }
  }
}

// Harmless services waited for one trial after another when all workers and
// nodes had lost their power.
BOOST_AUTO_TEST_CASE(ServicesRestartTogetherAfterPowerLoss) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SimulatedCluster Cluster({.m_seed = Seed, .m_workers = Workers});
    Cluster.run(Milliseconds(2000));
    Cluster.submit(serviceJob(jobId(1), 40));
    Cluster.run(Milliseconds(10000));
    for (std::size_t Index = 0; Index < 3; ++Index)
      Cluster.node(Index).kill();
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Cluster.worker(Index).crash();
    Cluster.run(Milliseconds(1000));
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Cluster.registerWorker(Index);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Cluster.startNode(Index);
    const auto ActiveRuns = [&] {
      return std::count_if(Cluster.m_history.m_runs.begin(),
                           Cluster.m_history.m_runs.end(),
                           [](const RecordedRun &Each) {
                             return Each.m_endedAt == TimePoint::max();
                           });
    };
    while (!Cluster.owner())
      Cluster.run(Milliseconds(10));
    const TimePoint OwnedSince = Cluster.now();
    while (ActiveRuns() < 40 &&
           Cluster.now() - OwnedSince < Milliseconds(20000))
      Cluster.run(Milliseconds(10));
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(toMilliseconds(Cluster.now() - OwnedSince).count() <= 1000);
    }
  }
}

// Workers that crash for another reason. A task that was there twice must not
// be given up for it.
BOOST_AUTO_TEST_CASE(TasksOutliveUnrelatedCrashes) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SimulatedCluster Cluster({.m_seed = Seed, .m_workers = Workers});
    Cluster.run(Milliseconds(2000));
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Cluster.worker(Index).m_runTime = Milliseconds(2000);
    for (std::uint64_t Number = 1; Number <= 6; ++Number)
      Cluster.submit(batchJob(jobId(Number), 6));
    Cluster.submit(serviceJob(jobId(7), 4));
    for (int Round = 0; Round < 4; ++Round) {
      Cluster.run(Milliseconds(1200));
      for (std::size_t Index = Seed % 2; Index < Workers; Index += 2)
        Cluster.crashWorker(Index);
    }
    Cluster.run(Milliseconds(30000));
    BOOST_TEST_CONTEXT("seed " << Seed) {
      for (std::uint64_t Number = 1; Number <= 6; ++Number)
        BOOST_TEST((Cluster.stateOf(jobId(Number)) == JobState::Completed));
      BOOST_TEST((Cluster.stateOf(jobId(7)) == JobState::InProgress));
      BOOST_TEST(Cluster.violations().empty());
    }
  }
}

} // namespace catkinseam
