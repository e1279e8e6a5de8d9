// Wiring, threads and life of one entry.
#include "catkinseam/server/entry.h"

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
/// A newcomer that cannot copy the key claims serves idempotent requests
/// after this long.
constexpr Duration KeySyncGrace = std::chrono::seconds(3);
constexpr Duration FlushTimeout = std::chrono::seconds(2);
constexpr int WorkerCallThreads = 8;

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

LogFollower::Options followerOptions(const Settings &Given) {
  return {Given.m_logTimeout, Given.m_logRetention};
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
      m_peers(Given,
              {[this](const PeerDatagram &Message, const Endpoint &From) {
                 onDatagram(Message, From);
               },
               [this](const PeerCall &Call) { return onCall(Call); }}),
      m_keys(
          m_clock, m_members,
          {[this](const PeerDatagram &Message) { m_peers.sendToAll(Message); },
           [this](Seat Place, const PeerDatagram &Message) {
             m_peers.send(Place, Message);
           },
           [this](Seat Place, const PeerCall &Call, Duration Timeout) {
             return m_peers.call(Place, Call, Timeout);
           }},
          {}),
      m_follower({m_clock, *m_log, m_writer, m_replica, m_members, m_peers,
                  // No request ever ran, so there is no claim to copy.
                  [this] { m_keys.syncWithoutPeers(); }},
                 followerOptions(Given)),
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
      m_started(m_clock.now()) {
  m_peers.open();
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
  m_peers.close();
}

void Entry::startThreads() {
  const auto Repeat = [this](Duration Interval, std::function<void()> Work) {
    m_tickers.push_back(std::make_unique<Ticker>(Interval, std::move(Work)));
  };
  Repeat(WriterTick, [this] { m_follower.append(); });
  m_writerTicker = m_tickers.back().get();
  Repeat(m_settings.m_logPollInterval, [this] { m_follower.read(); });
  Repeat(BusyBeatInterval, [this] { beat(); });
  Repeat(m_settings.m_instancesPollInterval, [this] { pollInstances(); });
  Repeat(UpkeepTick, [this] { upkeep(); });
  Repeat(BatchTick, [this] { m_batch.tick(); });
  Repeat(KeyTick, [this] { m_keys.tick(); });
  Repeat(RequestTick, [this] {
    m_requests.deliver(
        m_core.with([](RequestCore &Core) { return Core.tick(); }));
  });
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
  if (!m_follower.hasState()) {
    const std::string Fault = m_follower.fault();
    return "entry \"" + m_settings.m_name + "\" has no copy of the state" +
           (Fault.empty() ? "" : ": " + Fault);
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

void Entry::upkeep() {
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
  m_follower.maintain();
  updateGauges();
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
    m_peers.sendToAll(Filled);
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
    m_peers.send(Neediest, Loan);
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
  m_metrics.setGauge("catkinseam_key_claims",
                     static_cast<double>(m_keys.size()));
  m_metrics.setGauge("catkinseam_idle_upstream_connections",
                     static_cast<double>(m_pool.idle()));
  m_metrics.setGauge("catkinseam_spans_dropped",
                     static_cast<double>(m_spans.dropped()));
  m_metrics.setGauge("catkinseam_log_writable",
                     m_writer.isCircuitOpen() ? 0 : 1);
}

void Entry::onDatagram(const PeerDatagram &Message, const Endpoint &From) {
  if (const auto *Beat = std::get_if<Heartbeat>(&Message)) {
    const bool IsCurrent = m_members.with(
        [&](Membership &Members) { return Members.onHeartbeat(*Beat); });
    if (IsCurrent)
      m_peers.setAddress(Beat->m_seat, From);
  } else if (const auto *Claim = std::get_if<KeyClaim>(&Message)) {
    m_keys.onClaim(*Claim);
  } else if (const auto *Ack = std::get_if<KeyAck>(&Message)) {
    m_keys.onAck(*Ack);
  } else if (const auto *Loan = std::get_if<SlotLoan>(&Message)) {
    m_requests.deliver(m_core.with([&](RequestCore &Core) {
      Core.borrow(*Loan);
      return Core.tick();
    }));
  }
}

PeerAnswer Entry::onCall(const PeerCall &Call) {
  if (const auto *Pull = std::get_if<StatePull>(&Call)) {
    const bool HasNews =
        m_follower.hasState() && m_replica.nextOffset() > Pull->m_have;
    return HasNews ? PeerAnswer(m_replica.copy()) : PeerAnswer(NoAnswer{});
  }
  if (const auto *Sync = std::get_if<KeySyncPull>(&Call))
    return m_keys.syncAnswer(*Sync);
  if (const auto *Query = std::get_if<KeyQuery>(&Call))
    return m_keys.queryAnswer(*Query);
  return NoAnswer{};
}

} // namespace catkinseam
