// All accepted jobs, as the store's records say; every entry keeps one.
//
//   Ledger Jobs;
//   Jobs.apply(Offset, Record);
//   if (const LedgerJob *Found = Jobs.find(Id)) ... Found->state()
//
// Entries that applied the same records hold the same jobs.
#ifndef CATKINSEAM_LEDGER_LEDGER_H
#define CATKINSEAM_LEDGER_LEDGER_H

#include "catkinseam/ledger/records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace catkinseam {

struct LedgerJob {
  Submission m_submission;
  JobState m_recordedState = JobState::Queued;
  /// Encoded JobProgress; empty before the first.
  std::string m_progress;
  bool m_isCancelled = false;

  /// What customers are shown.
  JobState state() const {
    return m_isCancelled && !isFinal(m_recordedState) ? JobState::Cancelled
                                                      : m_recordedState;
  }

private:
  friend class Ledger;
  /// A job's other records may be read before what was asked.
  bool m_isSubmitted = false;
  std::int64_t m_progressOffset = -1;
};

/// Hears of changes as they are applied.
class LedgerObserver {
public:
  virtual ~LedgerObserver() = default;
  virtual void onSubmitted(const LedgerJob &Job) = 0;
  virtual void onCancelled(const LedgerJob &Job) = 0;
};

/// Not thread-safe.
class Ledger {
public:
  /// Applies one record; those already applied change nothing. Returns whether
  /// the record can only come from an owner.
  bool apply(std::int64_t Offset, const std::string &Key,
             const std::optional<std::string> &Value);

  /// The job, or null when none was accepted under this id.
  const LedgerJob *find(const std::string &Id) const;

  const std::unordered_map<std::string, LedgerJob> &jobs() const {
    return m_jobs;
  }

  /// Jobs of a queue none of whose tasks has started.
  std::size_t pendingIn(const std::string &Queue) const;

  /// The newest owner; epoch zero before the first.
  const OwnerRecord &owner() const { return m_owner; }

  /// What owners have learned, encoded; empty before the first.
  const std::string &knowledge() const { return m_learnedModel; }

  /// At most one; null for none.
  void setObserver(LedgerObserver *Observer) { m_observer = Observer; }

private:
  void applyOwner(const std::string &Value);
  void applySubmission(const std::string &Id, const std::string &Value);
  void applyProgress(std::int64_t Offset, LedgerJob &Job,
                     const std::string &Value);
  void applyCancel(LedgerJob &Job);
  void updatePendingCount(const LedgerJob &Job, JobState Before);

  std::unordered_map<std::string, LedgerJob> m_jobs;
  /// Queued jobs by queue. Invariant: equals a count over m_jobs.
  std::unordered_map<std::string, std::size_t> m_pendingByQueue;
  OwnerRecord m_owner;
  std::string m_learnedModel;
  LedgerObserver *m_observer = nullptr;
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_LEDGER_H
