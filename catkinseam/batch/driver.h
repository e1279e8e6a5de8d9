// Runs the batch scheduling of one entry: claims queued tasks, sends commands
// to workers, and records releases and fences in the log.
//
//   BatchDriver Driver({Clock, Replica, Writer, Members, Workers, Metrics,
//                       RunAsync}, {});
//   Driver.setInstances(Instances);
//   Driver.tick();   // called periodically
#ifndef CATKINSEAM_BATCH_DRIVER_H
#define CATKINSEAM_BATCH_DRIVER_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/base/thread_pool.h"
#include "catkinseam/batch/lease.h"
#include "catkinseam/batch/planner.h"
#include "catkinseam/platform/instance_list.h"
#include "catkinseam/platform/worker_service.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replica.h"
#include "catkinseam/telemetry/metrics.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// Dependencies of the driver. The referenced objects must outlive it.
struct BatchDriverDependencies {
  const Clock &m_clock;
  Replica &m_replica;
  LogWriter &m_writer;
  Guarded<Membership> &m_members;
  WorkerService &m_workerService;
  Metrics &m_metrics;
  /// Runs worker calls asynchronously; returns false if it cannot accept the
  /// call. Accepted calls must complete before the driver is destroyed.
  TryRunInBackground m_runAsync;
};

/// Schedules batch tasks on behalf of one entry. Thread-safe.
class BatchDriver {
public:
  struct Options {
    /// Duration of a lease on a task attempt.
    Milliseconds m_leaseDuration{10000};
    /// Interval between sync calls to a worker that runs no tasks.
    Duration m_idleSyncInterval = std::chrono::seconds(2);
    /// Minimum interval between sync calls to a worker that runs tasks. The
    /// interval grows with the number of tasks, since each call lists them all,
    /// up to m_idleSyncInterval.
    Duration m_minBusySyncInterval = std::chrono::milliseconds(200);
    Duration m_syncIntervalPerTask = std::chrono::milliseconds(25);
    Duration m_syncTimeout = std::chrono::seconds(1);
  };

  BatchDriver(const BatchDriverDependencies &Dependencies, const Options &Opts);

  /// Replaces the list of workers known from the platform.
  void setInstances(const std::vector<Instance> &Instances);

  /// Runs one scheduling pass: starts sync calls that are due, submits claims,
  /// fences unreachable workers and releases expired attempts. Does not block
  /// on worker calls.
  void tick();

  /// Stops starting new work. Calls in progress complete.
  void drain();

  /// Returns the workers that this entry cannot reach: the last sync call
  /// failed, or the worker holds tasks but is no longer listed.
  std::vector<std::string> unreachableWorkers() const;

  /// Returns the last status received from each worker.
  std::map<std::string, WorkerStatus> workerStatuses() const;

private:
  struct TrackedWorker {
    Instance m_instance;
    bool m_isListed = false;
    WorkerView m_view;
    bool m_isSyncInProgress = false;
    TimePoint m_lastSyncTime;
    TimePoint m_unreachableSince;
    bool m_isUnreachable = false;
  };

  bool canRenewLeases(TimePoint Now);
  std::uint64_t majorityOffset() const;
  void submitClaims(TimePoint Now);
  void syncDueWorkers(bool CanRenewLeases, TimePoint Now);
  bool isSyncDue(const ReplicatedState &Shared, const std::string &Name,
                 const TrackedWorker &Tracked, TimePoint Now) const;
  bool isManaging(const std::string &Worker) const;
  Duration busySyncInterval(std::size_t Tasks) const;
  void startSync(const std::string &Name, TrackedWorker &Tracked,
                 SyncPlan Plan);
  void finishSync(const std::string &Name, const Outcome<WorkerStatus> &Answer);
  void submitReleases(std::vector<ReleaseRecord> Releases);
  void submitRecord(const TaskId &Task, Record NewRecord, const char *Event);
  void fenceUnreachableWorkers(TimePoint Now);
  void releaseExpired(TimePoint Now);
  void markCompleted(const TaskId &Task);
  void removeCompleted();

  const BatchDriverDependencies m_dependencies;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::map<std::string, TrackedWorker> m_trackedWorkers;
  /// Tasks for which this entry has submitted a record whose outcome is not yet
  /// known.
  std::set<TaskId> m_pending;
  std::mutex m_completedMutex;
  /// Tasks whose record has an outcome; the next tick removes them from
  /// m_pending. Guarded by m_completedMutex, not m_mutex, because it is filled
  /// while the replica's lock is held.
  std::vector<TaskId> m_completed;
  ReplicaLagMonitor m_lagMonitor;
  LeaseExpiryTracker m_leaseExpiry;
  bool m_isDraining = false;
  /// Membership data that decides which entry manages which worker; refreshed
  /// on each tick.
  Seat m_seat = 1;
  std::vector<Seat> m_readySeats;
  std::map<Seat, std::set<std::string>> m_unreachableBySeat;
};

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_DRIVER_H
