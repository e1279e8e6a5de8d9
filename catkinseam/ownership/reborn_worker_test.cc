// Orders without a response that are carried out seconds later, by the next
// incarnation of the worker that they were sent to. No task may run twice at a
// time, nor again after an end that was acknowledged.
#define BOOST_TEST_MODULE reborn_worker
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};
constexpr std::size_t Nodes = 3;
constexpr std::size_t Workers = 8;
constexpr std::uint64_t Seeds = 40;
/// Workers with an even index restart; the others have room for their tasks.
constexpr std::size_t Stride = 2;

/// A cluster in which workers delay orders, and their next incarnations carry
/// these out.
class RebornWorkers {
public:
  explicit RebornWorkers(std::uint64_t Seed)
      : m_cluster({.m_seed = Seed, .m_nodes = Nodes, .m_workers = Workers}) {
    // The clocks of the former incarnations are far ahead of the next ones'.
    m_cluster.run(60 * Second);
  }

  void setRunTime(Milliseconds Time) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      m_cluster.worker(Index).m_runTime = Time;
  }

  /// This share of the orders to the workers that restart is delayed.
  void delayOrders(double Share) {
    for (std::size_t Index = 0; Index < Workers; Index += Stride) {
      FakeWorker::Network &Network = m_cluster.worker(Index).m_network;
      Network.m_delayedRate = Share;
      Network.m_delaysAcrossRestarts = true;
    }
  }

  /// The registrations are renewed `Registered` later.
  void restartWorkers(Milliseconds Registered) {
    for (std::size_t Index = 0; Index < Workers; Index += Stride) {
      m_cluster.worker(Index).crash();
      m_cluster.m_host.schedule(
          Registered, [this, Index] { m_cluster.registerWorker(Index); });
    }
  }

  /// Nothing more is placed on the workers that restart.
  void closeWorkers() {
    for (std::size_t Index = 0; Index < Workers; Index += Stride)
      m_cluster.changeCapacity(Index, {1, 1, 0});
  }

  void unlistWorkers() {
    for (std::size_t Index = 0; Index < Workers; Index += Stride)
      m_cluster.m_log.put(LogTopic::Workers, m_cluster.worker(Index).id(),
                          std::nullopt);
  }

  void cutOffWorkers(bool IsCutOff) {
    for (std::size_t Index = 0; Index < Workers; Index += Stride)
      m_cluster.worker(Index).m_network.m_isPartitioned = IsCutOff;
  }

  void killOwner() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      if (m_cluster.node(Index).isOwner())
        m_cluster.node(Index).kill();
  }

  void submitJobs(std::uint64_t First, std::uint64_t Count,
                  std::uint32_t Tasks) {
    for (std::uint64_t Number = First; Number < First + Count; ++Number)
      m_cluster.submit(batchJob(jobId(Number), Tasks));
  }

  void expectNoViolation(std::uint64_t Seed, const char *Case) {
    const std::vector<std::string> Found = m_cluster.violations();
    BOOST_TEST_CONTEXT(Case << ", seed " << Seed)
    BOOST_TEST(Found.empty(), Found.size() << " violations, first: "
                                           << (Found.empty() ? "" : Found[0]));
  }

  SimulatedCluster m_cluster;
};

} // namespace

// Guards against a task that runs twice: a start in doubt was barred by a stop
// and the task started elsewhere; the bar ended with the incarnation that had
// acknowledged it, and the next one carried the start out.
BOOST_AUTO_TEST_CASE(BarredStartsReachNextIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(10 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 4, 4);
    Case.m_cluster.run(Milliseconds(100));
    Case.delayOrders(0.0);
    Case.closeWorkers();
    Case.m_cluster.run(Milliseconds(2700 + 50 * Seed));
    Case.restartWorkers(Milliseconds(200));
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "barred");
  }
}

// Guards against a task that starts again after it was done: a late status poll
// acknowledged ends to the next incarnation, which numbers its own from 1.
BOOST_AUTO_TEST_CASE(LateAcknowledgementsReachNextIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(Milliseconds(300));
    Case.submitJobs(1, 20, 8);
    Case.m_cluster.run(Milliseconds(400));
    Case.delayOrders(0.3);
    Case.m_cluster.run(Milliseconds(600));
    Case.delayOrders(0.0);
    Case.restartWorkers(Milliseconds(200));
    Case.submitJobs(30, 40, 8);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "acknowledged");
  }
}

// Guards against a task that runs twice: a late order for the former
// incarnation extended the lease of what the owner had started on the next one,
// which was then cut off.
BOOST_AUTO_TEST_CASE(LateOrdersExtendLeasesOfNextIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Second);
    Case.delayOrders(0.0);
    Case.restartWorkers(Milliseconds(100));
    Case.m_cluster.run(Milliseconds(100));
    Case.submitJobs(10, 2, 4);
    Case.m_cluster.run(Milliseconds(200 + 100 * Seed));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "extended");
  }
}

// The same beside the loss of the owner.
BOOST_AUTO_TEST_CASE(LateOrdersAndTakeover) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Second);
    Case.delayOrders(0.0);
    Case.restartWorkers(Milliseconds(100));
    Case.m_cluster.run(Milliseconds(100));
    Case.submitJobs(10, 2, 4);
    Case.m_cluster.run(Milliseconds(200 + 100 * Seed));
    Case.killOwner();
    Case.cutOffWorkers(true);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "takeover");
  }
}

// The same where the workers' entries are removed while they are down, and the
// owner forgets them.
BOOST_AUTO_TEST_CASE(LateOrdersReachWorkerThatWasUnlisted) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(Milliseconds(400));
    Case.delayOrders(0.5);
    Case.submitJobs(1, 4, 4);
    Case.m_cluster.run(Second);
    Case.delayOrders(0.0);
    Case.cutOffWorkers(true);
    Case.unlistWorkers();
    Case.m_cluster.run(Milliseconds(1500));
    Case.setRunTime(20 * Second);
    Case.cutOffWorkers(false);
    Case.restartWorkers(Milliseconds(0));
    Case.submitJobs(10, 6, 4);
    Case.m_cluster.run(Milliseconds(300 + 100 * Seed));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "unlisted");
  }
}

// The same for workers that restart twice in a row.
BOOST_AUTO_TEST_CASE(LateOrdersReachSecondIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 4, 4);
    Case.m_cluster.run(Milliseconds(200));
    Case.delayOrders(0.0);
    Case.restartWorkers(Milliseconds(100));
    Case.m_cluster.run(Milliseconds(1200 + 20 * Seed));
    Case.restartWorkers(Milliseconds(100));
    Case.m_cluster.run(Milliseconds(100 + 50 * Seed));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "second");
  }
}

// The same for a start that the next incarnation carries out while it is cut
// off, so that the owner cannot bar it; the owner reads the registration.
BOOST_AUTO_TEST_CASE(LateStartsReachIncarnationThatIsCutOff) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Milliseconds(100));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(Milliseconds(20 * Seed));
    Case.restartWorkers(Milliseconds(200));
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "cut off");
  }
}

// The same where the registration is read late.
BOOST_AUTO_TEST_CASE(LateStartsReachIncarnationThatIsNotRegistered) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Milliseconds(100));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(Milliseconds(20 * Seed));
    Case.restartWorkers(20 * Second);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "not registered");
  }
}

// The same for a start that was barred before the worker was cut off and
// restarted, and that runs elsewhere since.
BOOST_AUTO_TEST_CASE(BarredStartsReachIncarnationThatIsCutOff) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(10 * Second);
    Case.delayOrders(0.5);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Milliseconds(100));
    Case.delayOrders(0.0);
    Case.closeWorkers();
    // The owner has started the tasks elsewhere.
    Case.m_cluster.run(Milliseconds(2700));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(Milliseconds(20 * Seed));
    Case.restartWorkers(Milliseconds(200));
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "barred and cut off");
  }
}

// Guards against a task that runs twice: an order for the former incarnation
// extended the next one's leases before it heard from the owner, which started
// tasks there and lost it again soon after.
BOOST_AUTO_TEST_CASE(LeasesExtendedBeforeTheFirstPollCount) {
  for (std::uint64_t Seed = 1; Seed <= 5 * Seeds; ++Seed) {
    RebornWorkers Case(Seed);
    Case.setRunTime(20 * Second);
    Case.submitJobs(1, 1, 8);
    Case.m_cluster.run(Second);
    Case.delayOrders(0.8);
    Case.m_cluster.run(2 * Second);
    Case.delayOrders(0.0);
    Case.cutOffWorkers(true);
    Case.restartWorkers(Milliseconds(200));
    Case.m_cluster.run(Milliseconds(500 + 25 * Seed));
    Case.cutOffWorkers(false);
    Case.m_cluster.run(Milliseconds(300));
    Case.submitJobs(10, 2, 4);
    Case.m_cluster.run(Milliseconds(100));
    Case.cutOffWorkers(true);
    Case.m_cluster.run(30 * Second);
    Case.expectNoViolation(Seed, "before the first poll");
  }
}

} // namespace catkinseam
