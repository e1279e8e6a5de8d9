// The records that entries append to the platform's log.
//
//   RecordBatch Batch{.m_writer = BootId, .m_sequence = 1, .m_wallMs = Now};
//   Batch.m_records.push_back(ClaimRecord{...});
//   std::string Bytes = encode(Batch);
//
// A batch is one log record (group commit). Writer and sequence make a doubled
// or late append harmless.
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

/// Names one task of one job.
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

/// Submission of a job; the id is chosen by the client.
struct JobRecord {
  std::string m_job;
  std::string m_team;
  std::string m_program;
  bool m_isUrgent = false;
  std::uint32_t m_tasks = 0;
  /// Declared size of each task.
  Resources m_size;
  /// Declared run time of each task, in milliseconds; a hint only.
  std::int64_t m_declaredRunMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_job, m_team, m_program, m_isUrgent, m_tasks, m_size,
           m_declaredRunMs);
  }
};

/// Takes a queued task for a worker.
struct ClaimRecord {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  std::string m_worker;
  /// Boot of the worker that the claim means: a worker that has restarted
  /// since can have lost the attempt, and never starts it.
  std::string m_boot;
  /// What the task is given there.
  Resources m_reserved;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_task, m_attempt, m_worker, m_boot, m_reserved);
  }
};

/// Forbids renewing the lease of an attempt: the first step of moving a task
/// whose worker cannot be reached.
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
  Lapsed,    ///< Fenced, and the lease has run out for certain.
  Withdrawn, ///< The worker does not run the attempt and never will.
};

/// Ends an attempt; its old place is proven over.
struct ReleaseRecord {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  ReleaseKind m_kind = ReleaseKind::Finished;
  /// What the next attempt resumes from; empty to start anew.
  std::string m_checkpoint;
  /// Highest observed usage; zero when not known.
  Resources m_peak;
  std::int64_t m_ranMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_task, m_attempt, m_kind, m_checkpoint, m_peak, m_ranMs);
  }
};

struct CancelRecord {
  std::vector<std::string> m_jobs;

  template <class Archive> void serialize(Archive &Target) { Target(m_jobs); }
};

/// Asks every entry to hash its state once this record's batch is applied; the
/// writer appends that state as a snapshot.
struct SnapshotMarkRecord {
  std::string m_snapshotId;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_snapshotId);
  }
};

/// One part of a snapshot of the fold.
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
                            SnapshotMarkRecord, SnapshotPartRecord>;

/// One append to the log.
struct RecordBatch {
  static constexpr std::uint32_t CurrentFormat = 1;

  std::uint32_t m_format = CurrentFormat;
  /// Boot id of the process that appended.
  std::string m_writer;
  /// Counts the writer's batches from 1; one is in flight at a time.
  std::uint64_t m_sequence = 0;
  std::int64_t m_wallMs = 0;
  std::vector<Record> m_records;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_format, m_writer, m_sequence, m_wallMs, m_records);
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_RECORDS_H
