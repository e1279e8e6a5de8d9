// The deterministic fold over the log: the state that all entries share.
//
//   State Shared;
//   Applied Result = Shared.apply(Offset, Batch);
//   if (!Result.m_outcomes[0].m_isAccepted) log(Result.m_outcomes[0].m_reason);
//
// Two entries that applied the same offsets hold the same state, whoever wrote
// the records. Every safety rule on shared state stands here: a record that
// would break one is refused, on all entries alike.
#ifndef CATKINSEAM_STATE_FOLD_H
#define CATKINSEAM_STATE_FOLD_H

#include "catkinseam/config/config_table.h"
#include "catkinseam/state/records.h"
#include "catkinseam/state/tables.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// What became of one record.
struct RecordOutcome {
  bool m_isAccepted = false;
  /// Why not; names the thing.
  std::string m_reason;
};

/// What became of one batch. A doubled batch has no outcomes.
struct Applied {
  bool m_isDuplicate = false;
  std::vector<RecordOutcome> m_outcomes;
};

/// Shared state. Not thread-safe: its owner locks.
class State {
public:
  /// Ended jobs kept for status calls.
  static constexpr std::size_t MaxEndedJobs = 2000;
  /// A batch of an unknown writer older than this is dropped as a late append
  /// of a process that is forgotten; a known writer silent for longer is.
  static constexpr std::int64_t WriterRetentionMs = 3600 * 1000;
  /// Distinct workers on which a job fails before it is parked, unless
  /// configured.
  static constexpr std::int64_t DefaultFailuresToPark = 3;
  /// Failures in a row after which a worker is quarantined.
  static constexpr std::uint32_t FailuresToQuarantine = 3;
  static constexpr std::int64_t ProbeAfterMs = 60 * 1000;
  /// Tasks at once on a worker that has never finished one.
  static constexpr std::uint32_t UnprovenClaims = 2;

  /// Applies the batch at `Offset`, which must be nextOffset() or later (log
  /// records may have expired only before a snapshot).
  Applied apply(std::uint64_t Offset, const RecordBatch &Batch);

  /// First offset not applied.
  std::uint64_t nextOffset() const { return m_nextOffset; }
  /// Highest wall time of any batch applied: the fold's own clock.
  std::int64_t timeMs() const { return m_timeMs; }

  const ConfigTable &config() const { return m_config; }
  const std::map<std::string, WorkerRow> &workers() const { return m_workers; }
  const std::map<std::string, JobRow> &jobs() const { return m_jobs; }
  const SnapshotRow &snapshot() const { return m_snapshot; }
  const std::map<std::string, WriterRow> &writers() const { return m_writers; }

  /// Returns the row, or null.
  const WorkerRow *worker(const std::string &Name) const;
  const JobRow *job(const std::string &Name) const;
  const TaskRow *task(const TaskId &Task) const;

  /// What a team's tasks hold now.
  Resources heldByTeam(const std::string &Team) const;

  /// Returns why a claim would be refused now, or an empty string.
  std::string claimRejectionReason(const ClaimRecord &Claim) const;

  /// Returns why a job can never run on the workers reported, or an empty
  /// string; names the resource.
  std::string misfitOf(const JobRecord &Job) const;

  /// Returns whether the worker may only be probed.
  static bool isQuarantined(const WorkerRow &Worker) {
    return Worker.m_failStreak >= FailuresToQuarantine;
  }

  /// Hash over the whole state; equal on entries at the same offset.
  std::uint64_t hash() const;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset, m_timeMs, m_config, m_workers, m_jobs, m_endedJobs,
           m_reservedByTeam, m_writers, m_snapshot, m_partialSnapshotParts,
           m_partialSnapshotId);
  }

private:
  RecordOutcome applyRecord(const ConfigPatchRecord &Record);
  RecordOutcome applyRecord(const JobRecord &Record);
  RecordOutcome applyRecord(const ClaimRecord &Record);
  RecordOutcome applyRecord(const FenceRecord &Record);
  RecordOutcome applyRecord(const ReleaseRecord &Record);
  RecordOutcome applyRecord(const CancelRecord &Record);
  RecordOutcome applyRecord(const SnapshotMarkRecord &Record);
  RecordOutcome applyRecord(const SnapshotPartRecord &Record);

  bool admitBatch(const RecordBatch &Batch);
  void removeIdleWriters();
  void updateWorkerFromConfig(const std::string &Name);
  std::string workerRejectionReason(const std::string &Name,
                                    const WorkerRow &Worker,
                                    const Resources &Reserved) const;
  std::string quotaRejectionReason(const JobRow &Job,
                                   const Resources &Reserved) const;
  std::string attemptRejectionReason(const TaskId &Task,
                                     std::uint32_t Attempt) const;
  void releaseReservation(const TaskId &Task, TaskRow &Row, JobRow &Job);
  void recordWorkerOutcome(const ReleaseRecord &Record,
                           const std::string &Worker, const JobRow &Job);
  void updateReleasedTask(const ReleaseRecord &Record, TaskRow &Row,
                          JobRow &Job);
  void parkIfFailureLimitReached(JobRow &Job);
  void cancelQueuedTasks(JobRow &Job);
  void endJobIfDone(const std::string &Name, JobRow &Job);

  std::uint64_t m_nextOffset = 0;
  std::int64_t m_timeMs = 0;
  ConfigTable m_config;
  std::map<std::string, WorkerRow> m_workers;
  std::map<std::string, JobRow> m_jobs;
  /// Ended jobs, oldest first.
  std::deque<std::string> m_endedJobs;
  /// Invariant: sum of m_reserved over the claimed tasks of the team's jobs.
  std::map<std::string, Resources> m_reservedByTeam;
  std::map<std::string, WriterRow> m_writers;
  SnapshotRow m_snapshot;
  std::uint32_t m_partialSnapshotParts = 0;
  std::string m_partialSnapshotId;
  /// Offset of the batch being applied; not part of the state.
  std::uint64_t m_currentOffset = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_FOLD_H
