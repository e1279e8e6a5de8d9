// Acceptance of jobs by many nodes while the log is slow.
#define BOOST_TEST_MODULE relayed_log
#include "catkinseam/front/job_service.h"
#include "catkinseam/front/relayed_log.h"
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

const Endpoint OwnerPeer{"10.0.0.1", 7735};

/// Delivers to the job service of the owner's node after a network delay.
class FakeRelay final : public RecordRelay {
public:
  FakeRelay(Runtime &Host, JobService *&Owner) : m_host(Host), m_owner(Owner) {}

  void append(const Endpoint &, const std::vector<KeyedRecord> &Records,
              Milliseconds Timeout,
              std::function<void(const Reply &)> Done) override {
    constexpr Milliseconds NetworkDelay{1};
    ++m_calls;
    if (!m_isReachable) {
      m_host.schedule(NetworkDelay, [Done] { Done(Reply{}); });
      return;
    }
    m_host.schedule(NetworkDelay, [this, Records, Timeout, Done] {
      m_owner->appendForPeer(Records, Timeout, [Done](LogOutcome Outcome) {
        Done({Delivery::Answered, Outcome});
      });
    });
  }

  bool m_isReachable = true;
  std::size_t m_calls = 0;

private:
  Runtime &m_host;
  JobService *&m_owner;
};

/// Nodes that accept jobs; the first one is the owner's.
struct Fixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  FakeLog m_log{m_host, m_random};
  FakeLog::View m_view{m_log};
  Ledger m_ledger;
  JobService *m_ownerService = nullptr;
  FakeRelay m_relay{m_host, m_ownerService};
  std::vector<std::unique_ptr<RelayedLog>> m_logs;
  std::vector<std::unique_ptr<JobService>> m_services;
  std::uint64_t m_submitted = 0;
  std::size_t m_accepted = 0;

  void addNodes(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      m_logs.push_back(std::make_unique<RelayedLog>(
          m_host, m_view, m_relay,
          RelayedLog::Callbacks{
              [Index] {
                return Index == 0 ? std::nullopt
                                  : std::optional<Endpoint>(OwnerPeer);
              },
              [this] { return Duration(m_log.m_faults.m_latency); }},
          RelayedLog::Options{}));
      m_services.push_back(std::make_unique<JobService>(
          m_host, *m_logs.back(), m_ledger, JobService::Options{}));
    }
    m_ownerService = m_services.front().get();
  }

  /// Hands in a job at one node, as a caller that tries again at another node
  /// does.
  void submit(const Submission &Job, std::size_t Node, int TriesLeft) {
    m_services[Node % m_services.size()]->submit(
        Job.m_policy, Job.m_id, Job.m_spec, Milliseconds(3000),
        [this, Job, Node, TriesLeft](SubmitOutcome Outcome) {
          if (Outcome == SubmitOutcome::Accepted) {
            ++m_accepted;
            return;
          }
          if (TriesLeft > 0)
            m_host.schedule(Milliseconds(1000), [this, Job, Node, TriesLeft] {
              submit(Job, Node + 7, TriesLeft - 1);
            });
        });
  }

  void submitEvery(Milliseconds Interval, std::size_t Jobs) {
    for (std::size_t Each = 0; Each < Jobs; ++Each) {
      ++m_submitted;
      submit(batchJob(jobId(m_submitted), 2), m_submitted, 2);
      m_host.advance(Interval);
    }
  }
};

} // namespace

// Load: 24 jobs a second at 97 nodes, and a log that takes 72 times as long as
// usual: 144 ms for an append and 288 ms more to answer. Each node's own append
// would wait for those of the others.
BOOST_FIXTURE_TEST_CASE(ManyNodesAcceptJobsWhileTheLogIsSlow, Fixture) {
  addNodes(97);
  m_log.m_faults.m_appendTime = Milliseconds(144);
  m_log.m_faults.m_latency = Milliseconds(288);
  submitEvery(Milliseconds(41), 105);
  m_host.advance(Milliseconds(3000));
  BOOST_TEST(m_accepted * 100 >= m_submitted * 95);
}

// Every node has lost a reply when the log became slow, and wants to know when
// it answers again. Their probes must not occupy the log.
BOOST_FIXTURE_TEST_CASE(ProbesDoNotOccupyASlowLog, Fixture) {
  addNodes(97);
  m_log.m_faults.m_lostReplyRate = 1.0;
  submitEvery(Milliseconds(5), 97);
  m_host.advance(Milliseconds(900));
  m_log.m_faults = {};
  m_log.m_faults.m_appendTime = Milliseconds(144);
  m_log.m_faults.m_latency = Milliseconds(288);
  m_log.m_appends = 0;
  m_host.advance(Milliseconds(2000));
  // The log takes 14 appends in this time; what is left of the records in doubt
  // may occupy half of it.
  BOOST_TEST(m_log.m_appends <= 7U);
  m_accepted = 0;
  m_submitted = 1000;
  submitEvery(Milliseconds(41), 50);
  m_host.advance(Milliseconds(3000));
  BOOST_TEST(m_accepted * 100 >= 50 * 95);
}

BOOST_FIXTURE_TEST_CASE(AppendsDirectlyWhileTheLogIsFast, Fixture) {
  addNodes(10);
  submitEvery(Milliseconds(41), 20);
  m_host.advance(Milliseconds(100));
  BOOST_TEST(m_accepted == m_submitted);
  BOOST_TEST(m_relay.m_calls == 0U);
}

// The owner's node cannot be reached: records go to the log directly, and the
// next ones do not try the owner's node first.
BOOST_FIXTURE_TEST_CASE(AppendsDirectlyWhenTheOwnerCannotBeReached, Fixture) {
  addNodes(3);
  m_log.m_faults.m_latency = Milliseconds(50);
  m_relay.m_isReachable = false;
  for (int Each = 0; Each < 5; ++Each) {
    submit(batchJob(jobId(++m_submitted), 1), 1, 0);
    m_host.advance(Milliseconds(100));
  }
  BOOST_TEST(m_accepted == 5U);
  BOOST_TEST(m_relay.m_calls == 1U);
}

} // namespace catkinseam
