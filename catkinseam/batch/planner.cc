// Order of jobs, choice of worker, choice of victim.
#include "catkinseam/batch/planner.h"

#include <algorithm>
#include <map>

namespace catkinseam {

namespace {

/// Reservations exceed the highest usage seen by a tenth.
constexpr std::int64_t MarginNumerator = 11;
constexpr std::int64_t MarginDenominator = 10;

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
std::uint32_t openClaims(const State &Shared, const WorkerRow &Worker) {
  constexpr std::uint32_t Unlimited = 100000;
  if (State::isQuarantined(Worker)) {
    const bool MayProbe =
        Worker.m_claimsSinceOutcome == 0 &&
        Shared.timeMs() >= Worker.m_lastFailureMs + State::ProbeAfterMs;
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
               openClaims(Shared, Worker)};
    if (Open.m_openClaims > 0)
      Places.push_back(std::move(Open));
  }
  return Places;
}

/// A job with the tasks of it that this entry may claim.
struct Line {
  const JobRow *m_job = nullptr;
  Resources m_size;
  std::vector<std::uint32_t> m_tasks;
  std::size_t m_next = 0;
  std::map<std::string, std::uint32_t> m_racks;
};

/// Entries start at different tasks of a job, so that they rarely race.
std::vector<std::uint32_t> rotatedTasks(const JobRow &Job,
                                        const PlannerView &View) {
  std::vector<std::uint32_t> Tasks;
  for (const std::uint32_t Index : Job.m_queued)
    if (View.m_pending.count({Job.m_record.m_job, Index}) == 0)
      Tasks.push_back(Index);
  const auto Rank =
      static_cast<std::size_t>(std::find(View.m_readySeats.begin(),
                                         View.m_readySeats.end(), View.m_seat) -
                               View.m_readySeats.begin());
  const std::size_t Start =
      Tasks.size() * Rank / std::max<std::size_t>(1, View.m_readySeats.size());
  std::rotate(Tasks.begin(), Tasks.begin() + static_cast<long>(Start),
              Tasks.end());
  return Tasks;
}

std::vector<Line> linesOf(const State &Shared, const PlannerView &View) {
  std::vector<Line> Lines;
  for (const auto &[Name, Job] : Shared.jobs()) {
    if (Job.m_phase != JobPhase::Active || Job.m_queued.empty())
      continue;
    Line Next;
    Next.m_job = &Job;
    Next.m_size = reservationFor(Job);
    Next.m_tasks = rotatedTasks(Job, View);
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

Resources reservationFor(const JobRow &Job) {
  if (Job.m_peak.isZero())
    return Job.m_record.m_size;
  return {withMargin(Job.m_peak.m_milliProcessors),
          withMargin(Job.m_peak.m_memoryMb),
          Job.m_record.m_size.m_accelerators};
}

std::vector<ClaimRecord> planClaims(const State &Shared,
                                    const PlannerView &View) {
  std::vector<ClaimRecord> Claims;
  if (flagAt(Shared.config().content(), "batch/claims_paused", false))
    return Claims;
  std::vector<Place> Places = ownPlaces(Shared, View);
  std::vector<Line> Lines = linesOf(Shared, View);
  std::map<std::string, Resources> PlannedByTeam;
  bool IsProgressing = true;
  // Each round gives one task to each job in order.
  while (IsProgressing && Claims.size() < View.m_maxClaims) {
    IsProgressing = false;
    for (Line &Next : Lines) {
      if (Next.m_next >= Next.m_tasks.size() ||
          Claims.size() >= View.m_maxClaims)
        continue;
      const std::string &Team = Next.m_job->m_record.m_team;
      if (isAtQuota(Shared, Team, PlannedByTeam[Team], Next.m_size))
        continue;
      Place *Chosen = choosePlace(Places, Next);
      if (Chosen == nullptr)
        continue;
      const std::uint32_t Index = Next.m_tasks[Next.m_next++];
      const TaskRow &Task = Next.m_job->m_tasks[Index];
      Claims.push_back({{Next.m_job->m_record.m_job, Index},
                        Task.m_attempt + 1,
                        Chosen->m_name,
                        Chosen->m_boot,
                        Next.m_size});
      Chosen->m_room -= Next.m_size;
      --Chosen->m_openClaims;
      ++Next.m_racks[Chosen->m_rack];
      PlannedByTeam[Team] += Next.m_size;
      IsProgressing = true;
    }
  }
  return Claims;
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
