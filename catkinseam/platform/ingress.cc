// HTTP handlers for customers' calls and for readiness checks.
#include "catkinseam/platform/ingress.h"

#include "catkinseam/platform/boost_json.h"
#include "catkinseam/platform/job_body.h"
#include "catkinseam/platform/task_name.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

const char *const DeadlineHeader = "X-Catkinseam-Deadline-Ms";
const char *const ReadinessPath = "/api/readyz";
/// Delay before a caller retries. By then another node may take the call, or
/// the store may be available again.
const char *const RetryAfterSeconds = "1";

/// Part of the caller's timeout reserved for delivering the response.
constexpr Milliseconds ResponseMargin{100};

Milliseconds timeoutOf(const HttpRequest &Request, const QueueRoute &Route) {
  const std::string *Text = Request.header(DeadlineHeader);
  std::int64_t RequestedMs = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), RequestedMs);
  if (RequestedMs <= 0)
    return Route.m_timeout;
  return std::min(Milliseconds(RequestedMs), Route.m_timeout);
}

HttpResponse makeJsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace

/// State of a customer's call until it is answered.
struct Ingress::CallContext {
  HttpResponder m_respond;
  const QueueRoute *m_route = nullptr;
  std::string m_queue;
  std::string m_jobId;
  const char *m_kind = "";
  Milliseconds m_timeout{0};
  TimePoint m_arrivalTime;
};

/// A lookup that has not been answered. Owned by its callback.
struct Ingress::PendingLookup {
  PendingLookup(const CallContext &Context, Runtime &Loop)
      : m_context(Context), m_deadlineTimer(Loop) {}

  const CallContext m_context;
  Timer m_deadlineTimer;
  bool m_isAnswered = false;
};

Ingress::Ingress(JobService &Jobs, JobLookup &Lookup, Metrics &Counters,
                 Runtime &Loop, Callbacks Handlers)
    : m_jobService(Jobs), m_jobLookup(Lookup), m_metrics(Counters),
      m_runtime(Loop), m_callbacks(std::move(Handlers)) {}

Ingress::~Ingress() { *m_isAlive = false; }

void Ingress::onReadiness(const HttpRequest &Request,
                          const HttpResponder &Respond) {
  if (Request.m_path != ReadinessPath)
    return Respond({404, {}, ""});
  Respond(makeJsonResponse(m_callbacks.m_isReady() ? 200 : 503, "{}"));
}

void Ingress::onCall(const HttpRequest &Request, const HttpResponder &Respond) {
  CallContext Context;
  Context.m_respond = Respond;
  Context.m_arrivalTime = m_runtime.now();
  Context.m_kind = "call";
  const OperatorConfig *Config = m_callbacks.m_config();
  if (!Config)
    return reject(Context, 503, "no_configuration",
                  "no configuration received yet");
  const std::string *Host = Request.header("Host");
  const QueueRoute *Route =
      Host ? Config->findRoute(*Host, Request.m_path) : nullptr;
  if (!Route && !m_callbacks.m_isConfigCurrent())
    return reject(Context, 503, "no_current_configuration",
                  "configuration on this node is not up to date");
  if (!Route)
    return reject(Context, 404, "no_route",
                  "no route for path \"" + Request.m_path + "\"");
  Context.m_route = Route;
  Context.m_queue = Route->m_policy.m_queue;
  Context.m_jobId = Request.m_path.substr(Route->m_pathPrefix.size());
  Context.m_timeout = timeoutOf(Request, *Route);
  if (Context.m_jobId.empty() && Request.m_method == "GET") {
    Context.m_kind = "pending";
    if (!m_callbacks.m_isCurrent())
      return rejectAsNotCurrent(Context);
    return answer(Context,
                  makeJsonResponse(200, pendingBody(m_jobService.pendingIn(
                                            Context.m_queue))),
                  "answered");
  }
  if (!isJobId(Context.m_jobId))
    return reject(Context, 404, "no_job_id",
                  "\"" + Context.m_jobId + "\" is not a job ID");
  if (Request.m_method == "POST")
    return submit(Context, Request);
  if (Request.m_method == "GET") {
    Context.m_kind = "state";
    return lookUpThen(Context, &Ingress::answerState);
  }
  if (Request.m_method == "DELETE") {
    Context.m_kind = "cancel";
    return lookUpThen(Context, &Ingress::cancel);
  }
  reject(Context, 405, "no_method", "method is not supported");
}

void Ingress::lookUpThen(const CallContext &Context, JobHandler Handler) {
  const auto Lookup = std::make_shared<PendingLookup>(Context, m_runtime);
  m_jobLookup.find(
      Context.m_jobId, [this, Lookup, Handler,
                        IsAlive = m_isAlive](const JobLookup::Reply &Found) {
        if (!*IsAlive || Lookup->m_isAnswered)
          return;
        Lookup->m_isAnswered = true;
        Lookup->m_deadlineTimer.cancel();
        switch (Found.m_outcome) {
        case JobLookup::Outcome::Found:
          return (this->*Handler)(Lookup->m_context, Found.m_state);
        case JobLookup::Outcome::NoSuchJob:
          return answer(Lookup->m_context, makeJsonResponse(410, "{}"),
                        "no_such_job");
        case JobLookup::Outcome::NotCurrent:
          return rejectAsNotCurrent(Lookup->m_context);
        }
      });
  if (Lookup->m_isAnswered)
    return;
  // A reader that stays behind the log may take longer than the caller waits.
  const Milliseconds Margin = std::min(ResponseMargin, Context.m_timeout / 2);
  Lookup->m_deadlineTimer.start(
      Context.m_timeout - Margin,
      [this, Expired = Lookup.get(), IsAlive = m_isAlive] {
        if (!*IsAlive)
          return;
        Expired->m_isAnswered = true;
        rejectAsNotCurrent(Expired->m_context);
      });
}

void Ingress::submit(const CallContext &Context, const HttpRequest &Request) {
  CallContext Updated = Context;
  Updated.m_kind = "submit";
  auto Spec = attempt([&] { return readJobBody(Request.m_body); });
  if (!Spec)
    return reject(Updated, 400, "invalid", Spec.error().m_message);
  if (auto Size = attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_jobService.checkSize(Spec.value()));
        return true;
      });
      !Size)
    return reject(Updated, 400, "too_large", Size.error().m_message);
  if (Context.m_route->m_needsRecommendation)
    return reject(Updated, 503, "advice_unsupported",
                  "queue \"" + Context.m_queue +
                      "\" requires recommendations, which this "
                      "version does not support");
  m_jobService.submit(
      Context.m_route->m_policy, Context.m_jobId, Spec.value(),
      Context.m_timeout, [this, Updated](SubmitOutcome Outcome) {
        const char *Name = submitOutcomeName(Outcome);
        switch (Outcome) {
        case SubmitOutcome::Accepted:
          return answer(Updated, makeJsonResponse(200, "{}"), Name);
        case SubmitOutcome::NotAccepted:
          return reject(Updated, 503, Name,
                        "job \"" + Updated.m_jobId + "\" could not be stored");
        case SubmitOutcome::Unknown:
          return reject(Updated, 504, Name,
                        "job \"" + Updated.m_jobId + "\" may have been stored");
        }
      });
}

void Ingress::cancel(const CallContext &Context, JobState) {
  const Milliseconds Elapsed =
      toMilliseconds(m_runtime.now() - Context.m_arrivalTime);
  m_jobService.cancel(
      Context.m_jobId, Context.m_timeout - Elapsed,
      [this, Context](CancelOutcome Outcome) {
        const char *Name = cancelOutcomeName(Outcome);
        switch (Outcome) {
        case CancelOutcome::Cancelled:
          return answer(Context, makeJsonResponse(200, "{}"), Name);
        case CancelOutcome::NotCancelled:
          return reject(Context, 503, Name,
                        "cancellation of job \"" + Context.m_jobId +
                            "\" could not be stored");
        case CancelOutcome::Unknown:
          return reject(Context, 504, Name,
                        "cancellation of job \"" + Context.m_jobId +
                            "\" may have been stored");
        }
      });
}

void Ingress::answerState(const CallContext &Context, JobState State) {
  answer(Context, makeJsonResponse(200, jobStateBody(State)), "answered");
}

void Ingress::answer(const CallContext &Context, HttpResponse Response,
                     const char *Outcome) {
  const Duration Latency = m_runtime.now() - Context.m_arrivalTime;
  m_metrics.countRequest(Context.m_kind, Outcome, Latency);
  // States are asked for often; only answers without a state are logged.
  if (Context.m_kind != std::string_view("state") || Response.m_status != 200)
    logInfo(
        "call",
        {{"kind", Context.m_kind},
         {"queue", Context.m_queue},
         {"job", Context.m_jobId},
         {"outcome", Outcome},
         {"status", std::to_string(Response.m_status)},
         {"took_ms", std::to_string(toMilliseconds(Latency).count())},
         {"ledger_age_ms", std::to_string(m_callbacks.m_ledgerAge().count())}});
  Context.m_respond(std::move(Response));
}

void Ingress::rejectAsNotCurrent(const CallContext &Context) {
  reject(Context, 503, "not_current",
         "job state on this node is not up to date");
}

void Ingress::reject(const CallContext &Context, int Status,
                     const char *Outcome, const std::string &Reason) {
  std::string Body = "{\"error\":";
  appendQuoted(Body, Reason);
  Body += "}";
  HttpResponse Response = makeJsonResponse(Status, std::move(Body));
  if (Status == 503 || Status == 429)
    Response.m_headers.emplace_back("Retry-After", RetryAfterSeconds);
  answer(Context, std::move(Response), Outcome);
}

} // namespace catkinseam
