// The worker in memory.
#include "catkinseam/ownership/testing/fake_worker.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr Milliseconds TickTime{10};
constexpr Milliseconds LongestLease{6000};
constexpr Milliseconds LateAfter{1000};
/// The worker's clock is as slow as clocks are allowed to be.
constexpr double ClockRate = 0.98;

} // namespace

/// One process's way to the worker.
class FakeWorker::Link final : public WorkerLink {
public:
  explicit Link(FakeWorker &Worker)
      : m_worker(Worker), m_life(Worker.m_isAlive), m_bornMs(Worker.m_bornMs) {}
  ~Link() override { *m_isOpen = false; }

  void start(const StartOrder &Order, std::uint64_t Token,
             std::function<void(const OrderReply &)> Done) override {
    carry<OrderReply>(
        [Order, Token, SentAt = m_worker.m_host.now()](FakeWorker &On) {
          return OrderReply{On.start(Order, Token, SentAt), On.clock()};
        },
        std::move(Done));
  }

  void stop(const StopOrder &Order, std::uint64_t Token,
            std::function<void(const OrderReply &)> Done) override {
    carry<OrderReply>(
        [Order, Token](FakeWorker &On) {
          return OrderReply{On.stop(Order, Token), On.clock()};
        },
        std::move(Done));
  }

  void pace(const PaceOrder &, std::uint64_t,
            std::function<void(const OrderReply &)> Done) override {
    carry<OrderReply>(
        [](FakeWorker &On) {
          return OrderReply{OrderOutcome::Done, On.clock()};
        },
        std::move(Done));
  }

  void hold(const HoldOrder &Order, std::uint64_t Token,
            std::function<void(const HoldReply &)> Done) override {
    const TimePoint Deadline = m_worker.m_host.now() + Order.m_wait;
    carry<HoldReply>(
        [Order, Token](FakeWorker &On) {
          const OrderOutcome Outcome = On.hold(Order, Token);
          return HoldReply{Outcome, On.look()};
        },
        [this, Order, Deadline, Done = std::move(Done)](
            const HoldReply &Reply) { wait(Order, Deadline, Reply, Done); });
  }

private:
  /// A held look that shows no end answers when one comes, or in the end.
  void wait(const HoldOrder &Order, TimePoint Deadline, const HoldReply &Reply,
            const std::function<void(const HoldReply &)> &Done) {
    const bool HasEnd = !Reply.m_look.m_ended.empty();
    if (Reply.m_outcome != OrderOutcome::Done || HasEnd ||
        m_worker.m_host.now() >= Deadline)
      return Done(Reply);
    m_worker.m_host.schedule(
        TickTime, [this, Order, Deadline, Done, IsOpen = m_isOpen] {
          if (!*IsOpen)
            return;
          if (m_worker.m_path.m_isCut || m_worker.m_bornMs != m_bornMs)
            return Done(HoldReply{});
          wait(Order, Deadline, {OrderOutcome::Done, m_worker.look()}, Done);
        });
  }

  template <class Reply>
  void carry(std::function<Reply(FakeWorker &)> Act,
             std::function<void(const Reply &)> Done) {
    Runtime &Host = m_worker.m_host;
    constexpr Milliseconds Timeout{1000};
    const auto Answer = [Done, IsOpen = m_isOpen](const Reply &Sent) {
      if (*IsOpen)
        Done(Sent);
    };
    const bool IsCut = m_worker.m_path.m_isCut;
    const bool IsLate = m_worker.happens(m_worker.m_path.m_lateShare);
    const bool IsLost =
        IsCut || IsLate || m_worker.happens(m_worker.m_path.m_lostShare);
    if (IsLost)
      Host.schedule(Timeout, [Answer] { Answer(Reply{}); });
    if (IsCut)
      return;
    const Milliseconds Lateness(
        std::uniform_int_distribution<int>(2000, 8000)(m_worker.m_random));
    Host.schedule(IsLate ? Lateness : m_worker.m_path.m_delay,
                  [Act, Answer, IsLost, Worker = &m_worker, Life = m_life,
                   Born = m_bornMs] {
                    if (!*Life)
                      return;
                    Reply Sent{};
                    if (Worker->m_bornMs == Born)
                      Sent = Act(*Worker);
                    else
                      Sent.m_outcome = OrderOutcome::OtherLife;
                    if (!IsLost)
                      Worker->m_host.schedule(Worker->m_path.m_delay,
                                              [Answer, Sent] { Answer(Sent); });
                  });
  }

  FakeWorker &m_worker;
  const std::shared_ptr<bool> m_life;
  const std::int64_t m_bornMs;
  std::shared_ptr<bool> m_isOpen = std::make_shared<bool>(true);
};

FakeWorker::FakeWorker(Runtime &Host, std::mt19937_64 &Random, RunHistory &Past,
                       const std::string &Id, const Resources &Capacity)
    : m_host(Host), m_random(Random), m_past(Past), m_id(Id),
      m_capacity(Capacity), m_bornAt(Host.now()) {
  tick();
}

FakeWorker::~FakeWorker() { *m_isAlive = false; }

std::unique_ptr<WorkerLink> FakeWorker::connect() {
  return std::make_unique<Link>(*this);
}

WorkerReport FakeWorker::report() const {
  WorkerReport Report;
  Report.m_id = m_id;
  Report.m_bornMs = m_bornMs;
  Report.m_address = {"127.0.0.1", 1};
  Report.m_service = "tally";
  Report.m_capacity = m_capacity;
  return Report;
}

bool FakeWorker::happens(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Share;
}

Milliseconds FakeWorker::clock() const {
  const auto Since = std::chrono::duration<double>(m_host.now() - m_bornAt);
  return std::chrono::duration_cast<Milliseconds>(Since * ClockRate) +
         Milliseconds(1);
}

bool FakeWorker::admit(std::uint64_t Token) {
  if (Token < m_fence)
    return false;
  m_fence = Token;
  return true;
}

void FakeWorker::extend(Milliseconds Expires) {
  m_leaseEnd = std::max(m_leaseEnd, std::min(Expires, clock() + LongestLease));
}

OrderOutcome FakeWorker::start(const StartOrder &Order, std::uint64_t Token,
                               TimePoint SentAt) {
  if (!admit(Token))
    return OrderOutcome::Fenced;
  if (m_runs.contains({Order.m_task, Order.m_run}))
    return OrderOutcome::Done;
  if (Order.m_expires <= clock())
    return OrderOutcome::Late;
  extend(Order.m_expires);
  const auto Barred = m_barred.find(Order.m_task);
  if (Barred != m_barred.end() && Order.m_run <= Barred->second)
    return OrderOutcome::OldRun;
  Running Run;
  Run.m_doneAt = Order.m_payload == "service" ? TimePoint::max()
                                              : m_host.now() + m_runTime;
  Run.m_fails = happens(m_failShare);
  m_runs[{Order.m_task, Order.m_run}] = Run;
  m_past.started(m_id, Order.m_task, Order.m_run, m_host.now(),
                 m_host.now() - SentAt > LateAfter);
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::stop(const StopOrder &Order, std::uint64_t Token) {
  if (!admit(Token))
    return OrderOutcome::Fenced;
  RunNumber &Barred = m_barred[Order.m_task];
  Barred = std::max(Barred, Order.m_run);
  if (m_runs.contains({Order.m_task, Order.m_run}))
    end({Order.m_task, Order.m_run}, RunEnd::Stopped);
  return OrderOutcome::Done;
}

OrderOutcome FakeWorker::hold(const HoldOrder &Order, std::uint64_t Token) {
  if (!admit(Token))
    return OrderOutcome::Fenced;
  for (const EndedRun &Each : m_ended)
    if (Each.m_number <= Order.m_observed)
      m_past.observed(m_id, Each.m_task, Each.m_run, m_host.now());
  std::erase_if(m_ended, [&](const EndedRun &Each) {
    return Each.m_number <= Order.m_observed;
  });
  if (Order.m_expires)
    extend(*Order.m_expires);
  return OrderOutcome::Done;
}

WorkerLook FakeWorker::look() const {
  WorkerLook Seen;
  Seen.m_bornMs = m_bornMs;
  Seen.m_clock = clock();
  Seen.m_ended = m_ended;
  for (const auto &[Which, Run] : m_runs) {
    ActiveRun Active;
    Active.m_task = Which.first;
    Active.m_run = Which.second;
    Active.m_percent = 100;
    Seen.m_active.push_back(Active);
  }
  return Seen;
}

void FakeWorker::end(const RunKey &Which, RunEnd How) {
  m_runs.erase(Which);
  RunNumber &Barred = m_barred[Which.first];
  Barred = std::max(Barred, Which.second);
  m_ended.push_back({++m_lastEnd, Which.first, Which.second, How, ""});
  m_past.ended(m_id, Which.first, Which.second, How, m_host.now());
}

void FakeWorker::tick() {
  const bool HasLease = clock() < m_leaseEnd;
  if (m_hadLease && !HasLease)
    m_past.lapsed(m_id, m_host.now());
  m_hadLease = HasLease;
  const std::map<RunKey, Running> Runs = m_runs;
  for (const auto &[Which, Run] : Runs) {
    if (!HasLease)
      end(Which, RunEnd::Lapsed);
    else if (m_host.now() >= Run.m_doneAt)
      end(Which, Run.m_fails ? RunEnd::Failed : RunEnd::Done);
  }
  m_host.schedule(TickTime, [this, IsAlive = m_isAlive] {
    if (*IsAlive)
      tick();
  });
}

void FakeWorker::crash() {
  for (const auto &[Which, Run] : m_runs)
    m_past.died(m_id, Which.first, Which.second, m_host.now());
  m_runs.clear();
  m_barred.clear();
  m_ended.clear();
  m_lastEnd = 0;
  m_fence = 0;
  m_leaseEnd = Milliseconds(0);
  ++m_bornMs;
  m_bornAt = m_host.now();
}

} // namespace catkinseam
