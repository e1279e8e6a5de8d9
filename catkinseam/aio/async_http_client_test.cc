// Tests of the HTTP client against a server that misuses its connections.
#define BOOST_TEST_MODULE async_http_client
#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/aio/testing/numbered_server.h"
#include "catkinseam/aio/testing/scripted_server.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Milliseconds IdleTime = ScriptedServer::IdleTime;
constexpr Milliseconds TestTimeout{5000};

/// Makes two calls, the second after the connection has been idle, and returns
/// the reply to the second.
HttpReply replyToSecondCall(std::vector<ScriptedServer::Answer> Answers) {
  EventLoop Loop;
  ScriptedServer Server(Loop, std::move(Answers));
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  HttpReply Second;
  Client.call({.m_headers = {}, .m_body = ""}, [&](const HttpReply &First) {
    BOOST_TEST(First.isAnswered(200));
    Loop.schedule(IdleTime, [&] {
      Client.call({.m_headers = {}, .m_body = ""}, [&](const HttpReply &Reply) {
        Second = Reply;
        Loop.stop();
      });
    });
  });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  return Second;
}

/// Makes a call with a body, which is answered `Status`, and a second one, and
/// returns the number of connections that they took. If the server may decide
/// by the head of the request, it refuses the body as another one.
std::uint64_t connectionsAfterRefusal(int Status,
                                      AsyncHttpClient::Options Limits) {
  EventLoop Loop;
  ScriptedServer Server(
      Loop,
      {{.m_reply = replyText(Status, ""),
        .m_later = Limits.m_mayConflictPrecedeBody ? replyText(400, "") : ""},
       {.m_reply = replyText(200, "second"), .m_delay = IdleTime}});
  Limits.m_maxConnections = 1;
  AsyncHttpClient Client(Loop, Server.endpoint(), Limits);
  HttpReply Second;
  Client.call({.m_method = "POST", .m_headers = {}, .m_body = "records"},
              [&](const HttpReply &First) {
                BOOST_TEST(First.isAnswered(Status));
                Client.call({.m_headers = {}, .m_body = ""},
                            [&](const HttpReply &Reply) {
                              Second = Reply;
                              Loop.stop();
                            });
              });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Second.isAnswered(200));
  return Client.connectionsOpened();
}

/// A client of a server that tells its process's number at "/process".
struct ProcessFixture {
  EventLoop m_loop;
  int m_status = 200;
  bool m_answersProcess = true;
  NumberedServer m_server{
      m_loop, [this](const NumberedServer::Received &Request,
                     const HttpResponder &Respond) {
        if (Request.m_path != "/process")
          Respond({200, {}, "done"});
        else if (m_answersProcess)
          Respond({m_status, {}, std::to_string(Request.m_process)});
      }};
  AsyncHttpClient m_client{m_loop, m_server.endpoint(),
                           AsyncHttpClient::Options{.m_maxConnections = 1}};

  static std::optional<std::int64_t> parse(const HttpReply &Reply) {
    return std::stoll(Reply.m_body);
  }

  void runUntil(const bool &IsDone) {
    while (!IsDone)
      m_loop.context().run_one();
  }

  /// Makes a call for one process.
  HttpReply callTo(std::int64_t Process, bool DoesReplySuffice = false) {
    HttpReply Received;
    bool IsDone = false;
    m_client.call(
        {.m_method = "POST",
         .m_target = "/work",
         .m_headers = {},
         .m_body = "body",
         .m_timeout = Milliseconds(300),
         .m_check = ProcessCheck{.m_process = Process,
                                 .m_target = "/process",
                                 .m_body = "ask",
                                 .m_parse = parse,
                                 .m_doesReplySuffice = DoesReplySuffice}},
        [&](const HttpReply &Reply) {
          Received = Reply;
          IsDone = true;
        });
    runUntil(IsDone);
    return Received;
  }
};

} // namespace

// Guards against tasks that run twice: a start meant for a worker's former life
// was carried out by the next one at the same address.
BOOST_FIXTURE_TEST_CASE(CallReachesItsProcessOnly, ProcessFixture) {
  m_server.start(1);
  BOOST_TEST(callTo(1).m_body == "done");
  BOOST_TEST(callTo(1).m_body == "done");
  BOOST_TEST(m_server.pathsTo(1) == "/process /work /work");
  m_server.start(2);
  const HttpReply Reply = callTo(1);
  BOOST_TEST((Reply.m_outcome == CallOutcome::OtherProcess));
  BOOST_TEST(Reply.m_process == 2);
  BOOST_TEST(m_server.pathsTo(2) == "/process");
  BOOST_TEST(callTo(2).m_body == "done");
  BOOST_TEST(m_server.pathsTo(2) == "/process /work");
  // A call that knows of no later process than one that has ended.
  BOOST_TEST((callTo(1).m_outcome == CallOutcome::OtherProcess));
  BOOST_TEST(m_server.pathsTo(2) == "/process /work /process");
}

BOOST_FIXTURE_TEST_CASE(CallIsNotSentToAnUnknownProcess, ProcessFixture) {
  m_server.start(1);
  m_answersProcess = false;
  BOOST_TEST((callTo(1).m_outcome == CallOutcome::NotSent));
  m_answersProcess = true;
  // A refusal of the question answers the call.
  m_status = 421;
  BOOST_TEST(callTo(1).isAnswered(421));
  BOOST_TEST(m_server.pathsTo(1) == "/process /process");
}

BOOST_FIXTURE_TEST_CASE(ReplyToTheQuestionMaySuffice, ProcessFixture) {
  m_server.start(1);
  BOOST_TEST(callTo(1, true).m_body == "1");
  BOOST_TEST(callTo(1, true).m_body == "done");
  m_server.start(2);
  BOOST_TEST(callTo(1, true).m_body == "2");
  BOOST_TEST(m_server.pathsTo(1) == "/process /work");
  BOOST_TEST(m_server.pathsTo(2) == "/process");
}

// A call for any process learns the number from its own reply.
BOOST_FIXTURE_TEST_CASE(CallForAnyProcessTellsTheNumber, ProcessFixture) {
  m_server.start(1);
  bool IsDone = false;
  m_client.call({.m_method = "POST",
                 .m_target = "/process",
                 .m_headers = {},
                 .m_body = "ask",
                 .m_check = ProcessCheck{.m_target = "/process",
                                         .m_body = "ask",
                                         .m_parse = parse}},
                [&](const HttpReply &) { IsDone = true; });
  runUntil(IsDone);
  BOOST_TEST(callTo(1).m_body == "done");
  BOOST_TEST(m_server.pathsTo(1) == "/process /work");
}

// A server that keeps no connection still gets its calls.
BOOST_FIXTURE_TEST_CASE(ServerThatClosesConnectionsIsCalled, ProcessFixture) {
  m_server.start(1);
  m_server.closeAfterResponses();
  BOOST_TEST(callTo(1).m_body == "done");
  BOOST_TEST(m_server.pathsTo(1) == "/process /work");
}

// Guards against an answer to another call: a rejected record that was not
// rejected would fail its job.
BOOST_AUTO_TEST_CASE(SurplusReplyAnswersNoLaterCall) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first") + replyText(400, "surplus")},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_status == 200);
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against the same where the surplus reply arrives on an idle
// connection, such as a 408 before the server closes it.
BOOST_AUTO_TEST_CASE(ReplyOnIdleConnectionAnswersNoLaterCall) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first"), .m_later = replyText(408, "late")},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_status == 200);
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against the same where a server refuses a request by its head alone,
// and takes the body for the next request.
BOOST_AUTO_TEST_CASE(ReplyToUnreadBodyAnswersNoLaterCall) {
  EventLoop Loop;
  ScriptedServer Server(
      Loop, {{.m_reply = replyText(429, ""), .m_later = replyText(400, "")},
             {.m_reply = replyText(200, "second"), .m_delay = IdleTime}});
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  HttpReply Second;
  Client.call({.m_method = "POST", .m_headers = {}, .m_body = "records"},
              [&](const HttpReply &First) {
                BOOST_TEST(First.isAnswered(429));
                Client.call({.m_headers = {}, .m_body = ""},
                            [&](const HttpReply &Reply) {
                              Second = Reply;
                              Loop.stop();
                            });
              });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Second.m_status == 200);
}

// Guards against the same where the server can tell a conflict by the query
// alone: a reply to the body of a fenced append would fail another record's
// job.
BOOST_AUTO_TEST_CASE(ConflictToUnreadBodyAnswersNoLaterCall) {
  for (const int Status : {409, 412}) {
    BOOST_TEST(connectionsAfterRefusal(
                   Status, {.m_mayConflictPrecedeBody = true}) == 2U);
    // A server that has read the body keeps its connection.
    BOOST_TEST(connectionsAfterRefusal(Status, {}) == 1U);
  }
}

// Guards against calls of unknown outcome: a connection that the server closed
// while it was idle carries no further call.
BOOST_AUTO_TEST_CASE(ClosedIdleConnectionIsNotReused) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first"), .m_closesLater = true},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against two Host fields, which a server rejects.
BOOST_AUTO_TEST_CASE(HostHeaderReplacesAddress) {
  EventLoop Loop;
  ScriptedServer Server(Loop, {{.m_reply = replyText(200, "")}});
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  Client.call({.m_headers = {{"Host", "tally.example"}}, .m_body = ""},
              [&](const HttpReply &) { Loop.stop(); });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Server.lastHead() ==
             "GET / HTTP/1.1\r\nHost: tally.example\r\n\r\n");
}

// Guards against a handler that runs after its client's owner is gone: the
// calls had left the queue at their deadline.
BOOST_AUTO_TEST_CASE(HandlersOfExpiredCallsAreDroppedWithTheClient) {
  EventLoop Loop;
  ScriptedServer Silent(
      Loop, {{.m_reply = replyText(200, ""), .m_delay = Milliseconds(2000)}});
  auto Client = std::make_unique<AsyncHttpClient>(
      Loop, Silent.endpoint(), AsyncHttpClient::Options{.m_maxConnections = 1});
  const auto Call = [&](Milliseconds Timeout, HttpReplyHandler Handler) {
    Client->call({.m_headers = {}, .m_body = "", .m_timeout = Timeout},
                 std::move(Handler));
  };
  int Replies = 0;
  const auto Destroy = [&](const HttpReply &) {
    ++Replies;
    Client.reset();
  };
  Call(Milliseconds(1000), [](const HttpReply &) {});
  Call(Milliseconds(50), Destroy);
  Call(Milliseconds(50), Destroy);
  Loop.schedule(Milliseconds(300), [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Replies == 1);
}

// Memory grew with the trailer fields of a server that never ended them.
BOOST_AUTO_TEST_CASE(ReplyWithLongTrailersIsNotTaken) {
  EventLoop Loop;
  ScriptedServer Server(
      Loop, {{.m_reply = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nok\r\n0\r\nX-Field: " +
                         std::string(1U << 20, 'x') + "\r\n\r\n"}});
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  HttpReply Received{.m_outcome = CallOutcome::Answered, .m_body = ""};
  Client.call({.m_headers = {}, .m_body = ""}, [&](const HttpReply &Reply) {
    Received = Reply;
    Loop.stop();
  });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST((Received.m_outcome == CallOutcome::NoResponse));
}

} // namespace catkinseam
