// Admission control, queueing, worker selection and worker ejection.
#include "catkinseam/request/request_dispatcher.h"

#include "catkinseam/base/hash.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

/// Service time quantile used to check whether a request meets its deadline.
constexpr double PlanningQuantile = 0.9;
/// Service time quantile for which an abandoned request keeps its slot.
constexpr double AbandonedQuantile = 0.99;
constexpr Duration DemandWindow = std::chrono::milliseconds(100);
/// Weights of a new window in the smoothed demand when it is higher and lower.
constexpr double DemandRiseWeight = 0.4;
constexpr double DemandFallWeight = 0.2;
/// Slots reserved for short kinds, relative to their measured demand.
constexpr double ShortDemandMargin = 1.0;
/// A short request waits instead of using a worker with a higher slowdown.
constexpr double MaxSlowdownForShort = 1.7;
/// Consecutive failures after which a worker is ejected.
constexpr std::uint32_t FailuresToEject = 3;
/// The first ejection takes the minimum; each further one doubles.
constexpr Duration MinEjectionDuration = std::chrono::seconds(1);
constexpr Duration MaxEjectionDuration = std::chrono::seconds(30);
/// Weight of the previous value in the moving average of the slowdown.
constexpr double SlowdownDecay = 0.9;
constexpr double MinSlowdown = 0.2;
constexpr double MaxSlowdown = 10;
constexpr double MaxRetryTokens = 100;
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
/// Number of waiting requests that may be passed over in one scan of a queue
/// because no free slot suits them.
constexpr int QueueLookahead = 8;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

RequestDispatcher::RequestDispatcher(const Clock &Time,
                                     std::unique_ptr<SlotSharing> Sharing,
                                     const Options &Opts)
    : m_clock(Time), m_sharing(std::move(Sharing)), m_options(Opts) {
  m_shortDemand.m_windowStart = Time.now();
}

void RequestDispatcher::refreshSharing() { m_sharing->refresh(m_view); }

void RequestDispatcher::setWorkers(
    const std::map<std::string, std::uint32_t> &Slots) {
  m_view.m_slots = Slots;
  for (const auto &[Name, Count] : Slots)
    m_upstreams[Name].m_slots = Count;
  std::erase_if(m_upstreams, [&](const auto &Upstream) {
    return Slots.count(Upstream.first) == 0 && Upstream.second.m_inFlight == 0;
  });
  for (auto &[Name, Row] : m_upstreams)
    if (Slots.count(Name) == 0)
      Row.m_slots = 0;
  refreshSharing();
}

void RequestDispatcher::setLeaving(const std::set<std::string> &Leaving) {
  for (auto &[Name, Row] : m_upstreams)
    Row.m_isLeaving = Leaving.count(Name) > 0;
}

void RequestDispatcher::setPeers(
    Seat Own, const std::vector<Seat> &Ready,
    const std::map<std::string, std::uint32_t> &PeerInFlight) {
  m_view.m_seat = Own;
  m_view.m_readySeats = Ready;
  m_view.m_peerInFlight = PeerInFlight;
  refreshSharing();
}

LatencyEstimate &RequestDispatcher::estimateFor(const KindPolicy &Kind) {
  return m_estimates.try_emplace(Kind.m_name, Kind.m_estimate).first->second;
}

Duration RequestDispatcher::serviceTime(const KindPolicy &Kind,
                                        double Quantile) const {
  const auto It = m_estimates.find(Kind.m_name);
  return It == m_estimates.end() ? Kind.m_estimate
                                 : It->second.quantile(Quantile);
}

void RequestDispatcher::updateDemand(DemandEstimate &Estimate) {
  const Duration Elapsed = m_clock.now() - Estimate.m_windowStart;
  if (Elapsed < DemandWindow)
    return;
  const double Slots = Estimate.m_windowWorkSeconds / toSeconds(Elapsed);
  const double Step =
      Slots > Estimate.m_slots ? DemandRiseWeight : DemandFallWeight;
  Estimate.m_slots += Step * (Slots - Estimate.m_slots);
  Estimate.m_windowWorkSeconds = 0;
  Estimate.m_windowStart = m_clock.now();
}

void RequestDispatcher::recordDemand(const KindPolicy &Kind) {
  if (Kind.m_isLong)
    return;
  updateDemand(m_shortDemand);
  m_shortDemand.m_windowWorkSeconds += toSeconds(estimateFor(Kind).mean());
}

std::uint32_t RequestDispatcher::freeSlots(const std::string &Name,
                                           const UpstreamState &Row) const {
  const TimePoint Now = m_clock.now();
  const std::uint32_t Limit = std::min(m_sharing->limitFor(Name, Now),
                                       m_options.m_connectionsPerWorker);
  const auto Abandoned = static_cast<std::uint32_t>(
      std::count_if(Row.m_abandonedUntil.begin(), Row.m_abandonedUntil.end(),
                    [&](TimePoint Until) { return Until > Now; }));
  const std::uint32_t Taken = Row.m_inFlight + Abandoned;
  return Limit > Taken ? Limit - Taken : 0;
}

std::uint32_t RequestDispatcher::usableSlots() const {
  const TimePoint Now = m_clock.now();
  std::uint32_t Slots = 0;
  for (const auto &[Name, Row] : m_upstreams)
    if (!Row.m_isLeaving && Row.m_ejectedUntil <= Now)
      Slots += m_sharing->limitFor(Name, Now);
  return std::max<std::uint32_t>(Slots, 1);
}

std::uint32_t RequestDispatcher::longLimit() const {
  const double Usable = usableSlots();
  const double MinLimit = std::max(1.0, Usable * m_options.m_minLongShare);
  const double MaxLimit = std::max(MinLimit, Usable * m_options.m_maxLongShare);
  const double Available = Usable - m_shortDemand.m_slots * ShortDemandMargin;
  return static_cast<std::uint32_t>(std::clamp(Available, MinLimit, MaxLimit));
}

bool RequestDispatcher::isEligible(const UpstreamState &Row,
                                   const RequestSpec &Spec) const {
  const TimePoint Now = m_clock.now();
  if (Row.m_isLeaving || Row.m_slots == 0 || Row.m_ejectedUntil > Now)
    return false;
  // After an ejection, the worker is probed with one idempotent request at a
  // time until one succeeds.
  const bool IsProbe = Row.m_consecutiveFailures >= FailuresToEject;
  if (IsProbe && (Row.m_inFlight > 0 || !Spec.m_kind.m_isIdempotent))
    return false;
  const Duration Expected =
      fromSeconds(toSeconds(serviceTime(Spec.m_kind, PlanningQuantile)) *
                  std::max(1.0, Row.m_slowdown));
  return Now + Expected <= Spec.m_deadline;
}

std::string RequestDispatcher::pickWorker(const RequestSpec &Spec) {
  if (Spec.m_kind.m_isLong && m_longInFlight >= longLimit())
    return "";
  // The wait is limited to less than one service time, so waiting for a free
  // slot gives an earlier answer than a much slower worker.
  const bool AvoidSlowWorkers = !Spec.m_kind.m_isLong && hasFastWorker();
  std::string Best;
  double BestScore = 0;
  for (const auto &[Name, Row] : m_upstreams) {
    const std::uint32_t Free = freeSlots(Name, Row);
    if (Free == 0 || !isEligible(Row, Spec))
      continue;
    if (AvoidSlowWorkers && Row.m_slowdown > MaxSlowdownForShort)
      continue;
    // The lowest sum of load and slowdown wins. The hash of worker and request
    // distributes requests among equal workers.
    const double Load = static_cast<double>(Row.m_inFlight) /
                        static_cast<double>(Row.m_inFlight + Free);
    const double TieBreaker =
        static_cast<double>(hashPair(Name, std::to_string(Spec.m_id)) % 1024) /
        1e6;
    const double AvoidancePenalty = Name == Spec.m_avoidedWorker ? 1000 : 0;
    const double Score = Load + Row.m_slowdown + TieBreaker + AvoidancePenalty;
    if (Best.empty() || Score < BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

std::string RequestDispatcher::nextRoundRobinWorker() {
  auto Next = m_upstreams.upper_bound(m_lastRoundRobinWorker);
  for (std::size_t Step = 0; Step < m_upstreams.size(); ++Step, ++Next) {
    if (Next == m_upstreams.end())
      Next = m_upstreams.begin();
    if (Next->second.m_isLeaving || Next->second.m_slots == 0)
      continue;
    m_lastRoundRobinWorker = Next->first;
    return Next->first;
  }
  return "";
}

bool RequestDispatcher::hasFastWorker() const {
  const TimePoint Now = m_clock.now();
  return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                     [&](const auto &Upstream) {
                       const UpstreamState &Row = Upstream.second;
                       return !Row.m_isLeaving && Row.m_slots > 0 &&
                              Row.m_ejectedUntil <= Now &&
                              Row.m_slowdown <= MaxSlowdownForShort;
                     });
}

bool RequestDispatcher::hasServingWorker() const {
  return std::any_of(
      m_upstreams.begin(), m_upstreams.end(), [](const auto &Upstream) {
        return !Upstream.second.m_isLeaving && Upstream.second.m_slots > 0;
      });
}

bool RequestDispatcher::takeRetryToken(const RequestSpec &Spec) {
  if (!Spec.m_isRetry) {
    m_retryTokens = std::min(MaxRetryTokens,
                             m_retryTokens + m_options.m_retryPercent / 100);
    return true;
  }
  // While requests wait for slots, retries would only displace first attempts.
  if (m_retryTokens < 1 || waitingRequests() > 0)
    return false;
  m_retryTokens -= 1;
  return true;
}

Decision RequestDispatcher::dispatch(const RequestSpec &Spec,
                                     const std::string &Worker) {
  UpstreamState &Row = m_upstreams.at(Worker);
  ++Row.m_inFlight;
  if (Spec.m_kind.m_isLong) {
    ++Row.m_longInFlight;
    ++m_longInFlight;
  }
  m_running[Spec.m_id] = {Spec, Worker, m_clock.now()};
  Decision Result;
  Result.m_id = Spec.m_id;
  Result.m_isDispatched = true;
  Result.m_worker = Worker;
  return Result;
}

Duration RequestDispatcher::estimateWait(const KindPolicy &Kind) const {
  const Queue &Pending = Kind.m_isLong ? m_longQueue : m_shortQueue;
  const std::uint32_t Usable = usableSlots();
  const std::uint32_t Slots =
      Kind.m_isLong ? longLimit()
                    : std::max<std::uint32_t>(
                          Usable - std::min(Usable, m_longInFlight), 1);
  const auto It = m_estimates.find(Kind.m_name);
  const Duration Mean =
      It == m_estimates.end() ? Kind.m_estimate : It->second.mean();
  return Mean * static_cast<std::int64_t>(Pending.size() + 1) /
         static_cast<std::int64_t>(Slots);
}

Duration RequestDispatcher::maxWait(const KindPolicy &Kind) const {
  return std::max(m_options.m_minMaxWait,
                  fromSeconds(toSeconds(serviceTime(Kind, PlanningQuantile)) *
                              m_options.m_maxWaitFactor));
}

Decision RequestDispatcher::refuse(const RequestSpec &Spec,
                                   RefusalReason Reason) const {
  Decision Result;
  Result.m_id = Spec.m_id;
  Result.m_reason = Reason;
  RefusalInputs &Inputs = Result.m_inputs;
  Inputs.m_waitingRequests = waitingRequests();
  Inputs.m_usableSlots = usableSlots();
  Inputs.m_estimatedWait = estimateWait(Spec.m_kind);
  Inputs.m_maxWait = maxWait(Spec.m_kind);
  Inputs.m_slack = Spec.m_deadline -
                   serviceTime(Spec.m_kind, PlanningQuantile) - m_clock.now();
  for (const auto &[Name, Row] : m_upstreams) {
    Inputs.m_ejectedWorkers += Row.m_ejectedUntil > m_clock.now();
    Inputs.m_leavingWorkers += Row.m_isLeaving;
  }
  Result.m_retryAfter = std::max(MinRetryAfter, 2 * estimateWait(Spec.m_kind));
  return Result;
}

std::vector<Decision> RequestDispatcher::submit(const RequestSpec &Spec) {
  if (!Spec.m_isRetry)
    recordDemand(Spec.m_kind);
  if (!m_sharing->enforcesLimits()) {
    if (Spec.m_isRetry)
      return {refuse(Spec, RefusalReason::RetryBudget)};
    const std::string Worker = nextRoundRobinWorker();
    return {Worker.empty() ? refuse(Spec, RefusalReason::NoWorker)
                           : dispatch(Spec, Worker)};
  }
  if (!hasServingWorker())
    return {refuse(Spec, RefusalReason::NoWorker)};
  if (!takeRetryToken(Spec))
    return {refuse(Spec, RefusalReason::RetryBudget)};
  Queue &Pending = queueFor(Spec.m_kind);
  if (Pending.empty())
    if (std::string Worker = pickWorker(Spec); !Worker.empty())
      return {dispatch(Spec, Worker)};
  const Duration Service = serviceTime(Spec.m_kind, PlanningQuantile);
  const TimePoint LatestStart = Spec.m_deadline - Service;
  if (LatestStart < m_clock.now())
    return {refuse(Spec, RefusalReason::TooLate)};
  const Duration Wait = estimateWait(Spec.m_kind);
  const Duration MaxWait = maxWait(Spec.m_kind);
  // One request may always wait: with few slots, the estimated wait of the
  // first one alone can exceed the maximum.
  const bool IsQueueFull = !Pending.empty() && Wait > MaxWait;
  if (IsQueueFull || m_clock.now() + Wait > LatestStart ||
      waitingRequests() >= m_options.m_maxWaitingRequests)
    return {refuse(Spec, RefusalReason::Overloaded)};
  Pending.emplace(LatestStart, WaitingRequest{Spec, LatestStart});
  return {};
}

void RequestDispatcher::recordCallEnd(const RunningRequest &Finished,
                                      CallResultKind End) {
  UpstreamState &Row = m_upstreams.at(Finished.m_worker);
  const TimePoint Now = m_clock.now();
  const Duration Latency = Now - Finished.m_started;
  LatencyEstimate &Estimate = estimateFor(Finished.m_spec.m_kind);
  // For an abandoned request, the elapsed time is a lower bound of the latency.
  if (End == CallResultKind::Answered || End == CallResultKind::Abandoned) {
    const double Ratio = std::clamp(
        toSeconds(Latency) / std::max(1e-6, toSeconds(Estimate.mean())),
        MinSlowdown, MaxSlowdown);
    Row.m_slowdown =
        SlowdownDecay * Row.m_slowdown + (1 - SlowdownDecay) * Ratio;
  }
  if (End == CallResultKind::Answered) {
    Estimate.observe(Latency);
    Row.m_consecutiveFailures = 0;
    Row.m_ejectionDuration = {};
    return;
  }
  if (End == CallResultKind::Abandoned)
    Row.m_abandonedUntil.push_back(
        Now + serviceTime(Finished.m_spec.m_kind, AbandonedQuantile));
  ++Row.m_consecutiveFailures;
  if (Row.m_consecutiveFailures < FailuresToEject)
    return;
  Row.m_ejectionDuration = std::clamp(Row.m_ejectionDuration * 2,
                                      MinEjectionDuration, MaxEjectionDuration);
  Row.m_ejectedUntil = Now + Row.m_ejectionDuration;
}

std::vector<Decision> RequestDispatcher::complete(RequestId Id,
                                                  CallResultKind End) {
  std::vector<Decision> Decisions;
  const auto It = m_running.find(Id);
  if (It == m_running.end())
    return Decisions;
  const RunningRequest Finished = It->second;
  m_running.erase(It);
  UpstreamState &Row = m_upstreams.at(Finished.m_worker);
  --Row.m_inFlight;
  if (Finished.m_spec.m_kind.m_isLong) {
    --Row.m_longInFlight;
    --m_longInFlight;
  }
  recordCallEnd(Finished, End);
  dispatchQueues(Decisions);
  return Decisions;
}

void RequestDispatcher::dispatchQueue(Queue &Pending,
                                      std::vector<Decision> &Decisions) {
  int Skipped = 0;
  for (auto Next = Pending.begin();
       Next != Pending.end() && Skipped < QueueLookahead;) {
    const std::string Worker = pickWorker(Next->second.m_spec);
    if (Worker.empty()) {
      ++Skipped;
      ++Next;
      continue;
    }
    Decisions.push_back(dispatch(Next->second.m_spec, Worker));
    Next = Pending.erase(Next);
  }
}

void RequestDispatcher::refuseExpired(Queue &Pending,
                                      std::vector<Decision> &Decisions) {
  while (!Pending.empty() && Pending.begin()->first < m_clock.now()) {
    Decisions.push_back(
        refuse(Pending.begin()->second.m_spec, RefusalReason::TooLate));
    Pending.erase(Pending.begin());
  }
}

void RequestDispatcher::dispatchQueues(std::vector<Decision> &Decisions) {
  refuseExpired(m_shortQueue, Decisions);
  refuseExpired(m_longQueue, Decisions);
  dispatchQueue(m_shortQueue, Decisions);
  dispatchQueue(m_longQueue, Decisions);
}

std::vector<Decision> RequestDispatcher::tick() {
  updateDemand(m_shortDemand);
  const TimePoint Now = m_clock.now();
  for (auto &[Name, Row] : m_upstreams)
    std::erase_if(Row.m_abandonedUntil,
                  [&](TimePoint Until) { return Until <= Now; });
  std::vector<Decision> Decisions;
  if (!hasServingWorker())
    for (Queue *Pending : {&m_shortQueue, &m_longQueue}) {
      for (const auto &[LatestStart, Queued] : *Pending)
        Decisions.push_back(refuse(Queued.m_spec, RefusalReason::NoWorker));
      Pending->clear();
    }
  dispatchQueues(Decisions);
  return Decisions;
}

bool RequestDispatcher::removeWaiting(RequestId Id) {
  for (Queue *Pending : {&m_shortQueue, &m_longQueue})
    for (auto It = Pending->begin(); It != Pending->end(); ++It)
      if (It->second.m_spec.m_id == Id) {
        Pending->erase(It);
        return true;
      }
  return false;
}

SlotLoan RequestDispatcher::lend(std::uint32_t MaxSlots) {
  if (!m_shortQueue.empty() || MaxSlots == 0)
    return {};
  std::map<std::string, std::uint32_t> Idle;
  const TimePoint Now = m_clock.now();
  for (const auto &[Name, Row] : m_upstreams)
    if (!Row.m_isLeaving && Row.m_ejectedUntil <= Now)
      if (const std::uint32_t Free = freeSlots(Name, Row); Free > 0)
        Idle[Name] = Free;
  // Lend at most half of the idle slots; the rest is for this entry's own next
  // requests.
  std::uint32_t IdleTotal = 0;
  for (const auto &[Name, Count] : Idle)
    IdleTotal += Count;
  SlotLoan Loan = m_sharing->lend(Idle, std::min(MaxSlots, IdleTotal / 2), Now);
  Loan.m_lender = m_view.m_seat;
  return Loan;
}

void RequestDispatcher::borrow(const SlotLoan &Loan) {
  m_sharing->borrow(Loan, m_clock.now());
}

std::uint32_t RequestDispatcher::waitingShortRequests() const {
  return static_cast<std::uint32_t>(m_shortQueue.size());
}

std::uint32_t RequestDispatcher::waitingRequests() const {
  return static_cast<std::uint32_t>(m_shortQueue.size() + m_longQueue.size());
}

std::map<std::string, std::uint16_t> RequestDispatcher::inFlight() const {
  std::map<std::string, std::uint16_t> Counts;
  for (const auto &[Name, Row] : m_upstreams)
    if (Row.m_inFlight > 0)
      Counts[Name] = static_cast<std::uint16_t>(Row.m_inFlight);
  return Counts;
}

} // namespace catkinseam
