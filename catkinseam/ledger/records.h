// Records of accepted jobs. Each job has one key for its submission, one for
// its progress and one for its cancellation.
//
//   std::string Value = encodeProgress(Progress);
//   auto Read = attempt([&] { return decodeProgress(Value); });
#ifndef CATKINSEAM_LEDGER_RECORDS_H
#define CATKINSEAM_LEDGER_RECORDS_H

#include "catkinseam/base/codec.h"
#include "catkinseam/base/error.h"
#include "catkinseam/scheduler/model.h"

#include <algorithm>
#include <string>
#include <vector>

namespace catkinseam {

/// A run that may exist on a worker. Stored before the start order is sent.
struct RunRecord {
  RunNumber m_run = 0;
  std::string m_worker;
  std::int64_t m_workerStartedMs = 0;
  /// See RunInfo. Stored by TaskRecord.
  bool m_isBlamed = false;

  template <class Archive> void save(Archive &Target) const {
    saveVarint(Target, m_run);
    saveVarint(Target, m_worker);
    saveVarint(Target, static_cast<std::uint64_t>(m_workerStartedMs));
  }
  template <class Archive> void load(Archive &Source) {
    m_run = static_cast<RunNumber>(loadVarint(Source));
    m_worker = loadVarintString(Source);
    m_workerStartedMs = static_cast<std::int64_t>(loadVarint(Source));
  }
};

/// Progress of one task.
struct TaskRecord {
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  /// See TaskInfo.
  std::uint32_t m_lostWorkers = 0;
  std::uint32_t m_crashedWorkers = 0;
  bool m_wasSpared = false;
  RunNumber m_lastRun = 0;
  std::string m_checkpoint;
  std::vector<RunRecord> m_runs;
  /// The recorded incarnations are known to have listed all runs. May be false
  /// although they have.
  bool m_areRunsListed = false;

  // Compact encoding, because a new owner reads the progress of all jobs.
  template <class Archive> void save(Archive &Target) const {
    const bool HasLosses = !m_isDone && m_lostWorkers > 0;
    const bool HasBlamedRuns =
        !m_isDone &&
        std::any_of(m_runs.begin(), m_runs.end(),
                    [](const RunRecord &Run) { return Run.m_isBlamed; });
    const std::uint8_t Flags = (m_isDone ? DoneFlag : 0U) |
                               (HasLosses ? LossesFlag : 0U) |
                               (m_wasSpared ? SparedFlag : 0U) |
                               (HasBlamedRuns ? BlamedRunsFlag : 0U) |
                               (m_areRunsListed ? ListedRunsFlag : 0U);
    Target(Flags);
    saveVarint(Target, m_failures);
    saveVarint(Target, m_lastRun);
    if (m_isDone)
      return;
    if (HasLosses) {
      saveVarint(Target, m_lostWorkers);
      saveVarint(Target, m_crashedWorkers);
    }
    saveVarint(Target, m_checkpoint);
    saveVarint(Target, m_runs.size());
    for (const RunRecord &Run : m_runs) {
      Target(Run);
      if (HasBlamedRuns)
        Target(Run.m_isBlamed);
    }
  }
  template <class Archive> void load(Archive &Source) {
    std::uint8_t Flags = 0;
    Source(Flags);
    m_isDone = (Flags & DoneFlag) != 0;
    m_wasSpared = (Flags & SparedFlag) != 0;
    m_areRunsListed = (Flags & ListedRunsFlag) != 0;
    m_failures = static_cast<std::uint32_t>(loadVarint(Source));
    m_lastRun = static_cast<RunNumber>(loadVarint(Source));
    if (m_isDone)
      return;
    if ((Flags & LossesFlag) != 0) {
      m_lostWorkers = static_cast<std::uint32_t>(loadVarint(Source));
      m_crashedWorkers = static_cast<std::uint32_t>(loadVarint(Source));
    }
    m_checkpoint = loadVarintString(Source);
    for (std::uint64_t Left = loadVarint(Source); Left > 0; --Left) {
      RunRecord &Run = m_runs.emplace_back();
      Source(Run);
      if ((Flags & BlamedRunsFlag) != 0)
        Source(Run.m_isBlamed);
    }
  }

private:
  static constexpr std::uint8_t DoneFlag = 1;
  /// Workers were lost; without it, no numbers of lost workers follow.
  static constexpr std::uint8_t LossesFlag = 2;
  static constexpr std::uint8_t SparedFlag = 4;
  /// Each run is followed by whether it is blamed; without it, none is.
  static constexpr std::uint8_t BlamedRunsFlag = 8;
  static constexpr std::uint8_t ListedRunsFlag = 16;
};

/// Progress of one step. A step without tasks has not started.
struct StepRecord {
  std::vector<TaskRecord> m_tasks;

  template <class Archive> void serialize(Archive &Target) { Target(m_tasks); }
};

/// Progress of one occurrence of a job.
struct OccurrenceRecord {
  std::uint32_t m_number = 0;
  std::vector<StepRecord> m_steps;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_number, m_steps);
  }
};

/// Progress of a job.
struct JobProgress {
  JobState m_state = JobState::Queued;
  /// Occurrences before this number have ended.
  std::uint32_t m_firstOpenOccurrence = 0;
  std::vector<OccurrenceRecord> m_occurrences;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_firstOpenOccurrence, m_occurrences);
  }
};

/// Fencing tokens of one owner: its epoch, and for workers that have restarted
/// during its term the numbers that follow, below this many.
constexpr std::uint64_t TokensPerOwner = 1024;

/// Returns the epoch that follows when the ownership changes, which is higher
/// than all tokens of the owner before.
constexpr std::uint64_t nextEpoch(std::uint64_t Epoch) {
  return Epoch == 0 ? 1 : Epoch + TokensPerOwner;
}

/// Identifies the owner, the only node that schedules.
struct OwnerRecord {
  std::uint64_t m_epoch = 0;
  std::string m_node;
  /// Unique to each process start of the node.
  std::string m_bootId;
  /// The owner is resigning; another node should take over immediately.
  bool m_isResigning = false;
  /// Share of one processor available to the owner's node.
  double m_processorShare = 0.0;
  /// Address for other nodes, as HOST:PORT; empty if there is none.
  std::string m_peer;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_epoch, m_node, m_bootId, m_isResigning, m_processorShare, m_peer);
  }
};

/// Says that the process that was the owner has ended. Written by the next
/// process of its node.
struct OwnerEndRecord {
  std::uint64_t m_epoch = 0;
  /// Of the process that has ended.
  std::string m_bootId;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_epoch, m_bootId);
  }
};

/// By when the leases that an owner has granted are over, as long as this is
/// its newest record of the kind. All times count from the moment at which its
/// append began (docs/design/lease-bounds.md).
struct LeaseRecord {
  /// A worker, and by when the leases that it has are over.
  struct NamedWorker {
    std::string m_worker;
    Milliseconds m_remaining{0};

    template <class Archive> void save(Archive &Target) const {
      saveVarint(Target, m_worker);
      saveVarint(Target, static_cast<std::uint64_t>(m_remaining.count()));
    }
    template <class Archive> void load(Archive &Source) {
      m_worker = loadVarintString(Source);
      m_remaining = Milliseconds(loadVarint(Source));
    }
  };

  std::uint64_t m_epoch = 0;
  /// Number of the owner's records before this one.
  std::uint64_t m_number = 0;
  /// Time since the append of the record before this one began.
  Milliseconds m_sincePrevious{0};
  /// Zero in the claim of an epoch, under which nothing is granted yet.
  Milliseconds m_term{0};
  /// Replaces m_term once the owner has extended its leases, which happens at
  /// least m_extensionDelay after it learned that its newest record is durable.
  Milliseconds m_extendedTerm{0};
  Milliseconds m_extensionDelay{0};
  /// By when the leases of the owners before it are over.
  Milliseconds m_earlierRemaining{0};
  /// Workers to which the owner grants no lease under this record.
  std::vector<NamedWorker> m_silent;
  /// Workers that may have leases beyond the other bounds, as orders for an
  /// earlier incarnation may have reached them.
  std::vector<NamedWorker> m_longer;

  template <class Archive> void save(Archive &Target) const {
    saveVarint(Target, m_epoch);
    saveVarint(Target, m_number);
    for (const Milliseconds Each : {m_sincePrevious, m_term, m_extendedTerm,
                                    m_extensionDelay, m_earlierRemaining})
      saveVarint(Target, static_cast<std::uint64_t>(Each.count()));
    for (const std::vector<NamedWorker> *Each : {&m_silent, &m_longer}) {
      saveVarint(Target, Each->size());
      for (const NamedWorker &Worker : *Each)
        Target(Worker);
    }
  }
  template <class Archive> void load(Archive &Source) {
    m_epoch = loadVarint(Source);
    m_number = loadVarint(Source);
    for (Milliseconds *Each : {&m_sincePrevious, &m_term, &m_extendedTerm,
                               &m_extensionDelay, &m_earlierRemaining})
      *Each = Milliseconds(loadVarint(Source));
    for (std::uint64_t Left = loadVarint(Source); Left > 0; --Left)
      Source(m_silent.emplace_back());
    for (std::uint64_t Left = loadLongerCount(Source); Left > 0; --Left)
      Source(m_longer.emplace_back());
  }

private:
  /// Records of earlier versions end before the number.
  template <class Archive>
  static std::uint64_t loadLongerCount(Archive &Source) {
    try {
      return loadVarint(Source);
    } catch (const cereal::Exception &) {
      return 0;
    }
  }
};

/// Asks the owner of an epoch to hand over to a node, or grants that.
struct HandoverRecord {
  std::uint64_t m_epoch = 0;
  /// The node that is to become the owner.
  std::string m_node;
  std::string m_bootId;
  double m_processorShare = 0.0;
  /// Written by the owner, before the record by which it resigns.
  bool m_isGranted = false;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_epoch, m_node, m_bootId, m_processorShare, m_isGranted);
  }
};

/// Encodes the state of a job, for the nodes that do not schedule it.
std::string encodeState(JobState State);
/// Encodes progress with the state in the first byte, so that decodeState()
/// need not decode the rest.
std::string encodeProgress(const JobProgress &Progress);
/// Error Invalid: `Value` does not start with a job state, or is malformed.
Result<JobProgress> decodeProgress(const std::string &Value);
/// Error Invalid: `Value` does not start with a job state.
Result<JobState> decodeState(const std::string &Value);

/// Returns an estimate, on the high side, of the size in bytes that a job's
/// encoded progress reaches when all tasks of one occurrence are in progress.
std::size_t estimateProgressBytes(const JobSpec &Spec);

/// Kind of a record in the jobs topic, determined by its key.
enum class RecordKind {
  Submission,
  Progress,
  Cancel,
  Owner,
  Handover,
  OwnerEnd,
  Leases,
  LearnedModel,
  Unknown
};

std::string submissionKey(const std::string &Job);
/// Key of a job's progress in the progress topic, and of its state in the jobs
/// topic.
std::string progressKey(const std::string &Job);
std::string cancelKey(const std::string &Job);
extern const char *const OwnerKey;
extern const char *const HandoverKey;
extern const char *const OwnerEndKey;
/// Key of the newest owner's LeaseRecord.
extern const char *const LeasesKey;
/// Key of the interference model, which owners store for their successors.
extern const char *const LearnedModelKey;

/// Returns the kind of a key, and sets `Job` to the job's id for kinds that
/// belong to a job.
RecordKind parseRecordKey(const std::string &Key, std::string &Job);

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_RECORDS_H
