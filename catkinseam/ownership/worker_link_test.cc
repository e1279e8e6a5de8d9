// Orders that are pending when the connection to their worker is replaced.
#define BOOST_TEST_MODULE worker_link
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

// A task was never run: its start was lost, and the owner, which had learned of
// the worker's restart from the worker itself, dropped the pending call when
// the registry showed the restart too. The run stayed in its start phase for
// ever.
BOOST_AUTO_TEST_CASE(StartIsResolvedAfterWorkerRegistersAnew) {
  constexpr int LastOffset = 60;
  for (int Offset = 0; Offset <= LastOffset; ++Offset) {
    SimulatedCluster Cluster({.m_seed = 1, .m_nodes = 1, .m_workers = 1});
    Cluster.run(Milliseconds(2000));
    Cluster.worker(0).crash();
    Cluster.run(Milliseconds(500));
    Cluster.submit(batchJob(jobId(1), 1));
    Cluster.run(Milliseconds(Offset));
    Cluster.worker(0).m_network.m_isPartitioned = true;
    Cluster.registerWorker(0);
    Cluster.run(Milliseconds(300));
    Cluster.worker(0).m_network.m_isPartitioned = false;
    Cluster.run(Milliseconds(20000));
    BOOST_TEST_CONTEXT("partitioned " << Offset << " ms after the submission")
    BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
  }
}

} // namespace catkinseam
