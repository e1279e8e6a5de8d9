// Decides which tasks run on which workers. Performs no I/O: events go in,
// orders come out.
//
//   Scheduler Plan(Clock, {});
//   Plan.updateWorker(Registration);
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
//   new fencing token, or started a new incarnation after it had listed the
//   run, or the lease has certainly expired.
// - An end is stored before the worker may discard it.
#ifndef CATKINSEAM_SCHEDULER_SCHEDULER_H
#define CATKINSEAM_SCHEDULER_SCHEDULER_H

#include "catkinseam/ledger/records.h"
#include "catkinseam/scheduler/filler_throttle.h"
#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/job_value.h"
#include "catkinseam/scheduler/leases.h"
#include "catkinseam/scheduler/orders.h"
#include "catkinseam/scheduler/placement.h"
#include "catkinseam/scheduler/preemption.h"
#include "catkinseam/scheduler/reservations.h"
#include "catkinseam/scheduler/tables.h"
#include "catkinseam/scheduler/trial_reservations.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinseam {

/// Orders that may be sent without storing anything first.
struct ImmediateOrders {
  std::vector<StopOrder> m_stops;
  std::vector<ThrottleOrder> m_throttles;
};

/// State changes to be stored, and the starts to be sent once they are durable.
struct Decisions {
  std::vector<std::pair<std::string, JobProgress>> m_progress;
  /// Jobs whose records are to be deleted.
  std::vector<std::string> m_expiredJobs;

  bool needsStoring() const {
    return !m_progress.empty() || !m_expiredJobs.empty() ||
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
    std::int64_t m_startedMs = 0;
    std::uint64_t m_sequence = 0;
  };
  std::vector<PlannedStart> m_starts;
  std::vector<ObservedEnd> m_observedEnds;
  TimePoint m_decidedAt;
};

/// Not thread-safe.
class Scheduler {
public:
  struct Options {
    /// Length of the leases granted by starts and status polls.
    Milliseconds m_lease{4500};
    /// Lease length while the store is unreachable; the maximum that workers
    /// accept.
    Milliseconds m_storeOutageLease{6000};
    /// After a takeover, how long runs may continue on workers that an earlier
    /// owner still reaches, if that owner's lease records are not known.
    Milliseconds m_takeoverLease{9500};
    /// Whether leases are granted only as announced; see announceLeases().
    bool m_announcesLeases = false;
    /// Bounds on the leases that are granted then.
    GrantedLeases::Options m_leases;
    /// A worker that has been silent for this long is named in the records.
    Milliseconds m_silenceBeforeNaming{500};
    /// Maximum number of workers that a record names.
    std::size_t m_maxNamedWorkers = 64;
    /// Leases granted by an earlier owner expire within this time after the
    /// first status poll with this owner's fencing token.
    Milliseconds m_previousOwnerLease{6500};
    /// How long after it was sent an order without a reply may be carried out.
    Milliseconds m_maxOrderDelay{12000};
    /// How long a worker may delay its reply to a status poll.
    Milliseconds m_pollWait{1500};
    /// The same on workers with services, whose tail latencies control fillers.
    Milliseconds m_servicePollWait{500};
    /// The same on all workers while no lease record can be stored.
    Milliseconds m_outagePollWait{200};
    /// Maximum number of waiting steps for which room is kept at a time; zero
    /// for none.
    std::size_t m_maxReservations = 0;
    /// Occurrences of a recurring job that are due wait while the open ones
    /// would have more tasks than this.
    std::size_t m_maxRunningTasksPerJob = 10000;
    /// How long ended jobs are kept.
    Milliseconds m_jobRetention{180000};
    /// Epoch of the owner, for the log.
    std::uint64_t m_epoch = 0;
    /// Called with the reason when a job fails; null for none.
    std::function<void(const char *Reason)> m_onJobFailed{};
  };

  Scheduler(const Clock &Time, const Options &Values);
  ~Scheduler();

  // Events.

  /// `Recorded` is the progress stored by an earlier owner; null for a new job.
  void addJob(const Submission &Job, const JobProgress *Recorded);
  void cancelJob(const std::string &Id);
  /// Ends a job whose progress cannot be stored.
  void failJob(const std::string &Id);
  void updateWorker(const WorkerRegistration &Registration);
  void removeWorker(const std::string &Id);
  /// Loads the interference model of an earlier owner. Must be called before
  /// any job is added.
  void restoreInterference(const InterferenceModel::State &Learned) {
    m_interference.restore(Learned, m_clock.now());
  }
  /// See InterferenceModel::encodedState().
  InterferenceModel::EncodedState
  encodedInterference(std::size_t MaxBytes) const {
    return m_interference.encodedState(MaxBytes);
  }
  void setStoreReachable(bool IsReachable) { m_isStoreReachable = IsReachable; }

  // Leases; see docs/design/lease-bounds.md.

  /// Sets by when the leases of earlier owners are over. Must be called before
  /// any worker or job is added; without it, `Options::m_takeoverLease` counts.
  void setEarlierLeases(EarlierLeases Earlier) {
    m_earlierLeases = std::move(Earlier);
  }
  /// Reports that all recorded runs have been added.
  void onRunsRestored();
  /// Returns the record of the leases that may be granted once it is durable.
  LeaseRecord announceLeases();
  /// Reports that the record returned last is durable.
  void onLeasesStored();
  /// Whether no lease can be granted, to any or some reachable worker, before
  /// another record is stored.
  bool needsLeaseRecord() const;
  /// Whether leases may be granted under the stored record, or may come to be.
  bool mayGrantLeases() const {
    return m_grantedLeases.mayGrant() &&
           m_clock.now() < m_grantedLeases.latestEnd();
  }
  /// Whether the registrations of workers and the requests of evacuations are
  /// up to date. No run is placed while they are not, since capacities may have
  /// shrunk and data centres may have to be spared.
  void setPlacementInputsCurrent(bool AreCurrent) {
    m_arePlacementInputsCurrent = AreCurrent;
  }
  /// Sets the data centres in which no run is started, planned ones included.
  /// The runs there go on.
  void setEvacuatedDataCentres(const std::set<std::string> &DataCentres);

  void onStart(const StartOrder &Order, const OrderReply &Reply);
  void onStop(const StopOrder &Order, const OrderReply &Reply);
  void onThrottle(const ThrottleOrder &Order, const OrderReply &Reply);
  void onPoll(const PollOrder &Order, TimePoint SentAt, const PollReply &Reply);
  /// The replies to all orders that are pending at a worker are lost.
  void onLinkReplaced(const std::string &Worker);

  // Decisions.

  /// Discards runs whose lease has expired, and requests stops of runs that
  /// have to move to another worker. Returns the stops and CPU rates to send.
  ImmediateOrders control();

  /// Places waiting tasks and returns all changes since the last call.
  Decisions decide();

  /// Called once the decisions are durable; returns the starts that are still
  /// valid. If `AreStale`, the starts are discarded and placed again instead.
  std::vector<StartOrder> release(const Decisions &Stored, bool AreStale);

  /// The next status poll for a worker; nullopt if it is unlisted and runs
  /// nothing.
  std::optional<PollOrder> nextPoll(const std::string &Worker);

  /// Returns the token for orders to the worker's present incarnation.
  std::uint64_t fencingToken(const std::string &Worker) const;

  /// Ids of the workers that are listed or still have runs.
  std::vector<std::string> workersToPoll() const;
  const WorkerInfo *findWorker(const std::string &Id) const;

  /// When decide() is due if no event arrives before.
  TimePoint nextWake() const;

  /// Scheduler statistics for logs and metrics.
  struct Summary {
    std::size_t m_liveJobs = 0;
    std::size_t m_waitingTasks = 0;
    /// Parts of m_waitingTasks.
    std::size_t m_waitingServices = 0;
    std::size_t m_waitingFillers = 0;
    /// Thousandths of a processor that the waiting fillers request.
    std::int64_t m_waitingFillerRequest = 0;
    /// Free processors of the available workers, in thousandths: the sum and
    /// the maximum of one worker.
    std::int64_t m_freeProcessors = 0;
    std::int64_t m_mostFreeProcessors = 0;
    std::size_t m_runs = 0;
    std::size_t m_stopping = 0;
    std::size_t m_fillers = 0;
    std::size_t m_throttledFillers = 0;
    /// Thousandths of a processor that fillers request, and are granted by
    /// their CPU rates.
    std::int64_t m_fillerRequest = 0;
    std::int64_t m_fillerGranted = 0;
    std::size_t m_servicesOverTarget = 0;
    std::size_t m_availableWorkers = 0;
    /// Waiting steps for which room is kept.
    std::size_t m_reservations = 0;
    /// Waiting steps that came by their remaining work in the last round, as
    /// their priority is overloaded.
    std::size_t m_overloadedSteps = 0;
  };
  Summary summarize() const;

  /// Tasks that last and are away, as far as this owner knows.
  struct Absences {
    std::size_t m_tasks = 0;
    /// The longest time since one of them was last known to run, or since this
    /// owner took over.
    Duration m_longest{0};
  };
  Absences absences() const;

  /// What still runs in a data centre.
  struct DataCentreRuns {
    std::size_t m_runs = 0;
    std::size_t m_services = 0;
  };
  DataCentreRuns runsIn(const std::string &DataCentre) const;
  std::size_t liveJobs() const { return m_liveJobs; }

private:
  // Jobs.
  void openOccurrence(OccurrenceInfo &Occurrence);
  void createSteps(OccurrenceInfo &Occurrence);
  void beginReadySteps(OccurrenceInfo &Occurrence);
  void beginStep(StepInfo &Step);
  void restore(JobInfo &Job, const JobProgress &Recorded);
  void restoreTask(TaskInfo &Task, const TaskRecord &Recorded);
  /// Counts the loss of a recorded run's worker, which has restarted since.
  void countRestart(TaskInfo &Task, const RunRecord &Run);
  void logRestored(const JobInfo &Job) const;
  void markDirty(JobInfo &Job);
  void completeTask(TaskInfo &Task);
  /// `Reason` is for the log.
  void endJob(JobInfo &Job, JobState State, const char *Reason);
  /// Ends the job of a task that is not to be started again.
  void failJobOf(const TaskInfo &Task, const char *Reason);
  void countFailedJob(const char *Reason) const;
  /// Shows the job as queued again if its planned runs came to nothing before
  /// any of its tasks has run.
  void returnToQueue(JobInfo &Job);
  void enqueueTask(TaskInfo &Task, Duration Delay);
  void dequeueTask(TaskInfo &Task);
  JobProgress progressOf(const JobInfo &Job) const;
  static std::uint32_t occurrenceCount(const JobInfo &Job);
  static std::int64_t dueMs(const JobInfo &Job, std::uint32_t Number);
  static OccurrenceInfo &appendOccurrence(JobInfo &Job);
  /// Returns whether the job may have one more occurrence open at once.
  bool hasRoomForOccurrence(const JobInfo &Job) const;
  void openDueOccurrences();
  void forgetOldJobs(Decisions &Next);
  void releaseImages(const JobInfo &Job);

  // Runs.
  TaskInfo *findTask(const TaskKey &Key);
  static RunInfo *findRun(TaskInfo &Task, RunNumber Number);
  RunInfo &addRun(TaskInfo &Task, RunNumber Number, WorkerInfo &Worker,
                  RunPhase Phase);
  void removeRun(TaskInfo &Task, RunNumber Number);
  /// `Reporter` is the worker that listed the end.
  void applyRunEnd(TaskInfo &Task, const EndedRun &Ended,
                   const WorkerInfo &Reporter);
  /// Logs the end of a run that has no more effect.
  void logUnmatchedEnd(const EndedRun &Ended, const WorkerInfo &Reporter) const;
  /// Completes a task by a run that was discarded, because its worker seemed
  /// lost, before the worker reported that it had completed the task.
  void applyDiscardedSuccess(TaskInfo &Task, WorkerInfo &Worker,
                             RunNumber Number);
  /// Removes a run that ended without completing its task.
  void discardRun(TaskInfo &Task, RunNumber Number, Duration Delay);
  /// Removes a run whose start was not sent.
  void withdrawRun(TaskInfo &Task, RunNumber Number, const char *Reason);
  /// Called when a run of the task has not crashed its worker.
  void clearSuspicion(TaskInfo &Task);
  /// Ends the trials that have lasted long enough. The tasks remain suspects
  /// until their workers answer.
  void endTrials();
  /// Whether the task has failed its maximum number of attempts.
  static bool hasExhaustedAttempts(const TaskInfo &Task);
  void requestStop(TaskInfo &Task, RunInfo &Run);
  void stopAllRuns(TaskInfo &Task);
  static TaskKey keyOf(const TaskInfo &Task);

  // Workers.
  WorkerInfo &workerRow(const std::string &Id);
  void beginIncarnation(WorkerInfo &Worker, std::int64_t StartedMs);
  enum class Loss {
    Restart,     ///< The worker has started again under its id.
    Replacement, ///< Another worker has its address.
    Unknown,     ///< The worker does not answer.
    Mass,        ///< Many other workers were lost at the same time.
  };
  void recordLoss(WorkerInfo &Worker);
  void forgetOldLosses();
  /// Whether many other workers were lost at the same time.
  bool isMassLoss(TimePoint LostAt) const;
  /// Blames the runs that may have caused the loss, and discards those that are
  /// over.
  void loseRunsOf(WorkerInfo &Worker, Loss Cause, const char *Reason);
  /// How long the worker has been silent, as far as this owner knows.
  Milliseconds silence(const WorkerInfo &Worker) const;
  /// Clears the tasks whose runs on a lost worker had survived their trials.
  void clearSurvivors(const WorkerInfo &Worker);
  /// `Reason` is for the log.
  void blame(const WorkerInfo &Worker, Loss Cause, const char *Reason);
  /// Logs what is known of a run that may have caused the loss of its worker.
  void logBlamed(const TaskInfo &Task, const RunInfo &Run,
                 const char *Reason) const;
  /// Whether workers that had started nothing of the job may have been lost of
  /// late, which points to another cause than its tasks.
  bool haveOthersBeenLost(const JobInfo &Job) const;
  /// Whether the next incarnation under the same id may carry out the run.
  static bool mayReachNextIncarnation(const RunInfo &Run);
  /// Treats the run as one whose start got no reply from this incarnation.
  void doubtStart(RunInfo &Run);
  /// Discards the registration of a previous incarnation, from which the new
  /// one may differ in capacity, labels and service.
  static void expectRegistration(WorkerInfo &Worker, std::int64_t StartedMs);
  static bool hasStartInDoubt(const WorkerInfo &Worker);
  /// Whether a run that the worker does not list is being stopped.
  static bool hasUnlistedStop(const WorkerInfo &Worker);
  /// How long the next status poll may wait at a worker that is reserved for a
  /// trial, or has one: until a sign of life permits the trial, or ends it.
  Milliseconds trialPollWait(const WorkerInfo &Worker) const;
  /// Takes a reply to an order, which does not tell the incarnation, for a sign
  /// of life of the worker.
  /// Returns false, and takes nothing from the reply, if the worker has
  /// restarted since the order was sent.
  bool onOrderReply(WorkerInfo &Worker, std::int64_t WorkerStartedMs,
                    const OrderReply &Reply);
  void updateClock(WorkerInfo &Worker, Milliseconds Clock);
  void extendLeaseEnd(WorkerInfo &Worker, Milliseconds Expires);
  /// Accounts for an order for an earlier incarnation that may reach the
  /// worker's present one until `Last` at the latest. That one grants it the
  /// longest lease, as the earlier one's clock was ahead.
  void extendLeaseForMisdirected(WorkerInfo &Worker, TimePoint Last);
  /// Called when the worker's present incarnation has seen a token that orders
  /// for earlier ones do not have.
  void rejectFormerOrders(WorkerInfo &Worker);
  /// When an order without a reply, sent until now, can no longer be carried
  /// out by the worker's present incarnation.
  TimePoint latestArrival(const WorkerInfo &Worker) const;
  /// An order for the incarnation that started at `WorkerStartedMs` (zero for
  /// any) was answered, or can arrive no more.
  void onOrderEnded(WorkerInfo &Worker, std::int64_t WorkerStartedMs,
                    OrderOutcome Outcome);
  Milliseconds leaseExpiry(const WorkerInfo &Worker) const;
  /// Whether leases may be granted for long enough to start a run.
  bool mayStartRuns() const;
  /// Whether `Expires` is in the worker's future.
  bool isLeaseLeft(const WorkerInfo &Worker, Milliseconds Expires) const;
  /// Notes that a worker has accepted this owner's token.
  void onTokenAccepted(WorkerInfo &Worker);
  /// Rules out that the last owner extends its leases from now on, once half of
  /// the workers with recorded runs have accepted this owner's token.
  void ruleOutExtensions();
  /// Extends the leases that may be granted, once most workers with recorded
  /// runs have answered late enough.
  void updateLeaseExtension();
  /// Whether polls that are sent now may count for an extension.
  bool isExtensionNear() const;
  /// Whether the worker's present incarnation has listed a recorded run.
  static bool hasListedRun(const WorkerInfo &Worker);
  void applyStatus(WorkerInfo &Worker, TimePoint SentAt,
                   const WorkerSnapshot &Status);
  void applyActiveRuns(WorkerInfo &Worker, TimePoint SentAt,
                       const WorkerSnapshot &Status);
  /// Called when the worker's present incarnation lists the run.
  void noteListing(TaskInfo &Task, RunInfo &Run);
  void stopUnknownRun(WorkerInfo &Worker, const ActiveRun &Active);
  /// Reserves what an unknown run holds until the worker no longer lists it.
  void reserveForUnknownRun(WorkerInfo &Worker, const TaskKey &Task) const;
  static void releaseUnknownRuns(WorkerInfo &Worker);
  void expireUnreachableWorkers();
  void moveRunsOffDrainingWorkers();
  void updateSuspendedShare();
  /// Stops throttled or starved fillers that could run faster on another
  /// worker.
  void moveThrottledFillers();
  /// Quarantines a worker on which runs of several jobs have failed.
  void recordFailure(WorkerInfo &Worker, const std::string &Job,
                     TimePoint StartedAt);
  void recordSuccess(WorkerInfo &Worker);

  // Decisions.
  void listAvailableWorkers();
  /// Reserves workers for the suspects that wait for a trial.
  void reserveForTrials();
  void placeWaitingTasks(Decisions &Next);
  /// Lets further suspects join the trials that begin in this round, while many
  /// of them wait.
  void placeSharedTrials(Decisions &Next);
  /// Places the waiting tasks of a step, as far as possible.
  bool placeStep(StepInfo &Step, Decisions &Next);
  bool placeTask(TaskInfo &Task, Decisions &Next);
  /// Logs at intervals why a suspect could not be placed.
  void logTrialAwaited(TaskInfo &Task);
  /// Keeps room for the first task of a step that could not be placed.
  void reserveFor(const StepInfo &Step);
  /// Stops runs of a lower priority for a task that could not be placed.
  void preemptFor(const TaskInfo &Task);
  const std::vector<WorkerInfo *> &availableWorkers(const std::string &Service);
  bool placeGang(StepInfo &Step, Decisions &Next);
  /// Starts copies of speculative tasks whose only run is slow or unreachable.
  void placeCopies(Decisions &Next);
  /// Withdraws the planned starts that must not be sent any more.
  void withdrawInvalidStarts(const Decisions &Stored, bool AreStale);
  bool needsCopy(const TaskInfo &Task) const;
  void collectStop(const WorkerInfo &Worker, const RunRef &Ref, RunInfo &Run,
                   ImmediateOrders &Next) const;
  void collectThrottle(const WorkerInfo &Worker, const RunRef &Ref,
                       RunInfo &Run, ImmediateOrders &Next) const;

  const Clock &m_clock;
  const Options m_options;
  FillerThrottle m_throttle;
  InterferenceModel m_interference;
  Reservations m_reservations;
  TrialReservations m_trialReservations;
  JobValuation m_valuation;
  /// Of the last round; see Summary.
  std::size_t m_overloadedSteps = 0;
  bool m_isStoreReachable = true;
  GrantedLeases m_grantedLeases;
  std::optional<EarlierLeases> m_earlierLeases;
  /// What can be ruled out of the last owner's extensions has been.
  bool m_areExtensionsSettled = false;
  TimePoint m_runsRestoredAt;
  std::size_t m_earlierWorkers = 0;
  std::size_t m_acceptedWorkers = 0;
  /// When the newest decisions that are durable were made.
  TimePoint m_storedDecisionsAt;
  bool m_arePlacementInputsCurrent = true;
  std::set<std::string> m_evacuatedDataCentres;
  std::unordered_map<std::string, std::unique_ptr<JobInfo>> m_jobs;
  std::unordered_map<std::string, std::unique_ptr<WorkerInfo>> m_workers;
  /// What is kept of a worker whose row was erased, in case it is back.
  struct ErasedWorker {
    std::int64_t m_startedMs = 0;
    std::uint64_t m_restarts = 0;
  };
  std::unordered_map<std::string, ErasedWorker> m_erasedWorkers;
  struct StepKey {
    std::string m_job;
    std::uint32_t m_occurrence;
    std::uint32_t m_step;
    auto operator<=>(const StepKey &) const = default;
  };
  static StepKey keyOf(const StepInfo &Step);
  /// Steps with waiting tasks.
  std::map<StepKey, StepInfo *> m_stepQueue;
  /// Waiting tasks that are suspects.
  std::set<TaskInfo *> m_waitingSuspects;
  /// Speculative steps in progress.
  std::set<StepInfo *> m_speculativeSteps;
  /// Available workers by service; rebuilt by each decide() and control().
  std::map<std::string, std::vector<WorkerInfo *>> m_availableByService;
  std::set<std::string> m_dirtyJobs;
  /// A worker that was found lost, and the jobs of the runs that may be the
  /// cause.
  struct WorkerLoss {
    TimePoint m_at;
    std::set<std::string> m_jobs;
  };
  /// In the order of time.
  std::deque<WorkerLoss> m_losses;
  /// When the last job was taken over. Losses before that are not known.
  std::optional<TimePoint> m_jobsRestoredAt;
  std::vector<Decisions::ObservedEnd> m_unstoredEnds;
  /// Stops for runs that workers report and this scheduler does not know.
  std::vector<StopOrder> m_unknownRunStops;
  std::map<std::string, TimePoint> m_unknownRunStopSentAt;
  std::size_t m_liveJobs = 0;
  TimePoint m_suspendedShareUpdatedAt;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_SCHEDULER_H
