// Order of jobs, choice of worker, choice of victim.
#include "catkinseam/batch/planner.h"

#include "catkinseam/base/hash.h"

#include <algorithm>
#include <array>
#include <map>

namespace catkinseam {

namespace {

/// Reservations exceed the highest usage seen by a tenth.
constexpr std::int64_t MarginNumerator = 11;
constexpr std::int64_t MarginDenominator = 10;
/// How long a queued task is left to the entry it belongs to.
constexpr std::int64_t OwnerFirstMs = 300;

std::int64_t withMargin(std::int64_t Amount) {
  return (Amount * MarginNumerator + MarginDenominator - 1) / MarginDenominator;
}

/// A worker as planning uses it up.
struct Place {
  std::string m_name;
  std::string m_boot;
  std::string m_rack;
  Resources m_room;
  std::uint32_t m_openClaims = 0;
};

/// Claims a worker may still take, judging as the fold does.
std::uint32_t openClaims(const WorkerRow &Worker, std::int64_t NowMs) {
  constexpr std::uint32_t Unlimited = 100000;
  if (State::isQuarantined(Worker)) {
    const bool MayProbe = Worker.m_claimsSinceOutcome == 0 &&
                          NowMs >= Worker.m_lastFailureMs + State::ProbeAfterMs;
    return MayProbe ? 1 : 0;
  }
  if (Worker.m_failStreak > 0)
    return Worker.m_claimsSinceOutcome == 0 ? 1 : 0;
  if (Worker.m_hasSucceeded)
    return Unlimited;
  const auto Held = static_cast<std::uint32_t>(Worker.m_tasks.size());
  return State::UnprovenClaims > Held ? State::UnprovenClaims - Held : 0;
}

std::vector<Place> ownPlaces(const State &Shared, const PlannerView &View) {
  std::vector<Place> Places;
  for (const auto &[Name, Worker] : Shared.workers()) {
    const bool IsOwn = homeOf(Name, View.m_readySeats) == View.m_seat;
    const auto Usable = View.m_usable.find(Name);
    if (!IsOwn || !Worker.m_isReported || Usable == View.m_usable.end())
      continue;
    Place Open{Name, Usable->second, Worker.m_rack,
               readReport(Worker.m_capacity).m_room,
               openClaims(Worker, View.m_wallMs)};
    if (Open.m_openClaims > 0)
      Places.push_back(std::move(Open));
  }
  return Places;
}

/// A job with the tasks of it that this entry may claim, in two lists: its own
/// and, once they have waited, those of other entries.
struct Line {
  const JobRow *m_job = nullptr;
  Resources m_size;
  std::array<std::vector<std::uint32_t>, 2> m_tasks;
  std::array<std::size_t, 2> m_next{};
  std::map<std::string, std::uint32_t> m_racks;
};

constexpr std::size_t OwnTasks = 0;
constexpr std::size_t OthersTasks = 1;

/// Each task belongs to one ready entry first; the others may claim it once it
/// has waited, for their workers may have room where the owner's have none.
void addTasks(Line &Into, const JobRow &Job, const PlannerView &View) {
  const auto Entries = static_cast<std::uint32_t>(View.m_readySeats.size());
  const auto Rank = static_cast<std::uint32_t>(
      std::find(View.m_readySeats.begin(), View.m_readySeats.end(),
                View.m_seat) -
      View.m_readySeats.begin());
  const auto Shift =
      static_cast<std::uint32_t>(hashBytes(Job.m_record.m_job) % Entries);
  std::vector<std::uint32_t> &Others = Into.m_tasks[OthersTasks];
  for (const std::uint32_t Index : Job.m_queued) {
    if (View.m_pending.count({Job.m_record.m_job, Index}) > 0)
      continue;
    const bool HasWaited =
        View.m_wallMs - Job.m_tasks[Index].m_sinceMs >= OwnerFirstMs;
    if ((Index + Shift) % Entries == Rank)
      Into.m_tasks[OwnTasks].push_back(Index);
    else if (HasWaited)
      Others.push_back(Index);
  }
  // Entries that help out start at different tasks, so that they rarely race.
  const std::size_t Start = Others.size() * Rank / Entries;
  std::rotate(Others.begin(), Others.begin() + static_cast<long>(Start),
              Others.end());
}

/// What the most generous worker leaves to batch, amount by amount.
Resources largestBatchLimit(const State &Shared) {
  Resources Most;
  for (const auto &[Name, Worker] : Shared.workers())
    Most = larger(Most,
                  Worker.m_capacity.m_target - Worker.m_capacity.m_protected);
  return Most;
}

std::vector<Line> linesOf(const State &Shared, const PlannerView &View) {
  std::vector<Line> Lines;
  const bool ByDeclared =
      flagAt(Shared.config().content(), "batch/reserve_declared", false);
  const Resources Most = largestBatchLimit(Shared);
  for (const auto &[Name, Job] : Shared.jobs()) {
    if (Job.m_phase != JobPhase::Active || Job.m_queued.empty())
      continue;
    Line Next;
    Next.m_job = &Job;
    Next.m_size = ByDeclared ? Job.m_record.m_size : reservationFor(Job, Most);
    addTasks(Next, Job, View);
    Lines.push_back(std::move(Next));
  }
  // Urgent jobs first, then those that hold the least, then the oldest: every
  // job progresses, and a short one does not wait for a long one's tasks.
  std::sort(Lines.begin(), Lines.end(),
            [](const Line &Left, const Line &Right) {
              const JobRow &A = *Left.m_job;
              const JobRow &B = *Right.m_job;
              if (A.m_record.m_isUrgent != B.m_record.m_isUrgent)
                return A.m_record.m_isUrgent;
              if (A.m_claimed != B.m_claimed)
                return A.m_claimed < B.m_claimed;
              return A.m_submittedMs < B.m_submittedMs;
            });
  return Lines;
}

/// The place with the most room left, on the rack that the job uses least.
Place *choosePlace(std::vector<Place> &Places, Line &Wanted) {
  Place *Best = nullptr;
  for (Place &Candidate : Places) {
    if (Candidate.m_openClaims == 0 || !Wanted.m_size.fitsIn(Candidate.m_room))
      continue;
    if (Best == nullptr) {
      Best = &Candidate;
      continue;
    }
    const std::uint32_t Here = Wanted.m_racks[Candidate.m_rack];
    const std::uint32_t There = Wanted.m_racks[Best->m_rack];
    const bool IsBetter = Here != There ? Here < There
                                        : Candidate.m_room.m_milliProcessors >
                                              Best->m_room.m_milliProcessors;
    if (IsBetter)
      Best = &Candidate;
  }
  return Best;
}

bool isAtQuota(const State &Shared, const std::string &Team,
               const Resources &Planned, const Resources &Size) {
  const std::int64_t Quota = numberAt(
      Shared.config().content(), "teams/" + Team + "/processors_milli", -1);
  if (Quota < 0)
    return false;
  const Resources After = Shared.heldByTeam(Team) + Planned + Size;
  return After.m_milliProcessors > Quota;
}

} // namespace

Resources reservationFor(const JobRow &Job, const Resources &Most) {
  if (Job.m_peak.isZero())
    return Job.m_record.m_size;
  const Resources Observed = {withMargin(Job.m_peak.m_milliProcessors),
                              withMargin(Job.m_peak.m_memoryMb),
                              Job.m_record.m_size.m_accelerators};
  return smaller(Observed, larger(Most, Job.m_record.m_size));
}

namespace {

/// Hands out places round by round, one task to each job in order.
class ClaimPlan {
public:
  ClaimPlan(const State &Shared, const PlannerView &View)
      : m_shared(Shared), m_view(View), m_places(ownPlaces(Shared, View)),
        m_lines(linesOf(Shared, View)) {}

  std::vector<ClaimRecord> make() {
    for (const std::size_t List : {OwnTasks, OthersTasks})
      while (m_claims.size() < m_view.m_maxClaims && planRound(List)) {
      }
    return std::move(m_claims);
  }

private:
  bool planRound(std::size_t List) {
    const std::size_t Before = m_claims.size();
    for (Line &Next : m_lines)
      if (m_claims.size() < m_view.m_maxClaims)
        planOne(Next, List);
    return m_claims.size() > Before;
  }

  void planOne(Line &Next, std::size_t List) {
    if (Next.m_next[List] >= Next.m_tasks[List].size())
      return;
    const std::string &Team = Next.m_job->m_record.m_team;
    if (isAtQuota(m_shared, Team, m_planned[Team], Next.m_size))
      return;
    Place *Chosen = choosePlace(m_places, Next);
    if (Chosen == nullptr)
      return;
    const std::uint32_t Index = Next.m_tasks[List][Next.m_next[List]++];
    m_claims.push_back({{Next.m_job->m_record.m_job, Index},
                        Next.m_job->m_tasks[Index].m_attempt + 1,
                        Chosen->m_name,
                        Chosen->m_boot,
                        Next.m_size});
    Chosen->m_room -= Next.m_size;
    --Chosen->m_openClaims;
    ++Next.m_racks[Chosen->m_rack];
    m_planned[Team] += Next.m_size;
  }

  const State &m_shared;
  const PlannerView &m_view;
  std::vector<Place> m_places;
  std::vector<Line> m_lines;
  std::map<std::string, Resources> m_planned;
  std::vector<ClaimRecord> m_claims;
};

} // namespace

std::vector<ClaimRecord> planClaims(const State &Shared,
                                    const PlannerView &View) {
  const bool IsPaused =
      flagAt(Shared.config().content(), "batch/claims_paused", false);
  const bool IsReady =
      std::find(View.m_readySeats.begin(), View.m_readySeats.end(),
                View.m_seat) != View.m_readySeats.end();
  if (IsPaused || !IsReady)
    return {};
  return ClaimPlan(Shared, View).make();
}

std::vector<TaskId> planEvictions(const State &Shared,
                                  const std::string &Worker) {
  std::vector<TaskId> Victims;
  const WorkerRow *Row = Shared.worker(Worker);
  if (Row == nullptr)
    return Victims;
  Resources Over = overheld(Row->m_capacity);
  if (Over.isZero())
    return Victims;
  std::vector<TaskId> Tasks(Row->m_tasks.begin(), Row->m_tasks.end());
  // The youngest lose the least; a task evicted before goes last.
  std::sort(Tasks.begin(), Tasks.end(),
            [&](const TaskId &Left, const TaskId &Right) {
              const TaskRow &A = *Shared.task(Left);
              const TaskRow &B = *Shared.task(Right);
              if (A.m_evictions != B.m_evictions)
                return A.m_evictions < B.m_evictions;
              if (A.m_sinceMs != B.m_sinceMs)
                return A.m_sinceMs > B.m_sinceMs;
              return Left < Right;
            });
  for (const TaskId &Task : Tasks) {
    if (Over.isZero())
      break;
    Victims.push_back(Task);
    Over = larger(Over - Shared.task(Task)->m_reserved, Resources{});
  }
  return Victims;
}

} // namespace catkinseam
