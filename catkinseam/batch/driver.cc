// Applies the planner and the lease logic to live workers and the log.
#include "catkinseam/batch/driver.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Time that the replica has to apply a log offset reported by a peer before
/// this entry stops renewing leases.
constexpr Duration LagAllowance = std::chrono::seconds(1);

} // namespace

BatchDriver::BatchDriver(const BatchDriverDependencies &Dependencies,
                         const Options &Opts)
    : m_dependencies(Dependencies), m_options(Opts),
      m_leaseExpiry(LeaseExpiryTracker::Options{
          .m_contactWindow = Dependencies.m_members.with(
              [](const Membership &Now) { return Now.contactTimeout(); }),
          .m_lagAllowance = LagAllowance,
          .m_leaseDuration = Opts.m_leaseDuration,
          .m_margin = Opts.m_leaseDuration / 10}) {}

void BatchDriver::drain() {
  const std::lock_guard Lock(m_mutex);
  m_isDraining = true;
}

void BatchDriver::setInstances(const std::vector<Instance> &Instances) {
  const std::lock_guard Lock(m_mutex);
  for (auto &[Name, Tracked] : m_trackedWorkers)
    Tracked.m_isListed = false;
  for (const Instance &Listed : Instances) {
    TrackedWorker &Tracked = m_trackedWorkers[Listed.m_name];
    Tracked.m_instance = Listed;
    Tracked.m_isListed = true;
    Tracked.m_view.m_isLeaving = Listed.m_isLeaving;
  }
}

void BatchDriver::tick() {
  const std::lock_guard Lock(m_mutex);
  if (m_isDraining)
    return;
  const TimePoint Now = m_dependencies.m_clock.now();
  removeCompleted();
  m_dependencies.m_members.with([this](const Membership &Members) {
    m_seat = Members.seat();
    m_readySeats = Members.readySeats();
    m_unreachableBySeat.clear();
    for (const auto &[PeerSeat, Peer] : Members.peers())
      m_unreachableBySeat[PeerSeat] = {
          Peer.m_lastHeartbeat.m_unreachable.begin(),
          Peer.m_lastHeartbeat.m_unreachable.end()};
  });
  syncDueWorkers(canRenewLeases(Now), Now);
  submitClaims(Now);
  fenceUnreachableWorkers(Now);
  releaseExpired(Now);
}

bool BatchDriver::canRenewLeases(TimePoint Now) {
  const std::uint64_t Applied = m_dependencies.m_replica.nextOffset();
  const auto [InMajority, Heard] =
      m_dependencies.m_members.with([](const Membership &Members) {
        return std::pair(Members.isInMajority(),
                         Members.highestReportedOffset());
      });
  return m_lagMonitor.isWithinAllowance(Applied, Heard, Now, LagAllowance) &&
         InMajority;
}

std::uint64_t BatchDriver::majorityOffset() const {
  const std::uint64_t Own = m_dependencies.m_replica.nextOffset();
  return m_dependencies.m_members.with(
      [&](const Membership &Members) { return Members.majorityOffset(Own); });
}

bool BatchDriver::isManaging(const std::string &Worker) const {
  // The worker is managed by the first ready seat in its hash order that can
  // reach it, or by the first ready seat if none can.
  std::vector<Seat> ReachableFrom;
  for (const Seat PeerSeat : m_readySeats) {
    const auto Known = m_unreachableBySeat.find(PeerSeat);
    const bool IsUnreachableFromPeer =
        Known != m_unreachableBySeat.end() && Known->second.count(Worker) > 0;
    const auto Own = m_trackedWorkers.find(Worker);
    const bool IsUnreachableFromHere = PeerSeat == m_seat &&
                                       Own != m_trackedWorkers.end() &&
                                       Own->second.m_isUnreachable;
    if (!IsUnreachableFromPeer && !IsUnreachableFromHere)
      ReachableFrom.push_back(PeerSeat);
  }
  return preferredSeat(Worker, ReachableFrom.empty() ? m_readySeats
                                                     : ReachableFrom) == m_seat;
}

Duration BatchDriver::busySyncInterval(std::size_t Tasks) const {
  const Duration Interval =
      m_options.m_syncIntervalPerTask * static_cast<std::int64_t>(Tasks);
  return std::clamp(Interval, m_options.m_minBusySyncInterval,
                    m_options.m_idleSyncInterval);
}

bool BatchDriver::isSyncDue(const ReplicatedState &Shared,
                            const std::string &Name,
                            const TrackedWorker &Tracked, TimePoint Now) const {
  const Duration Elapsed = Now - Tracked.m_lastSyncTime;
  if (!Tracked.m_view.m_lastStatus || Elapsed >= m_options.m_idleSyncInterval)
    return Elapsed >= m_options.m_minBusySyncInterval;
  const WorkerRow *Row = Shared.worker(Name);
  const std::size_t Known = Tracked.m_view.m_lastStatus->m_attempts.size();
  const bool IsBusy = (Row != nullptr && !Row->m_tasks.empty()) || Known > 0;
  if (IsBusy && Elapsed >= busySyncInterval(Known))
    return true;
  if (Row == nullptr)
    return false;
  // A claimed task that the worker does not report yet is started without
  // waiting for the sync interval.
  for (const TaskId &Task : Row->m_tasks) {
    const bool IsKnown = std::any_of(
        Tracked.m_view.m_lastStatus->m_attempts.begin(),
        Tracked.m_view.m_lastStatus->m_attempts.end(),
        [&](const AttemptStatus &Each) { return Each.m_task == Task; });
    if (!IsKnown)
      return true;
  }
  return false;
}

void BatchDriver::syncDueWorkers(bool CanRenewLeases, TimePoint Now) {
  std::vector<std::pair<std::string, SyncPlan>> Due;
  const std::uint64_t MajorityOffset = majorityOffset();
  m_dependencies.m_replica.read([&](const ReplicatedState &Shared) {
    for (auto &[Name, Tracked] : m_trackedWorkers) {
      if (!Tracked.m_isListed || Tracked.m_isSyncInProgress)
        continue;
      // Every entry probes an unreachable worker, so that the first one that
      // reaches it can take over.
      if (!isManaging(Name) && !Tracked.m_isUnreachable)
        continue;
      if (!isSyncDue(Shared, Name, Tracked, Now))
        continue;
      Tracked.m_view.m_canRenewLeases = CanRenewLeases;
      Tracked.m_view.m_majorityOffset = MajorityOffset;
      Tracked.m_view.m_forgetDelay = m_leaseExpiry.expiryDelay();
      Tracked.m_view.m_leaseDuration = m_options.m_leaseDuration;
      Due.emplace_back(Name, planSync(Shared, Name, Tracked.m_view, Now));
    }
  });
  for (auto &[Name, Plan] : Due)
    startSync(Name, m_trackedWorkers.at(Name), std::move(Plan));
}

void BatchDriver::startSync(const std::string &Name, TrackedWorker &Tracked,
                            SyncPlan Plan) {
  const Endpoint Where = Tracked.m_instance.m_tasks;
  const bool IsStarted = m_dependencies.m_runAsync(
      [this, Name, Where, Commands = std::move(Plan.m_commands)] {
        finishSync(Name, attempt([&] {
                     return m_dependencies.m_workerService.sync(
                         Where, Commands, m_options.m_syncTimeout);
                   }));
      });
  if (!IsStarted)
    return; // No free thread; the next tick tries again.
  Tracked.m_isSyncInProgress = true;
  Tracked.m_lastSyncTime = m_dependencies.m_clock.now();
  for (std::size_t Started = 0; Started < Plan.m_startCount; ++Started)
    m_dependencies.m_metrics.countBatchEvent("start_sent");
}

void BatchDriver::finishSync(const std::string &Name,
                             const Outcome<WorkerStatus> &Answer) {
  const std::lock_guard Lock(m_mutex);
  TrackedWorker &Tracked = m_trackedWorkers.at(Name);
  Tracked.m_isSyncInProgress = false;
  if (!Answer) {
    if (!Tracked.m_isUnreachable) {
      Tracked.m_unreachableSince = m_dependencies.m_clock.now();
      logWarn("worker.silent",
              {{"worker", Name}, {"reason", Answer.error().m_message}});
    }
    Tracked.m_isUnreachable = true;
    return;
  }
  Tracked.m_isUnreachable = false;
  Tracked.m_view.m_lastStatus = Answer.value();
  submitReleases(
      m_dependencies.m_replica.read([&](const ReplicatedState &Shared) {
        return collectReleases(Shared, Name, Answer.value());
      }));
}

void BatchDriver::submitReleases(std::vector<ReleaseRecord> Releases) {
  static const std::map<ReleaseKind, const char *> Events = {
      {ReleaseKind::Finished, "finished"},
      {ReleaseKind::Failed, "failed"},
      {ReleaseKind::Evicted, "evicted"},
      {ReleaseKind::Lapsed, "lapsed"},
      {ReleaseKind::Withdrawn, "withdrawn"}};
  for (ReleaseRecord &Release : Releases) {
    const char *Event = Events.at(Release.m_kind);
    const TaskId Task = Release.m_task;
    submitRecord(Task, std::move(Release), Event);
  }
}

void BatchDriver::submitRecord(const TaskId &Task, Record NewRecord,
                               const char *Event) {
  if (!m_pending.insert(Task).second)
    return;
  Metrics &Counters = m_dependencies.m_metrics;
  const bool IsQueued = m_dependencies.m_writer.submit(
      std::move(NewRecord),
      [this, Task, Event, &Counters](const Outcome<RecordOutcome> &Done) {
        const bool IsAccepted = Done && Done.value().m_isAccepted;
        Counters.countBatchEvent(IsAccepted ? Event
                                            : std::string(Event) + "_refused");
        markCompleted(Task);
      });
  if (!IsQueued)
    m_pending.erase(Task);
}

void BatchDriver::markCompleted(const TaskId &Task) {
  const std::lock_guard Lock(m_completedMutex);
  m_completed.push_back(Task);
}

void BatchDriver::removeCompleted() {
  const std::lock_guard Lock(m_completedMutex);
  for (const TaskId &Task : m_completed)
    m_pending.erase(Task);
  m_completed.clear();
}

void BatchDriver::submitClaims(TimePoint Now) {
  PlannerView View;
  View.m_seat = m_seat;
  View.m_readySeats = m_readySeats;
  View.m_pending = m_pending;
  View.m_wallMs = m_dependencies.m_clock.wallNow().time_since_epoch().count();
  for (const auto &[Name, Tracked] : m_trackedWorkers) {
    const bool IsFresh =
        Tracked.m_view.m_lastStatus &&
        Now - Tracked.m_lastSyncTime <= 2 * m_options.m_idleSyncInterval;
    if (Tracked.m_isListed && !Tracked.m_view.m_isLeaving &&
        !Tracked.m_isUnreachable && IsFresh)
      View.m_usableWorkers[Name] = Tracked.m_view.m_lastStatus->m_boot;
  }
  if (View.m_usableWorkers.empty() || m_dependencies.m_writer.isCircuitOpen())
    return;
  const std::vector<ClaimRecord> Claims = m_dependencies.m_replica.read(
      [&](const ReplicatedState &Shared) { return planClaims(Shared, View); });
  for (const ClaimRecord &Claim : Claims)
    submitRecord(Claim.m_task, Claim, "claimed");
}

void BatchDriver::fenceUnreachableWorkers(TimePoint Now) {
  std::vector<FenceRecord> Fences;
  m_dependencies.m_replica.read([&](const ReplicatedState &Shared) {
    for (const auto &Known : Shared.workers()) {
      const std::string &Name = Known.first;
      const WorkerRow &Row = Known.second;
      if (Row.m_tasks.empty() || preferredSeat(Name, m_readySeats) != m_seat)
        continue;
      TrackedWorker &Tracked = m_trackedWorkers[Name];
      if (!Tracked.m_isListed && !Tracked.m_isUnreachable) {
        Tracked.m_isUnreachable = true;
        Tracked.m_unreachableSince = Now;
      }
      const bool IsUnreachableFromAll =
          Tracked.m_isUnreachable &&
          std::all_of(m_readySeats.begin(), m_readySeats.end(),
                      [&](Seat PeerSeat) {
                        return PeerSeat == m_seat ||
                               m_unreachableBySeat[PeerSeat].count(Name) > 0;
                      });
      if (!IsUnreachableFromAll ||
          Now - Tracked.m_unreachableSince < m_options.m_leaseDuration)
        continue;
      for (const TaskId &Task : Row.m_tasks)
        if (const TaskRow &Claimed = *Shared.task(Task); !Claimed.m_isFenced)
          Fences.push_back({Task, Claimed.m_attempt});
    }
  });
  for (const FenceRecord &Fence : Fences)
    submitRecord(Fence.m_task, Fence, "fenced");
}

void BatchDriver::releaseExpired(TimePoint Now) {
  std::vector<ReleaseRecord> Releases;
  const std::uint64_t MajorityOffset = majorityOffset();
  m_dependencies.m_replica.read([&](const ReplicatedState &Shared) {
    for (const auto &[Name, Row] : Shared.workers())
      for (const TaskId &Task : Row.m_tasks) {
        const TaskRow &Claimed = *Shared.task(Task);
        if (!Claimed.m_isFenced || preferredSeat(Name, m_readySeats) != m_seat)
          continue;
        const bool IsKnown = MajorityOffset > Claimed.m_fenceOffset;
        if (!m_leaseExpiry.hasExpired(Task, Claimed.m_attempt, IsKnown, Now))
          continue;
        ReleaseRecord Release;
        Release.m_task = Task;
        Release.m_attempt = Claimed.m_attempt;
        Release.m_kind = ReleaseKind::Lapsed;
        Releases.push_back(std::move(Release));
      }
  });
  for (const ReleaseRecord &Release : Releases)
    m_leaseExpiry.forget(Release.m_task);
  submitReleases(std::move(Releases));
}

std::vector<std::string> BatchDriver::unreachableWorkers() const {
  const std::lock_guard Lock(m_mutex);
  std::vector<std::string> Names;
  for (const auto &[Name, Tracked] : m_trackedWorkers)
    if (Tracked.m_isUnreachable)
      Names.push_back(Name);
  return Names;
}

std::map<std::string, WorkerStatus> BatchDriver::workerStatuses() const {
  const std::lock_guard Lock(m_mutex);
  std::map<std::string, WorkerStatus> Known;
  for (const auto &[Name, Tracked] : m_trackedWorkers)
    if (Tracked.m_view.m_lastStatus)
      Known.emplace(Name, *Tracked.m_view.m_lastStatus);
  return Known;
}

} // namespace catkinseam
