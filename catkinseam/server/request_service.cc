// Dispatches one request to a worker and builds its response.
#include "catkinseam/server/request_service.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace catkinseam {

namespace {

constexpr const char *KindHeader = "Catkinseam-Kind";
constexpr const char *DeadlineHeader = "Catkinseam-Deadline-Ms";
constexpr const char *IdempotentHeader = "Catkinseam-Idempotent";
constexpr const char *KeyHeader = "Idempotency-Key";
constexpr std::size_t MaxKeyLength = 200;
/// Time reserved before the caller's deadline for returning the response.
constexpr Duration ResponseMargin = std::chrono::milliseconds(2);
/// A waiting request is removed this long after its deadline if no tick has
/// decided it by then.
constexpr Duration DecisionMargin = std::chrono::milliseconds(5);

const char *reasonText(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoWorker:
    return "no worker is available to serve requests";
  case RefusalReason::Overloaded:
    return "all slots are busy and the queue is full";
  case RefusalReason::TooLate:
    return "the deadline can no longer be met";
  case RefusalReason::RetryBudget:
    return "the first attempt failed and the retry budget is exhausted";
  }
  return "";
}

/// Returns whether a header applies to a single connection or is set by this
/// entry, and so is not forwarded.
bool isHopByHopHeader(const std::string &Name) {
  static const std::set<std::string> HopByHopHeaders = {"connection",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "transfer-encoding",
                                                        "te",
                                                        "trailer",
                                                        "upgrade",
                                                        "host",
                                                        "content-length",
                                                        "date",
                                                        "traceparent",
                                                        "expect",
                                                        "proxy-connection"};
  std::string Lower = Name;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Character) {
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(Character)));
  });
  return HopByHopHeaders.count(Lower) > 0;
}

std::string retryAfterSeconds(Duration Delay) {
  const double Seconds = std::chrono::duration<double>(Delay).count();
  return std::to_string(std::max(1, static_cast<int>(std::ceil(Seconds))));
}

Result<std::int64_t> positiveNumber(const std::string &Name,
                                    const std::string &Text) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Ec] = std::from_chars(Text.data(), Last, Number);
  if (Ec != std::errc() || End != Last || Number <= 0)
    return makeError(ErrorCode::Invalid, "header " + Name + ": \"" + Text +
                                             "\" is not a positive number");
  return Number;
}

class ScopedInFlightCount {
public:
  explicit ScopedInFlightCount(std::atomic<std::size_t> &Count)
      : m_count(Count) {
    ++m_count;
  }
  ~ScopedInFlightCount() { --m_count; }
  ScopedInFlightCount(const ScopedInFlightCount &) = delete;
  ScopedInFlightCount &operator=(const ScopedInFlightCount &) = delete;

private:
  std::atomic<std::size_t> &m_count;
};

} // namespace

RequestService::RequestService(const RequestServiceDependencies &Deps,
                               const Options &Opts)
    : m_deps(Deps), m_options(Opts),
      m_view(std::make_shared<const RequestView>()) {}

void RequestService::setView(std::shared_ptr<const RequestView> View) {
  const std::lock_guard Lock(m_viewMutex);
  m_view = std::move(View);
}

HttpResponse RequestService::handle(const HttpRequest &Request) {
  const ScopedInFlightCount Counted(m_inFlight);
  const WallTime Start = m_deps.m_clock.wallNow();
  Outcome<RequestContext> Read = attempt([&] { return read(Request); });
  if (!Read) {
    HttpResponse ErrorResponse = problemResponse(Read.error());
    ErrorResponse.m_headers.emplace_back("Catkinseam-Outcome", "not_run");
    return ErrorResponse;
  }
  RequestContext &Context = Read.value();
  Completion Done;
  if (m_inFlight > m_options.m_maxInFlight)
    Done.m_reason = "too many requests in flight at this entry";
  else
    Done = run(Context);
  static constexpr std::array<const char *, 3> Names = {"answered", "not_run",
                                                        "unknown"};
  const std::string Outcome = Names[static_cast<std::size_t>(Done.m_kind)];
  const Duration Elapsed = m_deps.m_clock.now() - Context.m_arrived;
  m_deps.m_metrics.countRequest(Context.m_kind.m_name, Outcome, Elapsed);
  recordSpan(Context, "entry", Start, Elapsed, Outcome);
  if (Done.m_kind != Completion::Kind::Answered)
    logRefusal(Context, Done, Outcome, Elapsed);
  return respond(Context, std::move(Done));
}

void RequestService::logRefusal(const RequestContext &Context,
                                const Completion &Done,
                                const std::string &Outcome,
                                Duration Elapsed) const {
  const auto Milli = [](Duration Span) {
    return std::to_string(toMilliseconds(Span).count());
  };
  const RefusalInputs Inputs = Done.m_inputs.value_or(RefusalInputs());
  logWarn("request.refused",
          {{"trace", Context.m_trace.m_traceId},
           {"key", Context.m_key},
           {"kind", Context.m_kind.m_name},
           {"outcome", Outcome},
           {"reason", Done.m_reason},
           {"calls", std::to_string(Done.m_calls)},
           {"worker", Context.m_worker},
           {"took_ms", Milli(Elapsed)},
           {"by_dispatcher", Done.m_inputs ? "1" : "0"},
           {"waiting", std::to_string(Inputs.m_waitingRequests)},
           {"usable_slots", std::to_string(Inputs.m_usableSlots)},
           {"ejected", std::to_string(Inputs.m_ejectedWorkers)},
           {"leaving", std::to_string(Inputs.m_leavingWorkers)},
           {"wait_ms", Milli(Inputs.m_estimatedWait)},
           {"max_wait_ms", Milli(Inputs.m_maxWait)},
           {"slack_ms", Milli(Inputs.m_slack)},
           {"config", std::to_string(Context.m_view->m_configVersion)},
           {"services", std::to_string(Context.m_view->m_services.size())}});
}

Result<RequestService::RequestContext>
RequestService::read(const HttpRequest &Request) {
  RequestContext Context;
  Context.m_request = &Request;
  {
    const std::lock_guard Lock(m_viewMutex);
    Context.m_view = m_view;
  }
  Context.m_arrived = m_deps.m_clock.now();
  const std::string *Kind = Request.header(KindHeader);
  Context.m_kind = Context.m_view->m_kinds.find(Kind == nullptr ? "" : *Kind);
  if (const std::string *Flag = Request.header(IdempotentHeader)) {
    if (*Flag != "true" && *Flag != "false")
      return makeError(ErrorCode::Invalid, std::string("header ") +
                                               IdempotentHeader +
                                               " must be true or false");
    // The header can only be stricter than the configuration: it can mark a
    // request as non-idempotent, never as idempotent.
    if (*Flag == "false")
      Context.m_kind.m_isIdempotent = false;
  }
  Duration TimeLimit = Context.m_kind.m_deadline;
  if (const std::string *Text = Request.header(DeadlineHeader)) {
    BOOST_LEAF_AUTO(Number, positiveNumber(DeadlineHeader, *Text));
    const std::int64_t MaxMs = toMilliseconds(m_options.m_maxDeadline).count();
    TimeLimit = Milliseconds(std::min(Number, MaxMs));
  }
  Context.m_deadline = Context.m_arrived + TimeLimit;
  if (const std::string *Key = Request.header(KeyHeader)) {
    if (Key->empty() || Key->size() > MaxKeyLength)
      return makeError(ErrorCode::Invalid,
                       std::string("header ") + KeyHeader + " must have 1 to " +
                           std::to_string(MaxKeyLength) + " characters");
    Context.m_key = *Key;
  }
  const std::string *Parent = Request.header("traceparent");
  const bool SampleRoot =
      static_cast<int>(m_nextId % 1000) < m_options.m_tracedPerThousand;
  Context.m_trace = newChildContext(
      Parent == nullptr ? std::nullopt : parseTraceparent(*Parent), SampleRoot);
  return Context;
}

RequestService::Completion RequestService::run(RequestContext &Context) {
  const bool NeedsClaim =
      !Context.m_kind.m_isIdempotent && !Context.m_key.empty();
  return NeedsClaim ? runWithKey(Context) : runAttempts(Context);
}

RequestService::Completion RequestService::runWithKey(RequestContext &Context) {
  const KeyTicket Ticket = m_deps.m_keyService.claim(
      Context.m_key, Context.m_deadline - ResponseMargin);
  Completion Done;
  switch (Ticket.m_verdict) {
  case KeyClaimResult::NotClaimed:
    Done.m_reason = "key \"" + Context.m_key +
                    "\" could not be claimed at a majority of the entries";
    return Done;
  case KeyClaimResult::OutcomeUnknown:
    Done.m_kind = Completion::Kind::Unknown;
    Done.m_reason = "key \"" + Context.m_key +
                    "\" was used before and its outcome is unknown";
    return Done;
  case KeyClaimResult::Replay:
    Done.m_kind = Completion::Kind::Answered;
    Done.m_response = Ticket.m_response;
    Done.m_response.m_headers.emplace_back("Catkinseam-Replayed", "true");
    return Done;
  case KeyClaimResult::MayRun:
    break;
  }
  Done = runAttempts(Context);
  if (Done.m_kind == Completion::Kind::Answered)
    m_deps.m_keyService.recordAnswered(Ticket, Done.m_response);
  else if (Done.m_kind == Completion::Kind::NotRun)
    m_deps.m_keyService.recordNotRun(Ticket);
  else
    m_deps.m_keyService.recordUnknown(Ticket);
  return Done;
}

RequestService::Completion
RequestService::runAttempts(RequestContext &Context) {
  std::string ExcludedWorker;
  Completion Done;
  for (int Attempt = 1; Attempt <= m_options.m_maxAttempts; ++Attempt) {
    const TimePoint WaitStart = m_deps.m_clock.now();
    const Decision Target =
        waitForDecision(Context, ExcludedWorker, Attempt > 1);
    m_deps.m_metrics.observeQueueWait(Context.m_kind.m_name,
                                      m_deps.m_clock.now() - WaitStart);
    if (!Target.m_isDispatched) {
      Done.m_inputs = Target.m_inputs;
      if (Done.m_kind != Completion::Kind::NotRun)
        return Done; // An earlier attempt was sent, so not NotRun.
      Done.m_kind = Completion::Kind::NotRun;
      Done.m_reason = reasonText(Target.m_reason);
      Done.m_retryAfter = Target.m_retryAfter;
      return Done;
    }
    Context.m_worker = Target.m_worker;
    const bool MayRetry = Context.m_kind.m_isIdempotent &&
                          Attempt < m_options.m_maxAttempts &&
                          m_deps.m_requestDispatcher.with(
                              [](const RequestDispatcher &Dispatcher) {
                                return Dispatcher.allowsRetries();
                              });
    const CallResult Reply = callWorker(Context, Target, MayRetry);
    ++Done.m_calls;
    if (std::optional<Completion> Final =
            evaluateCall(Context, Reply, Target.m_id)) {
      Final->m_calls = Done.m_calls;
      return *Final;
    }
    ExcludedWorker = Target.m_worker;
    if (Reply.m_response) {
      Done.m_kind = Completion::Kind::Answered;
      Done.m_response = *Reply.m_response;
    } else if (Reply.m_failure != CallFailure::NotSent) {
      Done.m_kind = Completion::Kind::Unknown;
      Done.m_reason = Reply.m_reason;
    }
  }
  if (Done.m_reason.empty())
    Done.m_reason = "no worker could be reached";
  return Done;
}

Duration RequestService::attemptTimeout(const KindPolicy &Kind) const {
  const Duration TailLatency =
      m_deps.m_requestDispatcher.with([&](const RequestDispatcher &Dispatcher) {
        return Dispatcher.serviceTime(Kind, 0.99);
      });
  return std::max(m_options.m_minAttemptTimeout,
                  std::chrono::duration_cast<Duration>(
                      TailLatency * m_options.m_attemptTimeoutFactor));
}

CallResult RequestService::callWorker(const RequestContext &Context,
                                      const Decision &Target, bool MayRetry) {
  const auto Service = Context.m_view->m_services.find(Target.m_worker);
  if (Service == Context.m_view->m_services.end()) {
    CallResult NoAddress;
    NoAddress.m_failure = CallFailure::NotSent;
    NoAddress.m_reason = "worker \"" + Target.m_worker + "\" has no address";
    return NoAddress;
  }
  HttpRequest Forwarded;
  Forwarded.m_method = Context.m_request->m_method;
  Forwarded.m_path = Context.m_request->m_path;
  Forwarded.m_query = Context.m_request->m_query;
  Forwarded.m_body = Context.m_request->m_body;
  for (const auto &[Name, Value] : Context.m_request->m_headers)
    if (!isHopByHopHeader(Name))
      Forwarded.m_headers.emplace_back(Name, Value);
  const TraceContext UpstreamTrace = newChildContext(Context.m_trace, false);
  Forwarded.m_headers.emplace_back("traceparent", toTraceparent(UpstreamTrace));
  Forwarded.m_headers.emplace_back("Catkinseam-Entry", m_options.m_entryName);

  Duration Timeout = Context.m_deadline - m_deps.m_clock.now() - ResponseMargin;
  if (Timeout <= Duration::zero()) {
    CallResult Expired;
    Expired.m_failure = CallFailure::NotSent;
    Expired.m_reason = "the deadline has passed";
    return Expired;
  }
  if (MayRetry)
    Timeout = std::min(Timeout, attemptTimeout(Context.m_kind));
  const WallTime Start = m_deps.m_clock.wallNow();
  const TimePoint CallStart = m_deps.m_clock.now();
  CallResult Reply = m_deps.m_upstreamPool.call(
      Target.m_worker, Service->second, Forwarded, Timeout,
      /*RequiresFresh=*/!Context.m_kind.m_isIdempotent);
  if (Reply.m_failure == CallFailure::TimedOut)
    m_deps.m_upstreamPool.closeIdleConnections(Target.m_worker);
  RequestContext UpstreamContext = Context;
  UpstreamContext.m_trace = UpstreamTrace;
  recordSpan(UpstreamContext, "upstream", Start,
             m_deps.m_clock.now() - CallStart,
             Reply.m_response ? "answered" : "failed");
  return Reply;
}

/// Reports the result of a call to the request dispatcher. Returns the final
/// outcome of the request, or nullopt if another worker may be tried.
std::optional<RequestService::Completion>
RequestService::evaluateCall(const RequestContext &Context,
                             const CallResult &Reply, RequestId Id) {
  constexpr int FirstServerError = 500;
  CallResultKind End = CallResultKind::Answered;
  const bool IsServerError =
      Reply.m_response && Reply.m_response->m_status >= FirstServerError;
  if (Reply.m_failure == CallFailure::NotSent)
    End = CallResultKind::NotSent;
  else if (Reply.m_failure == CallFailure::TimedOut)
    End = CallResultKind::Abandoned;
  else if (IsServerError || Reply.m_failure != CallFailure::None)
    End = CallResultKind::Failed;
  deliver(m_deps.m_requestDispatcher.with([&](RequestDispatcher &Dispatcher) {
    return Dispatcher.complete(Id, End);
  }));

  Completion Done;
  if (Reply.m_response && (!IsServerError || !Context.m_kind.m_isIdempotent)) {
    Done.m_kind = Completion::Kind::Answered;
    Done.m_response = *Reply.m_response;
    return Done;
  }
  if (Reply.m_failure == CallFailure::NotSent || Context.m_kind.m_isIdempotent)
    return std::nullopt;
  Done.m_kind = Completion::Kind::Unknown;
  Done.m_reason = Reply.m_reason;
  return Done;
}

Decision RequestService::waitForDecision(const RequestContext &Context,
                                         const std::string &ExcludedWorker,
                                         bool IsRetry) {
  RequestSpec Spec;
  Spec.m_id = m_nextId++;
  Spec.m_kind = Context.m_kind;
  Spec.m_deadline = Context.m_deadline;
  Spec.m_avoidedWorker = ExcludedWorker;
  Spec.m_isRetry = IsRetry;
  const auto ThisWaiter = std::make_shared<Waiter>();
  {
    const std::lock_guard Lock(m_waitersMutex);
    m_waiters[Spec.m_id] = ThisWaiter;
  }
  deliver(m_deps.m_requestDispatcher.with(
      [&](RequestDispatcher &Dispatcher) { return Dispatcher.submit(Spec); }));
  std::unique_lock Lock(m_waitersMutex);
  const Duration MaxWait =
      Context.m_deadline - m_deps.m_clock.now() + DecisionMargin;
  ThisWaiter->m_changed.wait_for(
      Lock, MaxWait, [&] { return ThisWaiter->m_decision.has_value(); });
  if (!ThisWaiter->m_decision) {
    Lock.unlock();
    const bool WasWaiting =
        m_deps.m_requestDispatcher.with([&](RequestDispatcher &Dispatcher) {
          return Dispatcher.removeWaiting(Spec.m_id);
        });
    Lock.lock();
    // The request was already decided; its decision is being delivered.
    if (!WasWaiting)
      ThisWaiter->m_changed.wait(
          Lock, [&] { return ThisWaiter->m_decision.has_value(); });
  }
  m_waiters.erase(Spec.m_id);
  if (ThisWaiter->m_decision)
    return *ThisWaiter->m_decision;
  Decision TooLate;
  TooLate.m_reason = RefusalReason::TooLate;
  TooLate.m_retryAfter = std::chrono::seconds(1);
  return TooLate;
}

void RequestService::deliver(const std::vector<Decision> &Decisions) {
  if (Decisions.empty())
    return;
  const std::lock_guard Lock(m_waitersMutex);
  for (const Decision &Decided : Decisions) {
    const auto It = m_waiters.find(Decided.m_id);
    if (It == m_waiters.end())
      continue;
    It->second->m_decision = Decided;
    It->second->m_changed.notify_one();
  }
}

HttpResponse RequestService::respond(const RequestContext &Context,
                                     Completion Done) {
  HttpResponse Response;
  if (Done.m_kind == Completion::Kind::Answered) {
    Response.m_status = Done.m_response.m_status;
    Response.m_body = std::move(Done.m_response.m_body);
    for (auto &[Name, Value] : Done.m_response.m_headers)
      if (!isHopByHopHeader(Name))
        Response.m_headers.emplace_back(Name, std::move(Value));
    Response.m_headers.emplace_back("Catkinseam-Outcome", "answered");
  } else {
    const bool IsNotRun = Done.m_kind == Completion::Kind::NotRun;
    Response = problemResponse(
        {IsNotRun ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown,
         Done.m_reason});
    if (!IsNotRun)
      Response.m_status = 504;
    std::erase_if(Response.m_headers, [](const auto &Header) {
      return Header.first == "Retry-After";
    });
    Response.m_headers.emplace_back("Retry-After",
                                    retryAfterSeconds(Done.m_retryAfter));
    Response.m_headers.emplace_back("Catkinseam-Outcome",
                                    IsNotRun ? "not_run" : "unknown");
  }
  if (!Context.m_worker.empty())
    Response.m_headers.emplace_back("Catkinseam-Worker", Context.m_worker);
  Response.m_headers.emplace_back("Catkinseam-Trace",
                                  Context.m_trace.m_traceId);
  Response.m_headers.emplace_back("Catkinseam-Served-By",
                                  m_options.m_entryName);
  Response.m_headers.emplace_back(
      "Catkinseam-Config-Version",
      std::to_string(Context.m_view->m_configVersion));
  return Response;
}

void RequestService::recordSpan(const RequestContext &Context, const char *Name,
                                WallTime Start, Duration Length,
                                const std::string &Outcome) {
  if (!Context.m_trace.m_isSampled)
    return;
  Span NewSpan;
  NewSpan.m_context = Context.m_trace;
  NewSpan.m_name = Name;
  NewSpan.m_start = Start;
  NewSpan.m_duration = Length;
  NewSpan.m_attributes = {{"catkinseam.kind", Context.m_kind.m_name},
                          {"catkinseam.outcome", Outcome},
                          {"catkinseam.worker", Context.m_worker}};
  m_deps.m_spanExporter.record(std::move(NewSpan));
}

} // namespace catkinseam
