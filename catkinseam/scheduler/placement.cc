// Placement: hard constraints filter workers, a cost function ranks the rest.
#include "catkinseam/scheduler/placement.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/reservations.h"

#include <algorithm>

namespace catkinseam {

namespace {

// Costs have no unit; the worker with the lowest sum is chosen.

/// Minimum CPU rate (0 to 1) at which a filler may start; workers that allow a
/// higher CPU rate are preferred. A filler that starts throttled uses up the
/// load headroom of services, and ends later than one that waits.
constexpr double MinStartCpuRate = 0.8;
/// Cost of a start at a CPU rate of zero; decreases linearly to none at the
/// full CPU rate.
constexpr double SlowStartCost = 3.0;
/// Cost per service that the filler affects, weighted by the share of the
/// service's instances that run on the worker.
constexpr double AffectedServiceCost = 0.5;
/// Keeps workers that tolerate any filler free for fillers that few workers
/// tolerate.
constexpr double ToleranceCost = 1.5;
/// A filler that gets less than this share of its request for this time is
/// starved.
constexpr double StarvedShare = 0.1;
constexpr Milliseconds StarvationTime{1000};
/// Cost of a worker on which the task has failed or that refused it.
constexpr double AvoidedWorkerCost = 100.0;
/// How long a suspect waits for other workers than those. A worker that crashes
/// by itself again and again has no young runs, and would get each trial.
constexpr Milliseconds AvoidanceTime{2000};
/// Load headroom of an affected service beyond this does not lower the cost.
constexpr double MaxUsefulLoadHeadroom = 0.2;
/// Cost, for a task that has failed, of a worker without a recent success or
/// with failures since.
constexpr double UnprovenCost = 10.0;
/// Cost of a worker outside the rack that holds the step's data.
constexpr double RemoteDataCost = 2.0;
/// Cost of a worker that is slow after its start.
constexpr double ColdWorkerCost = 1.0;
/// Cost per run of the same step that is already on the worker, for finite work
/// and for services.
constexpr double SameStepCost = 0.25;
constexpr double SameServiceCost = 0.08;
/// Spare processors for this many fillers lower the cost of a worker by 1.
constexpr double SpareRequestsPerCost = 4.0;
/// Groups services of one image, so that other workers remain for the fillers
/// that this image does not tolerate.
constexpr double OtherImageCost = 1.5;

std::uint32_t countStepRuns(const StepInfo &Step, const WorkerInfo &Worker) {
  std::uint32_t Count = 0;
  for (const RunRef &Each : Worker.m_runs)
    if (Each.m_task->m_step == &Step)
      ++Count;
  return Count;
}

double utilization(const WorkerInfo &Worker) {
  const Resources &Capacity = Worker.m_registration.m_capacity;
  const double Processors =
      static_cast<double>(Worker.m_reserved.m_milliProcessors) /
      static_cast<double>(
          std::max<std::int64_t>(1, Capacity.m_milliProcessors));
  const double Memory =
      static_cast<double>(Worker.m_reserved.m_memoryMb) /
      static_cast<double>(std::max<std::int64_t>(1, Capacity.m_memoryMb));
  return std::max(Processors, Memory);
}

/// Cost terms shared by all task types; lower is better.
double riskCost(const TaskInfo &Task, const WorkerInfo &Worker, TimePoint Now) {
  constexpr Milliseconds ProvenFor{10000};
  double Cost = 0.0;
  if (isAvoided(Task, Worker))
    Cost += AvoidedWorkerCost;
  Cost += static_cast<double>(Worker.m_consecutiveFailures);
  const bool IsProven =
      Worker.m_hasSucceeded && Now - Worker.m_lastSuccessAt < ProvenFor;
  if (Task.m_failures > 0 && (!IsProven || Worker.m_consecutiveFailures > 0))
    Cost += UnprovenCost;
  if (Now < Worker.m_coldUntil)
    Cost += ColdWorkerCost;
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!Spec.m_dataRack.empty() && !Worker.hasLabel(Spec.m_dataRack))
    Cost += RemoteDataCost;
  return Cost;
}

/// Share of the processors requested by the worker's services that belongs to
/// other images.
double otherImageShare(const TaskInfo &Task, const WorkerInfo &Worker) {
  double Same = 0.0;
  double Other = 0.0;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    if (!Spec.m_isService)
      continue;
    const bool IsSame = Each.m_task->m_step->m_image == Task.m_step->m_image;
    (IsSame ? Same : Other) +=
        static_cast<double>(Spec.m_request.m_milliProcessors);
  }
  return Other > 0.0 ? Other / (Same + Other) : 0.0;
}

double fillerCost(const TaskInfo &Task, const WorkerInfo &Worker,
                  double LoadHeadroom) {
  const double Request = static_cast<double>(std::max<std::int64_t>(
      1, Task.m_step->m_spec->m_request.m_milliProcessors));
  const double Spare = spareMilliProcessors(Worker);
  return ToleranceCost * Worker.m_toleratedFraction -
         std::min(LoadHeadroom, MaxUsefulLoadHeadroom) -
         Spare / (SpareRequestsPerCost * Request);
}

/// Best-fit packing: a worker left without services tolerates any filler.
double packingCost(const TaskInfo &Task, const WorkerInfo &Worker,
                   double NeighbourCost) {
  return NeighbourCost * countStepRuns(*Task.m_step, Worker) -
         utilization(Worker);
}

double placeCost(const TaskInfo &Task, const WorkerInfo &Worker,
                 double LoadHeadroom) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (Spec.m_isFiller)
    return fillerCost(Task, Worker, LoadHeadroom);
  if (Spec.m_isService)
    return packingCost(Task, Worker, SameServiceCost) +
           OtherImageCost * otherImageShare(Task, Worker);
  return packingCost(Task, Worker, SameStepCost);
}

bool hasFillerCapacity(const TaskInfo &Task, const WorkerInfo &Worker) {
  // A new filler could start at its full CPU rate, whatever the model predicts.
  if (Worker.m_hasServiceOverTarget)
    return false;
  const auto Request =
      static_cast<double>(Task.m_step->m_spec->m_request.m_milliProcessors);
  return spareMilliProcessors(Worker) >= MinFillerShare * Request;
}

} // namespace

bool isAvoided(const TaskInfo &Task, const WorkerInfo &Worker) {
  return std::find(Task.m_avoidedWorkers.begin(), Task.m_avoidedWorkers.end(),
                   Worker.m_registration.m_id) != Task.m_avoidedWorkers.end();
}

bool isAvailable(const WorkerInfo &Worker, TimePoint Now) {
  return Worker.m_isListed && Worker.m_hasAcceptedToken &&
         Worker.m_isReachable && !Worker.m_isNamed && !Worker.m_isNamedNext &&
         !Worker.m_needsLeaseRecord && !Worker.m_registration.m_isDraining &&
         !Worker.m_isEvacuated && Worker.m_isClockKnown &&
         !Worker.m_hasRunOfUnknownSize && Worker.m_backoffUntil <= Now &&
         Worker.m_quarantinedUntil <= Now;
}

bool hasRequiredLabel(const StepSpec &Spec, const WorkerInfo &Worker) {
  return Spec.m_requiredLabel.empty() || Worker.hasLabel(Spec.m_requiredLabel);
}

bool satisfiesConstraints(const TaskInfo &Task, const WorkerInfo &Worker) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!hasRequiredLabel(Spec, Worker))
    return false;
  if (Spec.m_maxPerWorker > 0 &&
      countStepRuns(*Task.m_step, Worker) >= Spec.m_maxPerWorker)
    return false;
  if (isBarredByTrial(Task, Worker))
    return false;
  // Copies of a task are useful only on different workers.
  for (const RunInfo &Each : Task.m_runs)
    if (Each.m_worker == &Worker)
      return false;
  return true;
}

bool isFeasible(const TaskInfo &Task, const WorkerInfo &Worker) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  Resources Needed = Spec.m_request;
  if (Spec.m_isFiller)
    Needed.m_milliProcessors = 0;
  return (Worker.m_reserved + Needed)
             .fitsIn(Worker.m_registration.m_capacity) &&
         satisfiesConstraints(Task, Worker);
}

double spareMilliProcessors(const WorkerInfo &Worker) {
  return Worker.freeMilliProcessors(Worker.m_expectedServiceMilliProcessors) -
         static_cast<double>(Worker.m_fillerProcessors);
}

bool isStarved(const StepSpec &Spec, const RunInfo &Run, TimePoint Now) {
  return Spec.m_isFiller && Run.m_phase == RunPhase::Running &&
         Run.m_confirmedCpuRatePercent == 100 &&
         Now - Run.m_confirmedAt >= StarvationTime &&
         Now - Run.m_progressedAt >= StarvationTime &&
         static_cast<double>(Run.m_measurement) <
             StarvedShare *
                 static_cast<double>(Spec.m_request.m_milliProcessors);
}

std::optional<InterferenceModel::FillerEstimate>
estimateStart(const TaskInfo &Task, WorkerInfo &Worker,
              const InterferenceModel &Learned, TimePoint Now) {
  if (!isAvailable(Worker, Now) || !isFeasible(Task, Worker))
    return std::nullopt;
  if (Task.m_hasOtherWorkers && isSuspect(Task) && isAvoided(Task, Worker) &&
      Now - Task.m_earliestStart < AvoidanceTime)
    return std::nullopt;
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!Spec.m_isFiller)
    return InterferenceModel::FillerEstimate();
  const InterferenceModel::FillerEstimate Estimate = Learned.estimateFiller(
      Worker, Task.m_step->m_image,
      static_cast<double>(Spec.m_request.m_milliProcessors), Now);
  if (Estimate.m_cpuRateFraction < MinStartCpuRate ||
      !hasFillerCapacity(Task, Worker))
    return std::nullopt;
  return Estimate;
}

Placement chooseWorker(const TaskInfo &Task,
                       const std::vector<WorkerInfo *> &Candidates,
                       const InterferenceModel &Learned,
                       const Reservations &Kept, TimePoint Now) {
  const bool NeedsTrial = isSuspect(Task);
  Placement Best;
  double BestCost = 0.0;
  for (WorkerInfo *Each : Candidates) {
    if ((NeedsTrial && !allowsTrial(Task, *Each, Now)) ||
        Kept.delays(Task, *Each, Now))
      continue;
    const std::optional<InterferenceModel::FillerEstimate> Estimate =
        estimateStart(Task, *Each, Learned, Now);
    if (!Estimate)
      continue;
    const double Cost = riskCost(Task, *Each, Now) +
                        placeCost(Task, *Each, Estimate->m_loadHeadroom) +
                        SlowStartCost * (1.0 - Estimate->m_cpuRateFraction) +
                        AffectedServiceCost * Estimate->m_affectedFraction;
    if (!Best.m_worker || Cost < BestCost) {
      Best = {Each, static_cast<int>(Estimate->m_cpuRateFraction * 100.0)};
      BestCost = Cost;
    }
  }
  return Best;
}

PlacementObstacles findObstacles(const TaskInfo &Task,
                                 const std::vector<WorkerInfo *> &Candidates,
                                 const Reservations &Kept, TimePoint Now) {
  const bool NeedsTrial = isSuspect(Task);
  PlacementObstacles Found;
  for (const WorkerInfo *Each : Candidates) {
    if (!isAvailable(*Each, Now))
      continue;
    ++Found.m_available;
    if (isBarredByTrial(Task, *Each))
      ++Found.m_onTrial;
    else if (!isFeasible(Task, *Each))
      ++Found.m_infeasible;
    else if (Kept.delays(Task, *Each, Now))
      ++Found.m_reserved;
    else if (NeedsTrial && !allowsTrial(Task, *Each, Now))
      ++Found.m_unsettled;
  }
  return Found;
}

} // namespace catkinseam
