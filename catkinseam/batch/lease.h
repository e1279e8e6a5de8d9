// Task leases: plans the commands for a worker and derives releases from its
// status.
//
//   SyncPlan Plan = planSync(Shared, "w7", View);
//   Result<WorkerStatus> Status = Workers.sync(Where, Plan.m_commands, Limit);
//   for (ReleaseRecord &Release : collectReleases(Shared, "w7", *Status)) ...
//
// planSync and collectReleases read only their arguments: the shared state, the
// worker's last status and, for planSync, a WorkerView, which it updates. An
// attempt is released in the log only once it has provably ended: the worker
// reports the end, or the attempt is fenced and its last possible lease has
// expired.
#ifndef CATKINSEAM_BATCH_LEASE_H
#define CATKINSEAM_BATCH_LEASE_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/platform/worker_service.h"
#include "catkinseam/state/replicated_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// An attempt that has ended according to the log but that its worker still
/// reports.
struct EndedAttempt {
  /// This entry's next log offset when it first saw the end.
  std::uint64_t m_seenOffset = 0;
  /// When a majority was first known to have applied the log up to that offset.
  std::optional<TimePoint> m_majoritySince;
};

/// An entry's local knowledge of one worker, in addition to the shared state.
struct WorkerView {
  /// The last status received. Leases start at its m_now, the worker's clock.
  std::optional<WorkerStatus> m_lastStatus;
  bool m_isLeaving = false;
  /// True while this entry is in contact with a majority and its replica is
  /// within the allowed lag. Without it, no task is started or renewed.
  bool m_canRenewLeases = false;
  Milliseconds m_leaseDuration{10000};
  /// Next log offset that a majority in proven contact has reached.
  std::uint64_t m_majorityOffset = 0;
  /// How long a worker must remember an ended attempt after a majority has
  /// applied its end. Until then, an entry whose replica lags could start the
  /// attempt again.
  Duration m_forgetDelay = std::chrono::seconds(13);
  /// When the eviction of each task began; tasks are throttled first and
  /// stopped later.
  std::map<TaskId, TimePoint> m_evictingSince;
  /// Ended attempts that the worker still reports, by task and attempt number.
  std::map<std::pair<TaskId, std::uint32_t>, EndedAttempt> m_endedAttempts;
};

/// Commands for one sync call to a worker.
struct SyncPlan {
  WorkerCommands m_commands;
  /// Number of attempts started by these commands.
  std::size_t m_startCount = 0;
};

/// Returns the commands to send to `Worker` at time `Now`; empty if `View` has
/// no status yet. Updates the evictions and ended attempts in `View`.
SyncPlan planSync(const ReplicatedState &Shared, const std::string &Worker,
                  WorkerView &View, TimePoint Now);

/// Returns release records for the claimed attempts that `Status` reports as
/// ended.
std::vector<ReleaseRecord> collectReleases(const ReplicatedState &Shared,
                                           const std::string &Worker,
                                           const WorkerStatus &Status);

/// Decides when the lease of a fenced attempt has certainly expired although
/// its worker is unreachable.
///
/// The fence is appended first: entries that have applied it no longer renew.
/// An entry renews only while it is in proven contact with a majority and has
/// applied, within the lag allowance, every offset that it has heard of. So
/// once a majority has applied the fence, no entry renews after the contact
/// window plus the lag allowance, and the lease has expired one lease duration
/// later. Not thread-safe.
class LeaseExpiryTracker {
public:
  struct Options {
    Duration m_contactWindow = std::chrono::seconds(1);
    Duration m_lagAllowance = std::chrono::seconds(1);
    Duration m_leaseDuration = std::chrono::seconds(10);
    /// Allows for clocks that run at slightly different rates.
    Duration m_margin = std::chrono::seconds(1);
  };

  explicit LeaseExpiryTracker(const Options &Opts) : m_options(Opts) {}

  /// Returns whether the fenced attempt's lease has certainly expired. Must be
  /// called periodically: the wait starts at the first call with
  /// `MajorityApplied`, which is true when a majority of seats is known to have
  /// applied the fence.
  bool hasExpired(const TaskId &Task, std::uint32_t Attempt,
                  bool MajorityApplied, TimePoint Now);

  /// Drops the wait for `Task`.
  void forget(const TaskId &Task) { m_pendingExpiries.erase(Task); }

  /// Returns the time from the majority's application of a fence until the
  /// lease has certainly expired.
  Duration expiryDelay() const;

private:
  struct PendingExpiry {
    std::uint32_t m_attempt = 0;
    TimePoint m_start;
  };

  const Options m_options;
  std::map<TaskId, PendingExpiry> m_pendingExpiries;
};

/// Tracks whether this entry's replica keeps up with the log offsets that peers
/// report. Not thread-safe.
class ReplicaLagMonitor {
public:
  /// Returns whether the replica is within the allowed lag at `Now`. `Applied`
  /// is its next offset and `Heard` the highest one reported by a peer. `Heard`
  /// becomes the target once the previous target has been applied; each target
  /// must be applied within `Allowance`.
  bool isWithinAllowance(std::uint64_t Applied, std::uint64_t Heard,
                         TimePoint Now, Duration Allowance);

private:
  std::uint64_t m_targetOffset = 0;
  TimePoint m_targetSetTime;
};

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_LEASE_H
