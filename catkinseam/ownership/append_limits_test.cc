// Records that exceed the log's limits: they must not end an owner's term, nor
// affect any job but their own.
#define BOOST_TEST_MODULE append_limits
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};

std::size_t countCompleted(const SimulatedCluster &Cluster,
                           std::uint64_t Jobs) {
  std::size_t Completed = 0;
  for (std::uint64_t Number = 1; Number <= Jobs; ++Number)
    Completed += Cluster.stateOf(jobId(Number)) == JobState::Completed;
  return Completed;
}

std::uint64_t epochOf(SimulatedCluster &Cluster) {
  FakeNode *Owner = Cluster.owner();
  return Owner ? Owner->jobs().owner().m_epoch : 0;
}

} // namespace

// The learned model of some dozens of images exceeded the record limit: each
// owner stepped down when it first stored the model, four seconds after its
// election.
BOOST_AUTO_TEST_CASE(RejectedModelDoesNotEndATerm) {
  SimulatedCluster Cluster({.m_seed = 1});
  Cluster.m_log.m_faults.m_rejectedTopic = LogTopic::Learned;
  Cluster.run(2 * Second);
  Cluster.submit(batchJob(jobId(1), 4));
  Cluster.run(20 * Second);
  BOOST_TEST(epochOf(Cluster) == 1U);
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
}

// A record that is one byte too long fails its job, and no other one.
BOOST_AUTO_TEST_CASE(TooLongProgressFailsOnlyItsJob) {
  SimulatedCluster Cluster({.m_seed = 2});
  Cluster.m_log.m_limits.m_maxRecordBytes = 400;
  Cluster.run(2 * Second);
  Cluster.submit(batchJob(jobId(1), 3));
  Cluster.submit(batchJob(jobId(2), 60));
  Cluster.submit(batchJob(jobId(3), 3));
  Cluster.run(10 * Second);
  BOOST_TEST(epochOf(Cluster) == 1U);
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
  BOOST_TEST((Cluster.stateOf(jobId(2)) == JobState::Failed));
  BOOST_TEST((Cluster.stateOf(jobId(3)) == JobState::Completed));
  BOOST_TEST(Cluster.violations().empty());
}

// A successor stores the progress of all jobs at once, which exceeds the limit
// of one append many times over.
BOOST_AUTO_TEST_CASE(SuccessorOfManyJobsStaysOwner) {
  SimulatedCluster Cluster({.m_seed = 3, .m_workers = 30});
  Cluster.m_log.m_limits.m_maxTotalBytes = 3000;
  Cluster.run(2 * Second);
  Cluster.owner()->kill();
  for (std::uint64_t Number = 1; Number <= 200; ++Number)
    Cluster.submit(batchJob(jobId(Number), 2));
  Cluster.run(2 * Second);
  BOOST_TEST(epochOf(Cluster) == nextEpoch(1));
  Cluster.run(20 * Second);
  BOOST_TEST(epochOf(Cluster) == nextEpoch(1));
  BOOST_TEST(countCompleted(Cluster, 200) == 200U);
  BOOST_TEST(Cluster.violations().empty());
}

// The node's reads and appends fail for some seconds, while the owner and the
// log are healthy. A claim that the node made in that time must lapse once it
// reads again and finds that the owner has been active.
BOOST_AUTO_TEST_CASE(NodeCutOffFromLogDoesNotUnseatOwner) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    constexpr std::size_t Nodes = 8;
    SimulatedCluster Cluster({.m_seed = Seed, .m_nodes = Nodes});
    Cluster.run(2 * Second);
    // A busy log, whose reply time the nodes measure as short.
    for (std::uint64_t Number = 1; Number <= 400; ++Number) {
      Cluster.submit(batchJob(jobId(Number), 1));
      Cluster.run(Milliseconds(5));
    }
    Cluster.run(Milliseconds(37 * Seed));
    FakeNode *Owner = Cluster.owner();
    BOOST_REQUIRE(Owner);
    const std::uint64_t Epoch = epochOf(Cluster);
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      if (&Cluster.node(Index) != Owner)
        Cluster.node(Index).m_log.m_isPartitioned = true;
    Cluster.run(9 * Second);
    Cluster.heal();
    Cluster.run(5 * Second);
    BOOST_TEST(Cluster.owner() == Owner);
    BOOST_TEST(epochOf(Cluster) == Epoch);
  }
}

} // namespace catkinseam
