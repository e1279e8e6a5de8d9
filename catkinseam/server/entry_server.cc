// Construction, threads and shutdown of one entry.
#include "catkinseam/server/entry_server.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <set>

namespace catkinseam {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration BusyHeartbeatInterval = std::chrono::milliseconds(40);
constexpr Duration RequestTickInterval = std::chrono::milliseconds(5);
constexpr Duration LogAppendInterval = std::chrono::milliseconds(5);
constexpr Duration BatchTickInterval = std::chrono::milliseconds(50);
constexpr Duration KeyTickInterval = std::chrono::milliseconds(100);
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(100);
/// A new entry that cannot copy the key claims becomes ready after this time,
/// to serve idempotent requests.
constexpr Duration KeySyncTimeout = std::chrono::seconds(3);
constexpr Duration LogFlushTimeout = std::chrono::seconds(2);
constexpr int WorkerCallThreads = 8;

std::optional<Endpoint> otlpCollector(const Settings &EntrySettings) {
  if (EntrySettings.m_otlpEndpoint.empty())
    return std::nullopt;
  return attempt([&] { return parseEndpoint(EntrySettings.m_otlpEndpoint); })
      .value();
}

Membership::Options membershipOptions(const Settings &EntrySettings,
                                      const std::string &BootId) {
  Membership::Options Opts;
  Opts.m_seat = static_cast<Seat>(EntrySettings.m_seat);
  Opts.m_seats = static_cast<Seat>(EntrySettings.m_peerEndpoints.size());
  Opts.m_bootId = BootId;
  Opts.m_name = EntrySettings.m_name;
  Opts.m_dataCentre = EntrySettings.m_dataCentre;
  return Opts;
}

RequestDispatcher::Options requestCoreOptions(const Settings &EntrySettings) {
  RequestDispatcher::Options Opts;
  Opts.m_maxWaitingRequests =
      static_cast<std::size_t>(EntrySettings.m_requestsInFlight);
  Opts.m_connectionsPerWorker =
      static_cast<std::uint32_t>(EntrySettings.m_connectionsPerWorker);
  return Opts;
}

RequestService::Options requestServiceOptions(const Settings &EntrySettings) {
  RequestService::Options Opts;
  Opts.m_entryName = EntrySettings.m_name;
  Opts.m_maxInFlight =
      static_cast<std::size_t>(EntrySettings.m_requestsInFlight);
  Opts.m_tracedPerThousand =
      static_cast<int>(EntrySettings.m_tracedPerThousand);
  return Opts;
}

BatchDriver::Options batchDriverOptions(const Settings &EntrySettings) {
  BatchDriver::Options Opts;
  Opts.m_leaseDuration = EntrySettings.m_leaseDuration;
  Opts.m_idleSyncInterval = EntrySettings.m_leaseRenewInterval;
  return Opts;
}

AdminApi::Options adminApiOptions(const Settings &EntrySettings) {
  AdminApi::Options Opts;
  Opts.m_token = EntrySettings.m_adminToken;
  Opts.m_tasksPerJob = EntrySettings.m_tasksPerJob;
  return Opts;
}

LogFollower::Options logFollowerOptions(const Settings &EntrySettings) {
  return {EntrySettings.m_logTimeout, EntrySettings.m_logRetention};
}

UpstreamPool::Options upstreamPoolOptions(const Settings &EntrySettings) {
  UpstreamPool::Options Opts;
  Opts.m_idlePerWorker =
      static_cast<std::size_t>(EntrySettings.m_connectionsPerWorker);
  return Opts;
}

HttpServer::Options httpServerOptions(const Settings &EntrySettings,
                                      const Endpoint &Address,
                                      std::int64_t MaxConnections,
                                      std::shared_ptr<ByteBudget> BodyBudget) {
  HttpServer::Options Opts;
  Opts.m_listen = Address;
  Opts.m_maxConnections = static_cast<std::size_t>(MaxConnections);
  Opts.m_maxHeaderBytes = static_cast<std::size_t>(EntrySettings.m_headerBytes);
  Opts.m_maxBodyBytes = static_cast<std::size_t>(EntrySettings.m_bodyBytes);
  Opts.m_bodyBudget = std::move(BodyBudget);
  Opts.m_readTimeout = EntrySettings.m_readTimeout;
  Opts.m_writeTimeout = EntrySettings.m_writeTimeout;
  Opts.m_idleTimeout = EntrySettings.m_idleTimeout;
  return Opts;
}

} // namespace

EntryServer::EntryServer(const Settings &EntrySettings)
    : m_settings(EntrySettings), m_bootId(randomId()),
      m_spanExporter(EntrySettings.m_name, otlpCollector(EntrySettings)),
      m_logService(makeHttpLog(EntrySettings.m_logEndpoint)),
      m_instanceList(
          makeHttpInstanceList(EntrySettings.m_instanceListEndpoint)),
      m_workerService(makeHttpWorkerService()),
      m_logWriter(m_clock, m_bootId, {}), m_replica(m_logWriter),
      m_membership(m_clock, membershipOptions(EntrySettings, m_bootId)),
      m_requestDispatcher(m_clock, makeSlotSharing(EntrySettings.m_slotSharing),
                          requestCoreOptions(EntrySettings)),
      m_upstreamPool(m_clock, upstreamPoolOptions(EntrySettings)),
      m_peerMessenger(
          EntrySettings,
          {[this](const PeerDatagram &Message, const Endpoint &From) {
             onDatagram(Message, From);
           },
           [this](const PeerRequest &Request) { return onRequest(Request); }}),
      m_keyService(
          m_clock, m_membership,
          {[this](const PeerDatagram &Message) {
             m_peerMessenger.sendToAll(Message);
           },
           [this](Seat PeerSeat, const PeerDatagram &Message) {
             m_peerMessenger.send(PeerSeat, Message);
           },
           [this](Seat PeerSeat, const PeerRequest &Request, Duration Timeout) {
             return m_peerMessenger.call(PeerSeat, Request, Timeout);
           }},
          {}),
      m_logFollower({m_clock, *m_logService, m_logWriter, m_replica,
                     m_membership, m_peerMessenger,
                     // In a new installation no request has run, so there are
                     // no claims to copy.
                     [this] { m_keyService.syncWithoutPeers(); }},
                    logFollowerOptions(EntrySettings)),
      m_requestService({m_clock, m_requestDispatcher, m_keyService,
                        m_upstreamPool, m_metrics, m_spanExporter},
                       requestServiceOptions(EntrySettings)),
      m_batchDriver({m_clock, m_replica, m_logWriter, m_membership,
                     *m_workerService, m_metrics,
                     [this](std::function<void()> Work) {
                       return m_workerCalls.tryRun(std::move(Work));
                     }},
                    batchDriverOptions(EntrySettings)),
      m_workerCalls(WorkerCallThreads),
      m_adminApi({m_clock, m_replica, m_logWriter, m_membership,
                  m_requestDispatcher, m_batchDriver, m_metrics,
                  [this] { return notReadyReason(); },
                  [this] { m_writerTicker->wake(); }},
                 adminApiOptions(EntrySettings)),
      m_startedAt(m_clock.now()) {
  m_peerMessenger.open();
  startThreads();
  const auto BodyBudget = std::make_shared<ByteBudget>(
      static_cast<std::size_t>(EntrySettings.m_unfinishedBodyBytes));
  m_adminServer = std::make_unique<HttpServer>(
      httpServerOptions(EntrySettings, EntrySettings.m_adminEndpoint,
                        EntrySettings.m_adminConnections, BodyBudget),
      [this](const HttpRequest &Request) {
        return m_adminApi.handle(Request);
      });
  m_callerServer = std::make_unique<HttpServer>(
      httpServerOptions(EntrySettings, EntrySettings.m_callerEndpoint,
                        EntrySettings.m_callerConnections, BodyBudget),
      [this](const HttpRequest &Request) {
        return m_requestService.handle(Request);
      });
  logInfo("entry.started",
          {{"entry", EntrySettings.m_name},
           {"boot", m_bootId},
           {"callers", toString(EntrySettings.m_callerEndpoint)},
           {"admin", toString(EntrySettings.m_adminEndpoint)}});
}

EntryServer::~EntryServer() {
  for (const auto &Item : m_tickers)
    Item->stop();
  m_peerMessenger.close();
}

void EntryServer::startThreads() {
  const auto StartTicker = [this](Duration Interval,
                                  std::function<void()> Work) {
    m_tickers.push_back(std::make_unique<Ticker>(Interval, std::move(Work)));
  };
  StartTicker(LogAppendInterval, [this] { m_logFollower.append(); });
  m_writerTicker = m_tickers.back().get();
  StartTicker(m_settings.m_logPollInterval, [this] { m_logFollower.read(); });
  StartTicker(BusyHeartbeatInterval, [this] { sendHeartbeat(); });
  StartTicker(m_settings.m_instancesPollInterval, [this] { pollInstances(); });
  StartTicker(MaintenanceInterval, [this] { runMaintenance(); });
  StartTicker(BatchTickInterval, [this] { m_batchDriver.tick(); });
  StartTicker(KeyTickInterval, [this] { m_keyService.tick(); });
  StartTicker(RequestTickInterval, [this] {
    m_requestService.deliver(m_requestDispatcher.with(
        [](RequestDispatcher &Dispatcher) { return Dispatcher.tick(); }));
  });
}

void EntryServer::stop() {
  logInfo("entry.draining", {{"entry", m_settings.m_name}});
  m_isDraining = true;
  m_membership.with(
      [](Membership &Members) { Members.setState(EntryState::Draining); });
  // Keep serving requests while the load balancer removes this entry.
  m_replica.waitFor([](const ReplicatedState &) { return false; },
                    m_settings.m_drainWait);
  // Close each connection after its next response, so that no connection is
  // closed with a request in flight.
  m_callerServer->closeAfterResponses();
  m_replica.waitFor([](const ReplicatedState &) { return false; },
                    m_settings.m_drainWait);
  m_callerServer->stop();
  m_batchDriver.drain();
  const TimePoint End = m_clock.now() + LogFlushTimeout;
  while (m_logWriter.queued() > 0 && m_clock.now() < End)
    m_replica.waitFor([](const ReplicatedState &) { return false; },
                      LogAppendInterval);
  m_adminServer->stop();
  logInfo("entry.stopped", {{"entry", m_settings.m_name}});
}

std::string EntryServer::notReadyReason() const {
  if (m_isDraining)
    return "entry \"" + m_settings.m_name + "\" is stopping";
  if (!m_logFollower.hasState()) {
    const std::string ReadError = m_logFollower.lastReadError();
    return "entry \"" + m_settings.m_name + "\" has no copy of the state" +
           (ReadError.empty() ? "" : ": " + ReadError);
  }
  if (m_membership.with(
          [](const Membership &Members) { return Members.isSuperseded(); }))
    return "another process holds the seat of entry \"" + m_settings.m_name +
           "\"";
  const bool IsSyncTimeoutOver = m_clock.now() - m_startedAt > KeySyncTimeout;
  if (!m_keyService.isSynced() && !IsSyncTimeoutOver)
    return "entry \"" + m_settings.m_name + "\" is copying key claims";
  return "";
}

void EntryServer::runMaintenance() {
  if (!m_isDraining) {
    const bool IsReady = notReadyReason().empty();
    m_membership.with([&](Membership &Members) {
      if (IsReady && Members.state() == EntryState::Joining) {
        logInfo("entry.ready", {{"entry", m_settings.m_name}});
        Members.setState(EntryState::Ready);
      }
    });
  }
  refreshView();
  m_logFollower.maintainSnapshots();
  updateGauges();
}

void EntryServer::sendHeartbeat() {
  const auto [Waiting, InFlight] =
      m_requestDispatcher.with([](const RequestDispatcher &Dispatcher) {
        return std::pair(Dispatcher.waitingShortRequests(),
                         Dispatcher.needsPeerInFlight()
                             ? Dispatcher.inFlight()
                             : std::map<std::string, std::uint16_t>());
      });
  const std::vector<std::string> Unreachable =
      m_batchDriver.unreachableWorkers();
  const auto [Offset, Version] =
      m_replica.read([](const ReplicatedState &Shared) {
        return std::pair(Shared.nextOffset(), Shared.config().version());
      });
  std::vector<std::string> Leaving;
  {
    const std::lock_guard Lock(m_mutex);
    for (const Instance &Listed : m_instances)
      if (Listed.m_isLeaving)
        Leaving.push_back(Listed.m_name);
  }
  const bool IsBusy = Waiting > 0 || !InFlight.empty();
  const std::optional<Heartbeat> Next =
      m_membership.with([&](Membership &Members) -> std::optional<Heartbeat> {
        if (!Members.isHeartbeatDue(IsBusy ? BusyHeartbeatInterval
                                           : HeartbeatInterval))
          return std::nullopt;
        return Members.nextHeartbeat();
      });
  if (Next) {
    Heartbeat Outgoing = *Next;
    Outgoing.m_appliedOffset = Offset;
    Outgoing.m_configVersion = Version;
    Outgoing.m_waiting = Waiting;
    Outgoing.m_inFlight = InFlight;
    Outgoing.m_leaving = Leaving;
    Outgoing.m_unreachable = Unreachable;
    m_peerMessenger.sendToAll(Outgoing);
  }
  lendSlots();
}

void EntryServer::lendSlots() {
  std::map<std::string, std::uint32_t> PeerInFlight;
  std::vector<Seat> Ready;
  Seat MostLoadedSeat = 0;
  std::uint32_t MostWaiting = 0;
  m_membership.with([&](const Membership &Members) {
    Ready = Members.readySeats();
    if (std::find(Ready.begin(), Ready.end(), Members.seat()) == Ready.end())
      Ready.push_back(Members.seat()); // A draining entry takes part too.
    std::sort(Ready.begin(), Ready.end());
    for (const auto &[PeerSeat, Peer] : Members.peers()) {
      if (std::find(Ready.begin(), Ready.end(), PeerSeat) == Ready.end())
        continue;
      for (const auto &[Worker, Count] : Peer.m_lastHeartbeat.m_inFlight)
        PeerInFlight[Worker] += Count;
      if (Peer.m_lastHeartbeat.m_waiting > MostWaiting) {
        MostWaiting = Peer.m_lastHeartbeat.m_waiting;
        MostLoadedSeat = PeerSeat;
      }
    }
  });
  const Seat OwnSeat = static_cast<Seat>(m_settings.m_seat);
  const SlotLoan Loan =
      m_requestDispatcher.with([&](RequestDispatcher &Dispatcher) {
        Dispatcher.setPeers(OwnSeat, Ready, PeerInFlight);
        return Dispatcher.lend(MostWaiting);
      });
  if (!Loan.m_slots.empty())
    m_peerMessenger.send(MostLoadedSeat, Loan);
}

void EntryServer::pollInstances() {
  const Outcome<std::vector<Instance>> Fetched = attempt(
      [this] { return m_instanceList->fetch(m_settings.m_logTimeout); });
  if (!Fetched)
    return; // Keep using the previous list.
  m_batchDriver.setInstances(Fetched.value());
  {
    const std::lock_guard Lock(m_mutex);
    m_instances = Fetched.value();
    m_isViewOutdated = true;
  }
  refreshView();
}

void EntryServer::refreshView() {
  std::set<std::string> Leaving =
      m_membership.with([](const Membership &Members) {
        std::set<std::string> LeavingOnPeers;
        for (const auto &[PeerSeat, Peer] : Members.peers())
          LeavingOnPeers.insert(Peer.m_lastHeartbeat.m_leaving.begin(),
                                Peer.m_lastHeartbeat.m_leaving.end());
        return LeavingOnPeers;
      });
  const std::lock_guard Lock(m_mutex);
  const std::uint64_t Version = m_replica.read(
      [](const ReplicatedState &Shared) { return Shared.config().version(); });
  for (const Instance &Listed : m_instances)
    if (Listed.m_isLeaving)
      Leaving.insert(Listed.m_name);
  if (m_isViewOutdated || Version != m_viewVersion) {
    auto View = std::make_shared<RequestView>();
    std::map<std::string, std::uint32_t> Slots;
    double LongRequestShare = 0;
    double RetryPercent = 0;
    m_replica.read([&](const ReplicatedState &Shared) {
      const ConfigContent &Content = Shared.config().content();
      View->m_kinds = readKinds(Content);
      View->m_configVersion = Shared.config().version();
      constexpr std::int64_t DefaultLongPercent = 50;
      constexpr std::int64_t DefaultRetryPercent = 10;
      LongRequestShare =
          static_cast<double>(getNumber(Content, "request/long_slots_percent",
                                        DefaultLongPercent)) /
          100;
      RetryPercent = static_cast<double>(
          getNumber(Content, "request/retry_percent", DefaultRetryPercent));
      for (const Instance &Listed : m_instances) {
        View->m_services[Listed.m_name] = Listed.m_service;
        const WorkerRow *Row = Shared.worker(Listed.m_name);
        if (Row != nullptr && Row->m_slots > 0)
          Slots[Listed.m_name] = Row->m_slots;
      }
    });
    m_viewVersion = View->m_configVersion;
    m_isViewOutdated = false;
    m_requestService.setView(std::move(View));
    m_requestDispatcher.with([&](RequestDispatcher &Dispatcher) {
      Dispatcher.setWorkers(Slots);
      Dispatcher.setMaxLongShare(LongRequestShare);
      Dispatcher.setRetryPercent(RetryPercent);
    });
  }
  m_requestDispatcher.with(
      [&](RequestDispatcher &Dispatcher) { Dispatcher.setLeaving(Leaving); });
}

void EntryServer::updateGauges() {
  const auto [Version, Offset, Workers] =
      m_replica.read([](const ReplicatedState &Shared) {
        return std::tuple(Shared.config().version(), Shared.nextOffset(),
                          Shared.workers().size());
      });
  m_metrics.setGauge("catkinseam_config_version", static_cast<double>(Version));
  m_metrics.setGauge("catkinseam_log_next_offset", static_cast<double>(Offset));
  m_metrics.setGauge("catkinseam_workers", static_cast<double>(Workers));
  m_metrics.setGauge("catkinseam_requests_in_flight",
                     static_cast<double>(m_requestService.inFlight()));
  m_metrics.setGauge("catkinseam_key_claims",
                     static_cast<double>(m_keyService.size()));
  m_metrics.setGauge("catkinseam_idle_upstream_connections",
                     static_cast<double>(m_upstreamPool.idle()));
  m_metrics.setGauge("catkinseam_spans_dropped",
                     static_cast<double>(m_spanExporter.dropped()));
  m_metrics.setGauge("catkinseam_log_writable",
                     m_logWriter.isCircuitOpen() ? 0 : 1);
}

void EntryServer::onDatagram(const PeerDatagram &Message,
                             const Endpoint &From) {
  if (const auto *Received = std::get_if<Heartbeat>(&Message)) {
    const bool IsCurrent = m_membership.with(
        [&](Membership &Members) { return Members.onHeartbeat(*Received); });
    if (IsCurrent)
      m_peerMessenger.setAddress(Received->m_seat, From);
  } else if (const auto *Claim = std::get_if<KeyClaim>(&Message)) {
    m_keyService.onClaim(*Claim);
  } else if (const auto *Ack = std::get_if<KeyAck>(&Message)) {
    m_keyService.onAck(*Ack);
  } else if (const auto *Loan = std::get_if<SlotLoan>(&Message)) {
    m_requestService.deliver(
        m_requestDispatcher.with([&](RequestDispatcher &Dispatcher) {
          Dispatcher.borrow(*Loan);
          return Dispatcher.tick();
        }));
  }
}

PeerResponse EntryServer::onRequest(const PeerRequest &Request) {
  if (const auto *CopyRequest = std::get_if<StateCopyRequest>(&Request)) {
    const bool IsAhead = m_logFollower.hasState() &&
                         m_replica.nextOffset() > CopyRequest->m_nextOffset;
    return IsAhead ? PeerResponse(m_replica.copy())
                   : PeerResponse(EmptyResponse{});
  }
  if (const auto *SyncRequest = std::get_if<KeySyncRequest>(&Request))
    return m_keyService.onSyncRequest(*SyncRequest);
  if (const auto *Query = std::get_if<KeyQuery>(&Request))
    return m_keyService.onQuery(*Query);
  return EmptyResponse{};
}

} // namespace catkinseam
