// Commands to workers and conclusions from their answers.
#include "catkinseam/batch/lease.h"

#include "catkinseam/batch/planner.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// A throttled victim is stopped after this long.
constexpr Duration ThrottleBeforeStop = std::chrono::milliseconds(500);
std::map<TaskId, AttemptStatus> byTask(const WorkerStatus &Status) {
  std::map<TaskId, AttemptStatus> Found;
  for (const AttemptStatus &Attempt : Status.m_attempts) {
    AttemptStatus &Latest = Found[Attempt.m_task];
    if (Attempt.m_attempt >= Latest.m_attempt)
      Latest = Attempt;
  }
  return Found;
}

bool isAlive(AttemptState State) {
  return State == AttemptState::Running || State == AttemptState::Throttled;
}

class SyncPlanner {
public:
  SyncPlanner(const State &Shared, WorkerView &View, TimePoint Now,
              WorkerTime LeaseUntil)
      : m_shared(Shared), m_view(View), m_now(Now), m_leaseUntil(LeaseUntil),
        m_known(byTask(*View.m_last)) {}

  SyncPlan plan(const std::string &Worker) {
    m_plan.m_commands.m_boot = m_view.m_last->m_boot;
    const WorkerRow *Row = m_shared.worker(Worker);
    if (Row != nullptr) {
      markVictims(Worker, *Row);
      for (const TaskId &Task : Row->m_tasks)
        planTask(Task, *m_shared.task(Task));
    }
    for (const AttemptStatus &Attempt : m_view.m_last->m_attempts)
      planLeftover(Worker, Attempt);
    dropForgotten();
    return std::move(m_plan);
  }

private:
  void markVictims(const std::string &Worker, const WorkerRow &Row) {
    std::set<TaskId> Victims;
    if (m_view.m_isLeaving)
      Victims = Row.m_tasks;
    for (const TaskId &Task : planEvictions(m_shared, Worker))
      Victims.insert(Task);
    std::erase_if(m_view.m_evictingSince, [&](const auto &Known) {
      return Victims.count(Known.first) == 0;
    });
    for (const TaskId &Task : Victims)
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
      planUnknown(Ref, Row, Job);
      return;
    }
    if (!isAlive(Known->second.m_state))
      return; // Ended; the release is on its way.
    if (planEviction(Ref, Known->second))
      return;
    if (m_view.m_mayRenew)
      m_plan.m_commands.m_renewals.push_back({Ref, m_leaseUntil});
  }

  void planUnknown(const AttemptRef &Ref, const TaskRow &Row,
                   const JobRow &Job) {
    const bool IsVictim = m_view.m_evictingSince.count(Ref.m_task) > 0;
    // The boot that was claimed would know the attempt if it had ever started
    // there. Another boot may have lost it: a stop bars its start for good.
    if (IsVictim || Row.m_boot != m_view.m_last->m_boot) {
      m_plan.m_commands.m_stops.push_back(Ref);
      return;
    }
    if (!m_view.m_mayRenew)
      return;
    StartCommand Start;
    Start.m_task = Ref.m_task;
    Start.m_attempt = Ref.m_attempt;
    Start.m_program = Job.m_record.m_program;
    Start.m_limit = Row.m_reserved;
    Start.m_checkpoint = Row.m_checkpoint;
    Start.m_leaseUntil = m_leaseUntil;
    m_plan.m_commands.m_starts.push_back(std::move(Start));
    ++m_plan.m_started;
  }

  /// Throttles first, then stops. Returns whether the task is a victim.
  bool planEviction(const AttemptRef &Ref, const AttemptStatus &Known) {
    const auto Since = m_view.m_evictingSince.find(Ref.m_task);
    if (Since == m_view.m_evictingSince.end())
      return false;
    if (m_now - Since->second >= ThrottleBeforeStop) {
      m_plan.m_commands.m_stops.push_back(Ref);
      return true;
    }
    if (Known.m_state == AttemptState::Running)
      m_plan.m_commands.m_throttles.push_back(Ref);
    if (m_view.m_mayRenew)
      m_plan.m_commands.m_renewals.push_back({Ref, m_leaseUntil});
    return true;
  }

  /// Attempts at the worker that the log has ended or given elsewhere. An
  /// attempt that the log does not know yet is a peer's, read back there
  /// before here: it is left alone.
  void planLeftover(const std::string &Worker, const AttemptStatus &Attempt) {
    const TaskRow *Row = m_shared.task(Attempt.m_task);
    if (Row == nullptr) {
      const JobRow *Job = m_shared.job(Attempt.m_task.m_job);
      const bool IsJobOver = Job != nullptr && Job->m_endedMs != 0;
      if (IsJobOver)
        planForget({Attempt.m_task, Attempt.m_attempt});
      return;
    }
    const bool IsHeld = Row->m_phase == TaskPhase::Claimed &&
                        Row->m_attempt == Attempt.m_attempt &&
                        Row->m_worker == Worker;
    if (IsHeld || Attempt.m_attempt > Row->m_attempt)
      return;
    const AttemptRef Ref{Attempt.m_task, Attempt.m_attempt};
    if (isAlive(Attempt.m_state))
      m_plan.m_commands.m_stops.push_back(Ref);
    else
      planForget(Ref);
  }

  /// Lets the worker forget an ended attempt once no entry can take it for one
  /// that has not been started yet.
  void planForget(const AttemptRef &Ref) {
    EndedAttempt &Ended =
        m_view.m_ended
            .try_emplace({Ref.m_task, Ref.m_attempt},
                         EndedAttempt{m_shared.nextOffset(), std::nullopt})
            .first->second;
    if (!Ended.m_since && m_view.m_majorityOffset >= Ended.m_offset)
      Ended.m_since = m_now;
    if (Ended.m_since && m_now - *Ended.m_since >= m_view.m_forgetAfter)
      m_plan.m_commands.m_forgets.push_back(Ref);
  }

  /// Drops notes of attempts that the worker has forgotten.
  void dropForgotten() {
    std::set<std::pair<TaskId, std::uint32_t>> Reported;
    for (const AttemptStatus &Attempt : m_view.m_last->m_attempts)
      Reported.insert({Attempt.m_task, Attempt.m_attempt});
    std::erase_if(m_view.m_ended, [&](const auto &Known) {
      return Reported.count(Known.first) == 0;
    });
  }

  const State &m_shared;
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

SyncPlan planSync(const State &Shared, const std::string &Worker,
                  WorkerView &View, TimePoint Now) {
  if (!View.m_last)
    return {}; // An empty sync only asks for the status.
  const WorkerTime LeaseUntil = View.m_last->m_now + View.m_lease;
  return SyncPlanner(Shared, View, Now, LeaseUntil).plan(Worker);
}

std::vector<ReleaseRecord> readStatus(const State &Shared,
                                      const std::string &Worker,
                                      const WorkerStatus &Status) {
  std::vector<ReleaseRecord> Releases;
  for (const AttemptStatus &Attempt : Status.m_attempts) {
    const TaskRow *Row = Shared.task(Attempt.m_task);
    const bool IsHeld = Row != nullptr && Row->m_phase == TaskPhase::Claimed &&
                        Row->m_attempt == Attempt.m_attempt &&
                        Row->m_worker == Worker;
    const std::optional<ReleaseKind> Kind = releaseKindOf(Attempt);
    if (!IsHeld || !Kind)
      continue;
    ReleaseRecord Release;
    Release.m_task = Attempt.m_task;
    Release.m_attempt = Attempt.m_attempt;
    Release.m_kind = *Kind;
    Release.m_checkpoint = Attempt.m_checkpoint;
    Release.m_peak = Attempt.m_peak;
    Release.m_ranMs = Attempt.m_ran.count();
    Releases.push_back(std::move(Release));
  }
  return Releases;
}

Duration LapseWatch::waitTime() const {
  return m_options.m_contactWindow + m_options.m_lagAllowance +
         m_options.m_lease + m_options.m_margin;
}

bool LapseWatch::isOver(const TaskId &Task, std::uint32_t Attempt,
                        bool MajorityApplied, TimePoint Now) {
  if (!MajorityApplied) {
    m_since.erase(Task);
    return false;
  }
  Wait &Known = m_since.try_emplace(Task, Wait{Attempt, Now}).first->second;
  if (Known.m_attempt != Attempt)
    Known = {Attempt, Now};
  return Now - Known.m_start >= waitTime();
}

bool LagWatch::keepsUp(std::uint64_t Applied, std::uint64_t Heard,
                       TimePoint Now, Duration Allowance) {
  if (Applied >= m_mark) {
    m_mark = Heard;
    m_markTime = Now;
  }
  return Applied >= m_mark || Now - m_markTime <= Allowance;
}

} // namespace catkinseam
