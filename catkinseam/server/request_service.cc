// The path of one request through the entry.
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
/// Left between a call's timeout and the caller's deadline for the answer.
constexpr Duration AnswerMargin = std::chrono::milliseconds(2);
/// A waiting request is given up this long after its latest start should have
/// been decided by a tick.
constexpr Duration DecisionGrace = std::chrono::milliseconds(5);

const char *reasonText(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoWorker:
    return "no worker serves requests";
  case RefusalReason::Overloaded:
    return "all slots are busy and the queue is full";
  case RefusalReason::TooLate:
    return "the deadline can no longer be met";
  case RefusalReason::RetryBudget:
    return "the first try failed and the retry budget is spent";
  }
  return "";
}

/// Headers that belong to one connection, or that this entry sets itself.
bool isHopHeader(const std::string &Name) {
  static const std::set<std::string> Hop = {"connection",
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
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Letter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  });
  return Hop.count(Lower) > 0;
}

std::string retryAfterSeconds(Duration Span) {
  const double Seconds = std::chrono::duration<double>(Span).count();
  return std::to_string(std::max(1, static_cast<int>(std::ceil(Seconds))));
}

Result<std::int64_t> positiveNumber(const std::string &Name,
                                    const std::string &Text) {
  std::int64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Fault] = std::from_chars(Text.data(), Last, Number);
  if (Fault != std::errc() || End != Last || Number <= 0)
    return makeError(ErrorCode::Invalid, "header " + Name + ": \"" + Text +
                                             "\" is not a positive number");
  return Number;
}

class InFlightCount {
public:
  explicit InFlightCount(std::atomic<std::size_t> &Count) : m_count(Count) {
    ++m_count;
  }
  ~InFlightCount() { --m_count; }
  InFlightCount(const InFlightCount &) = delete;
  InFlightCount &operator=(const InFlightCount &) = delete;

private:
  std::atomic<std::size_t> &m_count;
};

} // namespace

RequestService::RequestService(const RequestParts &Parts, const Options &Limits)
    : m_parts(Parts), m_options(Limits),
      m_view(std::make_shared<const RequestView>()) {}

void RequestService::setView(std::shared_ptr<const RequestView> View) {
  const std::lock_guard Lock(m_viewMutex);
  m_view = std::move(View);
}

HttpResponse RequestService::handle(const HttpRequest &Request) {
  const InFlightCount Counted(m_inFlight);
  const WallTime Start = m_parts.m_clock.wallNow();
  Outcome<Job> Read = attempt([&] { return read(Request); });
  if (!Read) {
    HttpResponse Refusal = problemResponse(Read.error());
    Refusal.m_headers.emplace_back("Catkinseam-Outcome", "not_run");
    return Refusal;
  }
  Job &Work = Read.value();
  Ending Done;
  if (m_inFlight > m_options.m_maxInFlight)
    Done.m_reason = "too many requests in flight at this entry";
  else
    Done = run(Work);
  static constexpr std::array<const char *, 3> Names = {"answered", "not_run",
                                                        "unknown"};
  const std::string Outcome = Names[static_cast<std::size_t>(Done.m_kind)];
  const Duration Took = m_parts.m_clock.now() - Work.m_arrived;
  m_parts.m_metrics.countRequest(Work.m_kind.m_name, Outcome, Took);
  recordSpan(Work, "entry", Start, Took, Outcome);
  return respond(Work, std::move(Done));
}

Result<RequestService::Job> RequestService::read(const HttpRequest &Request) {
  Job Work;
  Work.m_request = &Request;
  {
    const std::lock_guard Lock(m_viewMutex);
    Work.m_view = m_view;
  }
  Work.m_arrived = m_parts.m_clock.now();
  const std::string *Kind = Request.header(KindHeader);
  Work.m_kind = Work.m_view->m_kinds.find(Kind == nullptr ? "" : *Kind);
  if (const std::string *Flag = Request.header(IdempotentHeader)) {
    if (*Flag != "true" && *Flag != "false")
      return makeError(ErrorCode::Invalid, std::string("header ") +
                                               IdempotentHeader +
                                               " must be true or false");
    // A caller may ask for more care than configured, never for less.
    if (*Flag == "false")
      Work.m_kind.m_isIdempotent = false;
  }
  Duration Allowed = Work.m_kind.m_deadline;
  if (const std::string *Text = Request.header(DeadlineHeader)) {
    BOOST_LEAF_AUTO(Number, positiveNumber(DeadlineHeader, *Text));
    const std::int64_t Most =
        toMilliseconds(m_options.m_longestDeadline).count();
    Allowed = Milliseconds(std::min(Number, Most));
  }
  Work.m_deadline = Work.m_arrived + Allowed;
  if (const std::string *Key = Request.header(KeyHeader)) {
    if (Key->empty() || Key->size() > MaxKeyLength)
      return makeError(ErrorCode::Invalid,
                       std::string("header ") + KeyHeader + " must have 1 to " +
                           std::to_string(MaxKeyLength) + " characters");
    Work.m_key = *Key;
  }
  const std::string *Parent = Request.header("traceparent");
  const bool SampleRoot =
      static_cast<int>(m_nextId % 1000) < m_options.m_tracedPerThousand;
  Work.m_trace = childOf(
      Parent == nullptr ? std::nullopt : parseTraceparent(*Parent), SampleRoot);
  return Work;
}

RequestService::Ending RequestService::run(Job &Work) {
  const bool NeedsClaim = !Work.m_kind.m_isIdempotent && !Work.m_key.empty();
  return NeedsClaim ? runWithKey(Work) : runTries(Work);
}

RequestService::Ending RequestService::runWithKey(Job &Work) {
  const KeyTicket Ticket =
      m_parts.m_keys.claim(Work.m_key, Work.m_deadline - AnswerMargin);
  Ending Done;
  switch (Ticket.m_verdict) {
  case KeyVerdict::NotNow:
    Done.m_reason = "key \"" + Work.m_key +
                    "\" could not be claimed at a majority of the entries";
    return Done;
  case KeyVerdict::InDoubt:
    Done.m_kind = Ending::Kind::Unknown;
    Done.m_reason = "key \"" + Work.m_key +
                    "\" was used before and its outcome cannot be told";
    return Done;
  case KeyVerdict::Replay:
    Done.m_kind = Ending::Kind::Answered;
    Done.m_answer = Ticket.m_answer;
    Done.m_answer.m_headers.emplace_back("Catkinseam-Replayed", "true");
    return Done;
  case KeyVerdict::MayRun:
    break;
  }
  Done = runTries(Work);
  if (Done.m_kind == Ending::Kind::Answered)
    m_parts.m_keys.settleAnswered(Ticket, Done.m_answer);
  else if (Done.m_kind == Ending::Kind::NotRun)
    m_parts.m_keys.settleNotRun(Ticket);
  else
    m_parts.m_keys.settleUnknown(Ticket);
  return Done;
}

RequestService::Ending RequestService::runTries(Job &Work) {
  std::string Avoid;
  Ending Done;
  for (int Try = 1; Try <= m_options.m_mostTries; ++Try) {
    const TimePoint Asked = m_parts.m_clock.now();
    const Decision Where = decide(Work, Avoid, Try > 1);
    m_parts.m_metrics.observeQueueWait(Work.m_kind.m_name,
                                       m_parts.m_clock.now() - Asked);
    if (!Where.m_isDispatched) {
      if (Done.m_kind != Ending::Kind::NotRun)
        return Done; // An earlier try was sent: this is not "not run".
      Done.m_kind = Ending::Kind::NotRun;
      Done.m_reason = reasonText(Where.m_reason);
      Done.m_retryAfter = Where.m_retryAfter;
      return Done;
    }
    Work.m_worker = Where.m_worker;
    const bool MayRepeat = Work.m_kind.m_isIdempotent &&
                           Try < m_options.m_mostTries &&
                           m_parts.m_core.with([](const RequestCore &Core) {
                             return Core.mayRepeat();
                           });
    const CallResult Called = callWorker(Work, Where, MayRepeat);
    if (std::optional<Ending> Ended = judge(Work, Called, Where.m_id))
      return *Ended;
    Avoid = Where.m_worker;
    if (Called.m_response) {
      Done.m_kind = Ending::Kind::Answered;
      Done.m_answer = *Called.m_response;
    } else if (Called.m_failure != CallFailure::NotSent) {
      Done.m_kind = Ending::Kind::Unknown;
      Done.m_reason = Called.m_reason;
    }
  }
  if (Done.m_reason.empty())
    Done.m_reason = "no worker could be reached";
  return Done;
}

Duration RequestService::silenceBound(const KindPolicy &Kind) const {
  const Duration Tail = m_parts.m_core.with(
      [&](const RequestCore &Core) { return Core.serviceTime(Kind, 0.99); });
  return std::max(
      m_options.m_leastSilence,
      std::chrono::duration_cast<Duration>(Tail * m_options.m_silenceFactor));
}

CallResult RequestService::callWorker(const Job &Work, const Decision &Where,
                                      bool MayRepeat) {
  const auto Service = Work.m_view->m_services.find(Where.m_worker);
  if (Service == Work.m_view->m_services.end()) {
    CallResult Gone;
    Gone.m_failure = CallFailure::NotSent;
    Gone.m_reason = "worker \"" + Where.m_worker + "\" has no address";
    return Gone;
  }
  HttpRequest Onward;
  Onward.m_method = Work.m_request->m_method;
  Onward.m_path = Work.m_request->m_path;
  Onward.m_query = Work.m_request->m_query;
  Onward.m_body = Work.m_request->m_body;
  for (const auto &[Name, Value] : Work.m_request->m_headers)
    if (!isHopHeader(Name))
      Onward.m_headers.emplace_back(Name, Value);
  const TraceContext Hop = childOf(Work.m_trace, false);
  Onward.m_headers.emplace_back("traceparent", toTraceparent(Hop));
  Onward.m_headers.emplace_back("Catkinseam-Entry", m_options.m_entry);

  Duration Limit = Work.m_deadline - m_parts.m_clock.now() - AnswerMargin;
  if (Limit <= Duration::zero()) {
    CallResult Late;
    Late.m_failure = CallFailure::NotSent;
    Late.m_reason = "the deadline has passed";
    return Late;
  }
  if (MayRepeat)
    Limit = std::min(Limit, silenceBound(Work.m_kind));
  const WallTime Start = m_parts.m_clock.wallNow();
  const TimePoint Begin = m_parts.m_clock.now();
  CallResult Called =
      m_parts.m_pool.call(Where.m_worker, Service->second, Onward, Limit,
                          /*NeedsProven=*/!Work.m_kind.m_isIdempotent);
  if (Called.m_failure == CallFailure::TimedOut)
    m_parts.m_pool.distrust(Where.m_worker);
  Job Traced = Work;
  Traced.m_trace = Hop;
  recordSpan(Traced, "upstream", Start, m_parts.m_clock.now() - Begin,
             Called.m_response ? "answered" : "failed");
  return Called;
}

/// Returns the ending that a call means, or nothing when another worker may be
/// tried.
std::optional<RequestService::Ending>
RequestService::judge(const Job &Work, const CallResult &Called, RequestId Id) {
  constexpr int FirstServerError = 500;
  CallEnd End = CallEnd::Answered;
  const bool IsServerError =
      Called.m_response && Called.m_response->m_status >= FirstServerError;
  if (Called.m_failure == CallFailure::NotSent)
    End = CallEnd::NotSent;
  else if (Called.m_failure == CallFailure::TimedOut)
    End = CallEnd::Abandoned;
  else if (IsServerError || Called.m_failure != CallFailure::None)
    End = CallEnd::Failed;
  deliver(m_parts.m_core.with(
      [&](RequestCore &Core) { return Core.finish(Id, End); }));

  Ending Done;
  if (Called.m_response && (!IsServerError || !Work.m_kind.m_isIdempotent)) {
    Done.m_kind = Ending::Kind::Answered;
    Done.m_answer = *Called.m_response;
    return Done;
  }
  if (Called.m_failure == CallFailure::NotSent || Work.m_kind.m_isIdempotent)
    return std::nullopt;
  Done.m_kind = Ending::Kind::Unknown;
  Done.m_reason = Called.m_reason;
  return Done;
}

Decision RequestService::decide(const Job &Work, const std::string &Avoid,
                                bool IsRetry) {
  RequestSpec Spec;
  Spec.m_id = m_nextId++;
  Spec.m_kind = Work.m_kind;
  Spec.m_deadline = Work.m_deadline;
  Spec.m_avoid = Avoid;
  Spec.m_isRetry = IsRetry;
  const auto Own = std::make_shared<Waiter>();
  {
    const std::lock_guard Lock(m_waitersMutex);
    m_waiters[Spec.m_id] = Own;
  }
  deliver(m_parts.m_core.with(
      [&](RequestCore &Core) { return Core.arrive(Spec); }));
  std::unique_lock Lock(m_waitersMutex);
  const Duration Longest =
      Work.m_deadline - m_parts.m_clock.now() + DecisionGrace;
  Own->m_changed.wait_for(Lock, Longest,
                          [&] { return Own->m_decision.has_value(); });
  if (!Own->m_decision) {
    Lock.unlock();
    const bool WasWaiting = m_parts.m_core.with(
        [&](RequestCore &Core) { return Core.withdraw(Spec.m_id); });
    Lock.lock();
    // Not waiting any more: its decision is being delivered.
    if (!WasWaiting)
      Own->m_changed.wait(Lock, [&] { return Own->m_decision.has_value(); });
  }
  m_waiters.erase(Spec.m_id);
  if (Own->m_decision)
    return *Own->m_decision;
  Decision TooLate;
  TooLate.m_reason = RefusalReason::TooLate;
  TooLate.m_retryAfter = std::chrono::seconds(1);
  return TooLate;
}

void RequestService::deliver(const std::vector<Decision> &Made) {
  if (Made.empty())
    return;
  const std::lock_guard Lock(m_waitersMutex);
  for (const Decision &Each : Made) {
    const auto Place = m_waiters.find(Each.m_id);
    if (Place == m_waiters.end())
      continue;
    Place->second->m_decision = Each;
    Place->second->m_changed.notify_one();
  }
}

HttpResponse RequestService::respond(const Job &Work, Ending Done) {
  HttpResponse Answer;
  if (Done.m_kind == Ending::Kind::Answered) {
    Answer.m_status = Done.m_answer.m_status;
    Answer.m_body = std::move(Done.m_answer.m_body);
    for (auto &[Name, Value] : Done.m_answer.m_headers)
      if (!isHopHeader(Name))
        Answer.m_headers.emplace_back(Name, std::move(Value));
    Answer.m_headers.emplace_back("Catkinseam-Outcome", "answered");
  } else {
    const bool IsNotRun = Done.m_kind == Ending::Kind::NotRun;
    Answer = problemResponse(
        {IsNotRun ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown,
         Done.m_reason});
    if (!IsNotRun)
      Answer.m_status = 504;
    std::erase_if(Answer.m_headers, [](const auto &Header) {
      return Header.first == "Retry-After";
    });
    Answer.m_headers.emplace_back("Retry-After",
                                  retryAfterSeconds(Done.m_retryAfter));
    Answer.m_headers.emplace_back("Catkinseam-Outcome",
                                  IsNotRun ? "not_run" : "unknown");
  }
  if (!Work.m_worker.empty())
    Answer.m_headers.emplace_back("Catkinseam-Worker", Work.m_worker);
  Answer.m_headers.emplace_back("Catkinseam-Served-By", m_options.m_entry);
  Answer.m_headers.emplace_back("Catkinseam-Config-Version",
                                std::to_string(Work.m_view->m_configVersion));
  return Answer;
}

void RequestService::recordSpan(const Job &Work, const char *Name,
                                WallTime Start, Duration Length,
                                const std::string &Outcome) {
  if (!Work.m_trace.m_isSampled)
    return;
  Span Done;
  Done.m_context = Work.m_trace;
  Done.m_name = Name;
  Done.m_start = Start;
  Done.m_length = Length;
  Done.m_attributes = {{"catkinseam.kind", Work.m_kind.m_name},
                       {"catkinseam.outcome", Outcome},
                       {"catkinseam.worker", Work.m_worker}};
  m_parts.m_spans.record(std::move(Done));
}

} // namespace catkinseam
