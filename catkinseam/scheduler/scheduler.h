// Decides which tasks run on which workers. Performs no I/O: events go in,
// orders come out.
//
//   Scheduler Plan(Clock, {});
//   Plan.updateWorker(Report);
//   Plan.addJob(Submission, nullptr);
//   Decisions Next = Plan.decide();
//   // store Next.m_progress; once that is durable:
//   for (const StartOrder &Each : Plan.release(Next, false)) send(Each);
//
// Safety rests on three invariants:
// - A run is recorded before its start is sent, so that a successor knows where
//   a task may be running.
// - A task runs again only after its earlier run is known to be over: the
//   worker reported its end, or did not list it after acknowledging a stop or a
//   new fencing token, or started a new incarnation, or the lease has certainly
//   expired.
// - An end is stored before the worker may discard it.
#ifndef CATKINSEAM_SCHEDULER_SCHEDULER_H
#define CATKINSEAM_SCHEDULER_SCHEDULER_H

#include "catkinseam/ledger/records.h"
#include "catkinseam/scheduler/interference.h"
#include "catkinseam/scheduler/orders.h"
#include "catkinseam/scheduler/pacing.h"
#include "catkinseam/scheduler/placement.h"
#include "catkinseam/scheduler/preemption.h"
#include "catkinseam/scheduler/tables.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinseam {

/// Orders that may be sent without storing anything first.
struct Controls {
  std::vector<StopOrder> m_stops;
  std::vector<PaceOrder> m_paces;
};

/// State changes to be stored, and the starts to be sent once they are durable.
struct Decisions {
  std::vector<std::pair<std::string, JobProgress>> m_progress;
  /// Jobs whose records are to be deleted.
  std::vector<std::string> m_forgotten;

  bool needsStoring() const {
    return !m_progress.empty() || !m_forgotten.empty() ||
           !m_observedEnds.empty();
  }

private:
  friend class Scheduler;
  struct PlannedStart {
    TaskKey m_task;
    RunNumber m_run = 0;
  };
  struct ObservedEnd {
    std::string m_worker;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_number = 0;
  };
  std::vector<PlannedStart> m_starts;
  std::vector<ObservedEnd> m_observedEnds;
};

/// Not thread-safe.
class Scheduler {
public:
  struct Options {
    /// Length of the leases granted by starts and heartbeats.
    Milliseconds m_lease{4500};
    /// Lease length while the store is unreachable; the maximum that workers
    /// accept.
    Milliseconds m_longLease{6000};
    /// After a takeover, how long runs may continue on workers that an earlier
    /// owner still reaches.
    Milliseconds m_foreignLease{9500};
    /// Leases granted by an earlier owner expire within this time after the
    /// first heartbeat with this owner's fencing token.
    Milliseconds m_heldLease{6500};
    /// How long a worker may delay its reply to a heartbeat.
    Milliseconds m_heartbeatWait{1500};
    /// The same on workers with services, whose tail latencies control fillers.
    Milliseconds m_serviceHeartbeatWait{500};
    /// How long ended jobs are kept.
    Milliseconds m_memory{180000};
  };

  Scheduler(const Clock &Time, const Options &Values);
  ~Scheduler();

  // Events.

  /// `Recorded` is the progress stored by an earlier owner; null for a new job.
  void addJob(const Submission &Job, const JobProgress *Recorded);
  void cancelJob(const std::string &Id);
  void updateWorker(const WorkerReport &Report);
  void removeWorker(const std::string &Id);
  /// Loads the interference model of an earlier owner. Must be called before
  /// any job is added.
  void adoptKnowledge(const Interference::Knowledge &Learned) {
    m_interference.adopt(Learned, m_clock.now());
  }
  Interference::Knowledge knowledge() const {
    return m_interference.knowledge();
  }
  void setStoreReachable(bool IsReachable) { m_isStoreReachable = IsReachable; }

  void onStart(const StartOrder &Order, const OrderReply &Reply);
  void onStop(const StopOrder &Order, const OrderReply &Reply);
  void onPace(const PaceOrder &Order, const OrderReply &Reply);
  void onHold(const HoldOrder &Order, TimePoint SentAt, const HoldReply &Reply);

  // Decisions.

  /// Discards runs whose lease has expired; returns stops and paces to send.
  Controls control();

  /// Places waiting tasks and returns all changes since the last call.
  Decisions decide();

  /// Called once the decisions are durable; returns the starts that are still
  /// valid. If `AreStale`, the starts are discarded and placed again instead.
  std::vector<StartOrder> release(const Decisions &Stored, bool AreStale);

  /// The next heartbeat for a worker; nullopt if it is unlisted and runs
  /// nothing.
  std::optional<HoldOrder> nextHold(const std::string &Worker);

  /// Workers to send heartbeats to.
  std::vector<std::string> workersToHold() const;
  const PlannedWorker *findWorker(const std::string &Id) const;

  /// When decide() is due if no event arrives before.
  TimePoint nextWake() const;

  /// Scheduler statistics for logs and metrics.
  struct Summary {
    std::size_t m_liveJobs = 0;
    std::size_t m_waitingTasks = 0;
    /// Parts of m_waitingTasks.
    std::size_t m_waitingServices = 0;
    std::size_t m_waitingFillers = 0;
    std::int64_t m_waitingFillerRequest = 0;
    /// Free processors of the available workers, in thousandths: the sum and
    /// the maximum of one worker.
    std::int64_t m_freeProcessors = 0;
    std::int64_t m_mostFreeProcessors = 0;
    std::size_t m_runs = 0;
    std::size_t m_stopping = 0;
    std::size_t m_fillers = 0;
    std::size_t m_slowedFillers = 0;
    /// Thousandths of a processor that fillers request, and are granted by
    /// pace.
    std::int64_t m_fillerRequest = 0;
    std::int64_t m_fillerPaced = 0;
    std::size_t m_servicesOverTarget = 0;
    std::size_t m_openWorkers = 0;
  };
  Summary summarize() const;
  std::size_t liveJobs() const { return m_liveJobs; }

private:
  // Jobs.
  void openOccurrence(PlannedOccurrence &Occurrence);
  void createSteps(PlannedOccurrence &Occurrence);
  void beginReadySteps(PlannedOccurrence &Occurrence);
  void beginStep(PlannedStep &Step);
  void restore(PlannedJob &Job, const JobProgress &Recorded);
  void restoreTask(PlannedTask &Task, const TaskRecord &Recorded);
  void markDirty(PlannedJob &Job);
  void completeTask(PlannedTask &Task);
  void endJob(PlannedJob &Job, JobState State);
  void enqueueTask(PlannedTask &Task, Duration Delay);
  void dequeueTask(PlannedTask &Task);
  JobProgress progressOf(const PlannedJob &Job) const;
  void openDueOccurrences();
  void forgetOldJobs(Decisions &Next);

  // Runs.
  PlannedTask *findTask(const TaskKey &Key);
  static PlannedRun *findRun(PlannedTask &Task, RunNumber Number);
  PlannedRun &addRun(PlannedTask &Task, RunNumber Number, PlannedWorker &Worker,
                     RunPhase Phase);
  void removeRun(PlannedTask &Task, RunNumber Number);
  void applyRunEnd(PlannedTask &Task, RunNumber Number, RunEnd End,
                   const std::string &Checkpoint);
  /// Removes a run that ended without completing its task.
  void discardRun(PlannedTask &Task, RunNumber Number, Duration Delay);
  /// Whether the task has failed its maximum number of attempts.
  static bool hasExhaustedAttempts(const PlannedTask &Task);
  void requestStop(PlannedTask &Task, PlannedRun &Run);
  void stopAllRuns(PlannedTask &Task);
  static TaskKey keyOf(const PlannedTask &Task);

  // Workers.
  PlannedWorker &workerRow(const std::string &Id);
  void beginIncarnation(PlannedWorker &Worker, std::int64_t BornMs);
  void discardRunsOf(PlannedWorker &Worker, const char *Reason);
  void updateClock(PlannedWorker &Worker, Milliseconds Clock);
  void extendLeaseEnd(PlannedWorker &Worker, Milliseconds Expires);
  Milliseconds leaseExpiry(const PlannedWorker &Worker) const;
  void applyStatus(PlannedWorker &Worker, TimePoint SentAt,
                   const WorkerLook &Status);
  void applyActiveRuns(PlannedWorker &Worker, TimePoint SentAt,
                       const WorkerLook &Status);
  void stopUnknownRun(PlannedWorker &Worker, const ActiveRun &Active);
  void expireUnreachableWorkers();
  void evacuateDrainingWorkers();
  void reportDeferredShare();
  /// Stops slowed or starved fillers that could run faster on another worker.
  void moveSlowedFillers();
  void recordFailure(PlannedWorker &Worker, const std::string &Job);
  void recordSuccess(PlannedWorker &Worker);

  // Decisions.
  void listAvailableWorkers();
  void placeWaitingTasks(Decisions &Next);
  bool placeTask(PlannedTask &Task, Decisions &Next);
  /// Stops runs of a lower priority for a task that could not be placed.
  void preemptFor(const PlannedTask &Task);
  const std::vector<PlannedWorker *> &
  availableWorkers(const std::string &Service);
  bool placeGang(PlannedStep &Step, Decisions &Next);
  /// Starts copies of speculative tasks whose only run is slow or unreachable.
  void placeCopies(Decisions &Next);
  bool needsCopy(const PlannedTask &Task) const;
  void collectStop(const PlannedWorker &Worker, const RunRef &Ref,
                   PlannedRun &Run, Controls &Next) const;
  void collectPace(const PlannedWorker &Worker, const RunRef &Ref,
                   PlannedRun &Run, Controls &Next) const;

  const Clock &m_clock;
  const Options m_options;
  Pacing m_pacing;
  Interference m_interference;
  bool m_isStoreReachable = true;
  std::unordered_map<std::string, std::unique_ptr<PlannedJob>> m_jobs;
  std::unordered_map<std::string, std::unique_ptr<PlannedWorker>> m_workers;
  /// Steps with waiting tasks in placement order: by priority, then finite work
  /// before services, which never free their resources, then by the job's
  /// objective.
  struct StepOrder {
    std::int64_t m_priority;
    bool m_isService;
    std::int64_t m_objectiveMs;
    std::string m_job;
    std::uint32_t m_occurrence;
    std::uint32_t m_step;
    auto operator<=>(const StepOrder &) const = default;
  };
  static StepOrder orderOf(const PlannedStep &Step);
  std::map<StepOrder, PlannedStep *> m_stepQueue;
  /// Speculative steps in progress.
  std::set<PlannedStep *> m_speculativeSteps;
  /// Available workers by service; rebuilt by each decide() and control().
  std::map<std::string, std::vector<PlannedWorker *>> m_availableByService;
  std::set<std::string> m_dirtyJobs;
  std::vector<Decisions::ObservedEnd> m_unstoredEnds;
  /// Stops for runs reported by workers that this scheduler does not know.
  std::vector<StopOrder> m_unknownRunStops;
  std::map<std::string, TimePoint> m_unknownRunStopSentAt;
  std::size_t m_liveJobs = 0;
  TimePoint m_deferredShareReportedAt;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_SCHEDULER_H
