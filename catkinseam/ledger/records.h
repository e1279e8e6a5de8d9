// Records in which accepted jobs last: one key for what was asked, one for how
// far it has come, one for its cancelling.
//
//   std::string Value = encodeProgress(Progress);
//   Outcome<JobProgress> Read = attempt([&] { return decodeProgress(Value); });
#ifndef CATKINSEAM_LEDGER_RECORDS_H
#define CATKINSEAM_LEDGER_RECORDS_H

#include "catkinseam/base/codec.h"
#include "catkinseam/base/error.h"
#include "catkinseam/scheduler/model.h"

#include <string>
#include <vector>

namespace catkinseam {

/// A run that may be on a worker; written before its start is sent.
struct RunRecord {
  RunNumber m_run = 0;
  std::string m_worker;
  std::int64_t m_workerBornMs = 0;

  template <class Archive> void save(Archive &Target) const {
    saveSmall(Target, m_run);
    saveSmall(Target, m_worker);
    saveSmall(Target, static_cast<std::uint64_t>(m_workerBornMs));
  }
  template <class Archive> void load(Archive &Source) {
    m_run = static_cast<RunNumber>(loadSmall(Source));
    m_worker = loadSmallText(Source);
    m_workerBornMs = static_cast<std::int64_t>(loadSmall(Source));
  }
};

struct TaskRecord {
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  RunNumber m_lastRun = 0;
  std::string m_checkpoint;
  std::vector<RunRecord> m_runs;

  // Every node reads every change of a job, so the records are kept small.
  template <class Archive> void save(Archive &Target) const {
    Target(m_isDone);
    saveSmall(Target, m_failures);
    saveSmall(Target, m_lastRun);
    if (m_isDone)
      return;
    saveSmall(Target, m_checkpoint);
    saveSmall(Target, m_runs.size());
    for (const RunRecord &Each : m_runs)
      Target(Each);
  }
  template <class Archive> void load(Archive &Source) {
    Source(m_isDone);
    m_failures = static_cast<std::uint32_t>(loadSmall(Source));
    m_lastRun = static_cast<RunNumber>(loadSmall(Source));
    if (m_isDone)
      return;
    m_checkpoint = loadSmallText(Source);
    for (std::uint64_t Left = loadSmall(Source); Left > 0; --Left)
      Source(m_runs.emplace_back());
  }
};

/// A step without tasks has not begun.
struct StepRecord {
  std::vector<TaskRecord> m_tasks;

  template <class Archive> void serialize(Archive &Target) { Target(m_tasks); }
};

struct OccurrenceRecord {
  std::uint32_t m_number = 0;
  std::vector<StepRecord> m_steps;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_number, m_steps);
  }
};

/// How far a job has come.
struct JobProgress {
  JobState m_state = JobState::Queued;
  /// Occurrences before this number have ended.
  std::uint32_t m_firstOpen = 0;
  std::vector<OccurrenceRecord> m_occurrences;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_firstOpen, m_occurrences);
  }
};

/// Says which entry schedules.
struct OwnerRecord {
  std::uint64_t m_epoch = 0;
  std::string m_entry;
  /// Differs for each life of the entry's process.
  std::string m_boot;
  /// The owner gives up its part; another is to follow at once.
  bool m_isLeaving = false;
  /// The part of a processor that its machine has.
  double m_strength = 0.0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_epoch, m_entry, m_boot, m_isLeaving, m_strength);
  }
};

/// The state stands first, so that it can be read without the rest.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Value);
Result<JobState> decodeState(const std::string &Value);

/// What a key of the jobs' topic holds.
enum class RecordKind {
  Submission,
  Progress,
  Cancel,
  Owner,
  LearnedModel,
  Unknown
};

std::string submissionKey(const std::string &Job);
std::string progressKey(const std::string &Job);
std::string cancelKey(const std::string &Job);
extern const char *const OwnerKey;
/// What owners have learned; kept for the next one.
extern const char *const KnowledgeKey;

/// Sets `Job` for kinds that belong to one.
RecordKind parseRecordKey(const std::string &Key, std::string &Job);

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_RECORDS_H
