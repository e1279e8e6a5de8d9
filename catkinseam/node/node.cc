// Assembles the components of a node.
#include "catkinseam/node/node.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/platform/http_worker_link.h"
#include "catkinseam/platform/operator_records.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

/// Time after which the load balancer sends no more calls to a node that is not
/// ready: it polls readiness once a second and removes a node after two failed
/// polls.
constexpr Milliseconds LoadBalancerRemovalTime{3300};
/// A node exits this long before the end of its grace period, when it would be
/// killed.
constexpr Milliseconds ForcedExitMargin{400};
/// The absence of a route is reported only from a configuration that was read
/// to its end within this time; reads wait for 2 s at the log.
constexpr Milliseconds MaxConfigAge{2500};
/// Shares of the file descriptors. The rest is reserved for calls to workers
/// and the store.
constexpr std::int64_t CallerShare = 2;
constexpr std::int64_t PeerShare = 4;
constexpr std::int64_t ProbeShare = 32;
/// Share of the memory for requests.
constexpr std::int64_t RequestMemoryShare = 4;
constexpr std::int64_t BytesPerMb = 1000000;
/// Interval of the check for requests in progress during a stop.
constexpr Milliseconds DrainPollInterval{50};

AppendLimits appendLimits(const NodeSettings &Values) {
  return {static_cast<std::size_t>(Values.m_storeRecordBytes),
          static_cast<std::size_t>(Values.m_storeAppendBytes)};
}

JobService::Options jobServiceOptions(const NodeSettings &Values) {
  JobService::Options Opts;
  Opts.m_appendLimits = appendLimits(Values);
  return Opts;
}

Evacuations::Options evacuationOptions(const NodeSettings &Values) {
  // Time for a start to reach its worker.
  constexpr Milliseconds StartMargin{500};
  const Milliseconds Bound = toMilliseconds(Values.m_evacuationBound);
  if (Bound == Milliseconds::zero())
    return {};
  return {std::max(Bound - StartMargin, StartMargin)};
}

Candidate::Options candidateOptions(const NodeSettings &Values,
                                    Metrics &Counters) {
  Candidate::Options Opts;
  Opts.m_node = Values.m_name;
  Opts.m_bootId = randomId();
  if (Values.m_peerEndpoint.m_port != 0)
    Opts.m_peer = toString(Values.m_peerEndpoint);
  Opts.m_ownership.m_processorShare = Values.m_processorShare;
  Opts.m_owner.m_appendLimits = appendLimits(Values);
  Scheduler::Options &Scheduling = Opts.m_owner.m_scheduler;
  const Milliseconds LongestLease = toMilliseconds(Values.m_maxLeaseDuration);
  Scheduling.m_storeOutageLease = LongestLease;
  Scheduling.m_maxReservations =
      static_cast<std::size_t>(Values.m_maxReservations);
  Scheduling.m_lease = std::min(Scheduling.m_lease, LongestLease);
  // Safety margin of leases that an earlier owner granted.
  constexpr Milliseconds LeaseMargin{500};
  Scheduling.m_previousOwnerLease = maxLocalLease(LongestLease) + LeaseMargin;
  Scheduling.m_takeoverLease =
      Scheduling.m_previousOwnerLease + Opts.m_owner.m_authorityTimeout;
  // Customers may look up a job for m_jobRetention after its end. The margin of
  // 30 s only delays the deletion.
  Scheduling.m_jobRetention =
      toMilliseconds(Values.m_jobRetention) + Milliseconds(30000);
  Scheduling.m_onJobFailed = [&Counters](const char *Reason) {
    Counters.countFailedJob(Reason);
  };
  return Opts;
}

} // namespace

Node::Node(EventLoop &Loop, const NodeSettings &Values)
    : m_loop(Loop), m_settings(Values),
      m_store(Loop, Values.m_storeEndpoint, {}), m_recordRelay(Loop),
      m_relayedStore(Loop, m_store, m_recordRelay,
                     {[this] { return ownerPeer(); },
                      [this] { return m_candidate.logLatency(); }},
                     {}),
      m_evacuations(Loop.clock(), evacuationOptions(Values)),
      m_candidate(
          Loop, m_relayedStore, m_ledger, m_evacuations,
          [&Loop](const WorkerRegistration &Registration)
              -> std::unique_ptr<WorkerLink> {
            return std::make_unique<HttpWorkerLink>(
                Loop, Registration.m_address, Registration.m_id);
          },
          parseWorkerRegistration, candidateOptions(Values, m_metrics)),
      m_operatorReader(
          Loop, m_store,
          {.m_topic = LogTopic::Operator, .m_wait = Milliseconds(2000)},
          {[this](const StoredRecord &Record) { onOperatorRecord(Record); },
           [this] { m_evacuations.onRead(m_operatorReader.caughtUpAt()); },
           [this](const std::set<std::string> &Keys) {
             onOperatorRecordsLoaded(Keys);
           }}),
      m_jobService(Loop, m_relayedStore, m_ledger, jobServiceOptions(Values)),
      m_jobLookup(m_jobService, {[this] { return m_candidate.hasCaughtUp(); },
                                 [this](std::function<void(bool)> Done) {
                                   m_candidate.cover(std::move(Done));
                                 }}),
      m_ingress(m_jobService, m_jobLookup, m_metrics, Loop,
                {[this] { return m_config ? &*m_config : nullptr; },
                 [this] {
                   return m_loop.now() - m_operatorReader.caughtUpAt() <
                          MaxConfigAge;
                 },
                 [this] { return m_candidate.isCurrent(); },
                 [this] { return m_candidate.ledgerAge(); },
                 [this] { return isReady(); }}),
      m_requestMemory(std::make_shared<RequestMemory>(static_cast<std::size_t>(
          Values.m_memoryMb * BytesPerMb / RequestMemoryShare))),
      m_stopTimer(Loop) {}

Node::~Node() = default;

Result<void> Node::start() {
  const HttpListener::Options Probes = listenerOptions(ProbeShare);
  BOOST_LEAF_ASSIGN(m_callerListener,
                    HttpListener::open(m_loop, m_settings.m_callerEndpoint,
                                       listenerOptions(CallerShare),
                                       [this](const HttpRequest &Request,
                                              const HttpResponder &Respond) {
                                         m_ingress.onCall(Request, Respond);
                                       }));
  BOOST_LEAF_ASSIGN(
      m_readinessListener,
      HttpListener::open(
          m_loop, m_settings.m_readinessEndpoint, Probes,
          [this](const HttpRequest &Request, const HttpResponder &Respond) {
            m_ingress.onReadiness(Request, Respond);
          }));
  BOOST_LEAF_ASSIGN(
      m_metricsListener,
      HttpListener::open(
          m_loop, m_settings.m_metricsEndpoint, Probes,
          [this](const HttpRequest &, const HttpResponder &Respond) {
            Respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metricsText()});
          }));
  BOOST_LEAF_CHECK(openPeerListener());
  logInfo("node.started", {{"node", m_settings.m_name},
                           {"data_centre", m_settings.m_dataCentre},
                           {"callers", toString(m_settings.m_callerEndpoint)}});
  m_operatorReader.start();
  m_candidate.start();
  return {};
}

HttpListener::Options Node::listenerOptions(std::int64_t Share) const {
  HttpListener::Options Opts;
  Opts.m_maxConnections =
      static_cast<std::size_t>(m_settings.m_descriptors / Share);
  Opts.m_budget = m_requestMemory;
  return Opts;
}

Result<void> Node::openPeerListener() {
  if (m_settings.m_peerEndpoint.m_port == 0)
    return {};
  HttpListener::Options Limits = listenerOptions(PeerShare);
  Limits.m_bodyBytes =
      static_cast<std::uint64_t>(m_settings.m_storeAppendBytes) * 2;
  BOOST_LEAF_ASSIGN(
      m_peerListener,
      HttpListener::open(
          m_loop, m_settings.m_peerEndpoint, Limits,
          [this](const HttpRequest &Request, const HttpResponder &Respond) {
            handleRelayedRecords(Request, Respond, m_jobService);
          }));
  return {};
}

std::optional<Endpoint> Node::ownerPeer() const {
  const OwnerRecord &Owner = m_ledger.owner();
  if (m_candidate.owner() || Owner.m_node == m_settings.m_name ||
      Owner.m_peer.empty())
    return std::nullopt;
  auto Parsed = attempt([&] { return parseEndpoint(Owner.m_peer); });
  return Parsed ? std::optional<Endpoint>(Parsed.value()) : std::nullopt;
}

std::string Node::metricsText() {
  m_metrics.setGauge("catkinseam_config_version",
                     m_config ? static_cast<double>(m_config->m_version) : 0);
  m_metrics.setGauge("catkinseam_jobs",
                     static_cast<double>(m_ledger.jobs().size()));
  m_metrics.setGauge("catkinseam_is_owner", m_candidate.owner() ? 1 : 0);
  m_metrics.setGauge("catkinseam_evacuated_data_centres",
                     static_cast<double>(m_evacuations.requests().size()));
  if (const Owner *Current = m_candidate.owner()) {
    m_metrics.setGauge("catkinseam_live_jobs",
                       static_cast<double>(Current->scheduler().liveJobs()));
    m_metrics.setGauge(
        "catkinseam_waiting_tasks",
        static_cast<double>(Current->scheduler().summarize().m_waitingTasks));
    const Scheduler::Absences Away = Current->scheduler().absences();
    m_metrics.setGauge("catkinseam_services_away",
                       static_cast<double>(Away.m_tasks));
    m_metrics.setGauge("catkinseam_longest_service_gap_seconds",
                       std::chrono::duration<double>(Away.m_longest).count());
    std::size_t RunsLeft = 0;
    for (const std::string &Each : m_evacuations.dataCentres())
      RunsLeft += Current->scheduler().runsIn(Each).m_runs;
    m_metrics.setGauge("catkinseam_evacuation_runs_left",
                       static_cast<double>(RunsLeft));
  }
  return m_metrics.text();
}

// --- Operator configuration.

void Node::onOperatorRecord(const StoredRecord &Record) {
  const KeyedRecord &Given = Record.m_record;
  if (const auto DataCentre = parseEvacuationKey(Given.m_key)) {
    if (Given.m_value)
      m_evacuations.request(*DataCentre);
    else
      m_evacuations.withdraw(*DataCentre);
  } else if (Given.m_key == OperatorConfigKey && Given.m_value) {
    onOperatorConfig(Record);
  }
}

void Node::onOperatorRecordsLoaded(const std::set<std::string> &Keys) {
  std::set<std::string> Evacuated;
  for (const std::string &Each : Keys)
    if (const auto DataCentre = parseEvacuationKey(Each))
      Evacuated.insert(*DataCentre);
  m_evacuations.retainOnly(Evacuated);
  m_evacuations.onRead(m_operatorReader.caughtUpAt());
}

void Node::onOperatorConfig(const StoredRecord &Record) {
  auto Read =
      attempt([&] { return parseOperatorConfig(*Record.m_record.m_value); });
  if (!Read) {
    logWarn("config.unreadable", {{"offset", std::to_string(Record.m_offset)},
                                  {"fault", Read.error().m_message}});
    return;
  }
  if (m_config && Read.value().m_version <= m_config->m_version)
    return;
  m_config = std::move(Read.value());
  const CallLimits &Limits = m_config->m_limits;
  m_callerListener->setLimits(Limits.m_headerBytes, Limits.m_bodyBytes,
                              Limits.m_idleTimeout);
  logInfo("config.in_force",
          {{"version", std::to_string(m_config->m_version)},
           {"routes", std::to_string(m_config->m_routes.size())}});
}

bool Node::isReady() const {
  return !m_isStopping && m_config && m_candidate.isCurrent();
}

// --- Stopping.

void Node::stop() {
  if (m_isStopping)
    return;
  m_isStopping = true;
  m_stopStartedAt = m_loop.now();
  logInfo("node.stopping", {{"node", m_settings.m_name},
                            {"is_owner", m_candidate.owner() ? "1" : "0"}});
  m_callerListener->closeAfterResponses();
  m_candidate.leave();
  stopWhenDrained();
}

void Node::stopWhenDrained() {
  const Duration Since = m_loop.now() - m_stopStartedAt;
  const bool IsDrained = Since >= LoadBalancerRemovalTime &&
                         m_callerListener->requestsInProgress() == 0;
  if (IsDrained || Since >= toMilliseconds(m_settings.m_shutdownGracePeriod) -
                                ForcedExitMargin) {
    logInfo("node.stopped",
            {{"node", m_settings.m_name},
             {"in_progress",
              std::to_string(m_callerListener->requestsInProgress())}});
    return m_loop.stop();
  }
  m_stopTimer.start(DrainPollInterval, [this] { stopWhenDrained(); });
}

void Node::reload(const NodeSettings &Values) {
  m_settings.m_shutdownGracePeriod = Values.m_shutdownGracePeriod;
  setLogLevel(Values.m_logLevel);
  logInfo("node.reloaded",
          {{"node", m_settings.m_name}, {"log_level", Values.m_logLevel}});
}

} // namespace catkinseam
