// Several owners in a row that find the same worker lost.
#define BOOST_TEST_MODULE repeated_takeover
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

// A job failed after a single start: its worker restarted again and again out
// of reach, and each new owner counted that as one more worker that the task
// had crashed.
BOOST_AUTO_TEST_CASE(OneStartAndManyTakeoversFailNoJob) {
  constexpr std::size_t Nodes = 3;
  constexpr int Restarts = 8;
  SimulatedCluster Cluster({.m_seed = 1, .m_nodes = Nodes, .m_workers = 3});
  Cluster.run(Milliseconds(2000));
  Cluster.submit(batchJob(jobId(1), 1));
  while (Cluster.m_history.m_runs.empty())
    Cluster.run(Milliseconds(1));
  const std::size_t Lost =
      std::stoul(Cluster.m_history.m_runs.front().m_worker.substr(1));
  Cluster.worker(Lost).m_network.m_isPartitioned = true;
  for (int Restart = 0; Restart < Restarts; ++Restart) {
    for (std::size_t Index = 0; Index < Nodes; ++Index)
      if (Cluster.node(Index).isOwner()) {
        Cluster.node(Index).kill();
        Cluster.startNode(Index);
      }
    Cluster.run(Milliseconds(1200));
    Cluster.crashWorker(Lost);
    Cluster.run(Milliseconds(1300));
  }
  BOOST_TEST(Cluster.m_history.m_runs.size() == 1U);
  Cluster.heal();
  Cluster.run(Milliseconds(20000));
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
  BOOST_TEST(Cluster.violations().empty());
}

} // namespace catkinseam
