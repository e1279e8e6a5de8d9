// The records that entries append to the platform's log.
//
//   RecordBatch Batch{.m_writer = BootId, .m_sequence = 1, .m_wallMs = Now};
//   Batch.m_records.push_back(ClaimRecord{...});
//   std::string Bytes = encode(Batch);
//
// A batch is one log record (group commit). Writer and sequence identify
// duplicated and delayed appends, which are ignored.
#ifndef CATKINSEAM_STATE_RECORDS_H
#define CATKINSEAM_STATE_RECORDS_H

#include "catkinseam/capacity/resources.h"
#include "catkinseam/config/config_table.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace catkinseam {

/// Identifies one task of a job.
struct TaskId {
  std::string m_job;
  std::uint32_t m_index = 0;

  auto operator<=>(const TaskId &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_job, m_index);
  }
};

/// Returns "job/index".
std::string toString(const TaskId &Task);

struct ConfigPatchRecord {
  ConfigPatch m_patch;

  template <class Archive> void serialize(Archive &Target) { Target(m_patch); }
};

/// Submission of a job. The client chooses the job id.
struct JobRecord {
  std::string m_job;
  std::string m_team;
  std::string m_program;
  bool m_isUrgent = false;
  std::uint32_t m_taskCount = 0;
  /// Resources declared for each task.
  Resources m_size;
  /// Declared run time of each task, in milliseconds; a hint only.
  std::int64_t m_declaredRunMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_job, m_team, m_program, m_isUrgent, m_taskCount, m_size,
           m_declaredRunMs);
  }
};

/// Assigns a queued task to a worker.
struct ClaimRecord {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  std::string m_worker;
  /// Boot id of the worker at the time of the claim. A worker that has
  /// restarted since may have lost the attempt, so the attempt is not started
  /// there.
  std::string m_bootId;
  /// Resources reserved for the task on the worker.
  Resources m_reserved;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_task, m_attempt, m_worker, m_bootId, m_reserved);
  }
};

/// Forbids renewing the lease of an attempt: the first step of moving a task
/// off an unreachable worker.
struct FenceRecord {
  TaskId m_task;
  std::uint32_t m_attempt = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_task, m_attempt);
  }
};

enum class ReleaseKind : std::uint8_t {
  Finished,  ///< The worker reported success.
  Failed,    ///< The worker reported failure.
  Evicted,   ///< The worker confirmed the stop.
  Lapsed,    ///< Fenced, and the lease has certainly expired.
  Withdrawn, ///< The worker does not run the attempt and will never start it.
};

/// Ends an attempt that is known not to run any more on its worker.
struct ReleaseRecord {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  ReleaseKind m_kind = ReleaseKind::Finished;
  /// Checkpoint for the next attempt; empty keeps the previous one, if any.
  std::string m_checkpoint;
  /// Highest observed usage; zero if unknown.
  Resources m_peakUsage;
  std::int64_t m_runTimeMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_task, m_attempt, m_kind, m_checkpoint, m_peakUsage, m_runTimeMs);
  }
};

struct CancelRecord {
  std::vector<std::string> m_jobs;

  template <class Archive> void serialize(Archive &Target) { Target(m_jobs); }
};

/// Makes every entry hash its state after applying this record's batch. The
/// writer of the marker then appends that state as a snapshot.
struct SnapshotMarkerRecord {
  std::string m_snapshotId;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_snapshotId);
  }
};

/// One part of a snapshot of the replicated state.
struct SnapshotPartRecord {
  std::string m_snapshotId;
  /// First log offset that the snapshot does not cover.
  std::uint64_t m_nextOffset = 0;
  std::uint32_t m_part = 0;
  std::uint32_t m_parts = 0;
  /// Hash of the whole snapshot.
  std::uint64_t m_hash = 0;
  std::string m_bytes;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_snapshotId, m_nextOffset, m_part, m_parts, m_hash, m_bytes);
  }
};

using Record = std::variant<ConfigPatchRecord, JobRecord, ClaimRecord,
                            FenceRecord, ReleaseRecord, CancelRecord,
                            SnapshotMarkerRecord, SnapshotPartRecord>;

/// The payload of one log append.
struct RecordBatch {
  static constexpr std::uint32_t CurrentFormat = 1;

  std::uint32_t m_format = CurrentFormat;
  /// Boot id of the process that appended.
  std::string m_writer;
  /// Number of the writer's batch, from 1. A writer has one batch in flight at
  /// a time.
  std::uint64_t m_sequence = 0;
  std::int64_t m_wallMs = 0;
  std::vector<Record> m_records;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_format, m_writer, m_sequence, m_wallMs, m_records);
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_RECORDS_H
