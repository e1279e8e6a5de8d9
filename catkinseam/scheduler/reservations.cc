// Expected ends of runs, and the room that they leave.
#include "catkinseam/scheduler/reservations.h"

#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/placement.h"

#include <algorithm>
#include <optional>

namespace catkinseam {

namespace {

/// Progress below this says little about the rate of a run.
constexpr std::int64_t MinProgressPercent = 10;
/// The end of a run that is overdue for longer is not waited for: it may run on
/// for any time, and the reserved room be kept from others meanwhile.
constexpr Milliseconds MaxOverdue{1500};

struct ExpectedRelease {
  TimePoint m_at;
  Claim m_claim;
};

/// What is free on the worker at present, by the claims of its runs.
Claim freeClaim(const WorkerInfo &Worker) {
  return {Worker.m_registration.m_capacity - Worker.m_reserved,
          spareMilliProcessors(Worker)};
}

bool covers(const Claim &Free, const Claim &Needed) {
  return Needed.m_reserved.fitsIn(Free.m_reserved) &&
         Needed.m_fillerMilliProcessors <= Free.m_fillerMilliProcessors;
}

/// What the end of a run leaves to others: fillers get the processors of
/// ordinary tasks too.
Claim releasedBy(const StepSpec &Spec) {
  return {Spec.reservation(),
          Spec.m_isService
              ? 0.0
              : static_cast<double>(Spec.m_request.m_milliProcessors)};
}

/// By the progress of the run or the declared estimate; may have passed.
TimePoint estimatedEnd(const StepSpec &Spec, const RunInfo &Run) {
  const Duration Elapsed = Run.m_progressedAt - Run.m_since;
  if (Run.m_percent >= MinProgressPercent && Elapsed > Duration::zero())
    return Run.m_since + Elapsed * 100 / Run.m_percent;
  return Run.m_since + Spec.m_estimate;
}

bool isLongOverdue(const StepSpec &Spec, const RunInfo &Run, TimePoint Now) {
  return !Spec.m_isService && Run.m_phase != RunPhase::Stopping &&
         Now - estimatedEnd(Spec, Run) > MaxOverdue;
}

std::vector<ExpectedRelease> releasesOf(const WorkerInfo &Worker,
                                        TimePoint Until, TimePoint Now) {
  std::vector<ExpectedRelease> Releases;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    const RunInfo *Run = findReferencedRun(Each);
    if (!Run || isLongOverdue(Spec, *Run, Now))
      continue;
    const TimePoint End = expectedEnd(Spec, *Run, Now);
    if (End <= Until)
      Releases.push_back({End, releasedBy(Spec)});
  }
  std::sort(Releases.begin(), Releases.end(),
            [](const ExpectedRelease &One, const ExpectedRelease &Other) {
              return One.m_at < Other.m_at;
            });
  return Releases;
}

void add(Claim &Sum, const Claim &More) {
  Sum.m_reserved += More.m_reserved;
  Sum.m_fillerMilliProcessors += More.m_fillerMilliProcessors;
}

void subtract(Claim &Rest, const Claim &Less) {
  Rest.m_reserved -= Less.m_reserved;
  Rest.m_fillerMilliProcessors -= Less.m_fillerMilliProcessors;
}

} // namespace

TimePoint expectedEnd(const StepSpec &Spec, const RunInfo &Run, TimePoint Now) {
  if (Spec.m_isService)
    return TimePoint::max();
  if (Run.m_phase == RunPhase::Stopping)
    return Now;
  return std::max(Now, estimatedEnd(Spec, Run));
}

Claim claimOf(const StepSpec &Spec) {
  const auto Request = static_cast<double>(Spec.m_request.m_milliProcessors);
  return {Spec.reservation(), Spec.m_isFiller ? MinFillerShare * Request : 0.0};
}

void Reservations::reserve(const TaskInfo &Task,
                           const std::vector<WorkerInfo *> &Candidates,
                           TimePoint Now) {
  if (m_byWorker.size() >= m_options.m_max)
    return;
  const Claim Needed = claimOf(*Task.m_step->m_spec);
  const WorkerInfo *Best = nullptr;
  Reservation Chosen;
  Chosen.m_at = Now + m_options.m_horizon;
  for (const WorkerInfo *Each : Candidates) {
    if (m_byWorker.contains(Each) || !isAvailable(*Each, Now) ||
        !satisfiesConstraints(Task, *Each))
      continue;
    Claim Free = freeClaim(*Each);
    TimePoint At = Now;
    for (const ExpectedRelease &Release : releasesOf(*Each, Chosen.m_at, Now)) {
      if (covers(Free, Needed))
        break;
      add(Free, Release.m_claim);
      At = Release.m_at;
    }
    if (!covers(Free, Needed) || (Best && At >= Chosen.m_at))
      continue;
    Best = Each;
    subtract(Free, Needed);
    Chosen = {Task.m_step, At, Free};
  }
  if (Best)
    m_byWorker.emplace(Best, Chosen);
}

bool Reservations::delays(const TaskInfo &Task, const WorkerInfo &Worker,
                          TimePoint Now) const {
  const auto Found = m_byWorker.find(&Worker);
  if (Found == m_byWorker.end() || Found->second.m_step == Task.m_step)
    return false;
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!Spec.m_isService && Now + Spec.m_estimate <= Found->second.m_at)
    return false;
  return !covers(Found->second.m_left, claimOf(Spec));
}

} // namespace catkinseam
