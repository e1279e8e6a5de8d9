// JSON encoding of orders to workers.
#include "catkinseam/platform/http_worker_link.h"

#include "catkinseam/platform/boost_json.h"
#include "catkinseam/platform/task_name.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

/// A healthy worker answers an order in little more than a round trip.
constexpr Milliseconds OrderTimeout{1000};
/// Time that a status poll may take beyond the wait it asks for.
constexpr Milliseconds StatusPollTimeoutMargin{1000};
constexpr std::size_t MaxOrderConnections = 3;
/// Maximum number of ended runs in one reply; a full list may be incomplete.
constexpr std::size_t MaxEndedRunsPerReply = 500;

/// Checkpoints are stored in the records of their jobs, whose size is limited.
constexpr std::size_t MaxCheckpointBytes = 256;

const char *const StartPath = "/api/run-start";
const char *const StopPath = "/api/run-stop";
const char *const ThrottlePath = "/api/pace";
const char *const StatusPollPath = "/api/hold";

const char *const ExpectedInstanceHeader = "X-Catkinseam-Expected-Instance";

OrderOutcome conflictOutcome(const HttpReply &Reply) {
  auto Reason = attempt([&]() -> Result<std::string> {
    BOOST_LEAF_AUTO(Body, parseJsonBody(Reply.m_body));
    return stringMember(Body, "reason");
  });
  if (!Reason)
    return OrderOutcome::Refused;
  if (Reason.value() == "fence")
    return OrderOutcome::Fenced;
  if (Reason.value() == "old")
    return OrderOutcome::StaleRun;
  if (Reason.value() == "late")
    return OrderOutcome::LeaseExpired;
  if (Reason.value() == "room")
    return OrderOutcome::InsufficientResources;
  return OrderOutcome::Refused;
}

OrderOutcome orderOutcomeOf(const HttpReply &Reply) {
  if (Reply.m_outcome == CallOutcome::NotSent)
    return OrderOutcome::NotSent;
  if (Reply.m_outcome == CallOutcome::NoResponse)
    return OrderOutcome::Unknown;
  if (Reply.m_outcome == CallOutcome::OtherProcess)
    return OrderOutcome::OtherIncarnation;
  switch (Reply.m_status) {
  case 200:
    return OrderOutcome::Done;
  case 400:
    return OrderOutcome::Invalid;
  case 409:
    return conflictOutcome(Reply);
  case 421:
    return OrderOutcome::OtherIncarnation;
  default:
    return OrderOutcome::Refused;
  }
}

OrderReply decodeOrderReply(const HttpReply &Reply) {
  OrderReply Read;
  Read.m_outcome = orderOutcomeOf(Reply);
  Read.m_workerStartedMs = Reply.m_process;
  if (Reply.m_outcome != CallOutcome::Answered || Reply.m_body.empty())
    return Read;
  auto Clock = attempt([&]() -> Result<std::int64_t> {
    BOOST_LEAF_AUTO(Body, parseJsonBody(Reply.m_body));
    return integerMember(Body, "clockMs");
  });
  if (Clock && Clock.value() > 0)
    Read.m_clock = Milliseconds(Clock.value());
  return Read;
}

std::string stringAt(const boost::json::array &Row, std::size_t Column) {
  if (Column >= Row.size() || !Row[Column].is_string())
    return "";
  return std::string(Row[Column].get_string().data(),
                     Row[Column].get_string().size());
}

/// Returns an empty checkpoint, so that the task starts anew, for one that is
/// too long to be stored.
std::string checkpointAt(const boost::json::array &Row, std::size_t Column) {
  std::string Checkpoint = stringAt(Row, Column);
  if (Checkpoint.size() <= MaxCheckpointBytes)
    return Checkpoint;
  logWarn("worker.checkpoint_too_long",
          {{"task", stringAt(Row, 0)},
           {"bytes", std::to_string(Checkpoint.size())},
           {"limit", std::to_string(MaxCheckpointBytes)}});
  return "";
}

std::int64_t integerAt(const boost::json::array &Row, std::size_t Column) {
  if (Column >= Row.size())
    return 0;
  boost::system::error_code Ec;
  const auto Value = Row[Column].to_number<std::int64_t>(Ec);
  return Ec ? 0 : Value;
}

bool parseRunEnd(const std::string &Name, RunEnd &End) {
  for (const RunEnd Each : {RunEnd::Done, RunEnd::Failed, RunEnd::Stopped,
                            RunEnd::Lapsed, RunEnd::Broken, RunEnd::Alone})
    if (Name == runEndName(Each)) {
      End = Each;
      return true;
    }
  return false;
}

/// Parses a row of the form [task, run, checkpoint, percent, measurement].
bool parseActiveRun(const JsonValue &Row, ActiveRun &Read) {
  const boost::json::array *Cells = Row.if_array();
  if (!Cells || !parseTaskName(stringAt(*Cells, 0), Read.m_task))
    return false;
  Read.m_run = static_cast<RunNumber>(integerAt(*Cells, 1));
  Read.m_checkpoint = checkpointAt(*Cells, 2);
  Read.m_percent = integerAt(*Cells, 3);
  Read.m_measurement = integerAt(*Cells, 4);
  return true;
}

/// Parses a row of the form [sequence number, task, run, end, checkpoint].
bool parseEndedRun(const JsonValue &Row, EndedRun &Read) {
  const boost::json::array *Cells = Row.if_array();
  if (!Cells || !parseTaskName(stringAt(*Cells, 1), Read.m_task))
    return false;
  Read.m_sequence = static_cast<std::uint64_t>(integerAt(*Cells, 0));
  Read.m_run = static_cast<RunNumber>(integerAt(*Cells, 2));
  Read.m_checkpoint = checkpointAt(*Cells, 4);
  return parseRunEnd(stringAt(*Cells, 3), Read.m_end);
}

template <class Item, class Reader>
void parseRows(const JsonValue &Body, const char *Name, Reader Read,
               std::vector<Item> &Rows) {
  const JsonValue *List = findMember(Body, Name);
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

Result<WorkerSnapshot> parseWorkerSnapshot(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonBody(Text));
  WorkerSnapshot Snapshot;
  BOOST_LEAF_AUTO(Clock, integerMember(Body, "clockMs"));
  BOOST_LEAF_AUTO(StartedMs, integerMember(Body, "born"));
  Snapshot.m_clock = Milliseconds(Clock);
  Snapshot.m_startedMs = StartedMs;
  parseRows(Body, "active", parseActiveRun, Snapshot.m_active);
  parseRows(Body, "finished", parseEndedRun, Snapshot.m_ended);
  Snapshot.m_isComplete = Snapshot.m_ended.size() < MaxEndedRunsPerReply;
  return Snapshot;
}

PollReply decodeStatusPollReply(const HttpReply &Reply) {
  PollReply Read;
  Read.m_outcome = orderOutcomeOf(Reply);
  if (Read.m_outcome != OrderOutcome::Done)
    return Read;
  auto Snapshot = attempt([&] { return parseWorkerSnapshot(Reply.m_body); });
  if (Snapshot)
    Read.m_snapshot = std::move(Snapshot.value());
  else
    Read.m_outcome = OrderOutcome::Unknown;
  return Read;
}

/// Returns the start of the incarnation that has replied to a status poll.
std::optional<std::int64_t> parseStartedMs(const HttpReply &Reply) {
  auto Read = attempt([&]() -> Result<std::int64_t> {
    BOOST_LEAF_AUTO(Body, parseJsonBody(Reply.m_body));
    return integerMember(Body, "born");
  });
  if (!Read)
    return std::nullopt;
  return Read.value();
}

void appendRun(std::string &Body, const TaskKey &Task, RunNumber Run) {
  Body += "{\"taskId\":\"" + formatTaskName(Task) +
          "\",\"runId\":" + std::to_string(Run);
}

void appendToken(std::string &Body, std::uint64_t FencingToken) {
  Body += ",\"fencingToken\":" + std::to_string(FencingToken) + "}";
}

} // namespace

HttpWorkerLink::HttpWorkerLink(EventLoop &Loop, const Endpoint &Address,
                               std::string Worker)
    : m_worker(std::move(Worker)),
      m_orderClient(Loop, Address, {.m_maxConnections = MaxOrderConnections}),
      m_statusPollClient(Loop, Address, {.m_maxConnections = 1}) {}

HttpCall HttpWorkerLink::makeCall(const char *Path, std::string Body,
                                  Milliseconds Timeout) const {
  return {.m_method = "POST",
          .m_target = Path,
          .m_headers = {{"Content-Type", "application/json"},
                        {ExpectedInstanceHeader, m_worker}},
          .m_body = std::move(Body),
          .m_timeout = Timeout};
}

ProcessCheck HttpWorkerLink::checkFor(std::int64_t WorkerStartedMs,
                                      std::uint64_t FencingToken) {
  std::string Body = "{\"observed\":0";
  appendToken(Body, FencingToken);
  return {.m_process = WorkerStartedMs,
          .m_target = StatusPollPath,
          .m_body = std::move(Body),
          .m_parse = parseStartedMs};
}

void HttpWorkerLink::start(const StartOrder &Order, std::uint64_t FencingToken,
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
  HttpCall Call = makeCall(StartPath, std::move(Body), OrderTimeout);
  if (Order.m_workerStartedMs != 0)
    Call.m_check = checkFor(Order.m_workerStartedMs, FencingToken);
  m_orderClient.call(std::move(Call),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(decodeOrderReply(Reply));
                     });
}

void HttpWorkerLink::stop(const StopOrder &Order, std::uint64_t FencingToken,
                          std::function<void(const OrderReply &)> Done) {
  std::string Body;
  appendRun(Body, Order.m_task, Order.m_run);
  appendToken(Body, FencingToken);
  m_orderClient.call(makeCall(StopPath, std::move(Body), OrderTimeout),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(decodeOrderReply(Reply));
                     });
}

void HttpWorkerLink::throttle(const ThrottleOrder &Order,
                              std::uint64_t FencingToken,
                              std::function<void(const OrderReply &)> Done) {
  std::string Body;
  appendRun(Body, Order.m_task, Order.m_run);
  Body += ",\"percent\":" + std::to_string(Order.m_cpuRatePercent);
  appendToken(Body, FencingToken);
  m_orderClient.call(makeCall(ThrottlePath, std::move(Body), OrderTimeout),
                     [Done = std::move(Done)](const HttpReply &Reply) {
                       Done(decodeOrderReply(Reply));
                     });
}

void HttpWorkerLink::poll(const PollOrder &Order, std::uint64_t FencingToken,
                          std::function<void(const PollReply &)> Done) {
  std::string Body = "{\"observed\":" + std::to_string(Order.m_acknowledgedEnd);
  if (Order.m_expires)
    Body += ",\"expiresMs\":" + std::to_string(Order.m_expires->count());
  if (Order.m_maxWait > Milliseconds::zero())
    Body += ",\"waitMs\":" + std::to_string(Order.m_maxWait.count());
  appendToken(Body, FencingToken);
  HttpCall Call = makeCall(StatusPollPath, std::move(Body),
                           Order.m_maxWait + StatusPollTimeoutMargin);
  Call.m_check = checkFor(Order.m_workerStartedMs, FencingToken);
  Call.m_check->m_doesReplySuffice = true;
  m_statusPollClient.call(std::move(Call),
                          [Done = std::move(Done)](const HttpReply &Reply) {
                            Done(decodeStatusPollReply(Reply));
                          });
}

} // namespace catkinseam
