// What the scheduler knows about: jobs, workers, and what they say.
//
//   JobSpec Job;
//   Job.m_steps.push_back({.m_count = 4, .m_request = {500, 256, 0}});
//
// Plain values, free of wire forms; the platform's adapters fill them.
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

/// One step of a job: tasks that are alike.
struct StepSpec {
  std::uint32_t m_count = 0;
  Resources m_request;
  /// A rough guess of one task's run time; zero when none was given.
  Milliseconds m_estimate{0};
  /// Numbers of earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> m_after;
  bool m_savesCheckpoints = false;
  /// All tasks run together, and one end stands for all.
  bool m_isGang = false;
  /// Runs slower when its tasks are on more than one rack.
  bool m_isRackLocal = false;
  /// Copies of a task may run at once.
  bool m_isSpeculative = false;
  /// Runs until the job is cancelled.
  bool m_isService = false;
  /// Uses only processors that other tasks leave idle.
  bool m_isFiller = false;
  /// A label that the worker must have; empty for any.
  std::string m_requiredLabel;
  /// The rack of the step's data; empty for none.
  std::string m_dataRack;
  /// What the tasks run; tasks of one image behave alike.
  std::string m_image;
  /// At most this many of the step's tasks on one worker; zero for no bound.
  std::uint32_t m_maxPerWorker = 0;
  /// So many tasks of a service may be away through the scheduler's doing.
  std::uint32_t m_maxUnavailable = 0;
  /// The tail latency that a service's own users are to see; zero for none.
  Milliseconds m_targetTail{0};

  template <class Archive> void serialize(Archive &Target) {
    Target(m_count, m_request, m_estimate, m_after, m_savesCheckpoints,
           m_isGang, m_isRackLocal, m_isSpeculative, m_isService, m_isFiller,
           m_requiredLabel, m_dataRack, m_image, m_maxPerWorker,
           m_maxUnavailable, m_targetTail);
  }
};

/// What a customer asks for.
struct JobSpec {
  /// Handed to the worker as it came.
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /// Zero: the steps run once, at once.
  std::uint32_t m_occurrences = 0;
  /// Milliseconds since 1970.
  std::int64_t m_firstDueMs = 0;
  Milliseconds m_interval{0};

  template <class Archive> void serialize(Archive &Target) {
    Target(m_payload, m_steps, m_occurrences, m_firstDueMs, m_interval);
  }
};

/// How the jobs of one queue are treated.
struct QueueTerms {
  std::string m_queue;
  /// The service whose workers run the tasks.
  std::string m_service;
  /// Zero comes first.
  std::int64_t m_priority = 0;
  std::uint32_t m_maxAttempts = 1;
  /// The objective: so many times the longest chain of work ...
  double m_stretch = 1.0;
  /// ... and this much more.
  Milliseconds m_slack{0};

  template <class Archive> void serialize(Archive &Target) {
    Target(m_queue, m_service, m_priority, m_maxAttempts, m_stretch, m_slack);
  }
};

/// An accepted job.
struct Submission {
  std::string m_id;
  QueueTerms m_terms;
  /// Milliseconds since 1970 by the accepting entry's clock.
  std::int64_t m_acceptedMs = 0;
  JobSpec m_spec;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_id, m_terms, m_acceptedMs, m_spec);
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

/// Names one task of one job.
struct TaskKey {
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskKey &) const = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX", for logs.
std::string toString(const TaskKey &Task);

/// One attempt at a task; numbers of a task only rise.
using RunNumber = std::uint32_t;

/// What a worker says of itself in the registry.
struct WorkerReport {
  std::string m_id;
  /// When this life of the worker began, milliseconds since 1970.
  std::int64_t m_bornMs = 0;
  Endpoint m_address;
  std::string m_service;
  std::string m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  bool m_isDraining = false;
  /// While draining: the least time that is left.
  Milliseconds m_remaining{0};

  bool operator==(const WorkerReport &) const = default;
};

/// A run that is on a worker.
struct ActiveRun {
  TaskKey m_task;
  RunNumber m_run = 0;
  std::string m_checkpoint;
  /// For a service 100 once it is at work, for other tasks work done.
  std::int64_t m_percent = 0;
  /// Over the last half second: the tail latency in milliseconds of a service,
  /// the thousandths of a processor in use of any other task.
  std::int64_t m_figure = 0;
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

const char *runEndName(RunEnd End);

/// A run that has ended on a worker.
struct EndedRun {
  /// Counts up from 1 in each life of the worker.
  std::uint64_t m_number = 0;
  TaskKey m_task;
  RunNumber m_run = 0;
  RunEnd m_end = RunEnd::Failed;
  std::string m_checkpoint;
};

/// A worker's answer to a look.
struct WorkerLook {
  std::int64_t m_bornMs = 0;
  /// The worker's own steady clock.
  Milliseconds m_clock{0};
  std::vector<ActiveRun> m_active;
  std::vector<EndedRun> m_ended;
  /// False when the worker holds more ended runs than it listed.
  bool m_isWhole = true;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_MODEL_H
