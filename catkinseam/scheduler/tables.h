// The scheduler's entities: jobs with their tasks and runs, and workers.
//
// Rows refer to one another by pointer; a job's rows live as long as the job.
#ifndef CATKINSEAM_SCHEDULER_TABLES_H
#define CATKINSEAM_SCHEDULER_TABLES_H

#include "catkinseam/scheduler/model.h"
#include "catkinseam/scheduler/swing.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinseam {

struct PlannedJob;
struct PlannedOccurrence;
struct PlannedStep;
struct PlannedTask;
struct PlannedWorker;

enum class RunPhase {
  Recording, ///< Its record is on the way to the store; not sent.
  Starting,  ///< Sent, not answered.
  Running,   ///< The worker has said that it runs.
  Stopping,  ///< A stop is to be sent, or was; no end seen yet.
  Adopted,   ///< Recorded by an earlier owner; the worker has not been heard.
};

/// Stands for a pace that an earlier owner may have set.
constexpr int UnknownPace = -1;

struct PlannedRun {
  RunNumber m_number = 0;
  RunPhase m_phase = RunPhase::Recording;
  PlannedWorker *m_worker = nullptr;
  TimePoint m_since;
  /// When the worker first listed it or answered its start.
  TimePoint m_confirmedAt;
  /// Stopping: when the stop was last sent and when it was answered.
  TimePoint m_stopSentAt;
  TimePoint m_stopAnsweredAt;
  bool m_isStopAnswered = false;
  std::int64_t m_percent = 0;
  std::int64_t m_figure = 0;
  /// Services: the load behind the reported tail less what fillers add, how
  /// fast it grows, a second, and what it lately was above the habits of its
  /// step.
  double m_ownLoad = 0.0;
  double m_ownTrend = 0.0;
  double m_ownExcess = 0.0;
  TimePoint m_ownAt;
  /// Services: since when its tail has been over its target.
  TimePoint m_overSince;
  bool m_isOver = false;
  /// The share of its work that it is to do, and what the worker was told.
  int m_pace = 100;
  /// When it was last slowed from its full pace.
  TimePoint m_slowSince;
  TimePoint m_moveAttemptedAt;
  int m_paceSent = 100;
  bool m_isPacePending = false;
  /// Progress watch: the last change of percent.
  TimePoint m_progressedAt;
};

struct PlannedTask {
  PlannedStep *m_step = nullptr;
  std::uint32_t m_index = 0;
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  RunNumber m_lastRun = 0;
  std::string m_checkpoint;
  std::vector<PlannedRun> m_runs;
  /// Workers on which it failed or that refused it, newest last.
  std::vector<std::string> m_avoidedWorkers;
  TimePoint m_earliestStart;
  /// How often it was stopped to run elsewhere.
  std::uint32_t m_moveCount = 0;
  /// In the step's list of tasks to place.
  bool m_isWaiting = false;
};

/// Numbers the images that have been met; cheaper to compare than names.
using ImageNumber = std::size_t;

/// What is known of the load of a service, pooled over its instances.
struct ServiceHabits {
  Swing m_swing{{}};
  TimePoint m_fittedAt;
  /// Fading means of the load and of the shares of the worker that each image
  /// of fillers used, and the weight of the reports behind them.
  TimePoint m_meanAt;
  double m_weight = 0.0;
  double m_load = 0.0;
  std::vector<double> m_shares;
};

struct PlannedStep {
  const StepSpec *m_spec = nullptr;
  ImageNumber m_image = 0;
  PlannedOccurrence *m_occurrence = nullptr;
  std::uint32_t m_number = 0;
  std::vector<PlannedTask> m_tasks;
  std::uint32_t m_doneCount = 0;
  bool m_isStarted = false;
  /// Found no place: not tried again before.
  TimePoint m_retryAt;
  /// Tasks to place, by index.
  std::vector<PlannedTask *> m_waitingTasks;
  /// Run times of tasks that are done, for stragglers.
  std::vector<Duration> m_completedDurations;
  /// Services with reports.
  std::unique_ptr<ServiceHabits> m_habits;
};

struct PlannedOccurrence {
  PlannedJob *m_job = nullptr;
  std::uint32_t m_number = 0;
  /// Milliseconds since 1970.
  std::int64_t m_dueMs = 0;
  std::vector<PlannedStep> m_steps;
  std::uint32_t m_doneStepCount = 0;
  bool m_isOpen = false;
};

struct PlannedJob {
  Submission m_submission;
  JobState m_state = JobState::Queued;
  std::deque<PlannedOccurrence> m_occurrences;
  /// Changed since its progress was last handed out to be stored.
  bool m_isDirty = false;
  /// Runs of all its tasks that may still be somewhere.
  std::size_t m_activeRunCount = 0;
  TimePoint m_endedAt;
  /// When the longest chain, stretched, is over; milliseconds since 1970.
  std::int64_t m_objectiveMs = 0;

  const QueueTerms &terms() const { return m_submission.m_terms; }
};

/// A run by task; the run itself stands in the task.
struct RunRef {
  PlannedTask *m_task = nullptr;
  RunNumber m_run = 0;

  auto operator<=>(const RunRef &) const = default;
};

struct PlannedWorker {
  WorkerReport m_report;
  /// Present in the registry.
  bool m_isListed = false;
  /// Has answered a look under this owner's token in this life.
  bool m_hasAcceptedToken = false;
  /// Has answered and has not failed to since.
  bool m_isReachable = false;
  std::vector<RunRef> m_runs;

  /// Sums over m_runs; processors of fillers are counted apart.
  Resources m_reserved;
  std::int64_t m_fillerProcessors = 0;
  std::uint32_t m_services = 0;
  std::uint32_t m_fillers = 0;

  /// The worker's clock and the local time at which it was read.
  Milliseconds m_clock{0};
  TimePoint m_clockReadAt;
  bool m_isClockKnown = false;
  /// All that runs there has ended by then, as long as no lease is granted.
  TimePoint m_leaseEnd;
  std::uint32_t m_missedHeartbeats = 0;

  /// Ends that were taken in, and ends whose effect is stored.
  std::uint64_t m_lastEnd = 0;
  std::uint64_t m_storedEnd = 0;

  /// Health by what it did: failures in a row, of which jobs.
  std::set<std::string> m_failedJobs;
  std::uint32_t m_consecutiveFailures = 0;
  TimePoint m_lastSuccessAt;
  bool m_hasSucceeded = false;
  TimePoint m_quarantinedUntil;

  /// What is expected of its services, one entry an image; kept by
  /// Interference, stale after any change of runs, paces or reports.
  struct ServiceTail {
    ImageNumber m_image = 0;
    /// The load that fillers may still add.
    double m_room = 0.0;
    /// The sum of the parts of their services that these instances are.
    double m_parts = 0.0;
  };
  std::vector<ServiceTail> m_tails;
  bool m_areTailsStale = true;
  /// Thousandths of a processor that its services are expected to use at most
  /// in the near future; goes with m_tails.
  double m_serviceUse = 0.0;
  /// The part of all known images whose fillers it would bear; goes with
  /// m_tails.
  double m_bearable = 1.0;
  TimePoint m_observedAt;
  /// Fillers that ended lately still show in the services' tails.
  struct EndedFiller {
    ImageNumber m_image = 0;
    std::int64_t m_figure = 0;
    TimePoint m_endedAt;
  };
  std::vector<EndedFiller> m_endedFillers;
  /// Sum of the processors that its services ask for.
  std::int64_t m_serviceProcessors = 0;

  TimePoint m_pacedAt;
  /// A service there was over its target at the last look.
  bool m_isOver = false;
  TimePoint m_backoffUntil;

  /// Thousandths of a processor that ordinary tasks leave, and services that
  /// use this many.
  double leftBy(double ServiceUse) const {
    return static_cast<double>(m_report.m_capacity.m_milliProcessors -
                               m_reserved.m_milliProcessors +
                               m_serviceProcessors) -
           ServiceUse;
  }

  bool hasLabel(const std::string &Label) const {
    for (const std::string &Each : m_report.m_labels)
      if (Each == Label)
        return true;
    return false;
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TABLES_H
