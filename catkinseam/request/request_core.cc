// Admission, queueing, worker choice and health for latency-critical requests.
#include "catkinseam/request/request_core.h"

#include "catkinseam/base/hash.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

constexpr double PlanningRank = 0.9;
constexpr double AbandonedRank = 0.99;
constexpr Duration DemandWindow = std::chrono::milliseconds(100);
constexpr double DemandRise = 0.4;
constexpr double DemandFall = 0.2;
/// Slots kept free of long kinds beyond the short kinds' measured demand.
constexpr double ShortDemandMargin = 1.0;
/// A short request rather waits than runs on a worker slower than this.
constexpr double MostSlownessForShort = 1.7;
constexpr std::uint32_t EjectionStreak = 3;
constexpr Duration FirstEjection = std::chrono::seconds(1);
constexpr Duration LongestEjection = std::chrono::seconds(30);
constexpr double SlownessMemory = 0.9;
constexpr double LeastSlowness = 0.2;
constexpr double MostSlowness = 10;
constexpr double MostRetryTokens = 100;
constexpr Duration LeastRetryAfter = std::chrono::seconds(1);
/// Waiting requests looked at when the first cannot use any free slot.
constexpr int QueueLookahead = 8;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

RequestCore::RequestCore(const Clock &Time,
                         std::unique_ptr<SlotSharing> Sharing,
                         const Options &Limits)
    : m_clock(Time), m_sharing(std::move(Sharing)), m_options(Limits) {
  m_shortDemand.m_windowStart = Time.now();
}

void RequestCore::refreshSharing() { m_sharing->refresh(m_view); }

void RequestCore::setWorkers(
    const std::map<std::string, std::uint32_t> &Slots) {
  m_view.m_slots = Slots;
  for (const auto &[Name, Count] : Slots)
    m_upstreams[Name].m_slots = Count;
  std::erase_if(m_upstreams, [&](const auto &Known) {
    return Slots.count(Known.first) == 0 && Known.second.m_inFlight == 0;
  });
  for (auto &[Name, Row] : m_upstreams)
    if (Slots.count(Name) == 0)
      Row.m_slots = 0;
  refreshSharing();
}

void RequestCore::setLeaving(const std::set<std::string> &Leaving) {
  for (auto &[Name, Row] : m_upstreams)
    Row.m_isLeaving = Leaving.count(Name) > 0;
}

void RequestCore::setPeers(
    Seat Own, const std::vector<Seat> &Ready,
    const std::map<std::string, std::uint32_t> &PeerInFlight) {
  m_view.m_seat = Own;
  m_view.m_readySeats = Ready;
  m_view.m_peerInFlight = PeerInFlight;
  refreshSharing();
}

LatencyEstimate &RequestCore::estimateOf(const KindPolicy &Kind) {
  return m_estimates.try_emplace(Kind.m_name, Kind.m_estimate).first->second;
}

Duration RequestCore::serviceTime(const KindPolicy &Kind, double Rank) const {
  const auto Place = m_estimates.find(Kind.m_name);
  return Place == m_estimates.end() ? Kind.m_estimate
                                    : Place->second.quantile(Rank);
}

void RequestCore::rollDemand(Demand &Part) {
  const Duration Passed = m_clock.now() - Part.m_windowStart;
  if (Passed < DemandWindow)
    return;
  const double Slots = Part.m_windowWork / toSeconds(Passed);
  const double Step = Slots > Part.m_slots ? DemandRise : DemandFall;
  Part.m_slots += Step * (Slots - Part.m_slots);
  Part.m_windowWork = 0;
  Part.m_windowStart = m_clock.now();
}

void RequestCore::countDemand(const KindPolicy &Kind) {
  if (Kind.m_isLong)
    return;
  rollDemand(m_shortDemand);
  m_shortDemand.m_windowWork += toSeconds(estimateOf(Kind).mean());
}

std::uint32_t RequestCore::openSlots(const std::string &Name,
                                     const UpstreamRow &Row) const {
  const TimePoint Now = m_clock.now();
  const std::uint32_t Limit =
      std::min(m_sharing->limitOf(Name, Now), m_options.m_connectionsPerWorker);
  const auto Lingering = static_cast<std::uint32_t>(
      std::count_if(Row.m_lingering.begin(), Row.m_lingering.end(),
                    [&](TimePoint Until) { return Until > Now; }));
  const std::uint32_t Taken = Row.m_inFlight + Lingering;
  return Limit > Taken ? Limit - Taken : 0;
}

std::uint32_t RequestCore::usableSlots() const {
  const TimePoint Now = m_clock.now();
  std::uint32_t Slots = 0;
  for (const auto &[Name, Row] : m_upstreams)
    if (!Row.m_isLeaving && Row.m_ejectedUntil <= Now)
      Slots += m_sharing->limitOf(Name, Now);
  return std::max<std::uint32_t>(Slots, 1);
}

std::uint32_t RequestCore::longLimit() const {
  const double Usable = usableSlots();
  const double Least = std::max(1.0, Usable * m_options.m_leastLongShare);
  const double Most = std::max(Least, Usable * m_options.m_longShare);
  const double Left = Usable - m_shortDemand.m_slots * ShortDemandMargin;
  return static_cast<std::uint32_t>(std::clamp(Left, Least, Most));
}

bool RequestCore::mayUse(const UpstreamRow &Row,
                         const RequestSpec &Spec) const {
  const TimePoint Now = m_clock.now();
  if (Row.m_isLeaving || Row.m_slots == 0 || Row.m_ejectedUntil > Now)
    return false;
  // A worker that has just been ejected is tried with one idempotent request.
  const bool IsOnTrial = Row.m_failStreak >= EjectionStreak;
  if (IsOnTrial && (Row.m_inFlight > 0 || !Spec.m_kind.m_isIdempotent))
    return false;
  const Duration Expected =
      fromSeconds(toSeconds(serviceTime(Spec.m_kind, PlanningRank)) *
                  std::max(1.0, Row.m_slowness));
  return Now + Expected <= Spec.m_deadline;
}

std::string RequestCore::pickWorker(const RequestSpec &Spec) {
  if (Spec.m_kind.m_isLong && m_longInFlight >= longLimit())
    return "";
  // Waiting is bounded by less than one service time, so a much slower worker
  // would answer later than the next free slot.
  const bool AvoidsSlow = !Spec.m_kind.m_isLong && hasFastWorker();
  std::string Best;
  double BestScore = 0;
  for (const auto &[Name, Row] : m_upstreams) {
    const std::uint32_t Open = openSlots(Name, Row);
    if (Open == 0 || !mayUse(Row, Spec))
      continue;
    if (AvoidsSlow && Row.m_slowness > MostSlownessForShort)
      continue;
    // Load first, then speed; a hash spreads equal workers over the entries.
    const double Load = static_cast<double>(Row.m_inFlight) /
                        static_cast<double>(Row.m_inFlight + Open);
    const double Spread =
        static_cast<double>(hashPair(Name, std::to_string(Spec.m_id)) % 1024) /
        1e6;
    const double Avoided = Name == Spec.m_avoid ? 1000 : 0;
    const double Score = Load + Row.m_slowness + Spread + Avoided;
    if (Best.empty() || Score < BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

std::string RequestCore::nextInTurn() {
  auto Next = m_upstreams.upper_bound(m_lastInTurn);
  for (std::size_t Step = 0; Step < m_upstreams.size(); ++Step, ++Next) {
    if (Next == m_upstreams.end())
      Next = m_upstreams.begin();
    if (Next->second.m_isLeaving || Next->second.m_slots == 0)
      continue;
    m_lastInTurn = Next->first;
    return Next->first;
  }
  return "";
}

bool RequestCore::hasFastWorker() const {
  const TimePoint Now = m_clock.now();
  return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                     [&](const auto &Known) {
                       const UpstreamRow &Row = Known.second;
                       return !Row.m_isLeaving && Row.m_slots > 0 &&
                              Row.m_ejectedUntil <= Now &&
                              Row.m_slowness <= MostSlownessForShort;
                     });
}

bool RequestCore::hasServingWorker() const {
  return std::any_of(
      m_upstreams.begin(), m_upstreams.end(), [](const auto &Known) {
        return !Known.second.m_isLeaving && Known.second.m_slots > 0;
      });
}

bool RequestCore::spendRetry(const RequestSpec &Spec) {
  if (!Spec.m_isRetry) {
    m_retryTokens = std::min(MostRetryTokens,
                             m_retryTokens + m_options.m_retryPercent / 100);
    return true;
  }
  // While requests wait for slots, repeats would only displace first tries.
  if (m_retryTokens < 1 || waiting() > 0)
    return false;
  m_retryTokens -= 1;
  return true;
}

Decision RequestCore::dispatch(const RequestSpec &Spec,
                               const std::string &Worker) {
  UpstreamRow &Row = m_upstreams.at(Worker);
  ++Row.m_inFlight;
  if (Spec.m_kind.m_isLong) {
    ++Row.m_longInFlight;
    ++m_longInFlight;
  }
  m_running[Spec.m_id] = {Spec, Worker, m_clock.now()};
  Decision Made;
  Made.m_id = Spec.m_id;
  Made.m_isDispatched = true;
  Made.m_worker = Worker;
  return Made;
}

Duration RequestCore::plannedWait(const KindPolicy &Kind) const {
  const Queue &Line = Kind.m_isLong ? m_longQueue : m_shortQueue;
  const std::uint32_t Usable = usableSlots();
  const std::uint32_t Slots =
      Kind.m_isLong ? longLimit()
                    : std::max<std::uint32_t>(
                          Usable - std::min(Usable, m_longInFlight), 1);
  const auto Place = m_estimates.find(Kind.m_name);
  const Duration Mean =
      Place == m_estimates.end() ? Kind.m_estimate : Place->second.mean();
  return Mean * static_cast<std::int64_t>(Line.size() + 1) /
         static_cast<std::int64_t>(Slots);
}

Decision RequestCore::refuse(const RequestSpec &Spec,
                             RefusalReason Reason) const {
  Decision Made;
  Made.m_id = Spec.m_id;
  Made.m_reason = Reason;
  Made.m_retryAfter = std::max(LeastRetryAfter, 2 * plannedWait(Spec.m_kind));
  return Made;
}

std::vector<Decision> RequestCore::arrive(const RequestSpec &Spec) {
  if (!Spec.m_isRetry)
    countDemand(Spec.m_kind);
  if (!m_sharing->isLimiting()) {
    if (Spec.m_isRetry)
      return {refuse(Spec, RefusalReason::RetryBudget)};
    const std::string Worker = nextInTurn();
    return {Worker.empty() ? refuse(Spec, RefusalReason::NoWorker)
                           : dispatch(Spec, Worker)};
  }
  if (!hasServingWorker())
    return {refuse(Spec, RefusalReason::NoWorker)};
  if (!spendRetry(Spec))
    return {refuse(Spec, RefusalReason::RetryBudget)};
  Queue &Line = queueOf(Spec.m_kind);
  if (Line.empty())
    if (std::string Worker = pickWorker(Spec); !Worker.empty())
      return {dispatch(Spec, Worker)};
  const Duration Service = serviceTime(Spec.m_kind, PlanningRank);
  const TimePoint LatestStart = Spec.m_deadline - Service;
  if (LatestStart < m_clock.now())
    return {refuse(Spec, RefusalReason::TooLate)};
  const Duration Wait = plannedWait(Spec.m_kind);
  const Duration MostWait =
      fromSeconds(toSeconds(Service) * m_options.m_waitFactor);
  // One request may always wait, so that few slots do not mean no queue.
  const bool IsQueueFull = !Line.empty() && Wait > MostWait;
  if (IsQueueFull || m_clock.now() + Wait > LatestStart ||
      waiting() >= m_options.m_maxWaiting)
    return {refuse(Spec, RefusalReason::Overloaded)};
  Line.emplace(LatestStart, Waiting{Spec, LatestStart});
  return {};
}

void RequestCore::learn(const Running &Done, CallEnd End) {
  UpstreamRow &Row = m_upstreams.at(Done.m_worker);
  const TimePoint Now = m_clock.now();
  const Duration Took = Now - Done.m_started;
  LatencyEstimate &Estimate = estimateOf(Done.m_spec.m_kind);
  // An abandoned call took at least this long.
  if (End == CallEnd::Answered || End == CallEnd::Abandoned) {
    const double Ratio =
        std::clamp(toSeconds(Took) / std::max(1e-6, toSeconds(Estimate.mean())),
                   LeastSlowness, MostSlowness);
    Row.m_slowness =
        SlownessMemory * Row.m_slowness + (1 - SlownessMemory) * Ratio;
  }
  if (End == CallEnd::Answered) {
    Estimate.observe(Took);
    Row.m_failStreak = 0;
    Row.m_ejection = {};
    return;
  }
  if (End == CallEnd::Abandoned)
    Row.m_lingering.push_back(Now +
                              serviceTime(Done.m_spec.m_kind, AbandonedRank));
  ++Row.m_failStreak;
  if (Row.m_failStreak < EjectionStreak)
    return;
  Row.m_ejection =
      std::clamp(Row.m_ejection * 2, FirstEjection, LongestEjection);
  Row.m_ejectedUntil = Now + Row.m_ejection;
}

std::vector<Decision> RequestCore::finish(RequestId Id, CallEnd End) {
  std::vector<Decision> Made;
  const auto Place = m_running.find(Id);
  if (Place == m_running.end())
    return Made;
  const Running Done = Place->second;
  m_running.erase(Place);
  UpstreamRow &Row = m_upstreams.at(Done.m_worker);
  --Row.m_inFlight;
  if (Done.m_spec.m_kind.m_isLong) {
    --Row.m_longInFlight;
    --m_longInFlight;
  }
  learn(Done, End);
  serveQueues(Made);
  return Made;
}

void RequestCore::serveQueue(Queue &Line, std::vector<Decision> &Made) {
  int Skipped = 0;
  for (auto Next = Line.begin();
       Next != Line.end() && Skipped < QueueLookahead;) {
    const std::string Worker = pickWorker(Next->second.m_spec);
    if (Worker.empty()) {
      ++Skipped;
      ++Next;
      continue;
    }
    Made.push_back(dispatch(Next->second.m_spec, Worker));
    Next = Line.erase(Next);
  }
}

void RequestCore::refuseLate(Queue &Line, std::vector<Decision> &Made) {
  while (!Line.empty() && Line.begin()->first < m_clock.now()) {
    Made.push_back(refuse(Line.begin()->second.m_spec, RefusalReason::TooLate));
    Line.erase(Line.begin());
  }
}

void RequestCore::serveQueues(std::vector<Decision> &Made) {
  refuseLate(m_shortQueue, Made);
  refuseLate(m_longQueue, Made);
  serveQueue(m_shortQueue, Made);
  serveQueue(m_longQueue, Made);
}

std::vector<Decision> RequestCore::tick() {
  rollDemand(m_shortDemand);
  const TimePoint Now = m_clock.now();
  for (auto &[Name, Row] : m_upstreams)
    std::erase_if(Row.m_lingering,
                  [&](TimePoint Until) { return Until <= Now; });
  std::vector<Decision> Made;
  if (!hasServingWorker())
    for (Queue *Line : {&m_shortQueue, &m_longQueue}) {
      for (const auto &[Latest, Each] : *Line)
        Made.push_back(refuse(Each.m_spec, RefusalReason::NoWorker));
      Line->clear();
    }
  serveQueues(Made);
  return Made;
}

bool RequestCore::withdraw(RequestId Id) {
  for (Queue *Line : {&m_shortQueue, &m_longQueue})
    for (auto Place = Line->begin(); Place != Line->end(); ++Place)
      if (Place->second.m_spec.m_id == Id) {
        Line->erase(Place);
        return true;
      }
  return false;
}

SlotLoan RequestCore::lend(std::uint32_t Wanted) {
  if (!m_shortQueue.empty() || Wanted == 0)
    return {};
  std::map<std::string, std::uint32_t> Idle;
  const TimePoint Now = m_clock.now();
  for (const auto &[Name, Row] : m_upstreams)
    if (!Row.m_isLeaving && Row.m_ejectedUntil <= Now)
      if (const std::uint32_t Open = openSlots(Name, Row); Open > 0)
        Idle[Name] = Open;
  // Half of the idle slots stay for this entry's own next arrivals.
  std::uint32_t IdleTotal = 0;
  for (const auto &[Name, Count] : Idle)
    IdleTotal += Count;
  SlotLoan Loan = m_sharing->lend(Idle, std::min(Wanted, IdleTotal / 2), Now);
  Loan.m_from = m_view.m_seat;
  return Loan;
}

void RequestCore::borrow(const SlotLoan &Loan) {
  m_sharing->borrow(Loan, m_clock.now());
}

std::uint32_t RequestCore::waitingShort() const {
  return static_cast<std::uint32_t>(m_shortQueue.size());
}

std::uint32_t RequestCore::waiting() const {
  return static_cast<std::uint32_t>(m_shortQueue.size() + m_longQueue.size());
}

std::map<std::string, std::uint16_t> RequestCore::inFlight() const {
  std::map<std::string, std::uint16_t> Counts;
  for (const auto &[Name, Row] : m_upstreams)
    if (Row.m_inFlight > 0)
      Counts[Name] = static_cast<std::uint16_t>(Row.m_inFlight);
  return Counts;
}

} // namespace catkinseam
