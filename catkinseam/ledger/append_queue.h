// Divides records into appends that stay within the limits of the log.
//
//   AppendQueue Pending(Limits);
//   Pending.push({Id, {{progressKey(Id), Value}}});
//   while (Pending.next()) append(Pending.records());
//
// A group is never divided, so the records of a group become durable together.
#ifndef CATKINSEAM_LEDGER_APPEND_QUEUE_H
#define CATKINSEAM_LEDGER_APPEND_QUEUE_H

#include "catkinseam/ledger/keyed_log.h"

#include <deque>
#include <string>
#include <vector>

namespace catkinseam {

/// Records that are appended together.
struct RecordGroup {
  /// The job that the records belong to; empty if they belong to none.
  std::string m_job;
  std::vector<KeyedRecord> m_records;
};

/// Not thread-safe.
class AppendQueue {
public:
  explicit AppendQueue(const AppendLimits &Limits) : m_limits(Limits) {}

  void push(RecordGroup Group) { m_waiting.push_back(std::move(Group)); }

  /// Whether no group is waiting or current.
  bool isEmpty() const { return m_waiting.empty() && m_current.empty(); }

  /// Replaces the current groups by the next ones that fit into one append, in
  /// the order of push(). Returns false when none is left. A group that exceeds
  /// the limits by itself is returned alone.
  bool next();

  /// Whether the log should accept the current groups in one append.
  bool isWithinLimits() const;

  /// Divides the current groups into halves, of which the first stays current.
  /// Returns false when there is only one group.
  bool divide();

  const std::vector<RecordGroup> &groups() const { return m_current; }

  /// Replaces the current groups by `Group`.
  void replace(RecordGroup Group) { m_current = {std::move(Group)}; }

  /// The records of the current groups.
  std::vector<KeyedRecord> records() const;

private:
  const AppendLimits m_limits;
  std::deque<RecordGroup> m_waiting;
  std::vector<RecordGroup> m_current;
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_APPEND_QUEUE_H
