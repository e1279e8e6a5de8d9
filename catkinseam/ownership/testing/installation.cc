// The installation under a paused clock.
#include "catkinseam/ownership/testing/installation.h"

#include "catkinseam/base/codec.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// A crashed worker is listed anew after this time.
constexpr Milliseconds RelistTime{800};

const char *const ServicePayload = "service";

} // namespace

/// The log as a process that may be frozen sees it.
class FakeNode::GatedLog final : public KeyedLog {
public:
  explicit GatedLog(FakeNode &Node) : m_node(Node) {}

  void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
              const std::optional<ProducerMark> &Mark, Milliseconds Timeout,
              std::function<void(const AppendReply &)> Done) override {
    m_node.m_log.append(Topic, Records, Mark, Timeout, gate(std::move(Done)));
  }
  void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
            Milliseconds Timeout,
            std::function<void(const ReadReply &)> Done) override {
    m_node.m_log.read(Topic, From, Wait, Timeout, gate(std::move(Done)));
  }
  void newest(LogTopic Topic, const std::string &AfterKey, Milliseconds Timeout,
              std::function<void(const NewestReply &)> Done) override {
    m_node.m_log.newest(Topic, AfterKey, Timeout, gate(std::move(Done)));
  }

private:
  template <class Reply>
  std::function<void(const Reply &)>
  gate(std::function<void(const Reply &)> Done) {
    return [Node = &m_node, Life = m_node.m_lives,
            Done = std::move(Done)](const Reply &Sent) {
      if (Life == Node->m_lives)
        Node->pass([Done, Sent] { Done(Sent); });
    };
  }

  FakeNode &m_node;
};

/// A link to a worker of a process that may be frozen.
class FakeNode::GatedLink final : public WorkerLink {
public:
  GatedLink(FakeNode &Node, std::unique_ptr<WorkerLink> Inner)
      : m_node(Node), m_inner(std::move(Inner)) {}
  ~GatedLink() override { *m_isOpen = false; }

  void start(const StartOrder &Order, std::uint64_t Token,
             std::function<void(const OrderReply &)> Done) override {
    if (auto Answer = gate(std::move(Done)))
      m_inner->start(Order, Token, Answer);
  }
  void stop(const StopOrder &Order, std::uint64_t Token,
            std::function<void(const OrderReply &)> Done) override {
    if (auto Answer = gate(std::move(Done)))
      m_inner->stop(Order, Token, Answer);
  }
  void pace(const PaceOrder &Order, std::uint64_t Token,
            std::function<void(const OrderReply &)> Done) override {
    if (auto Answer = gate(std::move(Done)))
      m_inner->pace(Order, Token, Answer);
  }
  void hold(const HoldOrder &Order, std::uint64_t Token,
            std::function<void(const HoldReply &)> Done) override {
    if (auto Answer = gate(std::move(Done)))
      m_inner->hold(Order, Token, Answer);
  }

private:
  /// Null when the call cannot leave; it is then answered as lost, later.
  template <class Reply>
  std::function<void(const Reply &)>
  gate(std::function<void(const Reply &)> Done) {
    auto Answer = [Node = &m_node, IsOpen = m_isOpen,
                   Done = std::move(Done)](const Reply &Sent) {
      if (*IsOpen)
        Node->pass([IsOpen, Done, Sent] {
          if (*IsOpen)
            Done(Sent);
        });
    };
    if (!m_node.m_isCutFromWorkers)
      return Answer;
    constexpr Milliseconds Timeout{1000};
    m_node.m_host.schedule(Timeout, [Answer] { Answer(Reply{}); });
    return nullptr;
  }

  FakeNode &m_node;
  std::unique_ptr<WorkerLink> m_inner;
  std::shared_ptr<bool> m_isOpen = std::make_shared<bool>(true);
};

FakeNode::FakeNode(Runtime &Host, FakeLog &Log, const std::string &Name)
    : m_log(Log), m_host(Host), m_name(Name) {}

FakeNode::~FakeNode() { kill(); }

Runtime::TimerId FakeNode::schedule(Duration Delay,
                                    std::function<void()> Call) {
  const auto Id = std::make_shared<TimerId>(0);
  *Id = m_host.schedule(Delay,
                        [this, Id, Life = m_lives, Call = std::move(Call)] {
                          if (Life == m_lives)
                            pass(Call, *Id);
                        });
  return *Id;
}

void FakeNode::cancel(TimerId Id) {
  m_host.cancel(Id);
  std::erase_if(m_held, [Id](const auto &Each) { return Each.first == Id; });
}

void FakeNode::pass(std::function<void()> Call, TimerId Id) {
  if (m_isFrozen)
    m_held.emplace_back(Id, std::move(Call));
  else
    Call();
}

void FakeNode::wake() {
  m_isFrozen = false;
  while (!m_held.empty() && !m_isFrozen) {
    const std::function<void()> Call = std::move(m_held.front().second);
    m_held.pop_front();
    Call();
  }
}

void FakeNode::start(Owner::LinkMaker Links, Owner::EntryReader Entries) {
  kill();
  m_gatedLog = std::make_unique<GatedLog>(*this);
  m_jobs = std::make_unique<Ledger>();
  Candidate::Options Values;
  Values.m_entry = m_name;
  Values.m_boot = m_name + "-" + std::to_string(m_lives);
  m_candidate = std::make_unique<Candidate>(
      *this, *m_gatedLog, *m_jobs,
      [this, Links = std::move(Links)](
          const WorkerReport &Report) -> std::unique_ptr<WorkerLink> {
        return std::make_unique<GatedLink>(*this, Links(Report));
      },
      std::move(Entries), Values);
  m_candidate->start();
}

void FakeNode::kill() {
  m_candidate.reset();
  m_jobs.reset();
  m_gatedLog.reset();
  m_held.clear();
  m_isFrozen = false;
  ++m_lives;
}

Installation::Installation(const Options &Values)
    : m_random(Values.m_seed), m_log(m_host, m_random), m_options(Values) {
  for (std::size_t At = 0; At < Values.m_workers; ++At) {
    m_workers.push_back(std::make_unique<FakeWorker>(
        m_host, m_random, m_past, "w" + std::to_string(At), Values.m_capacity));
    list(At);
  }
  for (std::size_t At = 0; At < Values.m_nodes; ++At) {
    m_nodes.push_back(
        std::make_unique<FakeNode>(m_host, m_log, "n" + std::to_string(At)));
    startNode(At);
  }
}

Installation::~Installation() = default;

void Installation::list(std::size_t At) {
  m_log.put(LogTopic::Workers, "w" + std::to_string(At), std::to_string(At));
}

void Installation::startNode(std::size_t At) {
  m_nodes[At]->start(
      [this](const WorkerReport &Report) {
        return m_workers[std::stoul(Report.m_id.substr(1))]->connect();
      },
      [this](const std::string &, const std::string &Value) {
        return Result<WorkerReport>(m_workers[std::stoul(Value)]->report());
      });
}

void Installation::crashWorker(std::size_t At) {
  m_workers[At]->crash();
  m_host.schedule(RelistTime, [this, At] { list(At); });
}

FakeNode *Installation::owner() {
  for (const auto &Each : m_nodes)
    if (Each->isOwner() && !Each->isFrozen() && !Each->m_log.m_isCut)
      return Each.get();
  return nullptr;
}

void Installation::submit(const Submission &Job) {
  m_asked.push_back({Job, TimePoint::max()});
  m_log.put(LogTopic::Jobs, submissionKey(Job.m_id), encode(Job));
}

void Installation::cancel(const std::string &Id) {
  for (AskedJob &Each : m_asked)
    if (Each.m_job.m_id == Id)
      Each.m_cancelledAt = m_host.now();
  m_log.put(LogTopic::Jobs, cancelKey(Id), "1");
}

JobState Installation::stateOf(const std::string &Id) const {
  Ledger Seen;
  for (const std::string &Key :
       {submissionKey(Id), progressKey(Id), cancelKey(Id)})
    if (const auto Value = m_log.newestOf(LogTopic::Jobs, Key))
      Seen.apply(0, Key, Value);
  const LedgerJob *Found = Seen.find(Id);
  return Found ? Found->state() : JobState::Queued;
}

std::vector<std::string> Installation::faults() const {
  HistoryBounds Bounds;
  for (std::size_t At = 0; At < m_workers.size(); ++At)
    Bounds.m_capacities["w" + std::to_string(At)] = m_options.m_capacity;
  return checkHistory(m_past, m_asked, Bounds);
}

void Installation::heal() {
  m_log.m_faults = {};
  for (const auto &Each : m_workers)
    Each->m_path = {};
  for (std::size_t At = 0; At < m_nodes.size(); ++At) {
    m_nodes[At]->m_log.m_isCut = false;
    m_nodes[At]->m_isCutFromWorkers = false;
    if (!m_nodes[At]->isRunning())
      startNode(At);
    m_nodes[At]->wake();
  }
}

Submission batchJob(const std::string &Id, std::uint32_t Tasks) {
  Submission Job;
  Job.m_id = Id;
  Job.m_terms = {"counts", "tally", 0, 3, 1.5, Milliseconds(250)};
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
