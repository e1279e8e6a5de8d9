// The owner: looks at workers, stores decisions, sends orders.
#include "catkinseam/ownership/owner.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

const char *const OwnerProducer = "owner";

Owner::Owner(Runtime &Host, KeyedLog &Log, Ledger &Jobs, LinkMaker Links,
             EntryReader Entries, const Options &Values,
             std::function<bool()> IsCurrent, std::function<void()> OnDeposed)
    : m_host(Host), m_log(Log), m_jobs(Jobs), m_links(std::move(Links)),
      m_entries(std::move(Entries)), m_options(Values),
      m_isCurrent(std::move(IsCurrent)), m_onDeposed(std::move(OnDeposed)),
      m_scheduler(Host.clock(), Values.m_scheduler),
      m_workers(
          Host, Log,
          {.m_topic = LogTopic::Workers,
           .m_wait = Milliseconds(1000),
           .m_gather = Milliseconds(100)},
          {[this](const StoredRecord &Each) { onWorkerRecord(Each); },
           [this] { pumpSoon(); },
           [this](const std::set<std::string> &Ids) { onWorkersLoaded(Ids); }}),
      m_pumpTimer(Host), m_beatTimer(Host), m_appendTimer(Host),
      m_wakeTimer(Host), m_summaryTimer(Host), m_lastDurable(Host.now()),
      m_knowledgeStored(Host.now()) {}

Owner::~Owner() {
  *m_isAlive = false;
  m_jobs.setObserver(nullptr);
}

void Owner::start() {
  logInfo("owner.begins", {{"epoch", std::to_string(m_options.m_epoch)},
                           {"jobs", std::to_string(m_jobs.jobs().size())}});
  m_jobs.setObserver(this);
  m_workers.start();
  beat();
  logSummary();
}

// --- What becomes known.

void Owner::onWorkerRecord(const StoredRecord &Record) {
  const std::string &Id = Record.m_record.m_key;
  if (!Record.m_record.m_value)
    return m_scheduler.removeWorker(Id);
  auto Read = attempt([&] { return m_entries(Id, *Record.m_record.m_value); });
  if (!Read) {
    logWarn("worker.entry_unreadable",
            {{"worker", Id}, {"fault", Read.error().m_message}});
    return;
  }
  m_scheduler.updateWorker(Read.value());
  meet(Read.value());
}

void Owner::onWorkersLoaded(const std::set<std::string> &Ids) {
  for (const std::string &Each : m_scheduler.workersToHold())
    if (!Ids.contains(Each))
      m_scheduler.removeWorker(Each);
  if (!m_hasJobs)
    takeOverJobs();
}

void Owner::takeOverJobs() {
  m_hasJobs = true;
  if (!m_jobs.knowledge().empty()) {
    auto Learned = attempt(
        [&] { return decode<Interference::Knowledge>(m_jobs.knowledge()); });
    if (Learned)
      m_scheduler.adoptKnowledge(Learned.value());
    else
      logWarn("owner.knowledge_unreadable",
              {{"fault", Learned.error().m_message}});
  }
  for (const auto &[Id, Job] : m_jobs.jobs())
    if (m_jobs.find(Id))
      addJob(Job);
  logInfo("owner.took_over",
          {{"epoch", std::to_string(m_options.m_epoch)},
           {"live_jobs", std::to_string(m_scheduler.liveJobs())},
           {"workers", std::to_string(m_contacts.size())}});
  for (const auto &[Id, Met] : m_contacts)
    lookLater(Id, Duration::zero());
  pumpSoon();
}

void Owner::addJob(const LedgerJob &Job) {
  if (Job.m_progress.empty()) {
    m_scheduler.addJob(Job.m_submission, nullptr);
  } else {
    auto Read = attempt([&] { return decodeProgress(Job.m_progress); });
    if (!Read) {
      logError("job.progress_unreadable", {{"job", Job.m_submission.m_id},
                                           {"fault", Read.error().m_message}});
      return;
    }
    m_scheduler.addJob(Job.m_submission, &Read.value());
  }
  if (Job.m_isCancelled)
    m_scheduler.cancelJob(Job.m_submission.m_id);
}

void Owner::onSubmitted(const LedgerJob &Job) {
  if (!m_hasJobs)
    return;
  addJob(Job);
  pumpSoon();
}

void Owner::onCancelled(const LedgerJob &Job) {
  if (!m_hasJobs)
    return;
  m_scheduler.cancelJob(Job.m_submission.m_id);
  pumpSoon();
}

void Owner::meet(const WorkerReport &Report) {
  Contact &Met = m_contacts[Report.m_id];
  if (!Met.m_timer)
    Met.m_timer = std::make_unique<Timer>(m_host);
  const bool IsSame = Met.m_link && Met.m_bornMs == Report.m_bornMs &&
                      Met.m_address == Report.m_address;
  if (IsSame)
    return;
  Met.m_link = m_links(Report);
  Met.m_bornMs = Report.m_bornMs;
  Met.m_address = Report.m_address;
  Met.m_isLooking = false;
  Met.m_awaitsStoring = false;
  lookLater(Report.m_id, Duration::zero());
}

// --- Decisions.

bool Owner::hasAuthority() const {
  return !m_isDeposed && m_host.now() - m_lastDurable < m_options.m_authority;
}

void Owner::pumpSoon() {
  if (!m_pumpTimer.isRunning())
    m_pumpTimer.start(m_options.m_gather, [this] { pump(); });
}

void Owner::pump() {
  if (m_isDeposed || !m_hasJobs)
    return;
  if (m_isAppending)
    m_scheduler.setStoreReachable(m_host.now() - m_appendStarted <
                                  m_options.m_storeSlow);
  sendControls();
  if (!m_isAppending && !m_isLeaving && m_isCurrent()) {
    Decisions Next = m_scheduler.decide();
    if (Next.needsStoring())
      store(std::move(Next));
  }
  m_wakeTimer.start(m_scheduler.nextWake() - m_host.now(), [this] { pump(); });
}

void Owner::sendControls() {
  Controls Next = m_scheduler.control();
  if (!hasAuthority())
    return;
  for (const StopOrder &Each : Next.m_stops)
    if (Contact *Met = contactOf(Each.m_worker))
      Met->m_link->stop(Each, m_options.m_epoch,
                        [this, Each](const OrderReply &Reply) {
                          if (Reply.m_outcome == OrderOutcome::Fenced)
                            return meetFence(Each.m_worker);
                          m_scheduler.onStop(Each, Reply);
                        });
  for (const PaceOrder &Each : Next.m_paces)
    if (Contact *Met = contactOf(Each.m_worker))
      Met->m_link->pace(Each, m_options.m_epoch,
                        [this, Each](const OrderReply &Reply) {
                          if (Reply.m_outcome == OrderOutcome::Fenced)
                            return meetFence(Each.m_worker);
                          m_scheduler.onPace(Each, Reply);
                        });
}

OwnerRecord Owner::ownRecord(bool IsLeaving) const {
  return {m_options.m_epoch, m_options.m_entry, m_options.m_boot, IsLeaving,
          m_options.m_strength};
}

void Owner::beat() {
  m_beatTimer.start(m_options.m_heartbeat, [this] {
    if (!m_isAppending && !m_isDeposed)
      store(Decisions());
    beat();
  });
}

void Owner::logSummary() {
  const Scheduler::Summary Now = m_scheduler.summarize();
  logInfo("owner.summary",
          {{"jobs", std::to_string(Now.m_liveJobs)},
           {"waiting", std::to_string(Now.m_waitingTasks)},
           {"waiting_services", std::to_string(Now.m_waitingServices)},
           {"waiting_fillers", std::to_string(Now.m_waitingFillers)},
           {"free", std::to_string(Now.m_freeProcessors)},
           {"most_free", std::to_string(Now.m_mostFreeProcessors)},
           {"runs", std::to_string(Now.m_runs)},
           {"stopping", std::to_string(Now.m_stopping)},
           {"fillers", std::to_string(Now.m_fillers)},
           {"slowed", std::to_string(Now.m_slowedFillers)},
           {"asked", std::to_string(Now.m_fillerRequest)},
           {"paced", std::to_string(Now.m_fillerPaced)},
           {"over", std::to_string(Now.m_servicesOverTarget)},
           {"open", std::to_string(Now.m_openWorkers)}});
  m_summaryTimer.start(m_options.m_summary, [this] {
    if (!m_isDeposed)
      logSummary();
  });
}

void Owner::store(Decisions Next) {
  m_records.clear();
  for (const auto &[Id, Progress] : Next.m_progress)
    m_records.push_back({progressKey(Id), encodeProgress(Progress)});
  for (const std::string &Id : Next.m_forgotten) {
    m_records.push_back({progressKey(Id), std::nullopt});
    m_records.push_back({cancelKey(Id), std::nullopt});
    m_records.push_back({submissionKey(Id), std::nullopt});
  }
  if (m_host.now() - m_knowledgeStored >= m_options.m_knowledge) {
    m_knowledgeStored = m_host.now();
    m_records.push_back({KnowledgeKey, encode(m_scheduler.knowledge())});
  }
  if (m_records.empty() || m_isLeaving)
    m_records.push_back({OwnerKey, encode(ownRecord(m_isLeaving))});
  m_carriesLeaving = m_isLeaving;
  m_stored = std::move(Next);
  m_isAppending = true;
  m_appendStarted = m_host.now();
  ++m_sequence;
  sendAppend();
}

void Owner::sendAppend() {
  m_attemptStarted = m_host.now();
  m_log.append(LogTopic::Jobs, m_records,
               ProducerMark{OwnerProducer, m_options.m_epoch, m_sequence},
               m_patience.value(),
               [this, IsAlive = m_isAlive](const AppendReply &Reply) {
                 if (*IsAlive)
                   onAppend(Reply);
               });
}

void Owner::onAppend(const AppendReply &Reply) {
  if (Reply.m_outcome == LogOutcome::Unknown)
    m_patience.onSilence();
  else
    m_patience.onReply(m_host.now() - m_attemptStarted);
  switch (Reply.m_outcome) {
  case LogOutcome::Done:
    return finishAppend();
  case LogOutcome::Fenced:
    return depose("fenced_by_log");
  case LogOutcome::OutOfOrder:
  case LogOutcome::Invalid:
    logError("owner.append_invalid",
             {{"epoch", std::to_string(m_options.m_epoch)},
              {"sequence", std::to_string(m_sequence)},
              {"outcome", logOutcomeName(Reply.m_outcome)}});
    return depose("append_invalid");
  default:
    break;
  }
  logWarn("owner.append_repeated",
          {{"epoch", std::to_string(m_options.m_epoch)},
           {"sequence", std::to_string(m_sequence)},
           {"outcome", logOutcomeName(Reply.m_outcome)}});
  m_scheduler.setStoreReachable(false);
  // Repeating the same mark appends at most once.
  m_appendTimer.start(m_options.m_appendRetry, [this] { sendAppend(); });
}

void Owner::finishAppend() {
  m_isAppending = false;
  m_lastDurable = m_host.now();
  m_scheduler.setStoreReachable(true);
  if (m_carriesLeaving) {
    m_isDeposed = true;
    return m_onLeft();
  }
  if (m_isLeaving)
    return store(Decisions());
  const bool IsStale = m_host.now() - m_appendStarted > m_options.m_startAge;
  const std::vector<StartOrder> Starts =
      m_scheduler.release(m_stored, IsStale || !m_isCurrent());
  for (const StartOrder &Each : Starts) {
    logInfo("run.start", {{"task", toString(Each.m_task)},
                          {"run", std::to_string(Each.m_run)},
                          {"worker", Each.m_worker},
                          {"epoch", std::to_string(m_options.m_epoch)}});
    Contact *Met = contactOf(Each.m_worker);
    if (!Met) {
      m_scheduler.onStart(Each, {OrderOutcome::NotSent, std::nullopt});
      continue;
    }
    Met->m_link->start(Each, m_options.m_epoch,
                       [this, Each](const OrderReply &Reply) {
                         if (Reply.m_outcome == OrderOutcome::Fenced)
                           return meetFence(Each.m_worker);
                         m_scheduler.onStart(Each, Reply);
                         if (Reply.m_outcome != OrderOutcome::Done)
                           pumpSoon();
                       });
  }
  for (auto &[Id, Met] : m_contacts)
    if (Met.m_awaitsStoring)
      lookLater(Id, Duration::zero());
  pumpSoon();
}

// --- Looks.

Owner::Contact *Owner::contactOf(const std::string &Id) {
  const auto Found = m_contacts.find(Id);
  return Found == m_contacts.end() || !Found->second.m_link ? nullptr
                                                            : &Found->second;
}

void Owner::lookLater(const std::string &Id, Duration Delay) {
  Contact *Met = contactOf(Id);
  if (Met)
    Met->m_timer->start(Delay, [this, Id] { look(Id); });
}

void Owner::look(const std::string &Id) {
  Contact *Met = contactOf(Id);
  // What a worker lists belongs to jobs; before they are known, ends would be
  // noted and lost, and runs stopped as nobody's.
  if (!Met || Met->m_isLooking || m_isDeposed || !m_hasJobs)
    return;
  Met->m_awaitsStoring = false;
  if (!hasAuthority())
    return lookLater(Id, m_options.m_lookRetry);
  const std::optional<HoldOrder> Order = m_scheduler.nextHold(Id);
  if (!Order) {
    m_contacts.erase(Id);
    return;
  }
  Met->m_isLooking = true;
  const TimePoint SentAt = m_host.now();
  Met->m_link->hold(*Order, m_options.m_epoch,
                    [this, Order = *Order, SentAt](const HoldReply &Reply) {
                      onLook(Order, SentAt, Reply);
                    });
}

void Owner::onLook(const HoldOrder &Order, TimePoint SentAt,
                   const HoldReply &Reply) {
  const std::string Id = Order.m_worker;
  if (Contact *Met = contactOf(Id))
    Met->m_isLooking = false;
  if (Reply.m_outcome == OrderOutcome::Fenced)
    return meetFence(Id);
  m_scheduler.onHold(Order, SentAt, Reply);
  pumpSoon();
  Contact *Met = contactOf(Id);
  if (!Met)
    return;
  if (Reply.m_outcome != OrderOutcome::Done)
    return lookLater(Id, m_options.m_lookRetry);
  const PlannedWorker *Row = m_scheduler.findWorker(Id);
  Met->m_awaitsStoring = Row && Row->m_lastEnd > Row->m_storedEnd;
  lookLater(Id, Met->m_awaitsStoring ? m_options.m_unstoredLookPause
                                     : Milliseconds(0));
}

// --- The end.

void Owner::meetFence(const std::string &Worker) {
  logWarn("owner.fenced",
          {{"worker", Worker}, {"epoch", std::to_string(m_options.m_epoch)}});
  depose("fenced_by_worker");
}

void Owner::depose(const char *Reason) {
  if (m_isDeposed)
    return;
  m_isDeposed = true;
  logWarn("owner.ends",
          {{"epoch", std::to_string(m_options.m_epoch)}, {"reason", Reason}});
  m_beatTimer.cancel();
  m_appendTimer.cancel();
  m_wakeTimer.cancel();
  m_onDeposed();
}

void Owner::leave(std::function<void()> Done) {
  m_isLeaving = true;
  m_onLeft = std::move(Done);
  if (!m_isAppending)
    store(Decisions());
}

} // namespace catkinseam
