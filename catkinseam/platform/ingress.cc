// Wire form of customers' calls and of the balancer's question.
#include "catkinseam/platform/ingress.h"

#include "catkinseam/platform/fast_json.h"
#include "catkinseam/platform/job_body.h"
#include "catkinseam/platform/task_name.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

const char *const DeadlineHeader = "X-Catkinseam-Deadline-Ms";
const char *const ReadinessPath = "/api/readyz";
/// What stands between a caller and a node that cannot store: another node, or
/// the store a moment later.
const char *const RetryAfterSeconds = "1";

Milliseconds budgetOf(const HttpRequest &Request, const QueueRoute &Found) {
  const std::string *Text = Request.header(DeadlineHeader);
  std::int64_t Asked = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Asked);
  if (Asked <= 0)
    return Found.m_timeout;
  return std::min(Milliseconds(Asked), Found.m_timeout);
}

HttpResponse jsonAnswer(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace

/// A customer's call whose queue has been found.
struct Ingress::CallContext {
  HttpResponder m_respond;
  const QueueRoute *m_route = nullptr;
  std::string m_queue;
  std::string m_jobId;
  const char *m_kind = "";
  Milliseconds m_timeout{0};
  TimePoint m_arrivalTime;
};

Ingress::Ingress(Front &Desk, Metrics &Counters, Runtime &Host, Callbacks Calls)
    : m_front(Desk), m_metrics(Counters), m_runtime(Host),
      m_callbacks(std::move(Calls)) {}

void Ingress::onReadiness(const HttpRequest &Request,
                          const HttpResponder &Respond) {
  if (Request.m_path != ReadinessPath)
    return Respond({404, {}, ""});
  Respond(jsonAnswer(m_callbacks.m_isReady() ? 200 : 503, "{}"));
}

void Ingress::onCall(const HttpRequest &Request, const HttpResponder &Respond) {
  CallContext Asked;
  Asked.m_respond = Respond;
  Asked.m_arrivalTime = m_runtime.now();
  Asked.m_kind = "call";
  const OperatorConfig *Config = m_callbacks.m_config();
  if (!Config)
    return reject(Asked, 503, "no_configuration", "no configuration yet");
  const std::string *Host = Request.header("Host");
  const QueueRoute *Found =
      Host ? Config->find(*Host, Request.m_path) : nullptr;
  if (!Found)
    return reject(Asked, 404, "no_route",
                  "no queue at \"" + Request.m_path + "\"");
  Asked.m_route = Found;
  Asked.m_queue = Found->m_terms.m_queue;
  Asked.m_jobId = Request.m_path.substr(Found->m_pathPrefix.size());
  Asked.m_timeout = budgetOf(Request, *Found);
  if (Asked.m_jobId.empty() && Request.m_method == "GET") {
    Asked.m_kind = "pending";
    if (!m_callbacks.m_isCurrent())
      return reject(Asked, 503, "not_current", "jobs are not up to date here");
    return answer(
        Asked, jsonAnswer(200, pendingBody(m_front.pendingIn(Asked.m_queue))),
        "answered");
  }
  if (!isJobId(Asked.m_jobId))
    return reject(Asked, 404, "no_job_id",
                  "\"" + Asked.m_jobId + "\" is no job id");
  if (Request.m_method == "POST")
    return submit(Asked, Request);
  if (Request.m_method == "GET")
    return answerState(Asked);
  if (Request.m_method == "DELETE")
    return cancel(Asked);
  reject(Asked, 405, "no_method", "method is not known here");
}

void Ingress::submit(const CallContext &Asked, const HttpRequest &Request) {
  CallContext Mine = Asked;
  Mine.m_kind = "submit";
  auto Spec = attempt([&] { return readJobBody(Request.m_body); });
  if (!Spec)
    return reject(Mine, 400, "invalid", Spec.error().m_message);
  if (Asked.m_route->m_needsAdvice)
    return reject(Mine, 503, "advice_unsupported",
                  "queue \"" + Asked.m_queue +
                      "\" needs advice, which this "
                      "version does not ask for");
  m_front.submit(
      Asked.m_route->m_terms, Asked.m_jobId, Spec.value(), Asked.m_timeout,
      [this, Mine](SubmitOutcome Outcome) {
        const char *Name = submitOutcomeName(Outcome);
        switch (Outcome) {
        case SubmitOutcome::Accepted:
          return answer(Mine, jsonAnswer(200, "{}"), Name);
        case SubmitOutcome::NotAccepted:
          return reject(Mine, 503, Name,
                        "job \"" + Mine.m_jobId + "\" cannot be stored now");
        case SubmitOutcome::Unknown:
          return reject(Mine, 504, Name,
                        "job \"" + Mine.m_jobId + "\" may have been stored");
        }
      });
}

void Ingress::cancel(const CallContext &Asked) {
  CallContext Mine = Asked;
  Mine.m_kind = "cancel";
  m_front.cancel(Asked.m_jobId, Asked.m_timeout,
                 [this, Mine](CancelOutcome Outcome) {
                   const char *Name = cancelOutcomeName(Outcome);
                   switch (Outcome) {
                   case CancelOutcome::Cancelled:
                     return answer(Mine, jsonAnswer(200, "{}"), Name);
                   case CancelOutcome::NoSuchJob:
                     if (!m_callbacks.m_isCurrent())
                       return reject(Mine, 503, "not_current",
                                     "jobs are not up to date here");
                     return answer(Mine, jsonAnswer(410, "{}"), Name);
                   case CancelOutcome::NotCancelled:
                     return reject(Mine, 503, Name,
                                   "cancel of job \"" + Mine.m_jobId +
                                       "\" cannot be stored now");
                   case CancelOutcome::Unknown:
                     return reject(Mine, 504, Name,
                                   "cancel of job \"" + Mine.m_jobId +
                                       "\" may have been stored");
                   }
                 });
}

void Ingress::answerState(const CallContext &Asked) {
  CallContext Mine = Asked;
  Mine.m_kind = "state";
  const std::optional<JobState> State = m_front.stateOf(Asked.m_jobId);
  if (State)
    return answer(Mine, jsonAnswer(200, jobStateBody(*State)), "answered");
  if (!m_callbacks.m_isCurrent())
    return reject(Mine, 503, "not_current", "jobs are not up to date here");
  answer(Mine, jsonAnswer(410, "{}"), "no_such_job");
}

void Ingress::answer(const CallContext &Asked, HttpResponse Answer,
                     const char *Outcome) {
  const Duration Took = m_runtime.now() - Asked.m_arrivalTime;
  m_metrics.countRequest(Asked.m_kind, Outcome, Took);
  if (Asked.m_kind != std::string_view("state"))
    logInfo("call",
            {{"kind", Asked.m_kind},
             {"queue", Asked.m_queue},
             {"job", Asked.m_jobId},
             {"outcome", Outcome},
             {"status", std::to_string(Answer.m_status)},
             {"took_ms", std::to_string(toMilliseconds(Took).count())}});
  Asked.m_respond(std::move(Answer));
}

void Ingress::reject(const CallContext &Asked, int Status, const char *Outcome,
                     const std::string &Reason) {
  std::string Body = "{\"error\":";
  appendQuoted(Body, Reason);
  Body += "}";
  HttpResponse Answer = jsonAnswer(Status, std::move(Body));
  if (Status == 503 || Status == 429)
    Answer.m_headers.emplace_back("Retry-After", RetryAfterSeconds);
  answer(Asked, std::move(Answer), Outcome);
}

} // namespace catkinseam
