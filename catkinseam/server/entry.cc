// Wiring, threads and life of one entry.
#include "catkinseam/server/entry.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/base/hash.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <set>

namespace catkinseam {

namespace {

constexpr Duration BeatInterval = std::chrono::milliseconds(200);
constexpr Duration BusyBeatInterval = std::chrono::milliseconds(40);
constexpr Duration RequestTick = std::chrono::milliseconds(5);
constexpr Duration WriterTick = std::chrono::milliseconds(5);
constexpr Duration BatchTick = std::chrono::milliseconds(50);
constexpr Duration KeyTick = std::chrono::milliseconds(100);
constexpr Duration UpkeepTick = std::chrono::milliseconds(100);
constexpr Duration LogWait = std::chrono::milliseconds(300);
constexpr Duration PeerCallTimeout = std::chrono::milliseconds(1000);
constexpr Duration PullEvery = std::chrono::milliseconds(500);
/// A newcomer that cannot copy the key claims serves idempotent requests
/// after this long.
constexpr Duration KeySyncGrace = std::chrono::seconds(3);
constexpr Duration FlushTimeout = std::chrono::seconds(2);
constexpr std::size_t LogPageSize = 500;
constexpr int WorkerCallThreads = 8;
constexpr int SnapshotsPerRetention = 4;

std::optional<Endpoint> collectorOf(const Settings &Given) {
  if (Given.m_otlp.empty())
    return std::nullopt;
  return attempt([&] { return parseEndpoint(Given.m_otlp); }).value();
}

Membership::Options memberOptions(const Settings &Given,
                                  const std::string &BootId) {
  Membership::Options Own;
  Own.m_seat = static_cast<Seat>(Given.m_seat);
  Own.m_seats = static_cast<Seat>(Given.m_peers.size());
  Own.m_bootId = BootId;
  Own.m_name = Given.m_name;
  Own.m_dataCentre = Given.m_dataCentre;
  return Own;
}

RequestCore::Options coreOptions(const Settings &Given) {
  RequestCore::Options Limits;
  Limits.m_maxWaiting = static_cast<std::size_t>(Given.m_requestsInFlight);
  Limits.m_connectionsPerWorker =
      static_cast<std::uint32_t>(Given.m_connectionsPerWorker);
  return Limits;
}

RequestService::Options serviceOptions(const Settings &Given) {
  RequestService::Options Limits;
  Limits.m_entry = Given.m_name;
  Limits.m_maxInFlight = static_cast<std::size_t>(Given.m_requestsInFlight);
  Limits.m_tracedPerThousand = static_cast<int>(Given.m_tracedPerThousand);
  return Limits;
}

BatchDriver::Options batchOptions(const Settings &Given) {
  BatchDriver::Options Limits;
  Limits.m_lease = Given.m_lease;
  Limits.m_idleSync = Given.m_renewInterval;
  return Limits;
}

AdminApi::Options adminOptions(const Settings &Given) {
  AdminApi::Options Limits;
  Limits.m_token = Given.m_adminToken;
  Limits.m_tasksPerJob = Given.m_tasksPerJob;
  return Limits;
}

UpstreamPool::Options poolOptions(const Settings &Given) {
  UpstreamPool::Options Limits;
  Limits.m_idlePerWorker =
      static_cast<std::size_t>(Given.m_connectionsPerWorker);
  return Limits;
}

HttpServer::Options listenOptions(const Settings &Given, const Endpoint &Where,
                                  std::int64_t Connections) {
  HttpServer::Options Limits;
  Limits.m_listen = Where;
  Limits.m_maxConnections = static_cast<std::size_t>(Connections);
  Limits.m_maxHeaderBytes = static_cast<std::size_t>(Given.m_headerBytes);
  Limits.m_maxBodyBytes = static_cast<std::size_t>(Given.m_bodyBytes);
  Limits.m_readTimeout = Given.m_readTimeout;
  Limits.m_idleTimeout = Given.m_idleTimeout;
  return Limits;
}

} // namespace

Entry::Entry(const Settings &Given)
    : m_settings(Given), m_bootId(randomId()),
      m_spans(Given.m_name, collectorOf(Given)),
      m_log(makeHttpLog(Given.m_log)),
      m_instanceList(makeHttpInstanceList(Given.m_instances)),
      m_workers(makeHttpWorkerService()), m_writer(m_clock, m_bootId, {}),
      m_replica(m_writer), m_members(m_clock, memberOptions(Given, m_bootId)),
      m_core(m_clock, makeSlotSharing(Given.m_slotSharing), coreOptions(Given)),
      m_pool(m_clock, poolOptions(Given)),
      m_keys(m_clock, m_members,
             {[this](const PeerDatagram &Message) { sendToAll(Message); },
              [this](Seat Place, const PeerDatagram &Message) {
                sendTo(Place, Message);
              },
              [this](Seat Place, const PeerCall &Call, Duration Timeout) {
                return callSeat(Place, Call, Timeout);
              }},
             {}),
      m_requests({m_clock, m_core, m_keys, m_pool, m_metrics, m_spans},
                 serviceOptions(Given)),
      m_batch({m_clock, m_replica, m_writer, m_members, *m_workers, m_metrics,
               [this](std::function<void()> Work) {
                 return m_workerCalls.tryRun(std::move(Work));
               }},
              batchOptions(Given)),
      m_workerCalls(WorkerCallThreads),
      m_admin({m_clock, m_replica, m_writer, m_members, m_core, m_batch,
               m_metrics, [this] { return unreadiness(); },
               [this] { m_writerTicker->wake(); }},
              adminOptions(Given)),
      m_addresses(Given.m_peers), m_started(m_clock.now()) {
  m_link = std::make_unique<PeerLink>(
      Given.m_peer,
      PeerLink::Handlers{
          [this](const std::string &Bytes, const Endpoint &From) {
            onDatagram(Bytes, From);
          },
          [this](const std::string &Bytes) { return onCall(Bytes); }});
  startThreads();
  m_operators = std::make_unique<HttpServer>(
      listenOptions(Given, Given.m_admin, Given.m_adminConnections),
      [this](const HttpRequest &Request) { return m_admin.handle(Request); });
  m_callers = std::make_unique<HttpServer>(
      listenOptions(Given, Given.m_callers, Given.m_callerConnections),
      [this](const HttpRequest &Request) {
        return m_requests.handle(Request);
      });
  logInfo("entry.started", {{"entry", Given.m_name},
                            {"boot", m_bootId},
                            {"callers", toString(Given.m_callers)},
                            {"admin", toString(Given.m_admin)}});
}

Entry::~Entry() {
  for (const auto &Each : m_tickers)
    Each->stop();
  m_link.reset();
}

void Entry::startThreads() {
  auto Start = [this](Duration Interval, void (Entry::*Work)()) {
    m_tickers.push_back(
        std::make_unique<Ticker>(Interval, [this, Work] { (this->*Work)(); }));
    return m_tickers.back().get();
  };
  m_writerTicker = Start(WriterTick, &Entry::appendLog);
  Start(m_settings.m_logPollInterval, &Entry::readLog);
  Start(BusyBeatInterval, &Entry::beat);
  Start(m_settings.m_instancesPollInterval, &Entry::pollInstances);
  Start(UpkeepTick, &Entry::updateReadiness);
  m_tickers.push_back(
      std::make_unique<Ticker>(BatchTick, [this] { m_batch.tick(); }));
  m_tickers.push_back(
      std::make_unique<Ticker>(KeyTick, [this] { m_keys.tick(); }));
  m_tickers.push_back(std::make_unique<Ticker>(RequestTick, [this] {
    m_requests.deliver(
        m_core.with([](RequestCore &Core) { return Core.tick(); }));
  }));
}

void Entry::stop() {
  logInfo("entry.draining", {{"entry", m_settings.m_name}});
  m_isDraining = true;
  m_members.with(
      [](Membership &Members) { Members.setState(EntryState::Draining); });
  // Requests go on being served while the balancer looks away.
  m_replica.waitFor([](const State &) { return false; },
                    m_settings.m_drainWait);
  // Each connection that is still used is closed with its next answer, so that
  // none is cut while a request is on its way.
  m_callers->closeAfterAnswers();
  m_replica.waitFor([](const State &) { return false; },
                    m_settings.m_drainWait);
  m_callers->stop();
  m_batch.drain();
  const TimePoint End = m_clock.now() + FlushTimeout;
  while (m_writer.queued() > 0 && m_clock.now() < End)
    m_replica.waitFor([](const State &) { return false; }, WriterTick);
  m_operators->stop();
  logInfo("entry.stopped", {{"entry", m_settings.m_name}});
}

std::string Entry::unreadiness() const {
  if (m_isDraining)
    return "entry \"" + m_settings.m_name + "\" is stopping";
  if (!m_hasState) {
    const std::lock_guard Lock(m_mutex);
    return "entry \"" + m_settings.m_name + "\" has no copy of the state" +
           (m_logFault.empty() ? "" : ": " + m_logFault);
  }
  if (m_members.with(
          [](const Membership &Members) { return Members.isSuperseded(); }))
    return "another process holds the seat of entry \"" + m_settings.m_name +
           "\"";
  const bool IsKeyGraceOver = m_clock.now() - m_started > KeySyncGrace;
  if (!m_keys.isSynced() && !IsKeyGraceOver)
    return "entry \"" + m_settings.m_name + "\" is copying key claims";
  return "";
}

void Entry::updateReadiness() {
  if (!m_isDraining) {
    const bool IsReady = unreadiness().empty();
    m_members.with([&](Membership &Members) {
      if (IsReady && Members.state() == EntryState::Joining) {
        logInfo("entry.ready", {{"entry", m_settings.m_name}});
        Members.setState(EntryState::Ready);
      }
    });
  }
  refreshView();
  maintainSnapshots();
  updateGauges();
}

void Entry::readLog() {
  const Outcome<LogPage> Page = attempt([this] {
    return m_log->read(m_replica.readFrom(), LogPageSize, LogWait,
                       m_settings.m_logTimeout);
  });
  {
    const std::lock_guard Lock(m_mutex);
    m_logFault = Page ? "" : Page.error().m_message;
  }
  if (!Page) {
    followPeers();
    return;
  }
  m_logFirst = Page.value().m_first;
  if (Page.value().m_first == 0 && Page.value().m_end == 0)
    m_keys.syncWithoutPeers(); // A new installation: no request ever ran.
  const PageResult Read = m_replica.applyPage(Page.value());
  const bool IsAtEnd = m_replica.readFrom() >= Page.value().m_end;
  if (Read == PageResult::Applied && IsAtEnd)
    m_hasState = true;
  if (Read == PageResult::NeedsSnapshot && IsAtEnd)
    followPeers();
}

/// Takes a peer's copy of the state when the log cannot give it.
void Entry::followPeers() {
  const std::uint64_t Heard = m_members.with(
      [](const Membership &Members) { return Members.highestOffsetHeard(); });
  const bool IsBehind = !m_hasState || Heard > m_replica.nextOffset();
  const TimePoint Now = m_clock.now();
  if (!IsBehind || Now - m_lastPull < PullEvery)
    return;
  m_lastPull = Now;
  if (pullState())
    m_hasState = true;
}

bool Entry::pullState() {
  const Seat Seats = static_cast<Seat>(m_settings.m_peers.size());
  for (Seat Place = 1; Place <= Seats; ++Place) {
    if (Place == static_cast<Seat>(m_settings.m_seat))
      continue;
    const std::optional<PeerAnswer> Answer =
        callSeat(Place, StatePull{m_replica.nextOffset()}, PeerCallTimeout);
    const auto *Copy = Answer ? std::get_if<StateCopy>(&*Answer) : nullptr;
    if (Copy == nullptr)
      continue;
    const Outcome<bool> Installed =
        attempt([&] { return m_replica.install(*Copy); });
    if (Installed && Installed.value()) {
      logInfo("state.copied", {{"from_seat", std::to_string(Place)}});
      return true;
    }
  }
  return false;
}

void Entry::appendLog() {
  while (const std::optional<std::string> Bytes = m_writer.nextAppend()) {
    const Outcome<std::uint64_t> Appended =
        attempt([&] { return m_log->append(*Bytes, m_settings.m_logTimeout); });
    if (!Appended) {
      logWarn("log.append_failed", {{"reason", Appended.error().m_message}});
      return;
    }
    if (m_writer.queued() == 0)
      return;
  }
}

void Entry::beat() {
  const auto [Waiting, InFlight] = m_core.with([](const RequestCore &Core) {
    return std::pair(Core.waitingShort(),
                     Core.needsPeerInFlight()
                         ? Core.inFlight()
                         : std::map<std::string, std::uint16_t>());
  });
  const std::vector<std::string> Unreachable = m_batch.unreachable();
  const auto [Offset, Version] = m_replica.read([](const State &Shared) {
    return std::pair(Shared.nextOffset(), Shared.config().version());
  });
  std::vector<std::string> Leaving;
  {
    const std::lock_guard Lock(m_mutex);
    for (const Instance &Listed : m_instances)
      if (Listed.m_isLeaving)
        Leaving.push_back(Listed.m_name);
  }
  const bool IsUrgent = Waiting > 0 || !InFlight.empty();
  const std::optional<Heartbeat> Own =
      m_members.with([&](Membership &Members) -> std::optional<Heartbeat> {
        if (!Members.isBeatDue(IsUrgent ? BusyBeatInterval : BeatInterval))
          return std::nullopt;
        return Members.nextHeartbeat();
      });
  if (Own) {
    Heartbeat Filled = *Own;
    Filled.m_appliedOffset = Offset;
    Filled.m_configVersion = Version;
    Filled.m_waiting = Waiting;
    Filled.m_inFlight = InFlight;
    Filled.m_leaving = Leaving;
    Filled.m_unreachable = Unreachable;
    sendToAll(Filled);
  }
  lendSlots();
}

void Entry::lendSlots() {
  std::map<std::string, std::uint32_t> PeerInFlight;
  std::vector<Seat> Ready;
  Seat Neediest = 0;
  std::uint32_t MostWaiting = 0;
  m_members.with([&](const Membership &Members) {
    Ready = Members.readySeats();
    if (std::find(Ready.begin(), Ready.end(), Members.seat()) == Ready.end())
      Ready.push_back(Members.seat()); // Also while draining.
    std::sort(Ready.begin(), Ready.end());
    for (const auto &[Place, Peer] : Members.peers()) {
      if (std::find(Ready.begin(), Ready.end(), Place) == Ready.end())
        continue;
      for (const auto &[Worker, Count] : Peer.m_last.m_inFlight)
        PeerInFlight[Worker] += Count;
      if (Peer.m_last.m_waiting > MostWaiting) {
        MostWaiting = Peer.m_last.m_waiting;
        Neediest = Place;
      }
    }
  });
  const Seat Own = static_cast<Seat>(m_settings.m_seat);
  const SlotLoan Loan = m_core.with([&](RequestCore &Core) {
    Core.setPeers(Own, Ready, PeerInFlight);
    return Core.lend(MostWaiting);
  });
  if (!Loan.m_slots.empty())
    sendTo(Neediest, Loan);
}

void Entry::pollInstances() {
  const Outcome<std::vector<Instance>> Listed = attempt(
      [this] { return m_instanceList->fetch(m_settings.m_logTimeout); });
  if (!Listed)
    return; // The last list stays in use.
  m_batch.setInstances(Listed.value());
  {
    const std::lock_guard Lock(m_mutex);
    m_instances = Listed.value();
    m_isViewStale = true;
  }
  refreshView();
}

void Entry::refreshView() {
  std::set<std::string> Leaving = m_members.with([](const Membership &Now) {
    std::set<std::string> Seen;
    for (const auto &[Place, Peer] : Now.peers())
      Seen.insert(Peer.m_last.m_leaving.begin(), Peer.m_last.m_leaving.end());
    return Seen;
  });
  const std::lock_guard Lock(m_mutex);
  const std::uint64_t Version = m_replica.read(
      [](const State &Shared) { return Shared.config().version(); });
  for (const Instance &Listed : m_instances)
    if (Listed.m_isLeaving)
      Leaving.insert(Listed.m_name);
  if (m_isViewStale || Version != m_viewVersion) {
    auto View = std::make_shared<RequestView>();
    std::map<std::string, std::uint32_t> Slots;
    double LongShare = 0;
    double RetryPercent = 0;
    m_replica.read([&](const State &Shared) {
      const ConfigContent &Content = Shared.config().content();
      View->m_kinds = readKinds(Content);
      View->m_configVersion = Shared.config().version();
      constexpr std::int64_t DefaultLongPercent = 50;
      constexpr std::int64_t DefaultRetryPercent = 10;
      LongShare =
          static_cast<double>(numberAt(Content, "request/long_slots_percent",
                                       DefaultLongPercent)) /
          100;
      RetryPercent = static_cast<double>(
          numberAt(Content, "request/retry_percent", DefaultRetryPercent));
      for (const Instance &Listed : m_instances) {
        View->m_services[Listed.m_name] = Listed.m_service;
        const WorkerRow *Row = Shared.worker(Listed.m_name);
        if (Row != nullptr && Row->m_slots > 0)
          Slots[Listed.m_name] = Row->m_slots;
      }
    });
    m_viewVersion = View->m_configVersion;
    m_isViewStale = false;
    m_requests.setView(std::move(View));
    m_core.with([&](RequestCore &Core) {
      Core.setWorkers(Slots);
      Core.setLongShare(LongShare);
      Core.setRetryPercent(RetryPercent);
    });
  }
  m_core.with([&](RequestCore &Core) { Core.setLeaving(Leaving); });
}

bool Entry::isSnapshotDue() {
  const bool IsMine = m_members.with([](const Membership &Members) {
    const std::vector<Seat> Ready = Members.readySeats();
    return !Ready.empty() && Ready.front() == Members.seat();
  });
  if (!IsMine || !m_hasState || m_writer.isCircuitOpen())
    return false;
  const auto [Last, Next] = m_replica.read([](const State &Shared) {
    return std::pair(Shared.snapshot(), Shared.nextOffset());
  });
  const bool IsMarkPending = m_markOffset > Last.m_nextOffset;
  if (Next == 0 || IsMarkPending)
    return false;
  const std::int64_t Age =
      m_clock.wallNow().time_since_epoch().count() - Last.m_wallMs;
  const std::int64_t Limit =
      m_settings.m_logRetention.count() / SnapshotsPerRetention;
  return Age > Limit || Last.m_nextOffset < m_logFirst;
}

void Entry::maintainSnapshots() {
  if (isSnapshotDue()) {
    m_markOffset = m_replica.nextOffset();
    m_writer.submit(SnapshotMarkRecord{randomId()}, nullptr);
  }
  for (Record &Part : m_replica.takeSnapshotRecords())
    m_writer.submit(std::move(Part), nullptr);
}

void Entry::updateGauges() {
  const auto [Version, Offset, Workers] =
      m_replica.read([](const State &Shared) {
        return std::tuple(Shared.config().version(), Shared.nextOffset(),
                          Shared.workers().size());
      });
  m_metrics.setGauge("catkinseam_config_version", static_cast<double>(Version));
  m_metrics.setGauge("catkinseam_log_next_offset", static_cast<double>(Offset));
  m_metrics.setGauge("catkinseam_workers", static_cast<double>(Workers));
  m_metrics.setGauge("catkinseam_requests_in_flight",
                     static_cast<double>(m_requests.inFlight()));
  m_metrics.setGauge("catkinseam_log_writable",
                     m_writer.isCircuitOpen() ? 0 : 1);
}

Endpoint Entry::addressOf(Seat Place) const {
  const std::lock_guard Lock(m_mutex);
  return m_addresses[Place - 1];
}

void Entry::sendTo(Seat Place, const PeerDatagram &Message) {
  if (Place >= 1 && Place <= m_settings.m_peers.size())
    m_link->send(addressOf(Place), encode(Message));
}

void Entry::sendToAll(const PeerDatagram &Message) {
  const std::string Bytes = encode(Message);
  for (Seat Place = 1; Place <= m_settings.m_peers.size(); ++Place)
    if (Place != static_cast<Seat>(m_settings.m_seat))
      m_link->send(addressOf(Place), Bytes);
}

std::optional<PeerAnswer> Entry::callSeat(Seat Place, const PeerCall &Call,
                                          Duration Timeout) {
  if (Place < 1 || Place > m_settings.m_peers.size())
    return std::nullopt;
  Outcome<PeerAnswer> Answer = attempt([&]() -> Result<PeerAnswer> {
    BOOST_LEAF_AUTO(Bytes,
                    m_link->call(addressOf(Place), encode(Call), Timeout));
    return decode<PeerAnswer>(Bytes);
  });
  if (!Answer)
    return std::nullopt;
  return std::move(Answer.value());
}

void Entry::onDatagram(const std::string &Bytes, const Endpoint &From) {
  const Outcome<PeerDatagram> Message =
      attempt([&] { return decode<PeerDatagram>(Bytes); });
  if (!Message || !m_link)
    return;
  if (const auto *Beat = std::get_if<Heartbeat>(&Message.value())) {
    const bool IsCurrent = m_members.with(
        [&](Membership &Members) { return Members.onHeartbeat(*Beat); });
    const std::lock_guard Lock(m_mutex);
    if (IsCurrent)
      m_addresses[Beat->m_seat - 1] = From;
  } else if (const auto *Claim = std::get_if<KeyClaim>(&Message.value())) {
    m_keys.onClaim(*Claim);
  } else if (const auto *Ack = std::get_if<KeyAck>(&Message.value())) {
    m_keys.onAck(*Ack);
  } else if (const auto *Loan = std::get_if<SlotLoan>(&Message.value())) {
    m_requests.deliver(m_core.with([&](RequestCore &Core) {
      Core.borrow(*Loan);
      return Core.tick();
    }));
  }
}

std::string Entry::onCall(const std::string &Bytes) {
  const Outcome<PeerCall> Call =
      attempt([&] { return decode<PeerCall>(Bytes); });
  PeerAnswer Answer = NoAnswer{};
  if (!Call)
    return encode(Answer);
  if (const auto *Pull = std::get_if<StatePull>(&Call.value())) {
    if (m_hasState && m_replica.nextOffset() > Pull->m_have)
      Answer = m_replica.copy();
  } else if (const auto *Sync = std::get_if<KeySyncPull>(&Call.value())) {
    Answer = m_keys.syncAnswer(*Sync);
  } else if (const auto *Query = std::get_if<KeyQuery>(&Call.value())) {
    Answer = m_keys.queryAnswer(*Query);
  }
  return encode(Answer);
}

} // namespace catkinseam
