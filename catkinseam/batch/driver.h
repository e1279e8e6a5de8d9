// Runs the batch half of one entry: claims, worker calls, releases, fences.
//
//   BatchDriver Driver({Clock, Copy, Writer, Members, Workers, Counters}, {});
//   Driver.setInstances(Instances);
//   Driver.tick();   // again and again
#ifndef CATKINSEAM_BATCH_DRIVER_H
#define CATKINSEAM_BATCH_DRIVER_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/base/work_pool.h"
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

/// What the driver works with; all outlive it.
struct BatchParts {
  const Clock &m_clock;
  Replica &m_replica;
  LogWriter &m_writer;
  Guarded<Membership> &m_members;
  WorkerService &m_workers;
  Metrics &m_metrics;
  /// Runs worker calls; work it took must end before the driver does.
  RunAside m_runAside;
};

/// Thread-safe.
class BatchDriver {
public:
  struct Options {
    Milliseconds m_lease{10000};
    /// Between calls to a worker that runs nothing.
    Duration m_idleSync = std::chrono::seconds(2);
    /// Between calls to a worker that runs tasks: at least this, and more with
    /// many tasks, since each call names them all.
    Duration m_busySync = std::chrono::milliseconds(200);
    Duration m_syncPerTask = std::chrono::milliseconds(25);
    Duration m_syncTimeout = std::chrono::seconds(1);
  };

  BatchDriver(const BatchParts &Parts, const Options &Limits);

  /// Takes the platform's latest list of workers.
  void setInstances(const std::vector<Instance> &Instances);

  /// Looks at everything once: plans claims, starts due worker calls, fences
  /// and releases. Never waits for a worker.
  void tick();

  /// Starts no new work; calls in progress end.
  void drain();

  /// Workers that hold tasks and do not answer this entry.
  std::vector<std::string> unreachable() const;

  /// Last status of each worker that this entry speaks to.
  std::map<std::string, WorkerStatus> statuses() const;

private:
  struct WorkerSlot {
    Instance m_instance;
    bool m_isListed = false;
    WorkerView m_view;
    bool m_isCalling = false;
    TimePoint m_lastCall;
    TimePoint m_silentSince;
    bool m_isSilent = false;
  };

  bool mayRenew(TimePoint Now);
  std::uint64_t majorityOffset() const;
  void planOwnClaims(TimePoint Now);
  void callDueWorkers(bool MayRenew, TimePoint Now);
  bool isDue(const State &Shared, const std::string &Name,
             const WorkerSlot &Slot, TimePoint Now) const;
  bool isActing(const std::string &Worker) const;
  Duration busyInterval(std::size_t Tasks) const;
  void beginCall(const std::string &Name, WorkerSlot &Slot, SyncPlan Plan);
  void endCall(const std::string &Name, const Outcome<WorkerStatus> &Answer);
  void submitReleases(std::vector<ReleaseRecord> Releases);
  void submitRecord(const TaskId &Task, Record Entry, const char *Event);
  void fenceSilentWorkers(TimePoint Now);
  void releaseLapsed(TimePoint Now);
  void noteSettled(const TaskId &Task);
  void dropSettled();

  const BatchParts m_parts;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::map<std::string, WorkerSlot> m_slots;
  /// Tasks with a record of this entry on its way to the log.
  std::set<TaskId> m_pending;
  std::mutex m_pendingMutex;
  /// Tasks whose record has been read back; the next tick takes them out of
  /// m_pending. Filled under the replica's lock, hence a lock of its own.
  std::vector<TaskId> m_settled;
  LagWatch m_lag;
  LapseWatch m_lapses;
  bool m_isDraining = false;
  /// Who acts for which worker, refreshed each tick.
  Seat m_seat = 1;
  std::vector<Seat> m_readySeats;
  std::map<Seat, std::set<std::string>> m_unreachableBy;
};

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_DRIVER_H
