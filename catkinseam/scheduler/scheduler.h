// Decides what runs where: a pure module, events in, orders out.
//
//   Scheduler Plan(Clock, {});
//   Plan.updateWorker(Report);
//   Plan.addJob(Submission, nullptr);
//   Decisions Next = Plan.decide();
//   // store Next.m_progress; once that is durable:
//   for (const StartOrder &Each : Plan.release(Next)) send(Each);
//
// Safety rests on three rules. A run is recorded before its start is sent, so
// that a successor knows where a task may be. A task runs again only after its
// earlier run is proven over: the worker listed its end, or did not list it
// after a stop or a new token was answered, or began a new life, or its lease
// has ended for certain. An end is stored before the worker may forget it.
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

/// Orders that need no storing first.
struct Controls {
  std::vector<StopOrder> m_stops;
  std::vector<PaceOrder> m_paces;
};

/// What is to be stored, and the starts that wait for that.
struct Decisions {
  std::vector<std::pair<std::string, JobProgress>> m_progress;
  /// Jobs whose records are to be dropped.
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
    /// Length of the leases that holds and starts grant.
    Milliseconds m_lease{4500};
    /// The same while the store cannot be reached; the longest that workers
    /// grant.
    Milliseconds m_longLease{6000};
    /// After a takeover, how long runs may live on workers that an earlier
    /// owner still reaches.
    Milliseconds m_foreignLease{9500};
    /// After the first look under this owner's token: leases granted before
    /// have ended by then.
    Milliseconds m_heldLease{6500};
    /// How long a look may wait at the worker.
    Milliseconds m_heartbeatWait{1500};
    /// The same where services are, whose tails decide about fillers.
    Milliseconds m_serviceHeartbeatWait{500};
    /// How long a job's end is remembered.
    Milliseconds m_memory{180000};
  };

  Scheduler(const Clock &Time, const Options &Values);
  ~Scheduler();

  // What becomes known.

  /// `Recorded`: what an earlier owner stored; null for a new job.
  void addJob(const Submission &Job, const JobProgress *Recorded);
  void cancelJob(const std::string &Id);
  void updateWorker(const WorkerReport &Report);
  void removeWorker(const std::string &Id);
  /// What an earlier owner learned of interference; before any job is added.
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

  // What is decided.

  /// Ends what is over by the time, and collects stops and paces to send.
  Controls control();

  /// Places what fits and collects all that changed since the last call.
  Decisions decide();

  /// The decisions are durable: returns the starts that still stand. Stale
  /// ones are decided anew in place of being sent.
  std::vector<StartOrder> release(const Decisions &Stored, bool AreStale);

  /// The next look at a worker; none while one need not be held.
  std::optional<HoldOrder> nextHold(const std::string &Worker);

  /// Workers to be held.
  std::vector<std::string> workersToHold() const;
  const PlannedWorker *findWorker(const std::string &Id) const;

  /// When decide() is due even though nothing became known.
  TimePoint nextWake() const;

  /// How things stand, for logs and metrics.
  struct Summary {
    std::size_t m_liveJobs = 0;
    std::size_t m_waitingTasks = 0;
    /// Of these.
    std::size_t m_waitingServices = 0;
    std::size_t m_waitingFillers = 0;
    std::int64_t m_waitingFillerRequest = 0;
    /// Thousandths of a processor that open workers have free, all together
    /// and the most of one.
    std::int64_t m_freeProcessors = 0;
    std::int64_t m_mostFreeProcessors = 0;
    std::size_t m_runs = 0;
    std::size_t m_stopping = 0;
    std::size_t m_fillers = 0;
    std::size_t m_slowedFillers = 0;
    /// Thousandths of a processor that fillers ask for, and are let have.
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
  /// The run is over and has done nothing that counts.
  void discardRun(PlannedTask &Task, RunNumber Number, Duration Delay);
  /// It has failed as often as it may.
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
                   const WorkerLook &Look);
  void applyActiveRuns(PlannedWorker &Worker, TimePoint SentAt,
                       const WorkerLook &Look);
  void stopUnknownRun(PlannedWorker &Worker, const ActiveRun &Active);
  void expireUnreachableWorkers();
  void evacuateDrainingWorkers();
  void reportDeferredShare();
  /// Stops fillers that are held back where they are and fit elsewhere.
  void moveSlowedFillers();
  void recordFailure(PlannedWorker &Worker, const std::string &Job);
  void recordSuccess(PlannedWorker &Worker);

  // Decisions.
  void listAvailableWorkers();
  void placeWaitingTasks(Decisions &Next);
  bool placeTask(PlannedTask &Task, Decisions &Next);
  /// Stops runs of a lower priority for a task that found no room.
  void preemptFor(const PlannedTask &Task);
  const std::vector<PlannedWorker *> &
  availableWorkers(const std::string &Service);
  bool placeGang(PlannedStep &Step, Decisions &Next);
  /// Starts copies of speculative tasks whose only run is slow or silent.
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
  /// Steps with tasks to place, in the order in which they get room: by
  /// priority, then work that ends before services, which keep what they get,
  /// then by the job's objective.
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
  /// Speculative steps under way.
  std::set<PlannedStep *> m_speculativeSteps;
  /// Open workers by service; listed anew by each decide() and control().
  std::map<std::string, std::vector<PlannedWorker *>> m_availableByService;
  std::set<std::string> m_dirtyJobs;
  std::vector<Decisions::ObservedEnd> m_unstoredEnds;
  /// Runs to stop that belong to no job known here.
  std::vector<StopOrder> m_unknownRunStops;
  std::map<std::string, TimePoint> m_unknownRunStopSentAt;
  std::size_t m_liveJobs = 0;
  TimePoint m_deferredShareReportedAt;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_SCHEDULER_H
