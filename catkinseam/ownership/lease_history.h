// What a node that follows the jobs topic knows of the owners' leases.
//
//   LeaseHistory Known;
//   Known.onRecord(Record, Now, CoveredUntil);
//   // this node becomes the owner:
//   std::optional<EarlierLeases> Earlier = Known.earlierLeases();
#ifndef CATKINSEAM_OWNERSHIP_LEASE_HISTORY_H
#define CATKINSEAM_OWNERSHIP_LEASE_HISTORY_H

#include "catkinseam/ledger/records.h"
#include "catkinseam/scheduler/leases.h"

#include <optional>

namespace catkinseam {

/// Not thread-safe.
class LeaseHistory {
public:
  /// Applies a lease record that was read by `ReadAt`. `AppendedAfter` is a
  /// time before which it was certainly not in the log; the clock's epoch if
  /// that is not known.
  void onRecord(const LeaseRecord &Record, TimePoint ReadAt,
                TimePoint AppendedAfter);

  /// Reports that records may have been missed.
  void onRecordsMissed();

  /// Returns by when the leases of all owners so far are over; none if that is
  /// not known.
  std::optional<EarlierLeases> earlierLeases() const;

  /// Whether this node can tell when the newest record was appended. A node
  /// that has just started cannot, and would have to wait longer.
  bool areTimesKnown() const {
    return m_newest && m_newest->m_durableAfter != TimePoint();
  }

private:
  struct Entry {
    LeaseRecord m_record;
    /// Its append began between these times.
    TimePoint m_begunAfter;
    TimePoint m_begunBy;
    /// Its append took effect after this time.
    TimePoint m_durableAfter;
  };

  /// The newest record under which leases were granted, and the one before by
  /// the same owner, which may be the last that it knew to be durable.
  std::optional<Entry> m_newest;
  std::optional<Entry> m_previous;
  /// By when the leases of the owners before that one are over, as far as this
  /// node knows by itself; the latest time if it does not.
  TimePoint m_beforeNewest = TimePoint::max();
  /// Epoch of the last record, of either kind.
  std::uint64_t m_epoch = 0;
  /// An owner has left no record: one of an earlier version.
  bool m_isGapped = false;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_LEASE_HISTORY_H
