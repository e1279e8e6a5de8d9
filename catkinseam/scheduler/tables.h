// The scheduler's in-memory tables: jobs with their tasks and runs, and
// workers.
//
// Rows refer to each other by pointer; a job's rows live as long as the job.
#ifndef CATKINSEAM_SCHEDULER_TABLES_H
#define CATKINSEAM_SCHEDULER_TABLES_H

#include "catkinseam/scheduler/job_value.h"
#include "catkinseam/scheduler/model.h"
#include "catkinseam/scheduler/periodic_load.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinseam {

struct JobInfo;
struct OccurrenceInfo;
struct StepInfo;
struct TaskInfo;
struct WorkerInfo;

enum class RunPhase {
  Recording, ///< Being recorded in the store; the start is not sent.
  Starting,  ///< Start sent, no reply yet.
  Running,   ///< Confirmed by the worker.
  Stopping,  ///< A stop is due or was sent; no end reported yet.
  Adopted,   ///< Recorded by an earlier owner; not yet confirmed by the worker.
};

/// Sentinel: an earlier owner may have set any CPU rate.
constexpr int UnknownCpuRate = -1;

struct RunInfo {
  RunNumber m_number = 0;
  RunPhase m_phase = RunPhase::Recording;
  WorkerInfo *m_worker = nullptr;
  /// Start of the worker's incarnation to which the run was sent, or that has
  /// listed it since. The run may be in a later one that it has reached by
  /// mistake, as orders name a worker by its id. Stored.
  std::int64_t m_workerStartedMs = 0;
  /// That incarnation has listed the run, to this owner or an earlier one, so
  /// that the run ends with it. Stored.
  bool m_wasListed = false;
  TimePoint m_since;
  /// When the worker first listed the run or confirmed its start.
  TimePoint m_confirmedAt;
  /// The worker's current incarnation has listed the run to this owner.
  bool m_isListed = false;
  /// While starting: no reply to the start arrived, as of m_startDoubtedAt.
  bool m_isStartInDoubt = false;
  TimePoint m_startDoubtedAt;
  /// When the start was sent, and how long the worker had been silent by then.
  TimePoint m_startSentAt;
  Duration m_silenceBeforeStart{0};
  /// The start was sent to a worker that starts nothing else meanwhile; see
  /// crash_suspects.h.
  bool m_isOnTrial = false;
  /// Other suspects were started with it, so that the loss of the worker does
  /// not point to one of them.
  bool m_isTrialShared = false;
  /// The task was blamed for the loss of the worker under this run, which its
  /// next incarnation has not listed. Stored, so that no later owner counts the
  /// run again.
  bool m_isBlamed = false;
  /// An earlier owner started the run, and the worker still lists it.
  bool m_hasOutlivedOwner = false;
  /// While stopping: when the stop was last sent and when it was acknowledged.
  TimePoint m_stopSentAt;
  TimePoint m_stopAnsweredAt;
  bool m_isStopAnswered = false;
  std::int64_t m_percent = 0;
  std::int64_t m_measurement = 0;
  /// Services: the load implied by the tail latency less the load added by
  /// fillers, its growth per second, and its recent deviation from the load
  /// baseline of the step.
  double m_intrinsicLoad = 0.0;
  double m_intrinsicLoadTrend = 0.0;
  double m_baselineDeviation = 0.0;
  TimePoint m_intrinsicLoadAt;
  /// Services: since when the tail latency has exceeded its target.
  TimePoint m_overTargetSince;
  bool m_isOverTarget = false;
  /// Requested CPU rate, in percent; m_confirmedCpuRatePercent is the
  /// value that the worker last confirmed.
  int m_cpuRatePercent = 100;
  /// When the run was last throttled from the full CPU rate.
  TimePoint m_throttledSince;
  /// When a better worker was last sought for the run.
  TimePoint m_moveAttemptedAt;
  int m_confirmedCpuRatePercent = 100;
  bool m_isCpuRatePending = false;
  /// Last change of m_percent.
  TimePoint m_progressedAt;
};

/// A run that counted towards the failure of its task, for the log.
struct CountedRun {
  RunNumber m_run = 0;
  std::string m_worker;
  std::int64_t m_workerStartedMs = 0;
  /// Sequence number of its end; zero if its worker was lost.
  std::uint64_t m_sequence = 0;
  const char *m_cause = "";
};

struct TaskInfo {
  StepInfo *m_step = nullptr;
  std::uint32_t m_index = 0;
  /// Never reset. The runs of a completed task are being stopped, and none is
  /// started.
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  /// Workers that were lost when they had just started the task, and those of
  /// them that have certainly begun it and crashed; zero once a run has
  /// survived its trial.
  std::uint32_t m_lostWorkers = 0;
  std::uint32_t m_crashedWorkers = 0;
  /// A loss of a worker was not counted because it may have had another cause,
  /// and no run has survived its trial since. The next one counts.
  bool m_wasSpared = false;
  /// Not to be started again, as it seems to crash its workers.
  bool m_isGivenUp = false;
  /// The newest runs in these counts, as far as this owner has counted them,
  /// and the counts that it has taken over.
  std::vector<CountedRun> m_countedRuns;
  std::uint32_t m_restoredFailures = 0;
  std::uint32_t m_restoredLostWorkers = 0;
  RunNumber m_lastRun = 0;
  std::string m_checkpoint;
  std::vector<RunInfo> m_runs;
  /// Workers on which the task failed, that refused it, or that were lost when
  /// they had just started it, newest last.
  std::vector<std::string> m_avoidedWorkers;
  /// Whether others are available; of a suspect that waits for its trial.
  bool m_hasOtherWorkers = false;
  TimePoint m_earliestStart;
  /// When the log last told that the task waits for a trial.
  TimePoint m_waitLoggedAt;
  /// When a worker last listed a run of the task, or when the task was
  /// restored.
  TimePoint m_seenAt;
  /// Number of times the task was stopped to run on another worker.
  std::uint32_t m_moveCount = 0;
  /// Whether the task is in its step's m_waitingTasks.
  bool m_isWaiting = false;
};

/// Index of a known image; cheaper to compare than the name.
using ImageIndex = std::size_t;

/// Load baseline of a service, pooled over its instances.
struct LoadBaseline {
  PeriodicLoad m_periodicLoad{{}};
  TimePoint m_fittedAt;
  /// Exponentially decaying means of the load and of the worker share used by
  /// each filler image, and the total weight of the underlying reports.
  TimePoint m_meanAt;
  double m_weight = 0.0;
  double m_meanLoad = 0.0;
  std::vector<double> m_meanFillerShares;
};

struct StepInfo {
  const StepSpec *m_spec = nullptr;
  ImageIndex m_image = 0;
  OccurrenceInfo *m_occurrence = nullptr;
  std::uint32_t m_number = 0;
  std::vector<TaskInfo> m_tasks;
  std::uint32_t m_doneCount = 0;
  bool m_isStarted = false;
  /// After a failed placement: not retried before this time.
  TimePoint m_retryAt;
  /// Tasks waiting for placement.
  std::vector<TaskInfo *> m_waitingTasks;
  /// Run times of completed tasks, for straggler detection.
  std::vector<Duration> m_completedDurations;
  /// Set for services that have reported.
  std::unique_ptr<LoadBaseline> m_loadBaseline;
};

struct OccurrenceInfo {
  JobInfo *m_job = nullptr;
  std::uint32_t m_number = 0;
  /// Milliseconds since 1970.
  std::int64_t m_dueMs = 0;
  std::vector<StepInfo> m_steps;
  std::uint32_t m_doneStepCount = 0;
  bool m_isOpen = false;
};

struct JobInfo {
  Submission m_submission;
  JobState m_state = JobState::Queued;
  /// The occurrences up to the latest one that has been opened.
  std::deque<OccurrenceInfo> m_occurrences;
  /// Number of the occurrence that follows them.
  std::uint32_t m_nextOccurrence = 0;
  /// Open occurrences that have not completed.
  std::uint32_t m_runningOccurrenceCount = 0;
  /// A worker has run one of its tasks, as far as is known.
  bool m_hasBegun = false;
  /// Changed since decide() last returned its progress to be stored.
  bool m_isDirty = false;
  /// Runs of all tasks that may still be active on a worker.
  std::size_t m_activeRunCount = 0;
  TimePoint m_endedAt;
  /// Completion objective, in milliseconds since 1970; see QueuePolicy.
  std::int64_t m_objectiveMs = 0;
  /// Length of the critical path of one occurrence by the declared estimates.
  Milliseconds m_criticalPath{0};
  JobValue m_value;

  const QueuePolicy &policy() const { return m_submission.m_policy; }
};

/// Refers to a run by its task and number; the task owns the run.
struct RunRef {
  TaskInfo *m_task = nullptr;
  RunNumber m_run = 0;

  auto operator<=>(const RunRef &) const = default;
};

struct WorkerInfo {
  WorkerRegistration m_registration;
  /// Present in the registry.
  bool m_isListed = false;
  /// Its data centre is being evacuated; no run is started.
  bool m_isEvacuated = false;
  /// The worker is slow after its start until this time.
  TimePoint m_coldUntil;
  /// This incarnation has answered a status poll with this owner's fencing
  /// token.
  bool m_hasAcceptedToken = false;
  /// Restarts noticed by this owner. Orders carry a higher token after each, so
  /// that the incarnation rejects those for the ones before.
  std::uint64_t m_restarts = 0;
  /// This incarnation has answered a status poll with the present token.
  bool m_rejectsFormerOrders = false;
  /// Has answered a status poll and missed none since.
  bool m_isReachable = false;
  std::vector<RunRef> m_runs;

  /// Sums over m_runs. The processors of fillers are counted separately, in
  /// thousandths. m_reserved includes m_reservedByUnknownRuns.
  Resources m_reserved;
  std::int64_t m_fillerProcessors = 0;
  std::uint32_t m_services = 0;
  std::uint32_t m_fillers = 0;
  /// Number of runs on trial; no other run is started beside them.
  std::uint32_t m_trials = 0;
  /// Suspects may join a trial that begins, in this round of placement, up to
  /// this number.
  std::size_t m_maxTrials = 1;
  /// The step for whose suspects the worker is reserved, null for none, and
  /// since when; made anew in each round of placement (trial_reservations.h).
  const StepInfo *m_trialStep = nullptr;
  TimePoint m_trialReservedAt;
  /// When the last trial ended, or the last reservation that led to none.
  TimePoint m_trialEndedAt;

  /// Runs that the worker lists and that are not in m_runs, such as those of a
  /// job that ended under an earlier owner. They are being stopped.
  Resources m_reservedByUnknownRuns;
  /// One of them belongs to a job whose specification is unknown.
  bool m_hasRunOfUnknownSize = false;

  /// The worker's clock, and the local time at which it was received.
  Milliseconds m_clock{0};
  TimePoint m_clockReadAt;
  bool m_isClockKnown = false;
  /// The worker was certainly running until this time.
  TimePoint m_aliveUntil;
  /// When the worker was last found lost.
  TimePoint m_lostAt;
  /// Local time by which all leases on the worker have expired, if none is
  /// granted anew.
  TimePoint m_leaseEnd;
  /// The same for leases that the worker's present incarnation may have been
  /// granted by orders for an earlier one.
  TimePoint m_misdirectedLeaseEnd;
  /// No durable lease record accounts for m_misdirectedLeaseEnd yet; the one
  /// that was announced last does. No run is started until one is durable.
  bool m_needsLeaseRecord = false;
  bool m_isInNextLeaseRecord = false;
  /// m_leaseEnd is the general bound on the leases of earlier owners.
  bool m_isLeaseEarlier = false;
  /// The worker had recorded runs when this owner took over.
  bool m_hadEarlierRuns = false;
  /// Named as silent in the newest lease record that is durable, and in the one
  /// that was announced last. It is granted no lease while it is.
  bool m_isNamed = false;
  bool m_isNamedNext = false;
  /// When the last status poll that the worker has answered was sent.
  TimePoint m_answeredPollSentAt;
  /// When a run was last removed from m_runs.
  TimePoint m_runRemovedAt;
  std::uint32_t m_missedPolls = 0;

  /// Sequence numbers of the last end processed and of the last end stored.
  std::uint64_t m_lastObservedEnd = 0;
  std::uint64_t m_lastStoredEnd = 0;

  /// Health: consecutive failures and the jobs that failed.
  std::set<std::string> m_failedJobs;
  std::uint32_t m_consecutiveFailures = 0;
  TimePoint m_lastSuccessAt;
  bool m_hasSucceeded = false;
  /// No run is started before this time because runs of several jobs failed.
  TimePoint m_quarantinedUntil;

  /// Predicted load headrooms of the worker's services, one entry per image;
  /// maintained by InterferenceModel, stale after any change of runs, CPU rates
  /// or reports.
  struct ServiceLoadHeadroom {
    ImageIndex m_image = 0;
    /// Load that fillers may still add.
    double m_loadHeadroom = 0.0;
    /// Sum of these instances' shares of their services.
    double m_instanceFraction = 0.0;
  };
  std::vector<ServiceLoadHeadroom> m_loadHeadrooms;
  bool m_areLoadHeadroomsStale = true;
  /// Predicted peak processor use of the services in the near future, in
  /// thousandths; renewed with m_loadHeadrooms.
  double m_expectedServiceMilliProcessors = 0.0;
  /// Fraction of known filler images that the worker's services tolerate;
  /// renewed with m_loadHeadrooms.
  double m_toleratedFraction = 1.0;
  /// When the interference model last used a report of this worker.
  TimePoint m_observedAt;
  /// Recently ended fillers, whose load still affects the tail latencies.
  struct EndedFiller {
    ImageIndex m_image = 0;
    std::int64_t m_milliProcessors = 0;
    TimePoint m_endedAt;
  };
  std::vector<EndedFiller> m_endedFillers;
  /// Processors requested by the services, in thousandths.
  std::int64_t m_serviceProcessors = 0;

  /// When a requested CPU rate of a filler on this worker last changed.
  TimePoint m_throttledAt;
  /// A service exceeded its target at the last status poll.
  bool m_hasServiceOverTarget = false;
  /// No run is started before this time because the worker rejected a start.
  TimePoint m_backoffUntil;

  /// Local time by which nothing runs on the worker any more, if no lease is
  /// granted anew.
  TimePoint latestLeaseEnd() const {
    return std::max(m_leaseEnd, m_misdirectedLeaseEnd);
  }

  /// Thousandths of a processor left by ordinary tasks and by services that use
  /// `ServiceUse` thousandths.
  double freeMilliProcessors(double ServiceUse) const {
    return static_cast<double>(m_registration.m_capacity.m_milliProcessors -
                               m_reserved.m_milliProcessors +
                               m_serviceProcessors) -
           ServiceUse;
  }

  bool hasLabel(const std::string &Label) const {
    for (const std::string &Each : m_registration.m_labels)
      if (Each == Label)
        return true;
    return false;
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TABLES_H
