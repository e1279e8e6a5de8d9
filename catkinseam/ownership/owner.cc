// Owner: status polls, storage of decisions, and orders.
#include "catkinseam/ownership/owner.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

namespace {

Scheduler::Options schedulerOptions(const Owner::Options &Values) {
  Scheduler::Options Opts = Values.m_scheduler;
  Opts.m_epoch = Values.m_epoch;
  Opts.m_announcesLeases = true;
  return Opts;
}

} // namespace

Owner::Owner(Runtime &Host, KeyedLog &Log, Ledger &Jobs,
             const Evacuations &EvacuationRequests, WorkerLinkFactory MakeLink,
             WorkerRegistrationParser ParseRegistration, const Options &Values,
             std::function<bool()> IsCurrent,
             std::function<TimePoint()> CoveredUntil,
             std::function<void()> OnOwnershipLost)
    : m_host(Host), m_log(Log), m_jobs(Jobs), m_evacuations(EvacuationRequests),
      m_makeLink(std::move(MakeLink)),
      m_parseRegistration(std::move(ParseRegistration)), m_options(Values),
      m_isCurrent(std::move(IsCurrent)),
      m_coveredUntil(std::move(CoveredUntil)),
      m_onOwnershipLost(std::move(OnOwnershipLost)),
      m_scheduler(Host.clock(), schedulerOptions(Values)),
      m_workerReader(
          Host, Log,
          {.m_topic = LogTopic::Workers,
           .m_wait = Milliseconds(1000),
           .m_batchingWindow = Milliseconds(100)},
          {[this](const StoredRecord &Each) { onWorkerRecord(Each); },
           [this] { requestCycle(); },
           [this](const std::set<std::string> &Ids) { onWorkersLoaded(Ids); }}),
      m_cycleTimer(Host), m_heartbeatTimer(Host), m_progressTimer(Host),
      m_announcementTimer(Host), m_wakeTimer(Host), m_summaryTimer(Host),
      m_learnedModels(Host, Log, m_scheduler, {}),
      m_progressAppender(Host, Log,
                         {.m_topic = LogTopic::Progress,
                          .m_epoch = Values.m_epoch,
                          .m_limits = Values.m_appendLimits},
                         {[this] { onStored(); },
                          [this](const char *Reason) { stepDown(Reason); },
                          [this](const RecordGroup &Rejected) {
                            return onProgressInvalid(Rejected);
                          },
                          [this] { m_scheduler.setStoreReachable(false); }}),
      m_announcer(Host, Log,
                  {.m_topic = LogTopic::Jobs,
                   .m_epoch = Values.m_epoch,
                   .m_limits = Values.m_appendLimits},
                  {[this] { onAnnounced(); },
                   [this](const char *Reason) { stepDown(Reason); },
                   [](const RecordGroup &) -> std::optional<RecordGroup> {
                     return std::nullopt;
                   },
                   [] {}}),
      m_lastDurableAppend(Host.now()) {
  if (Values.m_earlierLeases)
    m_scheduler.setEarlierLeases(*Values.m_earlierLeases);
}

Owner::~Owner() {
  *m_isAlive = false;
  m_jobs.setObserver(nullptr);
}

void Owner::start() {
  logInfo("owner.begins", {{"epoch", std::to_string(m_options.m_epoch)},
                           {"jobs", std::to_string(m_jobs.jobs().size())}});
  m_jobs.setObserver(this);
  // Fences the progress topic; the rest follows in onStored().
  m_progressAppender.append({{"", {{OwnerKey, encode(ownRecord(false))}}}});
  scheduleHeartbeat();
  logSummary();
}

// --- Input: workers and jobs.

void Owner::onWorkerRecord(const StoredRecord &Record) {
  const std::string &Id = Record.m_record.m_key;
  if (!Record.m_record.m_value)
    return m_scheduler.removeWorker(Id);
  auto Read = attempt(
      [&] { return m_parseRegistration(Id, *Record.m_record.m_value); });
  if (!Read) {
    logWarn("worker.entry_unreadable",
            {{"worker", Id}, {"fault", Read.error().m_message}});
    return;
  }
  m_scheduler.updateWorker(Read.value());
  connectWorker(Read.value());
}

void Owner::onWorkersLoaded(const std::set<std::string> &Ids) {
  for (const std::string &Each : m_scheduler.workersToPoll())
    if (!Ids.contains(Each))
      m_scheduler.removeWorker(Each);
  m_hasLoadedWorkers = true;
  takeOverJobs();
}

void Owner::takeOverJobs() {
  if (m_hasTakenOver || !m_hasLoadedWorkers || !m_isLearnedModelRead ||
      !m_isProgressLoaded)
    return;
  // Until its progress was fenced, the earlier owner may have started jobs that
  // were submitted after this owner's claim. Without their submissions, their
  // progress would seem to belong to no job.
  if (m_coveredUntil() <= m_progressFencedAt)
    return;
  m_hasTakenOver = true;
  m_learnedModels.startStoring();
  for (const auto &[Id, Job] : m_jobs.jobs())
    if (m_jobs.find(Id))
      addJob(Job);
  for (const auto &[Id, Progress] : m_storedProgress)
    if (!m_jobs.find(Id))
      m_forgottenJobs.push_back(Id);
  m_storedProgress.clear();
  m_scheduler.onRunsRestored();
  announce();
  scheduleHeartbeat();
  logInfo("owner.took_over",
          {{"epoch", std::to_string(m_options.m_epoch)},
           {"live_jobs", std::to_string(m_scheduler.liveJobs())},
           {"workers", std::to_string(m_connections.size())}});
  for (const auto &[Id, Connection] : m_connections)
    schedulePoll(Id, Duration::zero());
  requestCycle();
}

void Owner::addJob(const LedgerJob &Job) {
  const std::string &Id = Job.m_submission.m_id;
  m_announcedStates[Id] = Job.m_recordedState;
  const auto Stored = m_storedProgress.find(Id);
  const std::string &Value =
      Stored == m_storedProgress.end() ? Job.m_progress : Stored->second;
  if (Value.empty()) {
    m_scheduler.addJob(Job.m_submission, nullptr);
  } else {
    auto Read = attempt([&] { return decodeProgress(Value); });
    if (!Read) {
      logError("job.progress_unreadable",
               {{"job", Id}, {"fault", Read.error().m_message}});
      return;
    }
    m_scheduler.addJob(Job.m_submission, &Read.value());
    announceState(Id, Read.value().m_state);
  }
  if (Job.m_isCancelled)
    m_scheduler.cancelJob(Id);
}

void Owner::onSubmitted(const LedgerJob &Job) {
  if (!m_hasTakenOver)
    return;
  addJob(Job);
  requestCycle();
}

void Owner::onCancelled(const LedgerJob &Job) {
  if (!m_hasTakenOver)
    return;
  m_scheduler.cancelJob(Job.m_submission.m_id);
  requestCycle();
}

void Owner::connectWorker(const WorkerRegistration &Registration) {
  WorkerConnection &Connection = m_connections[Registration.m_id];
  if (!Connection.m_timer)
    Connection.m_timer = std::make_unique<Timer>(m_host);
  // A link outlives a restart at the same address, so that the replies to the
  // orders on it are not lost.
  if (Connection.m_link && Connection.m_address == Registration.m_address)
    return;
  if (Connection.m_link)
    m_scheduler.onLinkReplaced(Registration.m_id);
  Connection.m_link = m_makeLink(Registration);
  Connection.m_address = Registration.m_address;
  Connection.m_isPolling = false;
  Connection.m_hasUnstoredEnds = false;
  schedulePoll(Registration.m_id, Duration::zero());
}

// --- Scheduling cycles and log appends.

bool Owner::hasAuthority() const {
  return !m_hasSteppedDown &&
         m_host.now() - m_lastDurableAppend < m_options.m_authorityTimeout;
}

bool Owner::isRegistryCurrent() const {
  return m_host.now() - m_workerReader.caughtUpAt() <
         m_options.m_maxRegistryAge;
}

void Owner::updatePlacementInputs() {
  m_scheduler.setEvacuatedDataCentres(m_evacuations.dataCentres());
  m_scheduler.setPlacementInputsCurrent(isRegistryCurrent() &&
                                        m_evacuations.areCurrent());
}

void Owner::requestCycle() {
  if (!m_cycleTimer.isRunning())
    m_cycleTimer.start(m_options.m_batchingWindow, [this] { runCycle(); });
}

void Owner::runCycle() {
  if (m_hasSteppedDown || !m_hasTakenOver)
    return;
  const bool IsStoring = m_progressAppender.isBusy();
  if (IsStoring)
    m_scheduler.setStoreReachable(m_host.now() -
                                      m_progressAppender.startedAt() <
                                  m_options.m_slowAppendThreshold);
  updatePlacementInputs();
  sendControls();
  if (!IsStoring && !m_isLeaving && m_isCurrent()) {
    Decisions Next = m_scheduler.decide();
    if (Next.needsStoring() || !m_forgottenJobs.empty())
      store(std::move(Next));
  }
  m_wakeTimer.start(m_scheduler.nextWake() - m_host.now(),
                    [this] { runCycle(); });
}

void Owner::sendControls() {
  ImmediateOrders Next = m_scheduler.control();
  if (!hasAuthority())
    return;
  for (const StopOrder &Each : Next.m_stops)
    if (WorkerConnection *Connection = findConnection(Each.m_worker)) {
      const std::uint64_t Token = m_scheduler.fencingToken(Each.m_worker);
      Connection->m_link->stop(
          Each, Token, [this, Each, Token](const OrderReply &Reply) {
            if (isFenced(Each.m_worker, Token, Reply.m_outcome))
              return onFenced(Each.m_worker);
            m_scheduler.onStop(Each, Reply);
          });
    }
  for (const ThrottleOrder &Each : Next.m_throttles)
    if (WorkerConnection *Connection = findConnection(Each.m_worker)) {
      const std::uint64_t Token = m_scheduler.fencingToken(Each.m_worker);
      Connection->m_link->throttle(
          Each, Token, [this, Each, Token](const OrderReply &Reply) {
            if (isFenced(Each.m_worker, Token, Reply.m_outcome))
              return onFenced(Each.m_worker);
            m_scheduler.onThrottle(Each, Reply);
          });
    }
}

OwnerRecord Owner::ownRecord(bool IsLeaving) const {
  return {m_options.m_epoch,
          m_options.m_node,
          m_options.m_bootId,
          IsLeaving,
          effectiveShare(m_options.m_processorShare, m_lag.value()),
          m_options.m_peer};
}

void Owner::logSummary() {
  const Scheduler::Summary Stats = m_scheduler.summarize();
  const Scheduler::Absences Away = m_scheduler.absences();
  logInfo("owner.summary",
          {{"jobs", std::to_string(Stats.m_liveJobs)},
           {"waiting", std::to_string(Stats.m_waitingTasks)},
           {"waiting_services", std::to_string(Stats.m_waitingServices)},
           {"services_away", std::to_string(Away.m_tasks)},
           {"longest_gap_ms",
            std::to_string(toMilliseconds(Away.m_longest).count())},
           {"waiting_fillers", std::to_string(Stats.m_waitingFillers)},
           {"free", std::to_string(Stats.m_freeProcessors)},
           {"most_free", std::to_string(Stats.m_mostFreeProcessors)},
           {"runs", std::to_string(Stats.m_runs)},
           {"stopping", std::to_string(Stats.m_stopping)},
           {"fillers", std::to_string(Stats.m_fillers)},
           {"slowed", std::to_string(Stats.m_throttledFillers)},
           {"asked", std::to_string(Stats.m_fillerRequest)},
           {"paced", std::to_string(Stats.m_fillerGranted)},
           {"over", std::to_string(Stats.m_servicesOverTarget)},
           {"open", std::to_string(Stats.m_availableWorkers)},
           {"reservations", std::to_string(Stats.m_reservations)},
           {"overloaded", std::to_string(Stats.m_overloadedSteps)},
           {"lag_ms", std::to_string(toMilliseconds(m_lag.value()).count())}});
  logEvacuations();
  m_summaryTimer.start(m_options.m_summaryInterval, [this] {
    if (!m_hasSteppedDown)
      logSummary();
  });
}

void Owner::logEvacuations() const {
  for (const auto &[DataCentre, Since] : m_evacuations.requests()) {
    const Scheduler::DataCentreRuns Left = m_scheduler.runsIn(DataCentre);
    logInfo("evacuation.in_force",
            {{"data_centre", DataCentre},
             {"since_ms",
              std::to_string(toMilliseconds(m_host.now() - Since).count())},
             {"runs", std::to_string(Left.m_runs)},
             {"services", std::to_string(Left.m_services)}});
  }
}

// --- The progress topic.

void Owner::loadProgress(const std::string &AfterKey) {
  m_log.newest(LogTopic::Progress, AfterKey, m_options.m_progressPageTimeout,
               [this, IsAlive = m_isAlive](const NewestReply &Page) {
                 if (*IsAlive && !m_hasSteppedDown)
                   onProgressPage(Page);
               });
}

void Owner::onProgressPage(const NewestReply &Page) {
  if (Page.m_outcome != LogOutcome::Done) {
    logWarn("owner.progress_not_read",
            {{"outcome", logOutcomeName(Page.m_outcome)}});
    m_storedProgress.clear();
    return m_progressTimer.start(m_options.m_progressRetryDelay,
                                 [this] { loadProgress(""); });
  }
  // No other owner can append any more, so the pages are consistent.
  for (const StoredRecord &Each : Page.m_records) {
    std::string Id;
    if (Each.m_record.m_value &&
        parseRecordKey(Each.m_record.m_key, Id) == RecordKind::Progress)
      m_storedProgress[Id] = *Each.m_record.m_value;
  }
  if (Page.m_hasMore && !Page.m_records.empty())
    return loadProgress(Page.m_records.back().m_record.m_key);
  m_isProgressLoaded = true;
  takeOverJobs();
}

void Owner::store(Decisions Next) {
  std::vector<RecordGroup> Groups;
  // First, as an id may be in use again.
  for (const std::string &Id : m_forgottenJobs)
    Groups.push_back({"", {{progressKey(Id), std::nullopt}}});
  m_forgottenJobs.clear();
  for (const auto &[Id, Progress] : Next.m_progress)
    Groups.push_back({Id, {{progressKey(Id), encodeProgress(Progress)}}});
  // Ends alone leave no record.
  if (Groups.empty())
    Groups.push_back({"", {{OwnerKey, encode(ownRecord(false))}}});
  m_pendingDecisions = std::move(Next);
  m_progressAppender.append(std::move(Groups));
}

std::optional<RecordGroup>
Owner::onProgressInvalid(const RecordGroup &Rejected) {
  if (Rejected.m_job.empty())
    return std::nullopt;
  // Ends of the job's runs are acknowledged after this append, so it must leave
  // a record from which no successor starts the job's tasks again.
  m_scheduler.failJob(Rejected.m_job);
  JobProgress Failed;
  Failed.m_state = JobState::Failed;
  return RecordGroup{"",
                     {{progressKey(Rejected.m_job), encodeProgress(Failed)}}};
}

void Owner::onStored() {
  m_lastDurableAppend = m_host.now();
  m_scheduler.setStoreReachable(true);
  if (!m_hasFencedProgress) {
    m_hasFencedProgress = true;
    m_progressFencedAt = m_host.now();
    if (m_isLeaving)
      return announce();
    m_learnedModels.load([this] {
      m_isLearnedModelRead = true;
      takeOverJobs();
    });
    loadProgress("");
    m_workerReader.start();
    return;
  }
  for (const auto &[Id, Progress] : m_pendingDecisions.m_progress)
    announceState(Id, Progress.m_state);
  m_expiredJobs.insert(m_expiredJobs.end(),
                       m_pendingDecisions.m_expiredJobs.begin(),
                       m_pendingDecisions.m_expiredJobs.end());
  if (m_isLeaving)
    return announce();
  const bool IsStale =
      m_host.now() - m_progressAppender.startedAt() > m_options.m_maxStartAge;
  updatePlacementInputs();
  sendStarts(m_scheduler.release(
      m_pendingDecisions, IsStale || !m_isCurrent() || !isRegistryCurrent() ||
                              !m_evacuations.areCurrent()));
  for (auto &[Id, Connection] : m_connections)
    if (Connection.m_hasUnstoredEnds)
      schedulePoll(Id, Duration::zero());
  requestCycle();
}

void Owner::sendStarts(const std::vector<StartOrder> &Starts) {
  for (const StartOrder &Each : Starts) {
    logInfo("run.start", {{"task", toString(Each.m_task)},
                          {"run", std::to_string(Each.m_run)},
                          {"worker", Each.m_worker},
                          {"epoch", std::to_string(m_options.m_epoch)}});
    WorkerConnection *Connection = findConnection(Each.m_worker);
    if (!Connection) {
      m_scheduler.onStart(Each, {OrderOutcome::NotSent, std::nullopt});
      continue;
    }
    const std::uint64_t Token = m_scheduler.fencingToken(Each.m_worker);
    Connection->m_link->start(
        Each, Token, [this, Each, Token](const OrderReply &Reply) {
          if (isFenced(Each.m_worker, Token, Reply.m_outcome))
            return onFenced(Each.m_worker);
          m_scheduler.onStart(Each, Reply);
          if (Reply.m_outcome != OrderOutcome::Done)
            requestCycle();
        });
  }
}

// --- The jobs topic.

void Owner::announceState(const std::string &Job, JobState State) {
  JobState &Announced = m_announcedStates[Job];
  if (Announced == State)
    return;
  Announced = State;
  m_statesToAnnounce[Job] = State;
  requestAnnouncement();
}

void Owner::announce() {
  if (m_hasSteppedDown || m_announcer.isBusy())
    return;
  std::vector<RecordGroup> Groups;
  for (const auto &[Id, State] : m_statesToAnnounce)
    Groups.push_back({"", {{progressKey(Id), encodeState(State)}}});
  m_statesToAnnounce.clear();
  // A submission without a state is a new job, so the keys of a job are deleted
  // in one group, before its progress.
  for (const std::string &Id : m_expiredJobs)
    Groups.push_back({"",
                      {{progressKey(Id), std::nullopt},
                       {cancelKey(Id), std::nullopt},
                       {submissionKey(Id), std::nullopt}}});
  m_jobsBeingDeleted = std::move(m_expiredJobs);
  m_expiredJobs.clear();
  m_announcesLeaving = m_isLeaving && !m_progressAppender.isBusy();
  m_announcesLeases = !m_announcesLeaving && isLeaseRecordDue();
  if (m_announcesLeases) {
    m_lastLeaseRecord = m_host.now();
    Groups.push_back({"", {{LeasesKey, encode(m_scheduler.announceLeases())}}});
  }
  if (m_announcesLeaving && m_successor)
    Groups.push_back({"", {{HandoverKey, encode(*m_successor)}}});
  if (Groups.empty() || m_announcesLeaving)
    Groups.push_back({"", {{OwnerKey, encode(ownRecord(m_announcesLeaving))}}});
  m_lastAnnouncement = m_host.now();
  m_announcer.append(std::move(Groups));
}

bool Owner::isLeaseRecordDue() const {
  return m_hasTakenOver &&
         (needsLeaseRecord() ||
          m_host.now() - m_lastLeaseRecord >= m_options.m_heartbeatInterval);
}

void Owner::onAnnounced() {
  m_lastDurableAppend = m_host.now();
  if (m_announcesLeaving) {
    m_hasSteppedDown = true;
    return m_onLeft();
  }
  for (const std::string &Id : m_jobsBeingDeleted) {
    m_announcedStates.erase(Id);
    m_forgottenJobs.push_back(Id);
  }
  m_jobsBeingDeleted.clear();
  if (m_announcesLeases) {
    m_scheduler.onLeasesStored();
    requestCycle();
  }
  if (m_isLeaving && !m_progressAppender.isBusy())
    return announce();
  // The append of an old record may have taken long.
  if (!m_statesToAnnounce.empty() || isLeaseRecordDue())
    requestAnnouncement();
}

bool Owner::needsLeaseRecord() const {
  return m_hasTakenOver && m_scheduler.needsLeaseRecord();
}

void Owner::requestAnnouncement() {
  if (!m_announcementTimer.isRunning())
    m_announcementTimer.start(m_options.m_announcementWindow,
                              [this] { announce(); });
}

void Owner::scheduleHeartbeat() {
  const TimePoint Due = m_host.now() + m_options.m_heartbeatInterval;
  m_heartbeatTimer.start(m_options.m_heartbeatInterval, [this, Due] {
    m_lag.record(m_host.now() - Due);
    if (m_host.now() - m_lastAnnouncement >= m_options.m_heartbeatInterval)
      announce();
    scheduleHeartbeat();
  });
}

void Owner::onLogRegained() {
  m_progressAppender.onLogRegained();
  m_announcer.onLogRegained();
}

// --- Status polls.

Owner::WorkerConnection *Owner::findConnection(const std::string &Id) {
  const auto Found = m_connections.find(Id);
  return Found == m_connections.end() || !Found->second.m_link ? nullptr
                                                               : &Found->second;
}

void Owner::schedulePoll(const std::string &Id, Duration Delay) {
  WorkerConnection *Connection = findConnection(Id);
  if (Connection)
    Connection->m_timer->start(Delay, [this, Id] { pollWorker(Id); });
}

void Owner::pollWorker(const std::string &Id) {
  WorkerConnection *Connection = findConnection(Id);
  // A worker reports runs of jobs. Before the jobs are loaded, ended runs would
  // be acknowledged and lost, and active runs stopped as unknown.
  if (!Connection || Connection->m_isPolling || m_hasSteppedDown ||
      !m_hasTakenOver)
    return;
  Connection->m_hasUnstoredEnds = false;
  if (!hasAuthority() && !m_scheduler.mayGrantLeases())
    return schedulePoll(Id, m_options.m_pollRetryDelay);
  const std::optional<PollOrder> Order = m_scheduler.nextPoll(Id);
  if (!Order) {
    m_connections.erase(Id);
    return;
  }
  Connection->m_isPolling = true;
  const TimePoint SentAt = m_host.now();
  Connection->m_link->poll(
      *Order, Order->m_fencingToken,
      [this, Order = *Order, SentAt](const PollReply &Reply) {
        onPollReply(Order, SentAt, Reply);
      });
}

void Owner::onPollReply(const PollOrder &Order, TimePoint SentAt,
                        const PollReply &Reply) {
  const std::string Id = Order.m_worker;
  if (WorkerConnection *Connection = findConnection(Id))
    Connection->m_isPolling = false;
  if (isFenced(Id, Order.m_fencingToken, Reply.m_outcome))
    return onFenced(Id);
  // The worker has restarted and knows a newer token; it was not missed.
  if (Reply.m_outcome == OrderOutcome::Fenced)
    return schedulePoll(Id, Duration::zero());
  m_scheduler.onPoll(Order, SentAt, Reply);
  const WorkerInfo *Answered = m_scheduler.findWorker(Id);
  if (Answered && Answered->m_isReachable && Answered->m_isNamedNext)
    requestAnnouncement();
  requestCycle();
  WorkerConnection *Connection = findConnection(Id);
  if (!Connection)
    return;
  if (Reply.m_outcome != OrderOutcome::Done)
    return schedulePoll(Id, m_options.m_pollRetryDelay);
  const WorkerInfo *Row = m_scheduler.findWorker(Id);
  Connection->m_hasUnstoredEnds =
      Row && Row->m_lastObservedEnd > Row->m_lastStoredEnd;
  schedulePoll(Id, Connection->m_hasUnstoredEnds
                       ? m_options.m_unstoredEndPollDelay
                       : Milliseconds(0));
}

// --- Loss and handover of ownership.

bool Owner::isFenced(const std::string &Worker, std::uint64_t Token,
                     OrderOutcome Outcome) const {
  return Outcome == OrderOutcome::Fenced &&
         Token == m_scheduler.fencingToken(Worker);
}

void Owner::onFenced(const std::string &Worker) {
  logWarn("owner.fenced",
          {{"worker", Worker}, {"epoch", std::to_string(m_options.m_epoch)}});
  stepDown("fenced_by_worker");
}

void Owner::stepDown(const char *Reason) {
  if (m_hasSteppedDown)
    return;
  m_hasSteppedDown = true;
  logWarn("owner.ends",
          {{"epoch", std::to_string(m_options.m_epoch)}, {"reason", Reason}});
  m_heartbeatTimer.cancel();
  m_progressTimer.cancel();
  m_announcementTimer.cancel();
  m_wakeTimer.cancel();
  m_progressAppender.stop();
  m_announcer.stop();
  m_learnedModels.stop();
  m_onOwnershipLost();
}

void Owner::leave(const std::optional<HandoverRecord> &Successor,
                  std::function<void()> Done) {
  m_isLeaving = true;
  m_successor = Successor;
  m_onLeft = std::move(Done);
  if (!m_progressAppender.isBusy())
    announce();
}

} // namespace catkinseam
