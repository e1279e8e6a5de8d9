// Wire form of orders to workers.
#include "catkinseam/platform/worker_orders.h"

#include "catkinseam/platform/fast_json.h"
#include "catkinseam/platform/task_name.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

/// Orders take a round trip and little more on a sound worker.
constexpr Milliseconds OrderTimeout{1000};
/// A held look answers by then at the latest, beyond the time it may wait.
constexpr Milliseconds LookAllowance{1000};
constexpr std::size_t OrderConnections = 3;
/// So many ended runs fit into one answer.
constexpr std::size_t MaxEndedListed = 500;

const char *const ExpectedLifeHeader = "X-Catkinseam-Expected-Instance";

OrderOutcome conflictOf(const HttpReply &Reply) {
  auto Reason = attempt([&]() -> Result<std::string> {
    BOOST_LEAF_AUTO(Body, parseBody(Reply.m_body));
    return textMember(Body, "reason");
  });
  if (!Reason)
    return OrderOutcome::Refused;
  if (Reason.value() == "fence")
    return OrderOutcome::Fenced;
  if (Reason.value() == "old")
    return OrderOutcome::OldRun;
  if (Reason.value() == "late")
    return OrderOutcome::Late;
  if (Reason.value() == "room")
    return OrderOutcome::NoRoom;
  return OrderOutcome::Refused;
}

OrderOutcome outcomeOf(const HttpReply &Reply) {
  if (Reply.m_outcome == CallOutcome::NotSent)
    return OrderOutcome::NotSent;
  if (Reply.m_outcome == CallOutcome::NoResponse)
    return OrderOutcome::Unknown;
  switch (Reply.m_status) {
  case 200:
    return OrderOutcome::Done;
  case 400:
    return OrderOutcome::Invalid;
  case 409:
    return conflictOf(Reply);
  case 421:
    return OrderOutcome::OtherLife;
  default:
    return OrderOutcome::Refused;
  }
}

OrderReply readOrderReply(const HttpReply &Reply) {
  OrderReply Read;
  Read.m_outcome = outcomeOf(Reply);
  if (Reply.m_outcome != CallOutcome::Answered || Reply.m_body.empty())
    return Read;
  auto Clock = attempt([&]() -> Result<std::int64_t> {
    BOOST_LEAF_AUTO(Body, parseBody(Reply.m_body));
    return countMember(Body, "clockMs");
  });
  if (Clock && Clock.value() > 0)
    Read.m_clock = Milliseconds(Clock.value());
  return Read;
}

std::string textAt(const boost::json::array &Row, std::size_t At) {
  if (At >= Row.size() || !Row[At].is_string())
    return "";
  return std::string(Row[At].get_string().data(), Row[At].get_string().size());
}

std::int64_t countAt(const boost::json::array &Row, std::size_t At) {
  if (At >= Row.size())
    return 0;
  boost::system::error_code Fault;
  const auto Value = Row[At].to_number<std::int64_t>(Fault);
  return Fault ? 0 : Value;
}

bool readEnd(const std::string &Word, RunEnd &End) {
  for (const RunEnd Each : {RunEnd::Done, RunEnd::Failed, RunEnd::Stopped,
                            RunEnd::Lapsed, RunEnd::Broken, RunEnd::Alone})
    if (Word == runEndName(Each)) {
      End = Each;
      return true;
    }
  return false;
}

/// Rows are lists: task, run, checkpoint, percent, figure.
bool readActive(const JsonValue &Row, ActiveRun &Read) {
  const boost::json::array *Cells = Row.if_array();
  if (!Cells || !parseTaskName(textAt(*Cells, 0), Read.m_task))
    return false;
  Read.m_run = static_cast<RunNumber>(countAt(*Cells, 1));
  Read.m_checkpoint = textAt(*Cells, 2);
  Read.m_percent = countAt(*Cells, 3);
  Read.m_figure = countAt(*Cells, 4);
  return true;
}

/// Rows are lists: number, task, run, how it ended, checkpoint.
bool readEnded(const JsonValue &Row, EndedRun &Read) {
  const boost::json::array *Cells = Row.if_array();
  if (!Cells || !parseTaskName(textAt(*Cells, 1), Read.m_task))
    return false;
  Read.m_number = static_cast<std::uint64_t>(countAt(*Cells, 0));
  Read.m_run = static_cast<RunNumber>(countAt(*Cells, 2));
  Read.m_checkpoint = textAt(*Cells, 4);
  return readEnd(textAt(*Cells, 3), Read.m_end);
}

template <class Item, class Reader>
void readRows(const JsonValue &Body, const char *Name, Reader Read,
              std::vector<Item> &Rows) {
  const JsonValue *List = memberOf(Body, Name);
  if (!List || !List->is_array())
    return;
  for (const JsonValue &Row : List->get_array()) {
    Item Each;
    if (Read(Row, Each))
      Rows.push_back(std::move(Each));
    else
      logWarn("worker.row_unreadable", {{"list", Name}});
  }
}

Result<WorkerLook> readLook(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseBody(Text));
  WorkerLook Look;
  BOOST_LEAF_AUTO(Clock, countMember(Body, "clockMs"));
  BOOST_LEAF_AUTO(Born, countMember(Body, "born"));
  Look.m_clock = Milliseconds(Clock);
  Look.m_bornMs = Born;
  readRows(Body, "active", readActive, Look.m_active);
  readRows(Body, "finished", readEnded, Look.m_ended);
  Look.m_isWhole = Look.m_ended.size() < MaxEndedListed;
  return Look;
}

HoldReply readHoldReply(const HttpReply &Reply) {
  HoldReply Read;
  Read.m_outcome = outcomeOf(Reply);
  if (Read.m_outcome != OrderOutcome::Done)
    return Read;
  auto Look = attempt([&] { return readLook(Reply.m_body); });
  if (Look)
    Read.m_look = std::move(Look.value());
  else
    Read.m_outcome = OrderOutcome::Unknown;
  return Read;
}

void appendRun(std::string &Body, const TaskKey &Task, RunNumber Run) {
  Body += "{\"taskId\":\"" + formatTaskName(Task) +
          "\",\"runId\":" + std::to_string(Run);
}

void appendToken(std::string &Body, std::uint64_t FencingToken) {
  Body += ",\"fencingToken\":" + std::to_string(FencingToken) + "}";
}

} // namespace

WorkerOrders::WorkerOrders(EventLoop &Loop, const Endpoint &Address,
                           std::string Worker)
    : m_worker(std::move(Worker)),
      m_orderClient(Loop, Address, {.m_maxConnections = OrderConnections}),
      m_holdClient(Loop, Address, {.m_maxConnections = 1}) {}

HttpCall WorkerOrders::makeCall(const char *Path, std::string Body,
                                Milliseconds Timeout) const {
  return {.m_method = "POST",
          .m_target = Path,
          .m_headers = {{"Content-Type", "application/json"},
                        {ExpectedLifeHeader, m_worker}},
          .m_body = std::move(Body),
          .m_timeout = Timeout};
}

void WorkerOrders::start(const StartOrder &Order, std::uint64_t FencingToken,
                         std::function<void(const OrderReply &)> Done) {
  std::string Body;
  appendRun(Body, Order.m_task, Order.m_run);
  Body += ",\"spec\":";
  appendQuoted(Body, Order.m_payload);
  Body += ",\"expiresMs\":" + std::to_string(Order.m_expires.count());
  if (!Order.m_checkpoint.empty()) {
    Body += ",\"checkpoint\":";
    appendQuoted(Body, Order.m_checkpoint);
  }
  appendToken(Body, FencingToken);
  m_orderClient.call(makeCall("/api/run-start", std::move(Body), OrderTimeout),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(readOrderReply(Reply));
                     });
}

void WorkerOrders::stop(const StopOrder &Order, std::uint64_t FencingToken,
                        std::function<void(const OrderReply &)> Done) {
  std::string Body;
  appendRun(Body, Order.m_task, Order.m_run);
  appendToken(Body, FencingToken);
  m_orderClient.call(makeCall("/api/run-stop", std::move(Body), OrderTimeout),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(readOrderReply(Reply));
                     });
}

void WorkerOrders::pace(const PaceOrder &Order, std::uint64_t FencingToken,
                        std::function<void(const OrderReply &)> Done) {
  std::string Body;
  appendRun(Body, Order.m_task, Order.m_run);
  Body += ",\"percent\":" + std::to_string(Order.m_percent);
  appendToken(Body, FencingToken);
  m_orderClient.call(makeCall("/api/pace", std::move(Body), OrderTimeout),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(readOrderReply(Reply));
                     });
}

void WorkerOrders::hold(const HoldOrder &Order, std::uint64_t FencingToken,
                        std::function<void(const HoldReply &)> Done) {
  std::string Body = "{\"observed\":" + std::to_string(Order.m_observed);
  if (Order.m_expires)
    Body += ",\"expiresMs\":" + std::to_string(Order.m_expires->count());
  if (Order.m_wait > Milliseconds::zero())
    Body += ",\"waitMs\":" + std::to_string(Order.m_wait.count());
  appendToken(Body, FencingToken);
  m_holdClient.call(
      makeCall("/api/hold", std::move(Body), Order.m_wait + LookAllowance),
      [Done = std::move(Done)](const HttpReply &Reply) {
        Done(readHoldReply(Reply));
      });
}

} // namespace catkinseam
