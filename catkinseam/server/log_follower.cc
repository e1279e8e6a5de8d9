// Log reading and appending, state copies from peers, snapshots.
#include "catkinseam/server/log_follower.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

constexpr Duration ReadWait = std::chrono::milliseconds(300);
constexpr Duration PullTimeout = std::chrono::milliseconds(1000);
constexpr Duration PullEvery = std::chrono::milliseconds(500);
constexpr std::size_t PageSize = 500;
constexpr int SnapshotsPerRetention = 4;

} // namespace

LogFollower::LogFollower(const FollowerParts &Parts, const Options &Limits)
    : m_parts(Parts), m_options(Limits) {}

std::string LogFollower::fault() const {
  const std::lock_guard Lock(m_mutex);
  return m_fault;
}

void LogFollower::read() {
  const Outcome<LogPage> Page = attempt([this] {
    return m_parts.m_log.read(m_parts.m_replica.readFrom(), PageSize, ReadWait,
                              m_options.m_timeout);
  });
  {
    const std::lock_guard Lock(m_mutex);
    m_fault = Page ? "" : Page.error().m_message;
  }
  if (!Page) {
    followPeers();
    return;
  }
  m_logFirst = Page.value().m_first;
  if (Page.value().m_first == 0 && Page.value().m_end == 0)
    m_parts.m_onNewInstallation();
  const PageResult Read = m_parts.m_replica.applyPage(Page.value());
  const bool IsAtEnd = m_parts.m_replica.readFrom() >= Page.value().m_end;
  if (Read == PageResult::Applied && IsAtEnd)
    m_hasState = true;
  if (Read == PageResult::NeedsSnapshot && IsAtEnd)
    followPeers();
}

void LogFollower::followPeers() {
  const std::uint64_t Heard = m_parts.m_members.with(
      [](const Membership &Members) { return Members.highestOffsetHeard(); });
  const bool IsBehind = !m_hasState || Heard > m_parts.m_replica.nextOffset();
  const TimePoint Now = m_parts.m_clock.now();
  if (!IsBehind || Now - m_lastPull < PullEvery)
    return;
  m_lastPull = Now;
  if (pullState())
    m_hasState = true;
}

bool LogFollower::pullState() {
  const Seat Own = m_parts.m_members.with(
      [](const Membership &Members) { return Members.seat(); });
  for (Seat Place = 1; Place <= m_parts.m_peers.seats(); ++Place) {
    if (Place == Own)
      continue;
    const std::optional<PeerAnswer> Answer = m_parts.m_peers.call(
        Place, StatePull{m_parts.m_replica.nextOffset()}, PullTimeout);
    const auto *Copy = Answer ? std::get_if<StateCopy>(&*Answer) : nullptr;
    if (Copy == nullptr)
      continue;
    const Outcome<bool> Installed =
        attempt([&] { return m_parts.m_replica.install(*Copy); });
    if (Installed && Installed.value()) {
      logInfo("state.copied", {{"from_seat", std::to_string(Place)}});
      return true;
    }
  }
  return false;
}

void LogFollower::append() {
  while (const std::optional<std::string> Bytes =
             m_parts.m_writer.nextAppend()) {
    const Outcome<std::uint64_t> Appended = attempt(
        [&] { return m_parts.m_log.append(*Bytes, m_options.m_timeout); });
    if (!Appended) {
      logWarn("log.append_failed", {{"reason", Appended.error().m_message}});
      return;
    }
    if (m_parts.m_writer.queued() == 0)
      return;
  }
}

bool LogFollower::isSnapshotDue() {
  const bool IsMine = m_parts.m_members.with([](const Membership &Members) {
    const std::vector<Seat> Ready = Members.readySeats();
    return !Ready.empty() && Ready.front() == Members.seat();
  });
  if (!IsMine || !m_hasState || m_parts.m_writer.isCircuitOpen())
    return false;
  const auto [Last, Next] = m_parts.m_replica.read([](const State &Shared) {
    return std::pair(Shared.snapshot(), Shared.nextOffset());
  });
  const bool IsMarkPending = m_markOffset > Last.m_nextOffset;
  if (Next == 0 || IsMarkPending)
    return false;
  const std::int64_t Age =
      m_parts.m_clock.wallNow().time_since_epoch().count() - Last.m_wallMs;
  const std::int64_t Limit =
      m_options.m_retention.count() / SnapshotsPerRetention;
  return Age > Limit || Last.m_nextOffset < m_logFirst;
}

void LogFollower::maintain() {
  if (isSnapshotDue()) {
    m_markOffset = m_parts.m_replica.nextOffset();
    m_parts.m_writer.submit(SnapshotMarkRecord{randomId()}, nullptr);
  }
  for (Record &Part : m_parts.m_replica.takeSnapshotRecords())
    m_parts.m_writer.submit(std::move(Part), nullptr);
}

} // namespace catkinseam
