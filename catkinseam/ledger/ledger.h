// All accepted jobs, built from the records of the log. Every node keeps one.
//
//   Ledger Jobs;
//   Jobs.apply(Offset, Key, Value);
//   if (const LedgerJob *Found = Jobs.find(Id)) ... Found->state()
//
// Nodes that applied the same records hold the same jobs.
#ifndef CATKINSEAM_LEDGER_LEDGER_H
#define CATKINSEAM_LEDGER_LEDGER_H

#include "catkinseam/ledger/records.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace catkinseam {

/// A job and its recorded state.
struct LedgerJob {
  Submission m_submission;
  JobState m_recordedState = JobState::Queued;
  /// Encoded JobProgress, if an owner of an earlier version stored it in this
  /// topic; empty otherwise.
  std::string m_progress;
  bool m_isCancelled = false;

  /// The state shown to customers.
  JobState state() const {
    return m_isCancelled && !isFinal(m_recordedState) ? JobState::Cancelled
                                                      : m_recordedState;
  }

private:
  friend class Ledger;
  /// False while only other records of the job have been read; those may
  /// precede its submission.
  bool m_isSubmitted = false;
  std::int64_t m_progressOffset = -1;
};

/// Receives changes as they are applied.
class LedgerObserver {
public:
  virtual ~LedgerObserver() = default;
  virtual void onSubmitted(const LedgerJob &Job) = 0;
  virtual void onCancelled(const LedgerJob &Job) = 0;
};

/// Not thread-safe.
class Ledger {
public:
  /// Applies one record; applying it again has no effect. Returns whether only
  /// an owner writes records of this kind.
  bool apply(std::int64_t Offset, const std::string &Key,
             const std::optional<std::string> &Value);

  /// Removes the jobs whose submission is not among the keys of the topic,
  /// after all of these have been read anew.
  void retainOnly(const std::set<std::string> &Keys);

  /// The job, or null if no job was accepted under this id.
  const LedgerJob *find(const std::string &Id) const;

  const std::unordered_map<std::string, LedgerJob> &jobs() const {
    return m_jobs;
  }

  /// Number of jobs of a queue of which no task has started.
  std::size_t pendingIn(const std::string &Queue) const;

  /// The owner of the highest epoch; epoch zero before the first.
  const OwnerRecord &owner() const { return m_owner; }

  /// Sets the only observer; null removes it.
  void setObserver(LedgerObserver *Observer) { m_observer = Observer; }

private:
  void removeJob(const std::string &Id);
  void applyOwner(const std::string &Value);
  void applySubmission(const std::string &Id, const std::string &Value);
  void applyProgress(std::int64_t Offset, LedgerJob &Job,
                     const std::string &Value);
  void applyCancel(LedgerJob &Job);
  /// Updates the pending count after a state change of a job.
  void updatePendingCount(const LedgerJob &Job, JobState Before);

  std::unordered_map<std::string, LedgerJob> m_jobs;
  /// Number of queued jobs by queue. Invariant: equals a count over m_jobs.
  std::unordered_map<std::string, std::size_t> m_pendingByQueue;
  OwnerRecord m_owner;
  LedgerObserver *m_observer = nullptr;
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_LEDGER_H
