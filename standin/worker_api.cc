// HTTP API of a worker.
#include "standin/worker_api.h"

#include "catkinseam/platform/task_name.h"
#include "standin/http_answer.h"

namespace catkinseam {

namespace {

namespace json = boost::json;

constexpr const char *ExpectedInstanceHeader = "X-Catkinseam-Expected-Instance";

std::int64_t count(const JsonValue &Body, const char *Name) {
  auto Value = attempt([&] { return integerMember(Body, Name); });
  return Value ? Value.value() : 0;
}

std::string text(const JsonValue &Body, const char *Name) {
  auto Value = attempt([&] { return stringMember(Body, Name); });
  return Value ? Value.value() : "";
}

HttpResponse orderAnswer(const OrderReply &Reply) {
  json::object Body;
  if (Reply.m_clock)
    Body["clockMs"] = Reply.m_clock->count();
  const auto Conflict = [&](const char *Reason) {
    Body["reason"] = Reason;
    return jsonAnswer(409, Body);
  };
  switch (Reply.m_outcome) {
  case OrderOutcome::Done:
    return jsonAnswer(200, Body);
  case OrderOutcome::Fenced:
    return Conflict("fence");
  case OrderOutcome::StaleRun:
    return Conflict("old");
  case OrderOutcome::LeaseExpired:
    return Conflict("late");
  case OrderOutcome::InsufficientResources:
    return Conflict("room");
  case OrderOutcome::OtherIncarnation:
    return jsonAnswer(421, Body);
  default:
    return jsonAnswer(503, Body);
  }
}

HttpResponse snapshotAnswer(const WorkerSnapshot &Snapshot,
                            std::int64_t StartedMs) {
  json::array Active;
  for (const ActiveRun &Each : Snapshot.m_active)
    Active.push_back(json::array{formatTaskName(Each.m_task), Each.m_run,
                                 Each.m_checkpoint, Each.m_percent,
                                 Each.m_measurement});
  json::array Ended;
  for (const EndedRun &Each : Snapshot.m_ended)
    Ended.push_back(json::array{Each.m_sequence, formatTaskName(Each.m_task),
                                Each.m_run, runEndName(Each.m_end),
                                Each.m_checkpoint});
  return jsonAnswer(200, {{"clockMs", Snapshot.m_clock.count()},
                          {"born", StartedMs},
                          {"active", Active},
                          {"finished", Ended}});
}

} // namespace

WorkerApi::WorkerApi(Runtime &Host, FakeWorker &Worker)
    : m_host(Host), m_worker(Worker), m_held(Host) {
  restart();
}

void WorkerApi::restart() {
  m_link = m_worker.connect();
  const std::int64_t Now = m_host.clock().wallNow().time_since_epoch().count();
  m_startedMs = std::max(m_startedMs + 1, Now);
}

void WorkerApi::onCall(const HttpRequest &Request,
                       const HttpResponder &Respond) {
  if (m_cut == Cut::Calls)
    return m_held.hold(Respond);
  if (m_cut == Cut::Delayed)
    return m_keptCalls.emplace_back(Request, Respond), void();
  auto Parsed = attempt([&] { return parseJsonBody(Request.m_body); });
  if (!Parsed)
    return respond(Respond, OrderOutcome::Invalid, {400, {}, ""});
  const std::string *Expected = Request.header(ExpectedInstanceHeader);
  if (Expected && *Expected != m_worker.id())
    return respond(Respond, OrderOutcome::OtherIncarnation,
                   orderAnswer({OrderOutcome::OtherIncarnation, {}}));
  const JsonValue &Body = Parsed.value();
  const auto Token = static_cast<std::uint64_t>(count(Body, "fencingToken"));
  if (Request.m_path == "/api/hold")
    return poll(Body, Token, Respond);
  TaskKey Task;
  if (!parseTaskName(text(Body, "taskId"), Task))
    return respond(Respond, OrderOutcome::Invalid, {400, {}, ""});
  const auto Run = static_cast<RunNumber>(count(Body, "runId"));
  const auto OnReply = [this, Respond](const OrderReply &Reply) {
    respond(Respond, Reply.m_outcome, orderAnswer(Reply));
  };
  if (Request.m_path == "/api/run-start")
    return m_link->start({"", Task, Run, text(Body, "spec"),
                          text(Body, "checkpoint"),
                          Milliseconds(count(Body, "expiresMs"))},
                         Token, OnReply);
  if (Request.m_path == "/api/run-stop")
    return m_link->stop({"", Task, Run}, Token, OnReply);
  m_link->throttle({"", Task, Run, static_cast<int>(count(Body, "percent"))},
                   Token, OnReply);
}

void WorkerApi::resumeCalls() {
  const auto Kept = std::exchange(m_keptCalls, {});
  for (const auto &[Request, Respond] : Kept)
    onCall(Request, Respond);
}

void WorkerApi::respond(const HttpResponder &Respond, OrderOutcome Outcome,
                        const HttpResponse &Response) {
  if (Outcome == OrderOutcome::Unknown || m_cut != Cut::None)
    return m_held.hold(Respond);
  Respond(Response);
}

void WorkerApi::poll(const JsonValue &Body, std::uint64_t Token,
                     const HttpResponder &Respond) {
  PollOrder Order;
  Order.m_acknowledgedEnd = static_cast<std::uint64_t>(count(Body, "observed"));
  Order.m_maxWait = Milliseconds(count(Body, "waitMs"));
  if (findMember(Body, "expiresMs"))
    Order.m_expires = Milliseconds(count(Body, "expiresMs"));
  m_link->poll(Order, Token, [this, Respond](const PollReply &Reply) {
    respond(Respond, Reply.m_outcome,
            Reply.m_outcome == OrderOutcome::Done
                ? snapshotAnswer(Reply.m_snapshot, m_startedMs)
                : orderAnswer({Reply.m_outcome, std::nullopt}));
  });
}

} // namespace catkinseam
