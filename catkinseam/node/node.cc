// Wires one node together.
#include "catkinseam/node/node.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/base/hash.h"
#include "catkinseam/platform/operator_records.h"
#include "catkinseam/platform/worker_orders.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

/// What is known counts as up to date for so long after the last read.
constexpr Milliseconds Currency{1500};
constexpr Milliseconds OwnershipCheck{150};
constexpr Milliseconds CampaignTimeout{1500};
constexpr Milliseconds CampaignRetry{300};
/// The balancer asks once a second and looks away after two misses.
constexpr Milliseconds LookAwayTime{3300};
/// Records that come within this time are read in one call: each call has its
/// price, and a customer who asks for a state hardly notices the delay.
constexpr Milliseconds FollowerGather{100};
/// The owner must hear of new jobs sooner.
constexpr Milliseconds OwnerGather{12};
/// A node ends so long before it would be killed.
constexpr Milliseconds KillMargin{400};
constexpr Milliseconds QuietCheck{50};

Owner::Options ownerOptions(const NodeSettings &Values, std::uint64_t Epoch,
                            const std::string &Boot) {
  Owner::Options Made;
  Made.m_epoch = Epoch;
  Made.m_entry = Values.m_name;
  Made.m_boot = Boot;
  Scheduler::Options &Plan = Made.m_scheduler;
  Plan.m_longLease = Values.m_longestLease;
  Plan.m_lease = std::min(Plan.m_lease, Values.m_longestLease);
  constexpr Milliseconds LeaseMargin{500};
  Plan.m_heldLease = Values.m_longestLease + LeaseMargin;
  Plan.m_foreignLease = Values.m_longestLease + Made.m_authority + LeaseMargin;
  Plan.m_stopTime = Values.m_stopTime;
  // Customers may ask for so long; what is dropped later does no harm.
  Plan.m_memory = Values.m_jobMemory + Milliseconds(30000);
  return Made;
}

} // namespace

Node::Node(EventLoop &Loop, const NodeSettings &Values)
    : m_loop(Loop), m_settings(Values), m_boot(randomId()),
      m_store(Loop, Values.m_store, {}),
      m_jobsTail(Loop, m_store,
                 {.m_topic = LogTopic::Jobs, .m_gather = FollowerGather},
                 {[this](const StoredRecord &Each) { onJobRecord(Each); },
                  [this] { onJobsRead(); }, nullptr}),
      m_operatorTail(
          Loop, m_store,
          {.m_topic = LogTopic::Operator, .m_wait = Milliseconds(2000)},
          {[this](const StoredRecord &Each) { onOperatorRecord(Each); },
           nullptr, nullptr}),
      m_front(Loop, m_store, m_jobs, {}),
      m_ingress(m_front, m_metrics, Loop,
                {[this] { return m_config ? &*m_config : nullptr; },
                 [this] { return isCurrent(); }, [this] { return isReady(); }}),
      m_ownership(Loop.clock(), {}, Values.m_name), m_ownershipTimer(Loop),
      m_stopTimer(Loop) {}

Node::~Node() = default;

Result<void> Node::start() {
  HttpListener::Options Limits;
  // Half of the descriptors are kept for calls to workers and the store.
  Limits.m_maxConnections =
      static_cast<std::size_t>(m_settings.m_descriptors / 2);
  BOOST_LEAF_ASSIGN(m_callers,
                    HttpListener::open(m_loop, m_settings.m_callers, Limits,
                                       [this](const HttpRequest &Request,
                                              const HttpResponder &Respond) {
                                         m_ingress.onCall(Request, Respond);
                                       }));
  BOOST_LEAF_ASSIGN(
      m_readiness, HttpListener::open(m_loop, m_settings.m_readiness, {},
                                      [this](const HttpRequest &Request,
                                             const HttpResponder &Respond) {
                                        m_ingress.onReadiness(Request, Respond);
                                      }));
  BOOST_LEAF_ASSIGN(
      m_metricsListener,
      HttpListener::open(
          m_loop, m_settings.m_metrics, {},
          [this](const HttpRequest &, const HttpResponder &Respond) {
            Respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metricsText()});
          }));
  logInfo("node.started", {{"node", m_settings.m_name},
                           {"boot", m_boot},
                           {"data_centre", m_settings.m_dataCentre},
                           {"callers", toString(m_settings.m_callers)}});
  m_operatorTail.start();
  m_jobsTail.start();
  checkOwnership();
  return {};
}

std::string Node::metricsText() {
  m_metrics.setGauge("catkinseam_config_version",
                     m_config ? static_cast<double>(m_config->m_version) : 0);
  m_metrics.setGauge("catkinseam_jobs",
                     static_cast<double>(m_jobs.jobs().size()));
  m_metrics.setGauge("catkinseam_is_owner", m_owner ? 1 : 0);
  if (m_owner) {
    m_metrics.setGauge("catkinseam_live_jobs",
                       static_cast<double>(m_owner->scheduler().liveJobs()));
    m_metrics.setGauge(
        "catkinseam_waiting_tasks",
        static_cast<double>(m_owner->scheduler().waitingTasks()));
  }
  return m_metrics.text();
}

// --- What the store says.

void Node::onOperatorRecord(const StoredRecord &Record) {
  if (Record.m_record.m_key != OperatorConfigKey || !Record.m_record.m_value)
    return;
  auto Read =
      attempt([&] { return readOperatorConfig(*Record.m_record.m_value); });
  if (!Read) {
    logWarn("config.unreadable", {{"offset", std::to_string(Record.m_offset)},
                                  {"fault", Read.error().m_message}});
    return;
  }
  if (m_config && Read.value().m_version <= m_config->m_version)
    return;
  m_config = std::move(Read.value());
  const CallLimits &Limits = m_config->m_limits;
  m_callers->setLimits(Limits.m_headerBytes, Limits.m_bodyBytes,
                       Limits.m_idleTimeout);
  logInfo("config.in_force",
          {{"version", std::to_string(m_config->m_version)},
           {"routes", std::to_string(m_config->m_routes.size())}});
}

void Node::onJobRecord(const StoredRecord &Record) {
  const std::uint64_t Epoch = m_jobs.owner().m_epoch;
  const bool IsOwners = m_jobs.apply(Record.m_offset, Record.m_record.m_key,
                                     Record.m_record.m_value);
  if (IsOwners)
    m_ownership.onOwnerActivity();
  const OwnerRecord &Now = m_jobs.owner();
  if (Now.m_epoch > Epoch) {
    logInfo("owner.seen",
            {{"epoch", std::to_string(Now.m_epoch)}, {"node", Now.m_entry}});
    m_ownership.onOwnerChanged();
  }
  if (Now.m_isLeaving)
    m_ownership.onOwnerLeaving();
}

void Node::onJobsRead() {
  m_ownership.onRead(m_jobsTail.latency());
  if (m_claimed != 0)
    judgeCampaign();
}

bool Node::isCurrent() const {
  return m_jobsTail.isLoaded() &&
         m_loop.now() - m_jobsTail.lastRead() < Currency;
}

bool Node::isReady() const { return !m_isStopping && m_config && isCurrent(); }

// --- Ownership.

void Node::checkOwnership() {
  if (!m_owner && m_claimed == 0 && !m_isStopping && m_jobsTail.isLoaded() &&
      m_ownership.shouldCampaign()) {
    m_claimed = m_jobs.owner().m_epoch + 1;
    campaign();
  }
  m_ownershipTimer.start(OwnershipCheck, [this] { checkOwnership(); });
}

void Node::campaign() {
  logInfo("owner.campaign", {{"epoch", std::to_string(m_claimed)}});
  const OwnerRecord Mine{m_claimed, m_settings.m_name, m_boot, false};
  m_store.append(LogTopic::Jobs, {{OwnerKey, encode(Mine)}},
                 ProducerMark{OwnerProducer, m_claimed, 0}, CampaignTimeout,
                 [this](const AppendReply &Reply) { onCampaignAnswer(Reply); });
}

void Node::onCampaignAnswer(const AppendReply &Reply) {
  if (m_claimed == 0)
    return;
  if (Reply.m_outcome == LogOutcome::Fenced ||
      Reply.m_outcome == LogOutcome::OutOfOrder) {
    logInfo("owner.campaign_lost", {{"epoch", std::to_string(m_claimed)}});
    m_claimed = 0;
    return m_ownership.onCampaignFailed();
  }
  // Whatever was answered, the record read back tells; without it, try again.
  if (Reply.m_outcome != LogOutcome::Done)
    m_loop.schedule(CampaignRetry, [this] {
      if (m_claimed != 0)
        campaign();
    });
}

void Node::judgeCampaign() {
  const OwnerRecord &Newest = m_jobs.owner();
  if (Newest.m_epoch < m_claimed)
    return;
  const std::uint64_t Claimed = m_claimed;
  m_claimed = 0;
  if (Newest.m_epoch == Claimed && Newest.m_boot == m_boot)
    return becomeOwner(Claimed);
  logInfo("owner.campaign_lost",
          {{"epoch", std::to_string(Claimed)}, {"to", Newest.m_entry}});
  m_ownership.onCampaignFailed();
}

void Node::becomeOwner(std::uint64_t Epoch) {
  m_jobsTail.setGather(OwnerGather);
  m_owner = std::make_unique<Owner>(
      m_loop, m_store, m_jobs,
      [this](const WorkerReport &Report) -> std::unique_ptr<WorkerLink> {
        return std::make_unique<WorkerOrders>(m_loop, Report.m_address,
                                              Report.m_id);
      },
      readWorkerEntry, ownerOptions(m_settings, Epoch, m_boot),
      [this] { m_loop.post([this] { onDeposed(); }); });
  m_owner->start();
}

void Node::onDeposed() {
  m_owner.reset();
  m_jobsTail.setGather(FollowerGather);
  m_ownership.onOwnerChanged();
  m_ownership.onCampaignFailed();
}

// --- Stopping.

void Node::stop() {
  if (m_isStopping)
    return;
  m_isStopping = true;
  m_stopBegan = m_loop.now();
  logInfo("node.stopping",
          {{"node", m_settings.m_name}, {"is_owner", m_owner ? "1" : "0"}});
  m_callers->closeAfterAnswers();
  if (m_owner)
    m_owner->leave([this] { m_loop.post([this] { m_owner.reset(); }); });
  finishWhenQuiet();
}

void Node::finishWhenQuiet() {
  const Duration Since = m_loop.now() - m_stopBegan;
  const bool IsQuiet = Since >= LookAwayTime && m_callers->inProgress() == 0;
  if (IsQuiet || Since >= m_settings.m_grace - KillMargin) {
    logInfo("node.stopped",
            {{"node", m_settings.m_name},
             {"in_progress", std::to_string(m_callers->inProgress())}});
    return m_loop.stop();
  }
  m_stopTimer.start(QuietCheck, [this] { finishWhenQuiet(); });
}

void Node::reload(const NodeSettings &Values) {
  m_settings.m_grace = Values.m_grace;
  setLogLevel(Values.m_logLevel);
  logInfo("node.reloaded",
          {{"node", m_settings.m_name}, {"log_level", Values.m_logLevel}});
}

} // namespace catkinseam
