// Orders to a worker that restarts under its id and at its address.
#define BOOST_TEST_MODULE http_worker_link
#include "catkinseam/platform/http_worker_link.h"

#include "catkinseam/aio/testing/numbered_server.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr std::uint64_t Token = 7;

/// A link to a worker whose incarnations started at 1, 2 and so on.
struct Fixture {
  EventLoop m_loop;
  NumberedServer m_worker{m_loop, [](const NumberedServer::Received &Request,
                                     const HttpResponder &Respond) {
                            Respond({200,
                                     {},
                                     "{\"clockMs\":100,\"born\":" +
                                         std::to_string(Request.m_process) +
                                         ",\"active\":[],\"finished\":[]}"});
                          }};
  HttpWorkerLink m_link{m_loop, m_worker.endpoint(), "w1"};

  OrderReply start(std::int64_t WorkerStartedMs) {
    StartOrder Order;
    Order.m_task.m_job = "00000000000000a1";
    Order.m_run = 1;
    Order.m_expires = Milliseconds(486000);
    Order.m_workerStartedMs = WorkerStartedMs;
    OrderReply Received;
    bool IsDone = false;
    m_link.start(Order, Token, [&](const OrderReply &Reply) {
      Received = Reply;
      IsDone = true;
    });
    while (!IsDone)
      m_loop.context().run_one();
    return Received;
  }

  PollReply poll(std::int64_t WorkerStartedMs) {
    PollOrder Order;
    Order.m_acknowledgedEnd = WorkerStartedMs == 0 ? 0 : 57;
    if (WorkerStartedMs != 0)
      Order.m_expires = Milliseconds(486000);
    Order.m_workerStartedMs = WorkerStartedMs;
    PollReply Received;
    bool IsDone = false;
    m_link.poll(Order, Token, [&](const PollReply &Reply) {
      Received = Reply;
      IsDone = true;
    });
    while (!IsDone)
      m_loop.context().run_one();
    return Received;
  }

  /// Whether a request to the incarnation contained the text.
  bool hasReceived(int Process, const std::string &Text) const {
    for (const NumberedServer::Received &Each : m_worker.m_received)
      if (Each.m_process == Process &&
          (Each.m_path + Each.m_body).find(Text) != std::string::npos)
        return true;
    return false;
  }
};

} // namespace

// Guards against tasks that run twice: a start that was meant for the former
// incarnation gave the next one the longest lease, which no owner knew of.
BOOST_FIXTURE_TEST_CASE(StartIsNotSentToTheNextIncarnation, Fixture) {
  m_worker.start(1);
  BOOST_TEST((start(1).m_outcome == OrderOutcome::Done));
  m_worker.start(2);
  const OrderReply Reply = start(1);
  BOOST_TEST((Reply.m_outcome == OrderOutcome::OtherIncarnation));
  BOOST_TEST(Reply.m_workerStartedMs == 2);
  BOOST_TEST(!hasReceived(2, "run-start"));
  BOOST_TEST((start(2).m_outcome == OrderOutcome::Done));
  BOOST_TEST(hasReceived(2, "run-start"));
}

// Guards against ends that are lost, and leases that no owner knows of: a poll
// acknowledges the ends and extends the leases of the former incarnation.
BOOST_FIXTURE_TEST_CASE(PollTellsTheNextIncarnationNothing, Fixture) {
  m_worker.start(1);
  BOOST_TEST(poll(0).m_snapshot.m_startedMs == 1);
  BOOST_TEST(poll(1).m_snapshot.m_startedMs == 1);
  BOOST_TEST(hasReceived(1, "57"));
  m_worker.start(2);
  const PollReply Reply = poll(1);
  BOOST_TEST((Reply.m_outcome == OrderOutcome::Done));
  BOOST_TEST(Reply.m_snapshot.m_startedMs == 2);
  BOOST_TEST(!hasReceived(2, "57"));
  BOOST_TEST(!hasReceived(2, "expiresMs"));
  BOOST_TEST(hasReceived(2, "\"fencingToken\":7"));
}

} // namespace catkinseam
