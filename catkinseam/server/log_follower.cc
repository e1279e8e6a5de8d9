// Log reads and appends, state copies from peers and snapshot requests.
#include "catkinseam/server/log_follower.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

constexpr Duration ReadWaitTime = std::chrono::milliseconds(300);
constexpr Duration StateCopyTimeout = std::chrono::milliseconds(1000);
constexpr Duration StateCopyInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxRecordsPerPage = 500;
constexpr int SnapshotsPerRetention = 4;

} // namespace

LogFollower::LogFollower(const LogFollowerDependencies &Deps,
                         const Options &Opts)
    : m_deps(Deps), m_options(Opts) {}

std::string LogFollower::lastReadError() const {
  const std::lock_guard Lock(m_mutex);
  return m_readError;
}

void LogFollower::read() {
  const Outcome<LogPage> Page = attempt([this] {
    return m_deps.m_logService.read(m_deps.m_replica.nextReadOffset(),
                                    MaxRecordsPerPage, ReadWaitTime,
                                    m_options.m_timeout);
  });
  {
    const std::lock_guard Lock(m_mutex);
    m_readError = Page ? "" : Page.error().m_message;
  }
  if (!Page) {
    catchUpFromPeers();
    return;
  }
  m_firstLogOffset = Page.value().m_first;
  if (Page.value().m_first == 0 && Page.value().m_end == 0)
    m_deps.m_onNewInstallation();
  const PageResult Read = m_deps.m_replica.applyPage(Page.value());
  const bool IsAtEnd = m_deps.m_replica.nextReadOffset() >= Page.value().m_end;
  if (Read == PageResult::Applied && IsAtEnd)
    m_hasState = true;
  if (Read == PageResult::NeedsSnapshot && IsAtEnd)
    catchUpFromPeers();
}

void LogFollower::catchUpFromPeers() {
  const std::uint64_t HighestPeerOffset =
      m_deps.m_membership.with([](const Membership &Members) {
        return Members.highestReportedOffset();
      });
  const bool IsBehind =
      !m_hasState || HighestPeerOffset > m_deps.m_replica.nextOffset();
  const TimePoint Now = m_deps.m_clock.now();
  if (!IsBehind || Now - m_lastCopyAttempt < StateCopyInterval)
    return;
  m_lastCopyAttempt = Now;
  if (copyStateFromPeer())
    m_hasState = true;
}

bool LogFollower::copyStateFromPeer() {
  const Seat Own = m_deps.m_membership.with(
      [](const Membership &Members) { return Members.seat(); });
  for (Seat PeerSeat = 1; PeerSeat <= m_deps.m_peerMessenger.seatCount();
       ++PeerSeat) {
    if (PeerSeat == Own)
      continue;
    const std::optional<PeerResponse> Response = m_deps.m_peerMessenger.call(
        PeerSeat, StateCopyRequest{m_deps.m_replica.nextOffset()},
        StateCopyTimeout);
    const auto *ReceivedCopy =
        Response ? std::get_if<StateCopy>(&*Response) : nullptr;
    if (ReceivedCopy == nullptr)
      continue;
    const Outcome<bool> Installed =
        attempt([&] { return m_deps.m_replica.install(*ReceivedCopy); });
    if (Installed && Installed.value()) {
      logInfo("state.copied", {{"from_seat", std::to_string(PeerSeat)}});
      return true;
    }
  }
  return false;
}

void LogFollower::append() {
  while (const std::optional<std::string> Bytes =
             m_deps.m_logWriter.nextAppend()) {
    const Outcome<std::uint64_t> Appended = attempt([&] {
      return m_deps.m_logService.append(*Bytes, m_options.m_timeout);
    });
    if (!Appended) {
      logWarn("log.append_failed", {{"reason", Appended.error().m_message}});
      return;
    }
    if (m_deps.m_logWriter.queued() == 0)
      return;
  }
}

bool LogFollower::isSnapshotDue() {
  const bool IsSnapshotOwner =
      m_deps.m_membership.with([](const Membership &Members) {
        const std::vector<Seat> Ready = Members.readySeats();
        return !Ready.empty() && Ready.front() == Members.seat();
      });
  if (!IsSnapshotOwner || !m_hasState || m_deps.m_logWriter.isCircuitOpen())
    return false;
  const auto [LastSnapshot, Next] =
      m_deps.m_replica.read([](const ReplicatedState &Shared) {
        return std::pair(Shared.snapshot(), Shared.nextOffset());
      });
  const bool IsMarkPending = m_snapshotMarkOffset > LastSnapshot.m_nextOffset;
  if (Next == 0 || IsMarkPending)
    return false;
  const std::int64_t Age = m_deps.m_clock.wallNow().time_since_epoch().count() -
                           LastSnapshot.m_wallMs;
  const std::int64_t Limit =
      m_options.m_retention.count() / SnapshotsPerRetention;
  return Age > Limit || LastSnapshot.m_nextOffset < m_firstLogOffset;
}

void LogFollower::maintainSnapshots() {
  if (isSnapshotDue()) {
    m_snapshotMarkOffset = m_deps.m_replica.nextOffset();
    m_deps.m_logWriter.submit(SnapshotMarkerRecord{randomId()}, nullptr);
  }
  for (Record &SnapshotRecord : m_deps.m_replica.takeSnapshotRecords())
    m_deps.m_logWriter.submit(std::move(SnapshotRecord), nullptr);
}

} // namespace catkinseam
