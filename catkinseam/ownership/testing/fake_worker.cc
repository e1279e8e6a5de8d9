// In-memory worker.
#include "catkinseam/ownership/testing/fake_worker.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

/// Interval at which ended runs and an expired lease are detected.
constexpr Milliseconds TickInterval{10};
/// Maximum length of a lease that the worker accepts.
constexpr Milliseconds MaxLease{6000};
constexpr Milliseconds DelayedStartThreshold{1000};
/// Rate of the worker's clock, the slowest that the design permits.
constexpr double ClockRate = 0.98;

/// Returns the work that a checkpoint stands for; zero if it is empty.
Milliseconds workOf(const std::string &Checkpoint) {
  std::int64_t Count = 0;
  std::from_chars(Checkpoint.data(), Checkpoint.data() + Checkpoint.size(),
                  Count);
  return Milliseconds(Count);
}

} // namespace

/// One process's connection to the worker.
class FakeWorker::Link final : public WorkerLink {
public:
  Link(FakeWorker &Worker, std::string Id)
      : m_worker(Worker), m_isWorkerAlive(Worker.m_isAlive),
        m_id(std::move(Id)) {}
  ~Link() override { *m_isOpen = false; }

  void start(const StartOrder &Order, std::uint64_t Token,
             std::function<void(const OrderReply &)> Done) override {
    send<OrderReply>(
        [Order, Token, SentAt = m_worker.m_host.now()](FakeWorker &Worker) {
          return OrderReply{Worker.start(Order, Token, SentAt), Worker.clock()};
        },
        std::move(Done));
  }

  void stop(const StopOrder &Order, std::uint64_t Token,
            std::function<void(const OrderReply &)> Done) override {
    send<OrderReply>(
        [Order, Token](FakeWorker &Worker) {
          return OrderReply{Worker.stop(Order, Token), Worker.clock()};
        },
        std::move(Done));
  }

  void throttle(const ThrottleOrder &, std::uint64_t,
                std::function<void(const OrderReply &)> Done) override {
    send<OrderReply>(
        [](FakeWorker &Worker) {
          return OrderReply{OrderOutcome::Done, Worker.clock()};
        },
        std::move(Done));
  }

  void poll(const PollOrder &Order, std::uint64_t Token,
            std::function<void(const PollReply &)> Done) override {
    const TimePoint Deadline = m_worker.m_host.now() + Order.m_maxWait;
    send<PollReply>(
        [Order, Token](FakeWorker &Worker) {
          const OrderOutcome Outcome = Worker.poll(Order, Token);
          return PollReply{Outcome, Worker.snapshot()};
        },
        [this, Order, Deadline,
         Done = std::move(Done)](const PollReply &Reply) {
          waitForEnd(Order, Deadline, Reply, Done);
        });
  }

private:
  /// Long poll: without an ended run to report, replies when one occurs or at
  /// the deadline.
  void waitForEnd(const PollOrder &Order, TimePoint Deadline,
                  const PollReply &Reply,
                  const std::function<void(const PollReply &)> &Done) {
    const bool HasEnd = !Reply.m_snapshot.m_ended.empty();
    if (Reply.m_outcome != OrderOutcome::Done || HasEnd ||
        m_worker.m_host.now() >= Deadline)
      return Done(Reply);
    m_worker.m_host.schedule(
        TickInterval, [this, Order, Deadline, Reply, Done, IsOpen = m_isOpen] {
          if (!*IsOpen)
            return;
          if (m_worker.m_network.m_isPartitioned ||
              m_worker.m_startedMs != Reply.m_snapshot.m_startedMs)
            return Done(PollReply{});
          waitForEnd(Order, Deadline, {OrderOutcome::Done, m_worker.snapshot()},
                     Done);
        });
  }

  template <class Reply>
  void send(std::function<Reply(FakeWorker &)> Execute,
            std::function<void(const Reply &)> Done) {
    Runtime &Host = m_worker.m_host;
    static constexpr Milliseconds Timeout{1000};
    const auto Respond = [Done, IsOpen = m_isOpen](const Reply &Sent) {
      if (*IsOpen)
        Done(Sent);
    };
    const bool IsPartitioned = m_worker.m_network.m_isPartitioned;
    const bool IsDelayed = m_worker.chance(m_worker.m_network.m_delayedRate);
    const bool IsReplyLost =
        IsPartitioned || IsDelayed ||
        m_worker.chance(m_worker.m_network.m_lostReplyRate);
    if (IsReplyLost)
      Host.schedule(Timeout, [Respond] { Respond(Reply{}); });
    if (IsPartitioned)
      return;
    const Milliseconds Delay(
        std::uniform_int_distribution<int>(2000, 8000)(m_worker.m_random));
    Host.schedule(
        IsDelayed ? Delay : m_worker.m_network.m_delay,
        [Execute, Respond, IsReplyLost, IsDelayed, Worker = &m_worker,
         IsWorkerAlive = m_isWorkerAlive, Id = m_id,
         SentTo = m_worker.m_startedMs] {
          if (!*IsWorkerAlive)
            return;
          if (IsDelayed && Worker->m_startedMs != SentTo &&
              !Worker->m_network.m_delaysAcrossRestarts)
            return;
          if (Worker->m_isDown) {
            if (!IsReplyLost)
              Worker->m_host.schedule(Timeout, [Respond] { Respond(Reply{}); });
            return;
          }
          Reply Sent{};
          if (Worker->id() == Id)
            Sent = Execute(*Worker);
          else
            Sent.m_outcome = OrderOutcome::OtherIncarnation;
          if (!IsReplyLost)
            Worker->m_host.schedule(Worker->m_network.m_delay,
                                    [Respond, Sent] { Respond(Sent); });
        });
  }

  FakeWorker &m_worker;
  const std::shared_ptr<bool> m_isWorkerAlive;
  const std::string m_id;
  std::shared_ptr<bool> m_isOpen = std::make_shared<bool>(true);
};

FakeWorker::FakeWorker(Runtime &Host, std::mt19937_64 &Random,
                       RunHistory &History, const std::string &Id,
                       const Resources &Capacity)
    : m_host(Host), m_random(Random), m_history(History), m_id(Id),
      m_capacity(Capacity), m_startedAt(Host.now()) {
  tick();
}

FakeWorker::~FakeWorker() { *m_isAlive = false; }

std::unique_ptr<WorkerLink> FakeWorker::connect(const std::string &Id) {
  return std::make_unique<Link>(*this, Id);
}

std::string FakeWorker::id() const {
  return m_earlierIds == 0 ? m_id : m_id + "." + std::to_string(m_earlierIds);
}

WorkerRegistration FakeWorker::registration() const {
  WorkerRegistration Registration;
  Registration.m_id = id();
  Registration.m_startedMs = m_startedMs;
  Registration.m_address = {"127.0.0.1", 1};
  Registration.m_service = "tally";
  Registration.m_dataCentre = m_dataCentre;
  Registration.m_coldFor = m_coldFor;
  Registration.m_capacity = m_capacity;
  return Registration;
}

void FakeWorker::setCapacity(const Resources &Capacity) {
  m_capacity = Capacity;
  m_history.capacityChanged(m_id, Capacity, m_host.now());
}

bool FakeWorker::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Probability;
}

Milliseconds FakeWorker::clock() const {
  const auto Since = std::chrono::duration<double>(m_host.now() - m_startedAt);
  return std::chrono::duration_cast<Milliseconds>(Since * ClockRate) +
         Milliseconds(1);
}

bool FakeWorker::checkToken(std::uint64_t Token) {
  if (m_checksTokens && Token < m_fence)
    return false;
  m_fence = std::max(m_fence, Token);
  return true;
}

void FakeWorker::extendLease(Milliseconds Expires) {
  m_leaseEnd = std::max(m_leaseEnd, std::min(Expires, clock() + MaxLease));
}

OrderOutcome FakeWorker::start(const StartOrder &Order, std::uint64_t Token,
                               TimePoint SentAt) {
  if (!checkToken(Token))
    return OrderOutcome::Fenced;
  if (m_runs.contains({Order.m_task, Order.m_run}))
    return OrderOutcome::Done;
  if (Order.m_expires <= clock())
    return OrderOutcome::LeaseExpired;
  extendLease(Order.m_expires);
  const auto HighestClosed = m_highestClosedRun.find(Order.m_task);
  if (HighestClosed != m_highestClosedRun.end() &&
      Order.m_run <= HighestClosed->second)
    return OrderOutcome::StaleRun;
  m_runs[{Order.m_task, Order.m_run}] = makeRun(Order);
  m_history.started(m_id, Order.m_task, Order.m_run, m_host.now(),
                    m_host.now() - SentAt > DelayedStartThreshold);
  if (m_onStart)
    m_onStart(Order.m_task);
  return OrderOutcome::Done;
}

FakeWorker::Running FakeWorker::makeRun(const StartOrder &Order) {
  RunPlan Plan;
  if (m_plan) {
    Plan = m_plan(Order);
  } else {
    Plan.m_work = m_runTime;
    Plan.m_isService = Order.m_payload == "service";
    Plan.m_willFail = chance(m_failureRate) && !Plan.m_isService;
  }
  Running Run;
  Run.m_checkpointInterval = Plan.m_checkpointInterval;
  if (Plan.m_checkpointInterval > Milliseconds::zero())
    Run.m_resumedWork = workOf(Order.m_checkpoint);
  Run.m_startedAt = m_host.now();
  Run.m_willFail = Plan.m_willFail;
  const Milliseconds Rest =
      std::max(Plan.m_work - Run.m_resumedWork, Milliseconds::zero());
  Run.m_endsAt = Plan.m_isService && !Plan.m_willFail ? TimePoint::max()
                                                      : m_host.now() + Rest;
  return Run;
}

OrderOutcome FakeWorker::stop(const StopOrder &Order, std::uint64_t Token) {
  if (!checkToken(Token))
    return OrderOutcome::Fenced;
  RunNumber &HighestClosed = m_highestClosedRun[Order.m_task];
  HighestClosed = std::max(HighestClosed, Order.m_run);
  const auto Found = m_runs.find({Order.m_task, Order.m_run});
  if (Found == m_runs.end() || Found->second.m_isStopping)
    return OrderOutcome::Done;
  if (m_stopTime == Milliseconds::zero()) {
    endRun({Order.m_task, Order.m_run}, RunEnd::Stopped);
  } else {
    Found->second.m_isStopping = true;
    Found->second.m_endsAt = m_host.now() + m_stopTime;
  }
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::poll(const PollOrder &Order, std::uint64_t Token) {
  if (!checkToken(Token))
    return OrderOutcome::Fenced;
  for (const EndedRun &Each : m_ended)
    if (Each.m_sequence <= Order.m_acknowledgedEnd)
      m_history.observed(m_id, Each.m_task, Each.m_run, m_host.now());
  std::erase_if(m_ended, [&](const EndedRun &Each) {
    return Each.m_sequence <= Order.m_acknowledgedEnd;
  });
  if (Order.m_expires)
    extendLease(*Order.m_expires);
  return OrderOutcome::Done;
}

WorkerSnapshot FakeWorker::snapshot() const {
  WorkerSnapshot Seen;
  Seen.m_startedMs = m_startedMs;
  Seen.m_clock = clock();
  Seen.m_ended = m_ended;
  for (const auto &[Which, Run] : m_runs) {
    ActiveRun Active;
    Active.m_task = Which.first;
    Active.m_run = Which.second;
    Active.m_checkpoint = checkpointOf(Run, false);
    Active.m_percent = 100;
    Seen.m_active.push_back(Active);
  }
  return Seen;
}

std::string FakeWorker::checkpointOf(const Running &Run, bool IsStop) const {
  if (Run.m_checkpointInterval == Milliseconds::zero())
    return "";
  const Milliseconds Work =
      Run.m_resumedWork +
      std::chrono::duration_cast<Milliseconds>(m_host.now() - Run.m_startedAt);
  const Milliseconds Saved = Work - Work % Run.m_checkpointInterval;
  const Milliseconds Newest =
      std::max(Run.m_resumedWork, IsStop ? Work : Saved);
  return Newest == Milliseconds::zero() ? "" : std::to_string(Newest.count());
}

void FakeWorker::endRun(const RunKey &Which, RunEnd How) {
  const std::string Checkpoint =
      checkpointOf(m_runs.at(Which), How == RunEnd::Stopped);
  m_runs.erase(Which);
  RunNumber &HighestClosed = m_highestClosedRun[Which.first];
  HighestClosed = std::max(HighestClosed, Which.second);
  m_ended.push_back(
      {++m_lastObservedEnd, Which.first, Which.second, How, Checkpoint});
  m_history.ended(m_id, Which.first, Which.second, How, m_host.now());
}

void FakeWorker::tick() {
  const bool HasLease = clock() < m_leaseEnd;
  if (m_hadLease && !HasLease)
    m_history.leaseExpired(m_id, m_host.now());
  m_hadLease = HasLease;
  const std::map<RunKey, Running> Runs = m_runs;
  for (const auto &[Which, Run] : Runs) {
    if (!HasLease)
      endRun(Which, RunEnd::Lapsed);
    else if (m_host.now() >= Run.m_endsAt && Run.m_isStopping)
      endRun(Which, RunEnd::Stopped);
    else if (m_host.now() >= Run.m_endsAt)
      endRun(Which, Run.m_willFail ? RunEnd::Failed : RunEnd::Done);
  }
  m_host.schedule(TickInterval, [this, IsAlive = m_isAlive] {
    if (*IsAlive)
      tick();
  });
}

void FakeWorker::crash() {
  for (const auto &[Which, Run] : m_runs)
    m_history.crashed(m_id, Which.first, Which.second, m_host.now());
  m_runs.clear();
  m_highestClosedRun.clear();
  m_ended.clear();
  m_lastObservedEnd = 0;
  m_fence = 0;
  m_leaseEnd = Milliseconds(0);
  ++m_startedMs;
  if (m_changesId)
    ++m_earlierIds;
  m_startedAt = m_host.now();
}

} // namespace catkinseam
