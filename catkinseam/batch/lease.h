// The life of leases: what to tell a worker, and what its answers prove.
//
//   SyncPlan Plan = planSync(Shared, "w7", View);
//   Result<WorkerStatus> Status = Workers.sync(Where, Plan.m_commands, Limit);
//   for (ReleaseRecord &Release : readStatus(Shared, "w7", *Status)) ...
//
// Pure functions over the shared state and the worker's last status. An
// attempt ends in the log only when its place is proven over: the worker says
// so, or the attempt is fenced and no entry can have renewed its lease.
#ifndef CATKINSEAM_BATCH_LEASE_H
#define CATKINSEAM_BATCH_LEASE_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/platform/worker_service.h"
#include "catkinseam/state/fold.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// An attempt that the log has ended, as seen at its worker.
struct EndedAttempt {
  /// Next offset of this entry's fold when it first saw the end.
  std::uint64_t m_offset = 0;
  /// Since when a majority is known to have reached that offset.
  std::optional<TimePoint> m_since;
};

/// What an entry knows of one worker besides the shared state.
struct WorkerView {
  /// The last status received; leases are counted from its m_now.
  std::optional<WorkerStatus> m_last;
  bool m_isLeaving = false;
  /// This entry is in touch with a majority and has applied what it heard of.
  bool m_mayRenew = false;
  Milliseconds m_lease{10000};
  /// Next offset that a majority in proven contact has reached.
  std::uint64_t m_majorityOffset = 0;
  /// How long after a majority has applied the end of an attempt an entry that
  /// lags behind could still start it again: the worker must know it until
  /// then.
  Duration m_forgetAfter = std::chrono::seconds(13);
  /// When eviction of a task was first asked for: throttle, later stop.
  std::map<TaskId, TimePoint> m_evictingSince;
  /// Ended attempts that the worker still reports.
  std::map<std::pair<TaskId, std::uint32_t>, EndedAttempt> m_ended;
};

struct SyncPlan {
  WorkerCommands m_commands;
  /// Attempts started by these commands.
  std::size_t m_started = 0;
};

/// Returns the commands for `Worker` now. Records in `View` which tasks are
/// being evicted.
SyncPlan planSync(const State &Shared, const std::string &Worker,
                  WorkerView &View, TimePoint Now);

/// Returns the ends of attempts that `Status` proves.
std::vector<ReleaseRecord> readStatus(const State &Shared,
                                      const std::string &Worker,
                                      const WorkerStatus &Status);

/// Decides when a lease must have run out although its worker is silent.
///
/// A fence is appended first: entries that have applied it no longer renew.
/// An entry renews only while it is in proven contact with a majority and has
/// applied, within the lag allowance, all that the majority reported. So once
/// a majority has applied the fence, nobody renews after the contact window
/// and the allowance; one lease later the attempt is over. Not thread-safe.
class LapseWatch {
public:
  struct Options {
    Duration m_contactWindow = std::chrono::seconds(1);
    Duration m_lagAllowance = std::chrono::seconds(1);
    Duration m_lease = std::chrono::seconds(10);
    /// For clocks that run at slightly different rates.
    Duration m_margin = std::chrono::seconds(1);
  };

  explicit LapseWatch(const Options &Limits) : m_options(Limits) {}

  /// Returns whether the fenced attempt's lease is over for certain. Call it
  /// again and again; `MajorityApplied` says whether a majority of seats is
  /// known to have applied the fence.
  bool isOver(const TaskId &Task, std::uint32_t Attempt, bool MajorityApplied,
              TimePoint Now);

  void forget(const TaskId &Task) { m_since.erase(Task); }

  /// From majority knowledge of the fence to certainty.
  Duration waitTime() const;

private:
  struct Wait {
    std::uint32_t m_attempt = 0;
    TimePoint m_start;
  };

  const Options m_options;
  std::map<TaskId, Wait> m_since;
};

/// Watches that this entry keeps up with what others have applied. Not
/// thread-safe.
class LagWatch {
public:
  /// Returns whether, at `Now`, everything heard of longer ago than the
  /// allowance has been applied.
  bool keepsUp(std::uint64_t Applied, std::uint64_t Heard, TimePoint Now,
               Duration Allowance);

private:
  std::uint64_t m_mark = 0;
  TimePoint m_markTime;
};

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_LEASE_H
