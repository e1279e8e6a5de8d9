// Planning of worker commands, and tracking of lease expiry and replica lag.
#include "catkinseam/batch/lease.h"

#include "catkinseam/batch/planner.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// How long a task being evicted is throttled before it is stopped.
constexpr Duration ThrottlePeriod = std::chrono::milliseconds(500);

std::map<TaskId, AttemptStatus> latestAttempts(const WorkerStatus &Status) {
  std::map<TaskId, AttemptStatus> Found;
  for (const AttemptStatus &Attempt : Status.m_attempts) {
    AttemptStatus &Latest = Found[Attempt.m_task];
    if (Attempt.m_attempt >= Latest.m_attempt)
      Latest = Attempt;
  }
  return Found;
}

bool isExecuting(AttemptState State) {
  return State == AttemptState::Running || State == AttemptState::Throttled;
}

class SyncPlanner {
public:
  SyncPlanner(const ReplicatedState &Shared, WorkerView &View, TimePoint Now,
              WorkerTime LeaseUntil)
      : m_shared(Shared), m_view(View), m_now(Now), m_leaseUntil(LeaseUntil),
        m_known(latestAttempts(*View.m_lastStatus)) {}

  SyncPlan plan(const std::string &Worker) {
    m_plan.m_commands.m_boot = m_view.m_lastStatus->m_boot;
    const WorkerRow *Row = m_shared.worker(Worker);
    if (Row != nullptr) {
      updateEvictions(Worker, *Row);
      for (const TaskId &Task : Row->m_tasks)
        planTask(Task, *m_shared.task(Task));
    }
    for (const AttemptStatus &Attempt : m_view.m_lastStatus->m_attempts)
      planStaleAttempt(Worker, Attempt);
    pruneEndedAttempts();
    return std::move(m_plan);
  }

private:
  void updateEvictions(const std::string &Worker, const WorkerRow &Row) {
    std::set<TaskId> ToEvict;
    if (m_view.m_isLeaving)
      ToEvict = Row.m_tasks;
    for (const TaskId &Task : planEvictions(m_shared, Worker))
      ToEvict.insert(Task);
    std::erase_if(m_view.m_evictingSince, [&](const auto &Known) {
      return ToEvict.count(Known.first) == 0;
    });
    for (const TaskId &Task : ToEvict)
      m_view.m_evictingSince.try_emplace(Task, m_now);
  }

  void planTask(const TaskId &Task, const TaskRow &Row) {
    const AttemptRef Ref{Task, Row.m_attempt};
    const JobRow &Job = *m_shared.job(Task.m_job);
    const auto Known = m_known.find(Task);
    const bool IsKnown =
        Known != m_known.end() && Known->second.m_attempt == Row.m_attempt;
    if (Job.m_phase != JobPhase::Active || Row.m_isFenced) {
      m_plan.m_commands.m_stops.push_back(Ref);
      return;
    }
    if (!IsKnown) {
      planStart(Ref, Row, Job);
      return;
    }
    if (!isExecuting(Known->second.m_state))
      return; // Ended; collectReleases releases it.
    if (planEviction(Ref, Known->second))
      return;
    if (m_view.m_canRenewLeases)
      m_plan.m_commands.m_renewals.push_back({Ref, m_leaseUntil});
  }

  void planStart(const AttemptRef &Ref, const TaskRow &Row, const JobRow &Job) {
    const bool IsBeingEvicted = m_view.m_evictingSince.count(Ref.m_task) > 0;
    // If the worker has not restarted since the claim, it would report the
    // attempt if it had started it. After a restart it may have lost the
    // attempt; stopping an unknown attempt prevents it from ever starting.
    if (IsBeingEvicted || Row.m_bootId != m_view.m_lastStatus->m_boot) {
      m_plan.m_commands.m_stops.push_back(Ref);
      return;
    }
    if (!m_view.m_canRenewLeases)
      return;
    StartCommand Start;
    Start.m_task = Ref.m_task;
    Start.m_attempt = Ref.m_attempt;
    Start.m_program = Job.m_record.m_program;
    Start.m_limit = Row.m_reserved;
    Start.m_checkpoint = Row.m_checkpoint;
    Start.m_leaseUntil = m_leaseUntil;
    m_plan.m_commands.m_starts.push_back(std::move(Start));
    ++m_plan.m_startCount;
  }

  /// Throttles a task being evicted, and stops it after ThrottlePeriod. Returns
  /// whether the task is being evicted.
  bool planEviction(const AttemptRef &Ref, const AttemptStatus &Known) {
    const auto Since = m_view.m_evictingSince.find(Ref.m_task);
    if (Since == m_view.m_evictingSince.end())
      return false;
    if (m_now - Since->second >= ThrottlePeriod) {
      m_plan.m_commands.m_stops.push_back(Ref);
      return true;
    }
    if (Known.m_state == AttemptState::Running)
      m_plan.m_commands.m_throttles.push_back(Ref);
    if (m_view.m_canRenewLeases)
      m_plan.m_commands.m_renewals.push_back({Ref, m_leaseUntil});
    return true;
  }

  /// Stops or forgets an attempt that the worker reports but that has ended in
  /// the log or been superseded. An attempt unknown to this replica was started
  /// by a peer whose replica is ahead, and is left alone.
  void planStaleAttempt(const std::string &Worker,
                        const AttemptStatus &Attempt) {
    const TaskRow *Row = m_shared.task(Attempt.m_task);
    if (Row == nullptr) {
      const JobRow *Job = m_shared.job(Attempt.m_task.m_job);
      const bool IsJobOver = Job != nullptr && Job->m_endedMs != 0;
      if (IsJobOver)
        planForget({Attempt.m_task, Attempt.m_attempt});
      return;
    }
    const bool IsClaimed = Row->m_phase == TaskPhase::Claimed &&
                           Row->m_attempt == Attempt.m_attempt &&
                           Row->m_worker == Worker;
    if (IsClaimed || Attempt.m_attempt > Row->m_attempt)
      return;
    const AttemptRef Ref{Attempt.m_task, Attempt.m_attempt};
    if (isExecuting(Attempt.m_state))
      m_plan.m_commands.m_stops.push_back(Ref);
    else
      planForget(Ref);
  }

  /// Lets the worker forget an ended attempt once no lagging entry can mistake
  /// it for one that has not been started yet.
  void planForget(const AttemptRef &Ref) {
    EndedAttempt &Ended =
        m_view.m_endedAttempts
            .try_emplace({Ref.m_task, Ref.m_attempt},
                         EndedAttempt{m_shared.nextOffset(), std::nullopt})
            .first->second;
    if (!Ended.m_majoritySince && m_view.m_majorityOffset >= Ended.m_seenOffset)
      Ended.m_majoritySince = m_now;
    if (Ended.m_majoritySince &&
        m_now - *Ended.m_majoritySince >= m_view.m_forgetDelay)
      m_plan.m_commands.m_forgets.push_back(Ref);
  }

  /// Removes ended attempts that the worker no longer reports.
  void pruneEndedAttempts() {
    std::set<std::pair<TaskId, std::uint32_t>> Reported;
    for (const AttemptStatus &Attempt : m_view.m_lastStatus->m_attempts)
      Reported.insert({Attempt.m_task, Attempt.m_attempt});
    std::erase_if(m_view.m_endedAttempts, [&](const auto &Known) {
      return Reported.count(Known.first) == 0;
    });
  }

  const ReplicatedState &m_shared;
  WorkerView &m_view;
  const TimePoint m_now;
  const WorkerTime m_leaseUntil;
  const std::map<TaskId, AttemptStatus> m_known;
  SyncPlan m_plan;
};

std::optional<ReleaseKind> releaseKindOf(const AttemptStatus &Attempt) {
  switch (Attempt.m_state) {
  case AttemptState::Running:
  case AttemptState::Throttled:
    return std::nullopt;
  case AttemptState::Finished:
    return ReleaseKind::Finished;
  case AttemptState::Failed:
    return ReleaseKind::Failed;
  case AttemptState::Stopped:
    return ReleaseKind::Evicted;
  case AttemptState::Refused:
    return ReleaseKind::Withdrawn;
  }
  return std::nullopt;
}

} // namespace

SyncPlan planSync(const ReplicatedState &Shared, const std::string &Worker,
                  WorkerView &View, TimePoint Now) {
  if (!View.m_lastStatus)
    return {}; // A sync without commands only requests the status.
  const WorkerTime LeaseUntil = View.m_lastStatus->m_now + View.m_leaseDuration;
  return SyncPlanner(Shared, View, Now, LeaseUntil).plan(Worker);
}

std::vector<ReleaseRecord> collectReleases(const ReplicatedState &Shared,
                                           const std::string &Worker,
                                           const WorkerStatus &Status) {
  std::vector<ReleaseRecord> Releases;
  for (const AttemptStatus &Attempt : Status.m_attempts) {
    const TaskRow *Row = Shared.task(Attempt.m_task);
    const bool IsClaimed =
        Row != nullptr && Row->m_phase == TaskPhase::Claimed &&
        Row->m_attempt == Attempt.m_attempt && Row->m_worker == Worker;
    const std::optional<ReleaseKind> Kind = releaseKindOf(Attempt);
    if (!IsClaimed || !Kind)
      continue;
    ReleaseRecord Release;
    Release.m_task = Attempt.m_task;
    Release.m_attempt = Attempt.m_attempt;
    Release.m_kind = *Kind;
    Release.m_checkpoint = Attempt.m_checkpoint;
    Release.m_peakUsage = Attempt.m_peakUsage;
    Release.m_runTimeMs = Attempt.m_runTime.count();
    Releases.push_back(std::move(Release));
  }
  return Releases;
}

Duration LeaseExpiryTracker::expiryDelay() const {
  return m_options.m_contactWindow + m_options.m_lagAllowance +
         m_options.m_leaseDuration + m_options.m_margin;
}

bool LeaseExpiryTracker::hasExpired(const TaskId &Task, std::uint32_t Attempt,
                                    bool MajorityApplied, TimePoint Now) {
  if (!MajorityApplied) {
    m_pendingExpiries.erase(Task);
    return false;
  }
  PendingExpiry &Known =
      m_pendingExpiries.try_emplace(Task, PendingExpiry{Attempt, Now})
          .first->second;
  if (Known.m_attempt != Attempt)
    Known = {Attempt, Now};
  return Now - Known.m_start >= expiryDelay();
}

bool ReplicaLagMonitor::isWithinAllowance(std::uint64_t Applied,
                                          std::uint64_t Heard, TimePoint Now,
                                          Duration Allowance) {
  if (Applied >= m_targetOffset) {
    m_targetOffset = Heard;
    m_targetSetTime = Now;
  }
  return Applied >= m_targetOffset || Now - m_targetSetTime <= Allowance;
}

} // namespace catkinseam
