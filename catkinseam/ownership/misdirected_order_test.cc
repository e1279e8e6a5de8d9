// Starts that reach the next incarnation of a worker, while owners change and
// the worker is cut off. No task may run twice at a time, although the network
// here delivers what a connection to one incarnation would not.
#define BOOST_TEST_MODULE misdirected_order
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};
constexpr std::size_t Nodes = 3;
constexpr std::size_t Workers = 8;
/// Services occupy half of the workers, and are not disturbed.
constexpr std::uint32_t Services = 16;
/// Expiries on the clock of such a worker are far ahead of its next
/// incarnation's.
constexpr Milliseconds LongUptime = 30 * Second;
/// How long an order is on its way.
constexpr Milliseconds OrderDelay{5};

/// Workers restart while starts are on their way to them, and are cut off.
class RestartedWorkers {
public:
  /// `Uptime`: of the services, before the batch jobs are submitted.
  explicit RestartedWorkers(std::uint64_t Seed,
                            Milliseconds Uptime = 3 * Second)
      : m_cluster({.m_seed = Seed, .m_nodes = Nodes, .m_workers = Workers}) {
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      FakeWorker &Worker = m_cluster.worker(Index);
      Worker.m_runTime = 20 * Second;
      Worker.m_network.m_delay = OrderDelay;
    }
    m_cluster.run(2 * Second);
    m_cluster.submit(serviceJob(jobId(9), Services));
    m_cluster.run(Uptime);
    for (const RecordedRun &Each : m_cluster.m_history.m_runs)
      m_serving.insert(indexOf(Each));
    BOOST_REQUIRE(m_serving.size() == Workers / 2);
    for (std::uint64_t Number = 1; Number <= 2; ++Number)
      m_cluster.submit(batchJob(jobId(Number), 4));
  }

  void restartWorkers() {
    m_restartedAt = m_cluster.now();
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      if (m_serving.contains(Index))
        continue;
      m_cluster.worker(Index).crash();
      m_cluster.registerWorker(Index);
    }
  }

  /// Cuts off the workers that run something else than services; the others
  /// have room for it.
  void cutOffBusyWorkers() {
    for (const RecordedRun &Each : m_cluster.m_history.m_runs)
      if (!m_serving.contains(indexOf(Each)) &&
          Each.m_endedAt == TimePoint::max())
        m_cluster.worker(indexOf(Each)).m_network.m_isPartitioned = true;
  }

  /// From now on this share of orders to the workers without services gets no
  /// reply and is carried out seconds later, also by a next incarnation.
  void delayOrders(double Share) {
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      if (m_serving.contains(Index))
        continue;
      m_cluster.worker(Index).m_network.m_delayedRate = Share;
      m_cluster.worker(Index).m_network.m_delaysAcrossRestarts = true;
    }
  }

  /// Cuts off two of the four workers without services, which two depends on
  /// `Seed`.
  void cutOffHalf(std::uint64_t Seed) {
    std::size_t Number = 0;
    for (std::size_t Index = 0; Index < Workers; ++Index)
      if (!m_serving.contains(Index) && (Number++ / 2 + Seed) % 2 == 0)
        m_cluster.worker(Index).m_network.m_isPartitioned = true;
  }

  void killOwner() {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      if (m_cluster.node(Index).isOwner())
        m_cluster.node(Index).kill();
  }

  /// Number of runs that began after the restart and were sent before.
  std::size_t misdirectedRuns() const {
    const auto &Runs = m_cluster.m_history.m_runs;
    return static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(), [this](const RecordedRun &Run) {
          return Run.m_startedAt >= m_restartedAt &&
                 Run.m_startedAt - m_restartedAt <= OrderDelay;
        }));
  }

  SimulatedCluster m_cluster;

private:
  static std::size_t indexOf(const RecordedRun &Run) {
    return std::stoul(Run.m_worker.substr(1));
  }

  TimePoint m_restartedAt;
  /// Workers with services.
  std::set<std::size_t> m_serving;
};

} // namespace

// Guards against tasks that run twice: the successor waited for the leases that
// the last owner had announced, while the new incarnation had granted a
// misdirected start the longest lease that it grants at all. `Noticed`: the
// owner had learned of the restart.
BOOST_AUTO_TEST_CASE(TakeoverAfterMisdirectedStarts) {
  std::size_t Misdirected = 0;
  for (const Milliseconds Noticed :
       {Milliseconds(10), Milliseconds(200), Milliseconds(500)})
    for (int Offset = 0; Offset <= 40; ++Offset) {
      RestartedWorkers Case(1);
      Case.m_cluster.run(Milliseconds(Offset));
      Case.restartWorkers();
      Case.m_cluster.run(Noticed);
      Misdirected += Case.misdirectedRuns();
      Case.cutOffBusyWorkers();
      Case.killOwner();
      Case.m_cluster.run(30 * Second);
      BOOST_TEST_CONTEXT("restarted " << Offset << " ms after the submission, "
                                      << Noticed.count()
                                      << " ms before the takeover") {
        BOOST_TEST(Case.m_cluster.violations().empty());
      }
    }
  BOOST_TEST(Misdirected > 0U);
}

// The same without a takeover.
BOOST_AUTO_TEST_CASE(OwnerAfterMisdirectedStarts) {
  std::size_t Misdirected = 0;
  for (const Milliseconds Noticed : {Milliseconds(10), Milliseconds(200)})
    for (int Offset = 0; Offset <= 40; ++Offset) {
      RestartedWorkers Case(1);
      Case.m_cluster.run(Milliseconds(Offset));
      Case.restartWorkers();
      Case.m_cluster.run(Noticed);
      Misdirected += Case.misdirectedRuns();
      Case.cutOffBusyWorkers();
      Case.m_cluster.run(30 * Second);
      BOOST_TEST_CONTEXT("restarted " << Offset << " ms after the submission")
      BOOST_TEST(Case.m_cluster.violations().empty());
    }
  BOOST_TEST(Misdirected > 0U);
}

// Guards against tasks that run twice: orders for the former incarnation that
// the next one carried out seconds later extended the lease of what had been
// started there since, beyond what owner and successor had granted.
BOOST_AUTO_TEST_CASE(LateOrdersExtendNoLeaseOfTheNextIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    for (const bool IsOwnerLost : {false, true}) {
      RestartedWorkers Case(Seed, LongUptime);
      Case.delayOrders(0.5);
      Case.m_cluster.run(2 * Second);
      Case.restartWorkers();
      Case.delayOrders(0.0);
      Case.m_cluster.run(Milliseconds(1500 + 100 * (Seed % 20)));
      Case.cutOffHalf(Seed);
      if (IsOwnerLost)
        Case.killOwner();
      Case.m_cluster.run(30 * Second);
      BOOST_TEST_CONTEXT("seed " << Seed << ", owner lost " << IsOwnerLost)
      BOOST_TEST(Case.m_cluster.violations().empty());
    }
}

// Guards against tasks that run twice: the next incarnation, cut off before it
// had heard from the owner, began a run for the former one seconds after the
// start was given up, and the owner counted its lease from when it noticed the
// restart.
BOOST_AUTO_TEST_CASE(LateStartsBeginOnTheNextIncarnation) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    for (const bool IsOwnerLost : {false, true}) {
      RestartedWorkers Case(Seed, LongUptime);
      Case.delayOrders(1.0);
      Case.m_cluster.run(Milliseconds(5 + 10 * (Seed % 20)));
      Case.restartWorkers();
      Case.cutOffHalf(Seed);
      Case.delayOrders(0.0);
      Case.m_cluster.run(Milliseconds(200));
      if (IsOwnerLost)
        Case.killOwner();
      Case.m_cluster.run(40 * Second);
      BOOST_TEST_CONTEXT("seed " << Seed << ", owner lost " << IsOwnerLost)
      BOOST_TEST(Case.m_cluster.violations().empty());
    }
}

// Guards against tasks that run twice where workers do not check tokens: the
// start of an earlier owner was carried out after its successor had polled the
// worker.
BOOST_AUTO_TEST_CASE(LateStartsOfEarlierOwnersWithoutTokens) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SimulatedCluster Cluster(
        {.m_seed = Seed, .m_nodes = Nodes, .m_workers = Workers / 2});
    for (std::size_t Index = 0; Index < Workers / 2; ++Index) {
      Cluster.worker(Index).m_checksTokens = false;
      Cluster.worker(Index).m_runTime = 6 * Second;
    }
    Cluster.run(2 * Second);
    for (std::size_t Index = 0; Index < Workers / 2; ++Index)
      Cluster.worker(Index).m_network.m_delayedRate = 0.4;
    for (std::uint64_t Number = 1; Number <= 3; ++Number)
      Cluster.submit(batchJob(jobId(Number), 4));
    Cluster.run(Milliseconds(20 + 10 * Seed));
    if (FakeNode *Owner = Cluster.owner())
      Owner->kill();
    for (std::size_t Index = 0; Index < Workers / 2; ++Index)
      Cluster.worker(Index).m_network.m_delayedRate = 0.0;
    Cluster.run(30 * Second);
    BOOST_TEST_CONTEXT("seed " << Seed)
    BOOST_TEST(Cluster.violations().empty());
  }
}

} // namespace catkinseam
