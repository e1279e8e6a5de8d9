// The batch half's loop around the pure planner and lease logic.
#include "catkinseam/batch/driver.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr Duration LagAllowance = std::chrono::seconds(1);

} // namespace

BatchDriver::BatchDriver(const BatchParts &Parts, const Options &Limits)
    : m_parts(Parts), m_options(Limits),
      m_lapses(LapseWatch::Options{
          .m_contactWindow = Parts.m_members.with(
              [](const Membership &Now) { return Now.contactWindow(); }),
          .m_lagAllowance = LagAllowance,
          .m_lease = Limits.m_lease,
          .m_margin = Limits.m_lease / 10}) {}

void BatchDriver::drain() {
  const std::lock_guard Lock(m_mutex);
  m_isDraining = true;
}

void BatchDriver::setInstances(const std::vector<Instance> &Instances) {
  const std::lock_guard Lock(m_mutex);
  for (auto &[Name, Slot] : m_slots)
    Slot.m_isListed = false;
  for (const Instance &Listed : Instances) {
    WorkerSlot &Slot = m_slots[Listed.m_name];
    Slot.m_instance = Listed;
    Slot.m_isListed = true;
    Slot.m_view.m_isLeaving = Listed.m_isLeaving;
  }
}

void BatchDriver::tick() {
  const std::lock_guard Lock(m_mutex);
  if (m_isDraining)
    return;
  const TimePoint Now = m_parts.m_clock.now();
  dropSettled();
  m_parts.m_members.with([this](const Membership &Members) {
    m_seat = Members.seat();
    m_readySeats = Members.readySeats();
    m_unreachableBy.clear();
    for (const auto &[Place, Peer] : Members.peers())
      m_unreachableBy[Place] = {Peer.m_last.m_unreachable.begin(),
                                Peer.m_last.m_unreachable.end()};
  });
  callDueWorkers(mayRenew(Now), Now);
  planOwnClaims(Now);
  fenceSilentWorkers(Now);
  releaseLapsed(Now);
}

bool BatchDriver::mayRenew(TimePoint Now) {
  const std::uint64_t Applied = m_parts.m_replica.nextOffset();
  const auto [InMajority, Heard] =
      m_parts.m_members.with([](const Membership &Members) {
        return std::pair(Members.isInMajority(), Members.highestOffsetHeard());
      });
  return m_lag.keepsUp(Applied, Heard, Now, LagAllowance) && InMajority;
}

std::uint64_t BatchDriver::majorityOffset() const {
  const std::uint64_t Own = m_parts.m_replica.nextOffset();
  return m_parts.m_members.with(
      [&](const Membership &Members) { return Members.majorityOffset(Own); });
}

bool BatchDriver::isActing(const std::string &Worker) const {
  // The first seat in the worker's hash order that can reach it; when none
  // can, the first.
  std::vector<Seat> Able;
  for (const Seat Place : m_readySeats) {
    const auto Known = m_unreachableBy.find(Place);
    const bool IsPeerCutOff =
        Known != m_unreachableBy.end() && Known->second.count(Worker) > 0;
    const auto Own = m_slots.find(Worker);
    const bool IsSelfCutOff =
        Place == m_seat && Own != m_slots.end() && Own->second.m_isSilent;
    if (!IsPeerCutOff && !IsSelfCutOff)
      Able.push_back(Place);
  }
  return homeOf(Worker, Able.empty() ? m_readySeats : Able) == m_seat;
}

Duration BatchDriver::busyInterval(std::size_t Tasks) const {
  const Duration Wanted =
      m_options.m_syncPerTask * static_cast<std::int64_t>(Tasks);
  return std::clamp(Wanted, m_options.m_busySync, m_options.m_idleSync);
}

bool BatchDriver::isDue(const State &Shared, const std::string &Name,
                        const WorkerSlot &Slot, TimePoint Now) const {
  const Duration Since = Now - Slot.m_lastCall;
  if (!Slot.m_view.m_last || Since >= m_options.m_idleSync)
    return Since >= m_options.m_busySync;
  const WorkerRow *Row = Shared.worker(Name);
  const std::size_t Known = Slot.m_view.m_last->m_attempts.size();
  const bool IsBusy = (Row != nullptr && !Row->m_tasks.empty()) || Known > 0;
  if (IsBusy && Since >= busyInterval(Known))
    return true;
  if (Row == nullptr)
    return false;
  // A claim that the worker has not heard of is started without delay.
  for (const TaskId &Task : Row->m_tasks) {
    const bool IsKnown = std::any_of(
        Slot.m_view.m_last->m_attempts.begin(),
        Slot.m_view.m_last->m_attempts.end(),
        [&](const AttemptStatus &Each) { return Each.m_task == Task; });
    if (!IsKnown)
      return true;
  }
  return false;
}

void BatchDriver::callDueWorkers(bool MayRenew, TimePoint Now) {
  std::vector<std::pair<std::string, SyncPlan>> Due;
  const std::uint64_t MajorityOffset = majorityOffset();
  m_parts.m_replica.read([&](const State &Shared) {
    for (auto &[Name, Slot] : m_slots) {
      if (!Slot.m_isListed || Slot.m_isCalling)
        continue;
      // A silent worker is probed by everyone, so that whoever reaches it
      // first takes over.
      if (!isActing(Name) && !Slot.m_isSilent)
        continue;
      if (!isDue(Shared, Name, Slot, Now))
        continue;
      Slot.m_view.m_mayRenew = MayRenew;
      Slot.m_view.m_majorityOffset = MajorityOffset;
      Slot.m_view.m_forgetAfter = m_lapses.waitTime();
      Slot.m_view.m_lease = m_options.m_lease;
      Due.emplace_back(Name, planSync(Shared, Name, Slot.m_view, Now));
    }
  });
  for (auto &[Name, Plan] : Due)
    beginCall(Name, m_slots.at(Name), std::move(Plan));
}

void BatchDriver::beginCall(const std::string &Name, WorkerSlot &Slot,
                            SyncPlan Plan) {
  const Endpoint Where = Slot.m_instance.m_tasks;
  const bool IsTaken = m_parts.m_runAside(
      [this, Name, Where, Commands = std::move(Plan.m_commands)] {
        endCall(Name, attempt([&] {
                  return m_parts.m_workers.sync(Where, Commands,
                                                m_options.m_syncTimeout);
                }));
      });
  if (!IsTaken)
    return; // All threads wait for workers; the next tick tries again.
  Slot.m_isCalling = true;
  Slot.m_lastCall = m_parts.m_clock.now();
  for (std::size_t Started = 0; Started < Plan.m_started; ++Started)
    m_parts.m_metrics.countBatch("start_sent");
}

void BatchDriver::endCall(const std::string &Name,
                          const Outcome<WorkerStatus> &Answer) {
  const std::lock_guard Lock(m_mutex);
  WorkerSlot &Slot = m_slots.at(Name);
  Slot.m_isCalling = false;
  if (!Answer) {
    if (!Slot.m_isSilent) {
      Slot.m_silentSince = m_parts.m_clock.now();
      logWarn("worker.silent",
              {{"worker", Name}, {"reason", Answer.error().m_message}});
    }
    Slot.m_isSilent = true;
    return;
  }
  Slot.m_isSilent = false;
  Slot.m_view.m_last = Answer.value();
  submitReleases(m_parts.m_replica.read([&](const State &Shared) {
    return readStatus(Shared, Name, Answer.value());
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

void BatchDriver::submitRecord(const TaskId &Task, Record Entry,
                               const char *Event) {
  if (!m_pending.insert(Task).second)
    return;
  Metrics &Counters = m_parts.m_metrics;
  const bool IsQueued = m_parts.m_writer.submit(
      std::move(Entry),
      [this, Task, Event, &Counters](const Outcome<RecordOutcome> &Done) {
        const bool IsAccepted = Done && Done.value().m_isAccepted;
        Counters.countBatch(IsAccepted ? Event
                                       : std::string(Event) + "_refused");
        noteSettled(Task);
      });
  if (!IsQueued)
    m_pending.erase(Task);
}

void BatchDriver::noteSettled(const TaskId &Task) {
  const std::lock_guard Lock(m_pendingMutex);
  m_settled.push_back(Task);
}

void BatchDriver::dropSettled() {
  const std::lock_guard Lock(m_pendingMutex);
  for (const TaskId &Task : m_settled)
    m_pending.erase(Task);
  m_settled.clear();
}

void BatchDriver::planOwnClaims(TimePoint Now) {
  PlannerView View;
  View.m_seat = m_seat;
  View.m_readySeats = m_readySeats;
  View.m_pending = m_pending;
  View.m_wallMs = m_parts.m_clock.wallNow().time_since_epoch().count();
  for (const auto &[Name, Slot] : m_slots) {
    const bool IsFresh =
        Slot.m_view.m_last && Now - Slot.m_lastCall <= 2 * m_options.m_idleSync;
    if (Slot.m_isListed && !Slot.m_view.m_isLeaving && !Slot.m_isSilent &&
        IsFresh)
      View.m_usable[Name] = Slot.m_view.m_last->m_boot;
  }
  if (View.m_usable.empty() || m_parts.m_writer.isCircuitOpen())
    return;
  const std::vector<ClaimRecord> Claims = m_parts.m_replica.read(
      [&](const State &Shared) { return planClaims(Shared, View); });
  for (const ClaimRecord &Claim : Claims)
    submitRecord(Claim.m_task, Claim, "claimed");
}

void BatchDriver::fenceSilentWorkers(TimePoint Now) {
  std::vector<FenceRecord> Fences;
  m_parts.m_replica.read([&](const State &Shared) {
    for (const auto &Known : Shared.workers()) {
      const std::string &Name = Known.first;
      const WorkerRow &Row = Known.second;
      if (Row.m_tasks.empty() || homeOf(Name, m_readySeats) != m_seat)
        continue;
      WorkerSlot &Slot = m_slots[Name];
      if (!Slot.m_isListed && !Slot.m_isSilent) {
        Slot.m_isSilent = true;
        Slot.m_silentSince = Now;
      }
      const bool IsSilentForAll =
          Slot.m_isSilent &&
          std::all_of(m_readySeats.begin(), m_readySeats.end(),
                      [&](Seat Place) {
                        return Place == m_seat ||
                               m_unreachableBy[Place].count(Name) > 0;
                      });
      if (!IsSilentForAll || Now - Slot.m_silentSince < m_options.m_lease)
        continue;
      for (const TaskId &Task : Row.m_tasks)
        if (const TaskRow &Held = *Shared.task(Task); !Held.m_isFenced)
          Fences.push_back({Task, Held.m_attempt});
    }
  });
  for (const FenceRecord &Fence : Fences)
    submitRecord(Fence.m_task, Fence, "fenced");
}

void BatchDriver::releaseLapsed(TimePoint Now) {
  std::vector<ReleaseRecord> Releases;
  const std::uint64_t MajorityOffset = majorityOffset();
  m_parts.m_replica.read([&](const State &Shared) {
    for (const auto &[Name, Row] : Shared.workers())
      for (const TaskId &Task : Row.m_tasks) {
        const TaskRow &Held = *Shared.task(Task);
        if (!Held.m_isFenced || homeOf(Name, m_readySeats) != m_seat)
          continue;
        const bool IsKnown = MajorityOffset > Held.m_fenceOffset;
        if (!m_lapses.isOver(Task, Held.m_attempt, IsKnown, Now))
          continue;
        ReleaseRecord Release;
        Release.m_task = Task;
        Release.m_attempt = Held.m_attempt;
        Release.m_kind = ReleaseKind::Lapsed;
        Releases.push_back(std::move(Release));
      }
  });
  for (const ReleaseRecord &Release : Releases)
    m_lapses.forget(Release.m_task);
  submitReleases(std::move(Releases));
}

std::vector<std::string> BatchDriver::unreachable() const {
  const std::lock_guard Lock(m_mutex);
  std::vector<std::string> Names;
  for (const auto &[Name, Slot] : m_slots)
    if (Slot.m_isSilent)
      Names.push_back(Name);
  return Names;
}

std::map<std::string, WorkerStatus> BatchDriver::statuses() const {
  const std::lock_guard Lock(m_mutex);
  std::map<std::string, WorkerStatus> Known;
  for (const auto &[Name, Slot] : m_slots)
    if (Slot.m_view.m_last)
      Known.emplace(Name, *Slot.m_view.m_last);
  return Known;
}

} // namespace catkinseam
