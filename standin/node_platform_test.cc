// The stand-in must let tasks behave as their job says, and carry out the
// orders that its faults leave unanswered.
#define BOOST_TEST_MODULE node_platform
#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/base/codec.h"
#include "catkinseam/base/runtime.h"
#include "catkinseam/ownership/testing/fake_log.h"
#include "catkinseam/ownership/testing/fake_worker.h"
#include "standin/fault_injection.h"
#include "standin/platform_worker.h"
#include "standin/task_behaviour.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Resources Capacity{4000, 8000, 0};

struct Fixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  RunHistory m_history;
  FakeWorker m_worker{m_host, m_random, m_history, "w1", Capacity};
  std::unique_ptr<WorkerLink> m_link = m_worker.connect();
  const TaskKey m_task{"0000000000000001", 0, 0, 0};

  Fixture() {
    m_worker.m_plan = [](const StartOrder &) {
      return FakeWorker::RunPlan{.m_work = Milliseconds(3000),
                                 .m_checkpointInterval = Milliseconds(1000)};
    };
  }

  void start(RunNumber Run, const std::string &Checkpoint = "") {
    m_link->start({"", m_task, Run, "", Checkpoint, Milliseconds(600000)}, 1,
                  [](const OrderReply &) {});
    m_host.advance(Milliseconds(10));
  }

  WorkerSnapshot poll() {
    WorkerSnapshot Seen;
    PollOrder Order;
    Order.m_expires = Milliseconds(600000);
    m_link->poll(Order, 1,
                 [&](const PollReply &Reply) { Seen = Reply.m_snapshot; });
    m_host.advance(Milliseconds(10));
    return Seen;
  }

  bool isAccepted(const std::string &Text) {
    return static_cast<bool>(attempt([&] { return parseFault(Text); }));
  }

  /// Sends a start that is carried out late, and lets the worker crash before.
  void startLateAcrossCrash() {
    m_worker.m_network.m_delayedRate = 1.0;
    start(1);
    m_worker.m_network.m_delayedRate = 0.0;
    m_worker.crash();
  }
};

/// A worker with an address, and a client with one connection to it.
struct DarkFixture {
  static constexpr Milliseconds DownTime{200};

  Milliseconds m_callTimeout{5000};
  EventLoop m_loop;
  std::mt19937_64 m_random{1};
  FakeLog m_log{m_loop, m_random};
  RunHistory m_history;
  const std::uint16_t m_port = freePort(m_loop);
  PlatformWorker m_worker{m_loop, m_log,  m_history, m_random,
                          0,      m_port, Capacity};
  AsyncHttpClient m_client{
      m_loop, {"127.0.0.1", m_port}, {.m_maxConnections = 1}};

  DarkFixture() {
    auto Listened = attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(m_worker.listen());
      return true;
    });
    BOOST_REQUIRE(Listened);
  }

  static std::uint16_t freePort(EventLoop &Loop) {
    using boost::asio::ip::tcp;
    const tcp::acceptor Probe(Loop.context(),
                              {boost::asio::ip::make_address("127.0.0.1"), 0});
    return Probe.local_endpoint().port();
  }

  HttpReply call(const std::string &Target, const std::string &Body) {
    constexpr Milliseconds TestTimeout{5000};
    std::optional<HttpReply> Received;
    HttpCall Order;
    Order.m_method = "POST";
    Order.m_target = Target;
    Order.m_body = Body;
    Order.m_timeout = m_callTimeout;
    m_client.call(Order, [&](const HttpReply &Reply) { Received = Reply; });
    const TimePoint Deadline = m_loop.now() + 2 * TestTimeout;
    while (!Received && m_loop.now() < Deadline)
      m_loop.context().run_one_for(TestTimeout);
    BOOST_REQUIRE(Received);
    return *Received;
  }

  HttpReply start() {
    return call("/api/run-start",
                R"({"taskId":"0000000000000001.0.0.0","runId":1,"spec":"",)"
                R"("expiresMs":600000,"fencingToken":1})");
  }
  HttpReply poll() { return call("/api/hold", R"({"fencingToken":1})"); }

  /// Returns the start of the incarnation that answers a poll.
  std::int64_t born() {
    const HttpReply Reply = poll();
    BOOST_REQUIRE(Reply.isAnswered(200));
    auto Born = attempt([&]() -> Result<std::int64_t> {
      BOOST_LEAF_AUTO(Body, parseJsonBody(Reply.m_body));
      return integerMember(Body, "born");
    });
    BOOST_REQUIRE(Born);
    return Born.value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RunsSaveCheckpointsAndResume, Fixture) {
  start(1);
  m_host.advance(Milliseconds(500));
  BOOST_TEST(poll().m_active.at(0).m_checkpoint.empty());
  m_host.advance(Milliseconds(1000));
  BOOST_TEST(poll().m_active.at(0).m_checkpoint == "1000");
  m_link->stop({"", m_task, 1}, 1, [](const OrderReply &) {});
  m_host.advance(Milliseconds(10));
  const EndedRun Stopped = poll().m_ended.at(0);
  BOOST_TEST((Stopped.m_end == RunEnd::Stopped));
  const std::int64_t Saved = std::stoll(Stopped.m_checkpoint);
  BOOST_TEST(Saved > 1500);
  BOOST_TEST(Saved < 1700);

  start(2, Stopped.m_checkpoint);
  m_host.advance(Milliseconds(3000 - Saved + 20));
  const WorkerSnapshot Seen = poll();
  BOOST_TEST(Seen.m_active.empty());
  BOOST_TEST((Seen.m_ended.at(1).m_end == RunEnd::Done));
}

BOOST_FIXTURE_TEST_CASE(ServicesEndOnlyByFailure, Fixture) {
  bool WillFail = false;
  m_worker.m_plan = [&](const StartOrder &) {
    return FakeWorker::RunPlan{.m_work = Milliseconds(1000),
                               .m_willFail = WillFail,
                               .m_isService = true};
  };
  start(1);
  m_host.advance(Milliseconds(3000));
  BOOST_TEST(poll().m_active.size() == 1U);
  m_link->stop({"", m_task, 1}, 1, [](const OrderReply &) {});
  WillFail = true;
  start(2);
  m_host.advance(Milliseconds(1100));
  BOOST_TEST((poll().m_ended.at(1).m_end == RunEnd::Failed));
}

BOOST_AUTO_TEST_CASE(LateAppendsAreStoredWithinTheirBounds) {
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  Log.m_faults.m_delayedRate = 1.0;
  Log.m_faults.m_minDelay = Milliseconds(1000);
  Log.m_faults.m_maxDelay = Milliseconds(6000);
  std::size_t Stored = 0;
  std::size_t Unknown = 0;
  Log.m_onStored = [&](LogTopic, const KeyedRecord &) { ++Stored; };
  for (int Each = 0; Each < 20; ++Each)
    View.append(LogTopic::Jobs, {{std::to_string(Each), "value"}}, std::nullopt,
                Milliseconds(1000), [&](const AppendReply &Reply) {
                  Unknown += Reply.m_outcome == LogOutcome::Unknown;
                });
  Host.advance(Milliseconds(999));
  BOOST_TEST(Stored == 0U);
  Host.advance(Milliseconds(2001));
  BOOST_TEST(Unknown == 20U);
  BOOST_TEST(Stored > 0U);
  BOOST_TEST(Stored < 20U);
  Host.advance(Milliseconds(3000));
  BOOST_TEST(Stored == 20U);
}

BOOST_AUTO_TEST_CASE(ReadsBehaviourOfTasks) {
  const TaskBehaviour Read =
      parseTaskBehaviour("batch run_ms=1500 fail=0.25 fail_first=2 deadly");
  BOOST_TEST(Read.m_work.count() == 1500);
  BOOST_TEST(Read.m_failureRate == 0.25);
  BOOST_TEST(Read.m_failingRuns == 2U);
  BOOST_TEST(Read.m_isDeadly);
  const TaskBehaviour Default = parseTaskBehaviour("batch");
  BOOST_TEST(Default.m_work.count() == 300);
  BOOST_TEST(Default.m_failureRate == 0.0);
  BOOST_TEST(Default.m_failingRuns == 0U);
  BOOST_TEST(!Default.m_isDeadly);
}

BOOST_FIXTURE_TEST_CASE(CrashForgetsLateOrders, Fixture) {
  startLateAcrossCrash();
  m_host.advance(Milliseconds(8000));
  BOOST_TEST(m_history.m_runs.empty());
}

BOOST_FIXTURE_TEST_CASE(NextIncarnationCarriesOutLateOrdersAcross, Fixture) {
  m_worker.m_network.m_delaysAcrossRestarts = true;
  startLateAcrossCrash();
  m_host.advance(Milliseconds(1900));
  BOOST_TEST(m_history.m_runs.empty());
  m_host.advance(Milliseconds(6100));
  BOOST_TEST(m_history.m_runs.size() == 1U);
}

// Guards against runs on workers that have no power.
BOOST_FIXTURE_TEST_CASE(WorkerThatIsDownLosesOrders, Fixture) {
  m_worker.m_network.m_delaysAcrossRestarts = true;
  startLateAcrossCrash();
  m_worker.m_isDown = true;
  m_host.advance(Milliseconds(8000));
  OrderOutcome Outcome = OrderOutcome::Done;
  m_link->start({"", m_task, 2, "", "", Milliseconds(600000)}, 1,
                [&](const OrderReply &Reply) { Outcome = Reply.m_outcome; });
  m_host.advance(Milliseconds(2000));
  BOOST_TEST((Outcome == OrderOutcome::Unknown));
  BOOST_TEST(m_history.m_runs.empty());
}

BOOST_FIXTURE_TEST_CASE(DarkWorkerEndsRunsAndClosesConnections, DarkFixture) {
  const std::int64_t Born = born();
  BOOST_TEST(start().isAnswered(200));
  m_worker.goDark(PlatformWorker::DarkKind::Reset, DownTime);
  BOOST_TEST((start().m_outcome == CallOutcome::NoResponse));
  BOOST_TEST(born() > Born);
  BOOST_TEST(m_client.connectionsOpened() == 2U);
  BOOST_REQUIRE(m_history.m_runs.size() == 1U);
  BOOST_TEST((m_history.m_runs[0].m_endedAt != TimePoint::max()));
}

BOOST_FIXTURE_TEST_CASE(KeptConnectionsLeadToNextIncarnation, DarkFixture) {
  const std::int64_t Born = born();
  m_worker.goDark(PlatformWorker::DarkKind::Keep, DownTime);
  BOOST_TEST(start().isAnswered(200));
  BOOST_TEST(m_history.m_runs.size() == 1U);
  BOOST_TEST(born() > Born);
  BOOST_TEST(m_client.connectionsOpened() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CallsToDarkWorkerAreLost, DarkFixture) {
  const std::int64_t Born = born();
  m_callTimeout = 2 * DownTime;
  m_worker.goDark(PlatformWorker::DarkKind::Lose, DownTime);
  BOOST_TEST((start().m_outcome == CallOutcome::NoResponse));
  BOOST_TEST(m_history.m_runs.empty());
  m_callTimeout = Milliseconds(5000);
  BOOST_TEST(born() > Born);
}

// A misspelt fault would otherwise leave a test without faults.
BOOST_FIXTURE_TEST_CASE(RejectsUnknownFaults, Fixture) {
  for (const char *Each :
       {R"({"crash_worker":3,"down_ms":1500,"new_id":1})",
        R"({"cut_worker":3,"for_ms":4000,"how":"replies","reborn":1})",
        R"({"dark_worker":3,"down_ms":600,"how":"keep"})",
        R"({"dark_worker":3,"down_ms":600,"how":"lose"})",
        R"({"orders_late":0.2,"for_ms":5000,"across":1})",
        R"({"failing_worker":3,"for_ms":5000})", R"({"store_down_ms":3000})",
        R"({"store_down_ms":3000,"how":"silent"})",
        R"({"store_refuse":[1,3],"for_ms":4000,"how":"early","share":0.3})",
        R"({"store_lost":0.3,"for_ms":4000,"late":1})",
        R"({"store_slow_ms":60,"for_ms":4000})",
        R"({"orders_late":0.2,"for_ms":5000})",
        R"({"unlist_worker":3,"for_ms":3000})",
        R"({"crash_worker":3,"gone":1})", R"({"node_fault_ms":1500})",
        R"({"drain_worker":3,"remaining_ms":3000,"new_id":1})"})
    BOOST_TEST(isAccepted(Each), Each);
  for (const char *Each :
       {"", "[]", R"({"crash_workers":3})", R"({"crash_worker":"3"})",
        R"({"cut_worker":3,"for_ms":4000,"how":"quiet"})",
        R"({"dark_worker":3,"down_ms":600,"how":"quiet"})",
        R"({"store_refuse":1,"for_ms":4000})",
        R"({"store_refuse":[1],"for_ms":4000,"how":"slow"})"})
    BOOST_TEST(!isAccepted(Each), Each);
}

} // namespace catkinseam
