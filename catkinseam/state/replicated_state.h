// The replicated state machine: applies log records in order, with the same
// result on every entry.
//
//   ReplicatedState Shared;
//   BatchOutcome Result = Shared.apply(Offset, Batch);
//   if (!Result.m_outcomes[0].m_isAccepted) log(Result.m_outcomes[0].m_reason);
//
// Entries that have applied the same offsets have the same state, whichever
// entry wrote the records. All safety rules on the replicated state are
// enforced here: every entry rejects a record that would violate one.
#ifndef CATKINSEAM_STATE_REPLICATED_STATE_H
#define CATKINSEAM_STATE_REPLICATED_STATE_H

#include "catkinseam/config/config_table.h"
#include "catkinseam/state/records.h"
#include "catkinseam/state/tables.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// Outcome of one record.
struct RecordOutcome {
  bool m_isAccepted = false;
  /// Why the record was rejected; names the job, task, worker or team.
  std::string m_reason;
};

/// Outcome of one batch. A duplicate batch has no record outcomes.
struct BatchOutcome {
  bool m_isDuplicate = false;
  std::vector<RecordOutcome> m_outcomes;
};

/// State replicated on all entries. Not thread-safe; the owner must lock it.
class ReplicatedState {
public:
  /// Maximum number of ended jobs kept for status calls.
  static constexpr std::size_t MaxEndedJobs = 2000;
  /// A writer is removed once its latest batch is older than this. A batch of
  /// an unknown writer that is older than this is ignored: it may be a delayed
  /// append of a removed writer.
  static constexpr std::int64_t WriterRetentionMs = 3600 * 1000;
  /// Number of distinct workers on which a job fails before it is parked,
  /// unless batch/failures_to_park is configured.
  static constexpr std::int64_t DefaultFailuresToPark = 3;
  /// Number of consecutive failures after which a worker is quarantined.
  static constexpr std::uint32_t FailuresToQuarantine = 3;
  /// Time from the last failure until a quarantined worker may get one task.
  static constexpr std::int64_t ProbeDelayMs = 60 * 1000;
  /// Maximum number of concurrent tasks on a worker that has not finished one
  /// yet.
  static constexpr std::uint32_t MaxClaimsBeforeFirstSuccess = 2;

  /// Applies the batch at `Offset`, which must be nextOffset() or later.
  /// Offsets may be skipped only where records expired before a snapshot.
  BatchOutcome apply(std::uint64_t Offset, const RecordBatch &Batch);

  /// First log offset that is not applied yet.
  std::uint64_t nextOffset() const { return m_nextOffset; }
  /// Highest wall time of the applied batches, in milliseconds: the clock that
  /// all entries agree on.
  std::int64_t timeMs() const { return m_timeMs; }

  const ConfigTable &config() const { return m_config; }
  const std::map<std::string, WorkerRow> &workers() const { return m_workers; }
  const std::map<std::string, JobRow> &jobs() const { return m_jobs; }
  const SnapshotRow &snapshot() const { return m_snapshot; }
  const std::map<std::string, WriterRow> &writers() const { return m_writers; }

  /// Return the row, or null if there is none.
  const WorkerRow *worker(const std::string &Name) const;
  const JobRow *job(const std::string &Name) const;
  const TaskRow *task(const TaskId &Task) const;

  /// Returns the sum of the reservations of a team's claimed tasks.
  Resources reservedByTeam(const std::string &Team) const;

  /// Returns why a claim would be rejected now, or an empty string.
  std::string claimRejectionReason(const ClaimRecord &Claim) const;

  /// Returns why a job's tasks fit on none of the reported workers, naming the
  /// missing resource, or an empty string if they fit on one.
  std::string unplaceableReason(const JobRecord &Job) const;

  /// Returns whether the worker gets only single probe tasks.
  static bool isQuarantined(const WorkerRow &Worker) {
    return Worker.m_consecutiveFailures >= FailuresToQuarantine;
  }

  /// Returns a hash of the whole state; equal on entries at the same offset.
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
  RecordOutcome applyRecord(const SnapshotMarkerRecord &Record);
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
  /// Number of consecutive parts applied of snapshot m_partialSnapshotId.
  std::uint32_t m_partialSnapshotParts = 0;
  std::string m_partialSnapshotId;
  /// Offset of the batch being applied; not part of the replicated state.
  std::uint64_t m_currentOffset = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_REPLICATED_STATE_H
