// The platform of the nodes.
#include "standin/node_platform.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/ledger/records.h"
#include "standin/fault_injection.h"
#include "standin/http_answer.h"
#include "standin/task_behaviour.h"

#include <algorithm>

namespace catkinseam {

namespace {

namespace json = boost::json;

constexpr const char *Configuration =
    R"({"version":1,"routes":[)"
    R"({"name":"counts","host":"tally.example","pathPrefix":"/counts/",)"
    R"("timeoutMs":3000,"targetLatencyMs":250,"priority":0,)"
    R"("service":"tally","maxAttempts":3,"stretchFactor":1.5},)"
    R"({"name":"recon","host":"tally.example","pathPrefix":"/recon/",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"priority":2,)"
    R"("service":"tally","maxAttempts":2,"stretchFactor":1.5},)"
    R"({"name":"sync","host":"tally.example","pathPrefix":"/sync/",)"
    R"("timeoutMs":3000,"targetLatencyMs":250,"priority":0,)"
    R"("service":"tally","maxAttempts":3,"stretchFactor":1.5}],)"
    R"("services":[{"name":"tally","admissionControl":true}],"limits":{}})";

constexpr Resources Capacity{4000, 8000, 0};
constexpr std::uint16_t ControlPortOffset = 99;
constexpr std::uint16_t NodeStorePortOffset = 500;
/// Interval at which workers renew their registrations.
constexpr Milliseconds RegistrationInterval{500};
/// Interval at which absences are checked.
constexpr Milliseconds AbsenceInterval{200};
constexpr Milliseconds CheckpointInterval{1000};
constexpr const char *DeadlyJobPrefix = "dead";
constexpr Milliseconds DeadlyDelay{10};
constexpr Milliseconds DeadlyDownTime{1000};
/// Maximum number of records on a page, as of the platform's log service.
constexpr std::size_t PageRecords = 500;

bool isDeadly(const Submission &Job) {
  return Job.m_id.starts_with(DeadlyJobPrefix) ||
         parseTaskBehaviour(Job.m_spec.m_payload).m_isDeadly;
}

/// Returns a number from 0 to 1 that depends on the arguments only, and not on
/// the order in which runs start.
double drawFor(std::uint64_t Seed, const StartOrder &Order) {
  constexpr std::uint64_t Steps = 1U << 20;
  const std::uint64_t Hash =
      hashBytes(std::to_string(Seed) + "/" + toString(Order.m_task) + "/" +
                std::to_string(Order.m_run));
  return static_cast<double>(Hash % Steps) / static_cast<double>(Steps);
}

} // namespace

NodePlatform::NodePlatform(EventLoop &Loop, const Options &Values)
    : m_loop(Loop), m_options(Values), m_random(Values.m_seed),
      m_absenceTimer(Loop), m_log(Loop, m_random), m_logApi(Loop, m_log),
      m_registrationTimer(Loop), m_endOfLostReplies(Loop),
      m_endOfSlowStore(Loop), m_endOfLateOrders(Loop) {
  m_log.m_faults.m_pageRecords = PageRecords;
  m_log.m_onStored = [this](LogTopic Topic, const KeyedRecord &Record) {
    onStored(Topic, Record);
  };
  m_log.put(LogTopic::Operator, "config", std::string(Configuration));
  for (std::size_t At = 0; At < Values.m_workers; ++At) {
    m_workers.push_back(std::make_unique<PlatformWorker>(
        Loop, m_log, m_history, m_random, At,
        static_cast<std::uint16_t>(Values.m_port + 1 + At), Capacity));
    PlatformWorker &Added = *m_workers.back();
    Added.worker().m_stopTime = Values.m_stopTime;
    Added.worker().m_plan = [this, &Added](const StartOrder &Order) {
      return planRun(Added, Order);
    };
  }
  for (std::size_t Node = 0; Node <= Values.m_nodes; ++Node) {
    const std::size_t Offset = Node == 0 ? 0 : NodeStorePortOffset + Node;
    m_stores.push_back(std::make_unique<StoreListener>(
        Loop, static_cast<std::uint16_t>(Values.m_port + Offset),
        [this](const HttpRequest &Request, const HttpResponder &Respond) {
          if (Request.m_path == "/control")
            return onControlCall(Request, Respond);
          m_logApi.onCall(Request, Respond);
        }));
  }
}

Result<void> NodePlatform::start() {
  for (const auto &Each : m_stores)
    BOOST_LEAF_CHECK(Each->setMode(StoreListener::Mode::Serving));
  for (const auto &Each : m_workers)
    BOOST_LEAF_CHECK(Each->listen());
  BOOST_LEAF_ASSIGN(
      m_controlListener,
      HttpListener::open(
          m_loop,
          {"127.0.0.1",
           static_cast<std::uint16_t>(m_options.m_port + ControlPortOffset)},
          {}, [this](const HttpRequest &Request, const HttpResponder &Respond) {
            onControlCall(Request, Respond);
          }));
  renewRegistrations();
  checkAbsences();
  return {};
}

PlatformWorker *NodePlatform::worker(std::int64_t Index) {
  if (Index < 0 || Index >= static_cast<std::int64_t>(m_workers.size()))
    return nullptr;
  return m_workers[static_cast<std::size_t>(Index)].get();
}

void NodePlatform::setStoreModeFor(StoreListener::Mode How, Milliseconds Time,
                                   double Share) {
  for (const auto &Each : m_stores)
    Each->setModeFor(How, Time, Share);
}

void NodePlatform::setStoreModeFor(std::int64_t Node, StoreListener::Mode How,
                                   Milliseconds Time, double Share) {
  if (Node > 0 && Node < static_cast<std::int64_t>(m_stores.size()))
    m_stores[static_cast<std::size_t>(Node)]->setModeFor(How, Time, Share);
}

void NodePlatform::loseAppendReplies(double Share, bool AreLate,
                                     Milliseconds Time) {
  FakeLog::Faults &Faults = m_log.m_faults;
  Faults.m_minDelay = Milliseconds(1000);
  Faults.m_maxDelay = Milliseconds(6000);
  Faults.m_lostReplyRate = AreLate ? 0.0 : Share;
  Faults.m_delayedRate = AreLate ? Share : 0.0;
  m_endOfLostReplies.start(Time, [&Faults] {
    Faults.m_lostReplyRate = 0.0;
    Faults.m_delayedRate = 0.0;
  });
}

void NodePlatform::slowStore(Milliseconds Latency, Milliseconds Time) {
  m_log.m_faults.m_latency = Latency;
  m_endOfSlowStore.start(
      Time, [this] { m_log.m_faults.m_latency = FakeLog::Faults{}.m_latency; });
}

void NodePlatform::delayOrders(double Share, Milliseconds Time,
                               bool AcrossRestarts) {
  for (const auto &Each : m_workers)
    Each->setLateOrders(Share, AcrossRestarts);
  m_endOfLateOrders.start(Time, [this] {
    for (const auto &Each : m_workers)
      Each->setLateOrders(0.0, false);
  });
}

void NodePlatform::onStored(LogTopic Topic, const KeyedRecord &Record) {
  m_reported.record(Topic, Record);
  std::string Id;
  if (Topic != LogTopic::Jobs ||
      parseRecordKey(Record.m_key, Id) != RecordKind::Submission)
    return;
  const auto Found = m_reported.m_jobs.find(Id);
  if (Found != m_reported.m_jobs.end())
    Found->second.m_isDeadly = isDeadly(Found->second.m_submission);
}

FakeWorker::RunPlan NodePlatform::planRun(const PlatformWorker &Worker,
                                          const StartOrder &Order) {
  const TaskBehaviour Behaviour = parseTaskBehaviour(Order.m_payload);
  const std::uint32_t EarlierRuns = m_startedRuns[Order.m_task]++;
  FakeWorker::RunPlan Plan;
  Plan.m_work = Behaviour.m_work;
  Plan.m_willFail = EarlierRuns < Behaviour.m_failingRuns ||
                    drawFor(m_options.m_seed, Order) < Behaviour.m_failureRate;
  if (Worker.failsRuns()) {
    Plan.m_work = Milliseconds::zero();
    Plan.m_willFail = true;
  }
  const ReportedJob *Job = m_reported.find(Order.m_task.m_job);
  if (!Job)
    return Plan;
  const StepSpec &Step =
      Job->m_submission.m_spec.m_steps.at(Order.m_task.m_step);
  Plan.m_isService = Step.m_isService;
  if (Step.m_savesCheckpoints)
    Plan.m_checkpointInterval = CheckpointInterval;
  if (Job->m_isDeadly)
    m_loop.schedule(DeadlyDelay, [Target = worker(Worker.index())] {
      Target->crash(DeadlyDownTime, /*ChangesId=*/false);
    });
  return Plan;
}

std::size_t NodePlatform::failedJobs() const {
  return static_cast<std::size_t>(
      std::count_if(m_reported.m_jobs.begin(), m_reported.m_jobs.end(),
                    [](const auto &Each) { return Each.second.isFailed(); }));
}

std::size_t NodePlatform::completedRuns() const {
  return static_cast<std::size_t>(
      std::count_if(m_history.m_runs.begin(), m_history.m_runs.end(),
                    [](const RecordedRun &Each) {
                      return Each.m_hasEnd && Each.m_end == RunEnd::Done;
                    }));
}

std::vector<std::string> NodePlatform::violations(bool IsAtEnd) const {
  HistoryBounds Bounds;
  for (const auto &Each : m_workers)
    Bounds.m_capacities[Each->name()] = Capacity;
  std::vector<std::string> Found =
      checkHistory(m_history, m_reported.submitted(), Bounds);
  const auto Append = [&](const std::vector<std::string> &More) {
    Found.insert(Found.end(), More.begin(), More.end());
  };
  Append(checkFailedJobs(m_reported.m_jobs, m_history));
  Append(m_absences.violations());
  if (IsAtEnd)
    Append(checkUnfinishedJobs(m_reported.m_jobs));
  return Found;
}

HttpResponse NodePlatform::verdict() const {
  json::array Broken;
  for (const std::string &Each : violations(/*IsAtEnd=*/false))
    Broken.push_back(json::string(Each));
  return jsonAnswer(200, {{"broken", Broken},
                          {"jobs", jobs()},
                          {"failed", failedJobs()},
                          {"away", m_absences.away()},
                          {"longest_away_ms", m_absences.longest().count()},
                          {"runs", runs()}});
}

void NodePlatform::onControlCall(const HttpRequest &Request,
                                 const HttpResponder &Respond) {
  if (Request.m_method == "GET" && Request.m_path == "/verdict")
    return Respond(verdict());
  if (Request.m_method != "POST" || Request.m_path != "/control")
    return Respond({404, {}, ""});
  auto Fault = attempt([&] { return parseFault(Request.m_body); });
  if (!Fault)
    return Respond({400, {}, Fault.error().m_message});
  Respond({200, {}, ""});
  // The response is sent before its connection is closed by the fault.
  constexpr Milliseconds ResponseTime{10};
  m_loop.schedule(ResponseTime,
                  [this, Inject = Fault.value()] { Inject(*this); });
}

void NodePlatform::checkAbsences() {
  const auto IsLasting = [this](const TaskKey &Task) {
    const ReportedJob *Job = m_reported.find(Task.m_job);
    return Job && !Job->m_isCancelled && !Job->isFailed() &&
           Job->m_submission.m_spec.m_steps.at(Task.m_step).m_isService;
  };
  // A machine that does not run this process in time does not run the nodes in
  // time either.
  constexpr Milliseconds MaxLateness{500};
  const TimePoint Now = m_loop.now();
  if (m_absenceTimerDue != TimePoint() && Now - m_absenceTimerDue > MaxLateness)
    m_absences.onFault(Now);
  m_absenceTimerDue = Now + AbsenceInterval;
  m_absences.update(m_history, IsLasting, Now);
  m_absenceTimer.start(AbsenceInterval, [this] { checkAbsences(); });
}

void NodePlatform::renewRegistrations() {
  for (const auto &Each : m_workers)
    Each->renewRegistration(++m_sequence);
  m_registrationTimer.start(RegistrationInterval,
                            [this] { renewRegistrations(); });
}

} // namespace catkinseam
