// Rows of the replicated state: workers, jobs and their tasks.
//
// Only ReplicatedState (state/replicated_state.h) writes these rows; all other
// code reads them.
#ifndef CATKINSEAM_STATE_TABLES_H
#define CATKINSEAM_STATE_TABLES_H

#include "catkinseam/capacity/report.h"
#include "catkinseam/state/records.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

struct WorkerRow {
  CapacityRow m_capacity;
  std::string m_rack;
  std::string m_dataCentre;
  /// Service slots; request scheduling shares them among the entries.
  std::uint32_t m_slots = 0;
  /// False once operators have removed the worker from the report.
  bool m_isReported = false;
  /// Tasks claimed on this worker and not released yet. Invariant: their
  /// reservations add up to m_capacity.m_reserved.
  std::set<TaskId> m_tasks;
  bool m_hasSucceeded = false;
  /// Failures since the last success, without those attributed to the job.
  std::uint32_t m_consecutiveFailures = 0;
  /// Claims since a task last finished or failed here; other releases decrement
  /// it.
  std::uint32_t m_claimsSinceOutcome = 0;
  std::int64_t m_lastFailureMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_capacity, m_rack, m_dataCentre, m_slots, m_isReported, m_tasks,
           m_hasSucceeded, m_consecutiveFailures, m_claimsSinceOutcome,
           m_lastFailureMs);
  }
};

enum class TaskPhase : std::uint8_t { Queued, Claimed, Finished, Cancelled };

struct TaskRow {
  TaskPhase m_phase = TaskPhase::Queued;
  bool m_isFenced = false;
  /// Number of the latest attempt; each claim increments it.
  std::uint32_t m_attempt = 0;
  /// Worker of the current attempt; empty unless Claimed.
  std::string m_worker;
  /// Boot id of that worker; empty unless Claimed.
  std::string m_bootId;
  Resources m_reserved;
  std::string m_checkpoint;
  /// Log time of the last claim or release, or of the submission.
  std::int64_t m_phaseChangedMs = 0;
  /// Log offset of the fence; compared with the offsets that peers have
  /// applied.
  std::uint64_t m_fenceOffset = 0;
  std::uint16_t m_evictions = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_phase, m_isFenced, m_attempt, m_worker, m_bootId, m_reserved,
           m_checkpoint, m_phaseChangedMs, m_fenceOffset, m_evictions);
  }
};

enum class JobPhase : std::uint8_t { Active, Finished, Cancelled, Parked };

struct JobRow {
  JobRecord m_record;
  JobPhase m_phase = JobPhase::Active;
  /// Why the job is parked.
  std::string m_reason;
  std::int64_t m_submittedMs = 0;
  std::int64_t m_endedMs = 0;
  /// Empty once the job has ended and no task is claimed.
  std::vector<TaskRow> m_tasks;
  /// Invariant: indices of the tasks in phase Queued.
  std::set<std::uint32_t> m_queued;
  std::uint32_t m_claimed = 0;
  std::uint32_t m_finished = 0;
  std::uint32_t m_evictions = 0;
  /// Workers on which a task of this job failed.
  std::set<std::string> m_failedWorkers;
  /// Highest estimated demand of any of the job's tasks, per resource.
  Resources m_peakDemand;
  std::int64_t m_maxRunTimeMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_record, m_phase, m_reason, m_submittedMs, m_endedMs, m_tasks,
           m_queued, m_claimed, m_finished, m_evictions, m_failedWorkers,
           m_peakDemand, m_maxRunTimeMs);
  }
};

/// State of one process that appends to the log.
struct WriterRow {
  /// Highest batch sequence applied.
  std::uint64_t m_sequence = 0;
  std::int64_t m_lastWallMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_sequence, m_lastWallMs);
  }
};

/// The last complete snapshot in the log.
struct SnapshotRow {
  std::uint64_t m_nextOffset = 0;
  std::int64_t m_wallMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset, m_wallMs);
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_TABLES_H
