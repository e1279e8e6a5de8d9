// Placement: rules that a place must keep, and a cost that ranks the rest.
#include "catkinseam/scheduler/placement.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// A filler is placed where it gets at least this share of what it asks for.
constexpr double MinFillerShare = 0.5;

/// A filler is placed where it may go at this pace at least, and where it may
/// go faster first.
constexpr double MinStartPace = 0.4;
constexpr double SlowStartCost = 3.0;
/// The fewer services it presses on, and the smaller their part, the better.
constexpr double PressureCost = 0.5;
/// A worker that bears any filler is left to those that few workers bear.
constexpr double ToleranceCost = 1.5;
/// A filler that got less than this share for so long is starved.
constexpr double StarvedShare = 0.1;
constexpr Milliseconds StarvationTime{1000};
constexpr double AvoidedWorkerCost = 100.0;
/// More room than this to a pressed service makes no difference.
constexpr double MaxUsefulRoom = 0.2;
constexpr double UnprovenCost = 10.0;
constexpr double RemoteDataCost = 2.0;
constexpr double SameStepCost = 0.25;
constexpr double SameServiceCost = 0.08;
/// Services of one image together leave other workers to the fillers that
/// this image does not bear.
constexpr double OtherImageCost = 1.5;

std::uint32_t countStepRuns(const PlannedStep &Step,
                            const PlannedWorker &Worker) {
  std::uint32_t Count = 0;
  for (const RunRef &Each : Worker.m_runs)
    if (Each.m_task->m_step == &Step)
      ++Count;
  return Count;
}

double utilization(const PlannedWorker &Worker) {
  const Resources &Capacity = Worker.m_report.m_capacity;
  const double Processors =
      static_cast<double>(Worker.m_reserved.m_milliProcessors) /
      static_cast<double>(
          std::max<std::int64_t>(1, Capacity.m_milliProcessors));
  const double Memory =
      static_cast<double>(Worker.m_reserved.m_memoryMb) /
      static_cast<double>(std::max<std::int64_t>(1, Capacity.m_memoryMb));
  return std::max(Processors, Memory);
}

/// Lower is better. What is common to all kinds of tasks.
double riskCost(const PlannedTask &Task, const PlannedWorker &Worker,
                TimePoint Now) {
  constexpr Milliseconds ProvenFor{10000};
  double Cost = 0.0;
  if (std::find(Task.m_avoidedWorkers.begin(), Task.m_avoidedWorkers.end(),
                Worker.m_report.m_id) != Task.m_avoidedWorkers.end())
    Cost += AvoidedWorkerCost;
  Cost += static_cast<double>(Worker.m_consecutiveFailures);
  const bool IsProven =
      Worker.m_hasSucceeded && Now - Worker.m_lastSuccessAt < ProvenFor;
  if (Task.m_failures > 0 && (!IsProven || Worker.m_consecutiveFailures > 0))
    Cost += UnprovenCost;
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!Spec.m_dataRack.empty() && !Worker.hasLabel(Spec.m_dataRack))
    Cost += RemoteDataCost;
  return Cost;
}

/// Share of a worker's services that run another image.
double otherImageShare(const PlannedTask &Task, const PlannedWorker &Worker) {
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

double fillerCost(const PlannedTask &Task, const PlannedWorker &Worker,
                  double Room) {
  const double Request = static_cast<double>(std::max<std::int64_t>(
      1, Task.m_step->m_spec->m_request.m_milliProcessors));
  const double Spare = spareMilliProcessors(Worker);
  return ToleranceCost * Worker.m_bearable - std::min(Room, MaxUsefulRoom) -
         Spare / (4.0 * Request);
}

/// Full workers first: a worker without services bears any filler.
double packingCost(const PlannedTask &Task, const PlannedWorker &Worker,
                   double NeighbourCost) {
  return NeighbourCost * countStepRuns(*Task.m_step, Worker) -
         utilization(Worker);
}

double placeCost(const PlannedTask &Task, const PlannedWorker &Worker,
                 double Room) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (Spec.m_isFiller)
    return fillerCost(Task, Worker, Room);
  if (Spec.m_isService)
    return packingCost(Task, Worker, SameServiceCost) +
           OtherImageCost * otherImageShare(Task, Worker);
  return packingCost(Task, Worker, SameStepCost);
}

bool hasFillerRoom(const PlannedTask &Task, const PlannedWorker &Worker) {
  // Whatever was learned, a new filler would start there at full pace.
  if (Worker.m_isOver)
    return false;
  const auto Request =
      static_cast<double>(Task.m_step->m_spec->m_request.m_milliProcessors);
  return spareMilliProcessors(Worker) >= MinFillerShare * Request;
}

} // namespace

bool isAvailable(const PlannedWorker &Worker, TimePoint Now) {
  return Worker.m_isListed && Worker.m_hasAcceptedToken &&
         Worker.m_isReachable && !Worker.m_report.m_isDraining &&
         Worker.m_isClockKnown && Worker.m_backoffUntil <= Now &&
         Worker.m_quarantinedUntil <= Now;
}

bool satisfiesConstraints(const PlannedTask &Task,
                          const PlannedWorker &Worker) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  if (!Spec.m_requiredLabel.empty() && !Worker.hasLabel(Spec.m_requiredLabel))
    return false;
  if (Spec.m_maxPerWorker > 0 &&
      countStepRuns(*Task.m_step, Worker) >= Spec.m_maxPerWorker)
    return false;
  // Copies of one task are of use on different workers only.
  for (const PlannedRun &Each : Task.m_runs)
    if (Each.m_worker == &Worker)
      return false;
  return true;
}

bool isFeasible(const PlannedTask &Task, const PlannedWorker &Worker) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  Resources Needed = Spec.m_request;
  if (Spec.m_isFiller)
    Needed.m_milliProcessors = 0;
  return (Worker.m_reserved + Needed).fitsIn(Worker.m_report.m_capacity) &&
         satisfiesConstraints(Task, Worker);
}

double spareMilliProcessors(const PlannedWorker &Worker) {
  return Worker.leftBy(Worker.m_serviceUse) -
         static_cast<double>(Worker.m_fillerProcessors);
}

bool isStarved(const StepSpec &Spec, const PlannedRun &Run, TimePoint Now) {
  return Spec.m_isFiller && Run.m_phase == RunPhase::Running &&
         Run.m_paceSent == 100 && Now - Run.m_confirmedAt >= StarvationTime &&
         Now - Run.m_progressedAt >= StarvationTime &&
         static_cast<double>(Run.m_figure) <
             StarvedShare *
                 static_cast<double>(Spec.m_request.m_milliProcessors);
}

Placement chooseWorker(const PlannedTask &Task,
                       const std::vector<PlannedWorker *> &Candidates,
                       const Interference &Learned, TimePoint Now) {
  const StepSpec &Spec = *Task.m_step->m_spec;
  Placement Best;
  double BestCost = 0.0;
  for (PlannedWorker *Each : Candidates) {
    if (!isAvailable(*Each, Now) || !isFeasible(Task, *Each))
      continue;
    Interference::Offer Offer;
    if (Spec.m_isFiller) {
      Offer = Learned.offerTo(
          *Each, Task.m_step->m_image,
          static_cast<double>(Spec.m_request.m_milliProcessors), Now);
      if (Offer.m_pace < MinStartPace || !hasFillerRoom(Task, *Each))
        continue;
    }
    const double Cost =
        riskCost(Task, *Each, Now) + placeCost(Task, *Each, Offer.m_room) +
        SlowStartCost * (1.0 - Offer.m_pace) + PressureCost * Offer.m_pressed;
    if (!Best.m_worker || Cost < BestCost) {
      Best = {Each, static_cast<int>(Offer.m_pace * 100.0)};
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace catkinseam
