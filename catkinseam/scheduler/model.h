// The scheduler's data model: jobs, workers and snapshots of their state.
//
//   JobSpec Job;
//   Job.m_steps.push_back({.m_count = 4, .m_request = {500, 256, 0}});
//
// Plain values without a wire format; the platform adapters fill them in.
#ifndef CATKINSEAM_SCHEDULER_MODEL_H
#define CATKINSEAM_SCHEDULER_MODEL_H

#include "catkinseam/base/clock.h"
#include "catkinseam/capacity/resources.h"
#include "catkinseam/net/endpoint.h"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace catkinseam {

/// One step of a job: a set of identical tasks.
struct StepSpec {
  std::uint32_t m_count = 0;
  Resources m_request;
  /// Estimated run time of one task; zero if not given.
  Milliseconds m_estimate{0};
  /// Numbers of earlier steps that must complete first.
  std::vector<std::uint32_t> m_after;
  bool m_savesCheckpoints = false;
  /// All tasks run together; a successful end of one completes the step.
  bool m_isGang = false;
  /// Runs slower when its tasks are spread over several racks. Placement does
  /// not take this into account.
  bool m_isRackLocal = false;
  /// Several runs of one task may be active at once.
  bool m_isSpeculative = false;
  /// Runs until the job is cancelled.
  bool m_isService = false;
  /// Runs only on processor time that other tasks leave idle.
  bool m_isFiller = false;
  /// Label that the worker must have; empty for any worker.
  std::string m_requiredLabel;
  /// Rack that holds the step's data; empty for none.
  std::string m_dataRack;
  /// Image that the tasks run; tasks of one image behave alike.
  std::string m_image;
  /// Maximum number of the step's tasks on one worker; zero for no limit.
  std::uint32_t m_maxPerWorker = 0;
  /// Maximum number of a service's tasks that the scheduler may stop at once.
  /// The scheduler does not enforce it.
  std::uint32_t m_maxUnavailable = 0;
  /// Target tail latency of a service; zero for none.
  Milliseconds m_targetTailLatency{0};

  /// What a run of one task reserves on its worker. Fillers reserve no
  /// processors.
  Resources reservation() const {
    return {m_isFiller ? 0 : m_request.m_milliProcessors, m_request.m_memoryMb,
            m_request.m_accelerators};
  }

  template <class Archive> void serialize(Archive &Target) {
    Target(m_count, m_request, m_estimate, m_after, m_savesCheckpoints,
           m_isGang, m_isRackLocal, m_isSpeculative, m_isService, m_isFiller,
           m_requiredLabel, m_dataRack, m_image, m_maxPerWorker,
           m_maxUnavailable, m_targetTailLatency);
  }
};

/// A job as submitted by a customer.
struct JobSpec {
  /// Passed to the worker unchanged.
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /// Number of scheduled occurrences; zero runs the steps once, immediately.
  std::uint32_t m_occurrences = 0;
  /// Due time of the first occurrence, in milliseconds since 1970.
  std::int64_t m_firstDueMs = 0;
  Milliseconds m_interval{0};

  template <class Archive> void serialize(Archive &Target) {
    Target(m_payload, m_steps, m_occurrences, m_firstDueMs, m_interval);
  }
};

/// Scheduling policy of the jobs of one queue.
struct QueuePolicy {
  std::string m_queue;
  /// The service whose workers run the tasks.
  std::string m_service;
  /// Lower values are scheduled first.
  std::int64_t m_priority = 0;
  std::uint32_t m_maxAttempts = 1;
  /// A job should complete within m_stretchFactor times the length of its
  /// critical path plus m_slack after it was accepted.
  double m_stretchFactor = 1.0;
  Milliseconds m_slack{0};

  template <class Archive> void serialize(Archive &Target) {
    Target(m_queue, m_service, m_priority, m_maxAttempts, m_stretchFactor,
           m_slack);
  }
};

/// An accepted job.
struct Submission {
  std::string m_id;
  QueuePolicy m_policy;
  /// Milliseconds since 1970, by the accepting node's clock.
  std::int64_t m_acceptedMs = 0;
  JobSpec m_spec;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_id, m_policy, m_acceptedMs, m_spec);
  }
};

enum class JobState : std::uint8_t {
  Queued,
  InProgress,
  Completed,
  Failed,
  Cancelled
};

inline bool isFinal(JobState State) { return State >= JobState::Completed; }

/// Identifies one task of one job.
struct TaskKey {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskKey &) const = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX", for logs and messages.
std::string toString(const TaskKey &Task);

/// Numbers the runs of a task, in strictly increasing order.
using RunNumber = std::uint32_t;

/// A worker's registration.
struct WorkerRegistration {
  std::string m_id;
  /// Start of this incarnation of the worker, in milliseconds since 1970.
  std::int64_t m_startedMs = 0;
  Endpoint m_address;
  std::string m_service;
  std::string m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  bool m_isDraining = false;
  /// While draining: the minimum time left.
  Milliseconds m_remaining{0};
  /// How much longer the worker is slow after its start.
  Milliseconds m_coldFor{0};

  bool operator==(const WorkerRegistration &) const = default;
};

/// A run that is active on a worker.
struct ActiveRun {
  TaskKey m_task;
  RunNumber m_run = 0;
  std::string m_checkpoint;
  /// Progress in percent; for a service, 100 once it is serving.
  std::int64_t m_percent = 0;
  /// Measured over the last 500 ms: the tail latency of a service in
  /// milliseconds, or the processor use of any other task in thousandths.
  std::int64_t m_measurement = 0;
};

/// How a run ended, as reported by the worker. Only Done completes a task,
/// and only Failed counts towards QueuePolicy::m_maxAttempts.
enum class RunEnd {
  Done,
  Failed,
  Stopped, ///< Stopped by an order.
  Lapsed,  ///< The lease expired.
  Broken,
  Alone
};

const char *runEndName(RunEnd End);

/// A run that has ended on a worker.
struct EndedRun {
  /// Sequence number, from 1 in each incarnation of the worker.
  std::uint64_t m_sequence = 0;
  TaskKey m_task;
  RunNumber m_run = 0;
  RunEnd m_end = RunEnd::Failed;
  std::string m_checkpoint;
};

/// A snapshot of a worker's state, as reported in reply to a status poll.
struct WorkerSnapshot {
  std::int64_t m_startedMs = 0;
  /// The worker's own steady clock.
  Milliseconds m_clock{0};
  std::vector<ActiveRun> m_active;
  std::vector<EndedRun> m_ended;
  /// False if the worker has more ended runs than it listed.
  bool m_isComplete = true;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_MODEL_H
