// Job ordering, worker selection and eviction selection.
#include "catkinseam/batch/planner.h"

#include "catkinseam/base/hash.h"

#include <algorithm>
#include <array>
#include <map>

namespace catkinseam {

namespace {

/// Reservations exceed the observed peak usage by 10%, rounded up.
constexpr std::int64_t UsageMarginNumerator = 11;
constexpr std::int64_t UsageMarginDenominator = 10;
/// How long only the owning entry may claim a queued task.
constexpr std::int64_t OwnerPriorityMs = 300;

std::int64_t withUsageMargin(std::int64_t Amount) {
  return (Amount * UsageMarginNumerator + UsageMarginDenominator - 1) /
         UsageMarginDenominator;
}

/// A worker that may take tasks, with the capacity that remains during
/// planning.
struct CandidateWorker {
  std::string m_name;
  std::string m_boot;
  std::string m_rack;
  Resources m_free;
  std::uint32_t m_remainingClaims = 0;
};

/// Returns how many more claims the worker may take. Must apply the same rules
/// as ReplicatedState does when it accepts claims.
std::uint32_t remainingClaims(const WorkerRow &Worker, std::int64_t NowMs) {
  constexpr std::uint32_t Unlimited = 100000;
  if (ReplicatedState::isQuarantined(Worker)) {
    const bool MayProbe =
        Worker.m_claimsSinceOutcome == 0 &&
        NowMs >= Worker.m_lastFailureMs + ReplicatedState::ProbeDelayMs;
    return MayProbe ? 1 : 0;
  }
  if (Worker.m_consecutiveFailures > 0)
    return Worker.m_claimsSinceOutcome == 0 ? 1 : 0;
  if (Worker.m_hasSucceeded)
    return Unlimited;
  const auto ClaimedTasks = static_cast<std::uint32_t>(Worker.m_tasks.size());
  return ReplicatedState::MaxClaimsBeforeFirstSuccess > ClaimedTasks
             ? ReplicatedState::MaxClaimsBeforeFirstSuccess - ClaimedTasks
             : 0;
}

std::vector<CandidateWorker> candidateWorkers(const ReplicatedState &Shared,
                                              const PlannerView &View) {
  std::vector<CandidateWorker> Candidates;
  for (const auto &[Name, Worker] : Shared.workers()) {
    const bool IsAssigned =
        preferredSeat(Name, View.m_readySeats) == View.m_seat;
    const auto Usable = View.m_usableWorkers.find(Name);
    if (!IsAssigned || !Worker.m_isReported ||
        Usable == View.m_usableWorkers.end())
      continue;
    CandidateWorker Candidate{Name, Usable->second, Worker.m_rack,
                              summarizeCapacity(Worker.m_capacity).m_room,
                              remainingClaims(Worker, View.m_wallMs)};
    if (Candidate.m_remainingClaims > 0)
      Candidates.push_back(std::move(Candidate));
  }
  return Candidates;
}

/// A job and its queued tasks that this entry may claim, in two lists: the
/// tasks that this entry owns, and overdue tasks that other entries own.
struct JobQueue {
  const JobRow *m_job = nullptr;
  Resources m_reservation;
  std::array<std::vector<std::uint32_t>, 2> m_tasks;
  std::array<std::size_t, 2> m_nextTask{};
  std::map<std::string, std::uint32_t> m_claimsByRack;
};

constexpr std::size_t OwnTasks = 0;
constexpr std::size_t OthersTasks = 1;

/// Adds the tasks of `Job` that this entry may claim. Each task is owned by one
/// ready entry. The others may claim it after OwnerPriorityMs, since their
/// workers may have free capacity when the owner's have none.
void addTasks(JobQueue &Queue, const JobRow &Job, const PlannerView &View) {
  const auto Entries = static_cast<std::uint32_t>(View.m_readySeats.size());
  const auto Rank = static_cast<std::uint32_t>(
      std::find(View.m_readySeats.begin(), View.m_readySeats.end(),
                View.m_seat) -
      View.m_readySeats.begin());
  const auto OwnerOffset =
      static_cast<std::uint32_t>(hashBytes(Job.m_record.m_job) % Entries);
  std::vector<std::uint32_t> &OthersQueued = Queue.m_tasks[OthersTasks];
  for (const std::uint32_t Index : Job.m_queued) {
    if (View.m_pending.count({Job.m_record.m_job, Index}) > 0)
      continue;
    const bool IsOverdue =
        View.m_wallMs - Job.m_tasks[Index].m_phaseChangedMs >= OwnerPriorityMs;
    if ((Index + OwnerOffset) % Entries == Rank)
      Queue.m_tasks[OwnTasks].push_back(Index);
    else if (IsOverdue)
      OthersQueued.push_back(Index);
  }
  // Non-owners start at different tasks to reduce conflicting claims.
  const std::size_t FirstTask = OthersQueued.size() * Rank / Entries;
  std::rotate(OthersQueued.begin(),
              OthersQueued.begin() + static_cast<long>(FirstTask),
              OthersQueued.end());
}

/// Returns the largest batch capacity of any worker, per resource.
Resources largestBatchCapacity(const ReplicatedState &Shared) {
  Resources LargestBatchCapacity;
  for (const auto &[Name, Worker] : Shared.workers())
    LargestBatchCapacity =
        elementwiseMax(LargestBatchCapacity, Worker.m_capacity.m_target -
                                                 Worker.m_capacity.m_protected);
  return LargestBatchCapacity;
}

std::vector<JobQueue> jobQueues(const ReplicatedState &Shared,
                                const PlannerView &View) {
  std::vector<JobQueue> Queues;
  const bool ReserveDeclared =
      getBoolean(Shared.config().content(), "batch/reserve_declared", false);
  const Resources LargestBatchCapacity = largestBatchCapacity(Shared);
  for (const auto &[Name, Job] : Shared.jobs()) {
    if (Job.m_phase != JobPhase::Active || Job.m_queued.empty())
      continue;
    JobQueue Queue;
    Queue.m_job = &Job;
    Queue.m_reservation = ReserveDeclared
                              ? Job.m_record.m_size
                              : reservationFor(Job, LargestBatchCapacity);
    addTasks(Queue, Job, View);
    Queues.push_back(std::move(Queue));
  }
  // Urgent jobs first, then jobs with the fewest claimed tasks, then the
  // oldest. Every job makes progress, and a short job does not wait for the
  // tasks of a long one.
  std::sort(Queues.begin(), Queues.end(),
            [](const JobQueue &Left, const JobQueue &Right) {
              const JobRow &A = *Left.m_job;
              const JobRow &B = *Right.m_job;
              if (A.m_record.m_isUrgent != B.m_record.m_isUrgent)
                return A.m_record.m_isUrgent;
              if (A.m_claimed != B.m_claimed)
                return A.m_claimed < B.m_claimed;
              return A.m_submittedMs < B.m_submittedMs;
            });
  return Queues;
}

/// Returns the worker that fits a task of the job on the rack with the fewest
/// claims of this job, preferring the most free processors; null if none fits.
CandidateWorker *chooseWorker(std::vector<CandidateWorker> &Candidates,
                              JobQueue &Queue) {
  CandidateWorker *Best = nullptr;
  for (CandidateWorker &Candidate : Candidates) {
    if (Candidate.m_remainingClaims == 0 ||
        !Queue.m_reservation.fitsIn(Candidate.m_free))
      continue;
    if (Best == nullptr) {
      Best = &Candidate;
      continue;
    }
    const std::uint32_t CandidateClaims =
        Queue.m_claimsByRack[Candidate.m_rack];
    const std::uint32_t BestClaims = Queue.m_claimsByRack[Best->m_rack];
    const bool IsBetter = CandidateClaims != BestClaims
                              ? CandidateClaims < BestClaims
                              : Candidate.m_free.m_milliProcessors >
                                    Best->m_free.m_milliProcessors;
    if (IsBetter)
      Best = &Candidate;
  }
  return Best;
}

bool isAtQuota(const ReplicatedState &Shared, const std::string &Team,
               const Resources &Planned, const Resources &Size) {
  const std::int64_t Quota = getNumber(
      Shared.config().content(), "teams/" + Team + "/processors_milli", -1);
  if (Quota < 0)
    return false;
  const Resources TeamTotal = Shared.reservedByTeam(Team) + Planned + Size;
  return TeamTotal.m_milliProcessors > Quota;
}

} // namespace

Resources reservationFor(const JobRow &Job,
                         const Resources &LargestBatchCapacity) {
  if (Job.m_peakDemand.isZero())
    return Job.m_record.m_size;
  const Resources ObservedSize = {
      withUsageMargin(Job.m_peakDemand.m_milliProcessors),
      withUsageMargin(Job.m_peakDemand.m_memoryMb),
      Job.m_record.m_size.m_accelerators};
  return elementwiseMin(
      ObservedSize, elementwiseMax(LargestBatchCapacity, Job.m_record.m_size));
}

namespace {

/// Plans claims in rounds, one task per job and round, in the order of the
/// jobs.
class ClaimPlanner {
public:
  ClaimPlanner(const ReplicatedState &Shared, const PlannerView &View)
      : m_shared(Shared), m_view(View),
        m_candidates(candidateWorkers(Shared, View)),
        m_queues(jobQueues(Shared, View)) {}

  std::vector<ClaimRecord> plan() {
    for (const std::size_t TaskList : {OwnTasks, OthersTasks})
      while (m_claims.size() < m_view.m_maxClaims && planRound(TaskList)) {
      }
    return std::move(m_claims);
  }

private:
  bool planRound(std::size_t TaskList) {
    const std::size_t Before = m_claims.size();
    for (JobQueue &Queue : m_queues)
      if (m_claims.size() < m_view.m_maxClaims)
        planTask(Queue, TaskList);
    return m_claims.size() > Before;
  }

  void planTask(JobQueue &Queue, std::size_t TaskList) {
    if (Queue.m_nextTask[TaskList] >= Queue.m_tasks[TaskList].size())
      return;
    const std::string &Team = Queue.m_job->m_record.m_team;
    if (isAtQuota(m_shared, Team, m_planned[Team], Queue.m_reservation))
      return;
    CandidateWorker *Chosen = chooseWorker(m_candidates, Queue);
    if (Chosen == nullptr)
      return;
    const std::uint32_t Index =
        Queue.m_tasks[TaskList][Queue.m_nextTask[TaskList]++];
    m_claims.push_back({{Queue.m_job->m_record.m_job, Index},
                        Queue.m_job->m_tasks[Index].m_attempt + 1,
                        Chosen->m_name,
                        Chosen->m_boot,
                        Queue.m_reservation});
    Chosen->m_free -= Queue.m_reservation;
    --Chosen->m_remainingClaims;
    ++Queue.m_claimsByRack[Chosen->m_rack];
    m_planned[Team] += Queue.m_reservation;
  }

  const ReplicatedState &m_shared;
  const PlannerView &m_view;
  std::vector<CandidateWorker> m_candidates;
  std::vector<JobQueue> m_queues;
  std::map<std::string, Resources> m_planned;
  std::vector<ClaimRecord> m_claims;
};

} // namespace

std::vector<ClaimRecord> planClaims(const ReplicatedState &Shared,
                                    const PlannerView &View) {
  const bool IsPaused =
      getBoolean(Shared.config().content(), "batch/claims_paused", false);
  const bool IsReady =
      std::find(View.m_readySeats.begin(), View.m_readySeats.end(),
                View.m_seat) != View.m_readySeats.end();
  if (IsPaused || !IsReady)
    return {};
  return ClaimPlanner(Shared, View).plan();
}

std::vector<TaskId> planEvictions(const ReplicatedState &Shared,
                                  const std::string &Worker) {
  std::vector<TaskId> Victims;
  const WorkerRow *Row = Shared.worker(Worker);
  if (Row == nullptr)
    return Victims;
  Resources Excess = excessReservation(Row->m_capacity);
  if (Excess.isZero())
    return Victims;
  std::vector<TaskId> Tasks(Row->m_tasks.begin(), Row->m_tasks.end());
  // The most recently started tasks lose the least work. Tasks that have been
  // evicted more often go last.
  std::sort(Tasks.begin(), Tasks.end(),
            [&](const TaskId &Left, const TaskId &Right) {
              const TaskRow &A = *Shared.task(Left);
              const TaskRow &B = *Shared.task(Right);
              if (A.m_evictions != B.m_evictions)
                return A.m_evictions < B.m_evictions;
              if (A.m_phaseChangedMs != B.m_phaseChangedMs)
                return A.m_phaseChangedMs > B.m_phaseChangedMs;
              return Left < Right;
            });
  for (const TaskId &Task : Tasks) {
    if (Excess.isZero())
      break;
    Victims.push_back(Task);
    Excess =
        elementwiseMax(Excess - Shared.task(Task)->m_reserved, Resources{});
  }
  return Victims;
}

} // namespace catkinseam
