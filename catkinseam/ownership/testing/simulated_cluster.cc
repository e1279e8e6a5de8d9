// Simulated cluster.
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include "catkinseam/base/codec.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Delay before a crashed worker is registered again.
constexpr Milliseconds RegistrationDelay{800};

const char *const ServicePayload = "service";

} // namespace

/// A log connection whose replies are deferred while the process is paused.
class FakeNode::PausableLog final : public KeyedLog {
public:
  explicit PausableLog(FakeNode &Node) : m_node(Node) {}

  void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
              const std::optional<AppendId> &Id, Milliseconds Timeout,
              std::function<void(const AppendReply &)> Done) override {
    m_node.m_log.append(Topic, Records, Id, Timeout, guard(std::move(Done)));
  }
  void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
            Milliseconds Timeout,
            std::function<void(const ReadReply &)> Done) override {
    m_node.m_log.read(Topic, From, Wait, Timeout, guard(std::move(Done)));
  }
  void newest(LogTopic Topic, const std::string &AfterKey, Milliseconds Timeout,
              std::function<void(const NewestReply &)> Done) override {
    m_node.m_log.newest(Topic, AfterKey, Timeout, guard(std::move(Done)));
  }

private:
  template <class Reply>
  std::function<void(const Reply &)>
  guard(std::function<void(const Reply &)> Done) {
    return [Node = &m_node, Incarnation = m_node.m_incarnation,
            Done = std::move(Done)](const Reply &Sent) {
      if (Incarnation == Node->m_incarnation)
        Node->deliver([Done, Sent] { Done(Sent); });
    };
  }

  FakeNode &m_node;
};

/// A worker link whose replies are deferred while the process is paused.
class FakeNode::PausableLink final : public WorkerLink {
public:
  PausableLink(FakeNode &Node, const std::string &Worker,
               std::unique_ptr<WorkerLink> Inner)
      : m_node(Node), m_worker(Worker), m_inner(std::move(Inner)) {}
  ~PausableLink() override { *m_isOpen = false; }

  void start(const StartOrder &Order, std::uint64_t Token,
             std::function<void(const OrderReply &)> Done) override {
    if (auto Respond = guard(std::move(Done)))
      m_inner->start(Order, Token, Respond);
  }
  void stop(const StopOrder &Order, std::uint64_t Token,
            std::function<void(const OrderReply &)> Done) override {
    if (auto Respond = guard(std::move(Done)))
      m_inner->stop(Order, Token, Respond);
  }
  void throttle(const ThrottleOrder &Order, std::uint64_t Token,
                std::function<void(const OrderReply &)> Done) override {
    if (auto Respond = guard(std::move(Done)))
      m_inner->throttle(Order, Token, Respond);
  }
  void poll(const PollOrder &Order, std::uint64_t Token,
            std::function<void(const PollReply &)> Done) override {
    if (auto Respond = guard(std::move(Done)))
      m_inner->poll(Order, Token, Respond);
  }

private:
  /// Returns null if the process is partitioned from the worker; the call then
  /// gets an empty reply after a timeout.
  template <class Reply>
  std::function<void(const Reply &)>
  guard(std::function<void(const Reply &)> Done) {
    auto Respond = [Node = &m_node, IsOpen = m_isOpen,
                    Done = std::move(Done)](const Reply &Sent) {
      if (*IsOpen)
        Node->deliver([IsOpen, Done, Sent] {
          if (*IsOpen)
            Done(Sent);
        });
    };
    if (!m_node.m_isPartitionedFromWorkers &&
        !m_node.m_unreachableWorkers.contains(m_worker))
      return Respond;
    constexpr Milliseconds Timeout{1000};
    m_node.m_host.schedule(Timeout, [Respond] { Respond(Reply{}); });
    return nullptr;
  }

  FakeNode &m_node;
  const std::string m_worker;
  std::unique_ptr<WorkerLink> m_inner;
  std::shared_ptr<bool> m_isOpen = std::make_shared<bool>(true);
};

FakeNode::FakeNode(Runtime &Host, FakeLog &Log, const std::string &Name)
    : m_log(Log), m_host(Host), m_name(Name) {}

FakeNode::~FakeNode() { kill(); }

Runtime::TimerId FakeNode::schedule(Duration Delay,
                                    std::function<void()> Call) {
  const auto Id = std::make_shared<TimerId>(0);
  *Id = m_host.schedule(
      Delay, [this, Id, Incarnation = m_incarnation, Call = std::move(Call)] {
        if (Incarnation == m_incarnation)
          deliver(Call, *Id);
      });
  return *Id;
}

void FakeNode::cancel(TimerId Id) {
  m_host.cancel(Id);
  std::erase_if(m_deferred,
                [Id](const auto &Each) { return Each.first == Id; });
}

void FakeNode::deliver(std::function<void()> Call, TimerId Id) {
  if (m_isPaused)
    m_deferred.emplace_back(Id, std::move(Call));
  else
    Call();
}

void FakeNode::resume() {
  m_isPaused = false;
  while (!m_deferred.empty() && !m_isPaused) {
    const std::function<void()> Call = std::move(m_deferred.front().second);
    m_deferred.pop_front();
    Call();
  }
}

void FakeNode::start(Owner::WorkerLinkFactory MakeLink,
                     Owner::WorkerRegistrationParser ParseRegistration,
                     const Options &Opts) {
  kill();
  m_pausableLog = std::make_unique<PausableLog>(*this);
  m_jobs = std::make_unique<Ledger>();
  m_evacuations = std::make_unique<Evacuations>(
      clock(), Evacuations::Options{Opts.m_maxEvacuationAge});
  m_operatorReader = std::make_unique<KeyedLogReader>(
      *this, *m_pausableLog,
      KeyedLogReader::Options{.m_topic = LogTopic::Operator,
                              .m_wait = Milliseconds(2000)},
      KeyedLogReader::Callbacks{
          [this](const StoredRecord &Each) {
            if (Each.m_record.m_value)
              m_evacuations->request(Each.m_record.m_key);
            else
              m_evacuations->withdraw(Each.m_record.m_key);
          },
          [this] { m_evacuations->onRead(m_operatorReader->caughtUpAt()); },
          [this](const std::set<std::string> &DataCentres) {
            m_evacuations->retainOnly(DataCentres);
            m_evacuations->onRead(m_operatorReader->caughtUpAt());
          }});
  Candidate::Options Values;
  Values.m_node = m_name;
  Values.m_bootId = m_name + "-" + std::to_string(m_incarnation);
  Values.m_owner.m_scheduler.m_jobRetention = Opts.m_jobRetention;
  Values.m_ownership.m_processorShare = Opts.m_processorShare;
  m_candidate = std::make_unique<Candidate>(
      *this, *m_pausableLog, *m_jobs, *m_evacuations,
      [this,
       MakeLink = std::move(MakeLink)](const WorkerRegistration &Registration)
          -> std::unique_ptr<WorkerLink> {
        return std::make_unique<PausableLink>(*this, Registration.m_id,
                                              MakeLink(Registration));
      },
      std::move(ParseRegistration), Values);
  m_jobService = std::make_unique<JobService>(*this, *m_pausableLog, *m_jobs,
                                              JobService::Options{});
  m_jobLookup = std::make_unique<JobLookup>(
      *m_jobService,
      JobLookup::Updates{[this] { return m_candidate->hasCaughtUp(); },
                         [this](std::function<void(bool)> Done) {
                           m_candidate->cover(std::move(Done));
                         }});
  m_operatorReader->start();
  m_candidate->start();
}

void FakeNode::kill() {
  m_candidate.reset();
  m_jobLookup.reset();
  m_jobService.reset();
  m_operatorReader.reset();
  m_evacuations.reset();
  m_jobs.reset();
  m_pausableLog.reset();
  m_deferred.clear();
  m_isPaused = false;
  ++m_incarnation;
}

SimulatedCluster::SimulatedCluster(const Options &Values)
    : m_random(Values.m_seed), m_log(m_host, m_random), m_options(Values) {
  for (std::size_t Index = 0; Index < Values.m_workers; ++Index) {
    m_workers.push_back(std::make_unique<FakeWorker>(
        m_host, m_random, m_history, "w" + std::to_string(Index),
        Values.m_capacity));
    m_workers.back()->m_dataCentre = "dc" + std::to_string(Index % 3);
    registerWorker(Index);
  }
  for (std::size_t Index = 0; Index < Values.m_nodes; ++Index) {
    m_nodes.push_back(
        std::make_unique<FakeNode>(m_host, m_log, "n" + std::to_string(Index)));
    startNode(Index);
  }
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::registerWorker(std::size_t Index) {
  m_log.put(LogTopic::Workers, m_workers[Index]->id(), std::to_string(Index));
}

void SimulatedCluster::startNode(std::size_t Index) {
  m_nodes[Index]->start(
      [this](const WorkerRegistration &Registration) {
        return m_workers[std::stoul(Registration.m_id.substr(1))]->connect(
            Registration.m_id);
      },
      [this](const std::string &Id,
             const std::string &Value) -> Result<WorkerRegistration> {
        WorkerRegistration Read = m_workers[std::stoul(Value)]->registration();
        if (Read.m_id != Id)
          return makeError(ErrorCode::Invalid, "the id is no longer in use");
        return Read;
      },
      {m_options.m_jobRetention, m_options.m_maxEvacuationAge,
       Index < m_options.m_processorShares.size()
           ? m_options.m_processorShares[Index]
           : 1.0});
}

void SimulatedCluster::crashWorker(std::size_t Index) {
  const std::string EarlierId = m_workers[Index]->id();
  m_workers[Index]->crash();
  m_host.schedule(RegistrationDelay, [this, Index, EarlierId] {
    if (m_workers[Index]->id() != EarlierId)
      m_log.put(LogTopic::Workers, EarlierId, std::nullopt);
    registerWorker(Index);
  });
}

void SimulatedCluster::changeCapacity(std::size_t Index,
                                      const Resources &Capacity) {
  m_workers[Index]->setCapacity(Capacity);
  registerWorker(Index);
}

void SimulatedCluster::restoreCapacities() {
  for (std::size_t Index = 0; Index < m_workers.size(); ++Index)
    changeCapacity(Index, m_options.m_capacity);
}

void SimulatedCluster::evacuate(const std::string &DataCentre) {
  m_history.evacuationRequested(DataCentre, m_host.now());
  m_log.put(LogTopic::Operator, DataCentre, "{}");
}

void SimulatedCluster::withdrawEvacuation(const std::string &DataCentre) {
  m_history.evacuationWithdrawn(DataCentre, m_host.now());
  m_log.put(LogTopic::Operator, DataCentre, std::nullopt);
}

FakeNode *SimulatedCluster::owner() {
  for (const auto &Each : m_nodes)
    if (Each->isOwner() && !Each->isPaused() && !Each->m_log.m_isPartitioned)
      return Each.get();
  return nullptr;
}

void SimulatedCluster::submit(const Submission &Job) {
  m_submitted.push_back({Job, TimePoint::max()});
  m_log.put(LogTopic::Jobs, submissionKey(Job.m_id), encode(Job));
}

void SimulatedCluster::cancel(const std::string &Id) {
  for (SubmittedJob &Each : m_submitted)
    if (Each.m_job.m_id == Id)
      Each.m_cancelledAt = m_host.now();
  m_log.put(LogTopic::Jobs, cancelKey(Id), "1");
}

JobState SimulatedCluster::stateOf(const std::string &Id) const {
  Ledger Seen;
  for (const std::string &Key :
       {submissionKey(Id), progressKey(Id), cancelKey(Id)})
    if (const auto Value = m_log.newestOf(LogTopic::Jobs, Key))
      Seen.apply(0, Key, Value);
  const LedgerJob *Found = Seen.find(Id);
  return Found ? Found->state() : JobState::Queued;
}

std::vector<std::string> SimulatedCluster::violations() const {
  HistoryBounds Bounds;
  for (std::size_t Index = 0; Index < m_workers.size(); ++Index) {
    const std::string Name = "w" + std::to_string(Index);
    Bounds.m_capacities[Name] = m_options.m_capacity;
    Bounds.m_dataCentres[Name] = m_workers[Index]->m_dataCentre;
  }
  return checkHistory(m_history, m_submitted, Bounds);
}

void SimulatedCluster::heal() {
  m_log.m_faults = {};
  for (const auto &Each : m_workers)
    Each->m_network = {};
  for (std::size_t Index = 0; Index < m_nodes.size(); ++Index) {
    m_nodes[Index]->m_log.m_isPartitioned = false;
    m_nodes[Index]->m_isPartitionedFromWorkers = false;
    m_nodes[Index]->m_unreachableWorkers.clear();
    if (!m_nodes[Index]->isRunning())
      startNode(Index);
    m_nodes[Index]->resume();
  }
}

std::string jobId(std::uint64_t Number) {
  std::string Id = std::to_string(Number);
  return std::string(16 - Id.size(), '0') + Id;
}

Submission batchJob(const std::string &Id, std::uint32_t Tasks) {
  Submission Job;
  Job.m_id = Id;
  Job.m_policy = {"counts", "tally", 0, 3, 1.5, Milliseconds(250)};
  StepSpec Step;
  Step.m_count = Tasks;
  Step.m_request = {1000, 500, 0};
  Step.m_estimate = Milliseconds(300);
  Job.m_spec.m_payload = "batch";
  Job.m_spec.m_steps.push_back(Step);
  return Job;
}

Submission chainedJob(const std::string &Id, std::uint32_t Tasks) {
  Submission Job = batchJob(Id, Tasks);
  Job.m_spec.m_steps.push_back(Job.m_spec.m_steps.front());
  Job.m_spec.m_steps.back().m_after = {0};
  Job.m_spec.m_steps.back().m_maxPerWorker = 2;
  return Job;
}

Submission serviceJob(const std::string &Id, std::uint32_t Tasks) {
  Submission Job = batchJob(Id, Tasks);
  Job.m_spec.m_payload = ServicePayload;
  Job.m_spec.m_steps.front().m_isService = true;
  return Job;
}

} // namespace catkinseam
