// Records within the log's limits that the log rejects once all the same.
#define BOOST_TEST_MODULE rejected_record
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Milliseconds Second{1000};

std::uint64_t epochOf(SimulatedCluster &Cluster) {
  FakeNode *Owner = Cluster.owner();
  return Owner ? Owner->jobs().owner().m_epoch : 0;
}

} // namespace

// A job whose record is far below the limit was failed for good by one reply of
// the log, although it accepts the same record a moment later.
BOOST_AUTO_TEST_CASE(OneRejectionOfARecordWithinTheLimitsFailsNoJob) {
  SimulatedCluster Cluster({.m_seed = 4});
  Cluster.run(2 * Second);
  Cluster.m_log.m_faults.m_rejectedTopic = LogTopic::Progress;
  Cluster.m_log.m_faults.m_rejections = 1;
  Cluster.submit(batchJob(jobId(1), 1));
  Cluster.run(10 * Second);
  BOOST_TEST(!Cluster.m_log.m_faults.m_rejectedTopic.has_value());
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Completed));
  BOOST_TEST(Cluster.violations().empty());
}

// A record that the log rejects every time must not be repeated for good, as
// the progress of all other jobs would wait behind it.
BOOST_AUTO_TEST_CASE(RecordThatStaysRejectedFailsOnlyItsJob) {
  SimulatedCluster Cluster({.m_seed = 6});
  // The cluster's owner does not know of this limit, so to it the record is
  // within the limits.
  Cluster.m_log.m_limits.m_maxRecordBytes = 400;
  Cluster.run(2 * Second);
  Cluster.submit(batchJob(jobId(1), 60));
  Cluster.submit(batchJob(jobId(2), 3));
  Cluster.run(10 * Second);
  BOOST_TEST(epochOf(Cluster) == 1U);
  BOOST_TEST((Cluster.stateOf(jobId(1)) == JobState::Failed));
  BOOST_TEST((Cluster.stateOf(jobId(2)) == JobState::Completed));
  BOOST_TEST(Cluster.violations().empty());
}

// One such reply to an announcement ended the owner's term.
BOOST_AUTO_TEST_CASE(OneRejectedAnnouncementDoesNotEndATerm) {
  SimulatedCluster Cluster({.m_seed = 5});
  Cluster.run(2 * Second);
  Cluster.m_log.m_faults.m_rejectedTopic = LogTopic::Jobs;
  Cluster.m_log.m_faults.m_rejections = 1;
  Cluster.run(10 * Second);
  BOOST_TEST(!Cluster.m_log.m_faults.m_rejectedTopic.has_value());
  BOOST_TEST(epochOf(Cluster) == 1U);
}

} // namespace catkinseam
