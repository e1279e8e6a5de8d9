// An in-memory worker with leases, fencing, ended runs, and an unreliable
// network.
//
//   FakeWorker One(Host, Random, History, "w1", Capacity);
//   std::unique_ptr<WorkerLink> Link = One.connect();
//   One.m_network.m_isPartitioned = true; // its runs continue
#ifndef CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H
#define CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ownership/testing/run_history.h"
#include "catkinseam/scheduler/orders.h"

#include <functional>
#include <map>
#include <random>

namespace catkinseam {

class FakeWorker {
public:
  /// What a run does, unless it is stopped.
  struct RunPlan {
    /// Work of the whole task; a run that resumes does the rest of it.
    Milliseconds m_work{300};
    /// Fails at its end.
    bool m_willFail = false;
    /// Ends only if it fails.
    bool m_isService = false;
    /// Work between two checkpoints; zero for a task that saves none.
    Milliseconds m_checkpointInterval{0};
  };

  struct Network {
    bool m_isPartitioned = false;
    Milliseconds m_delay{1};
    /// Probability that an order is executed and its reply lost.
    double m_lostReplyRate = 0.0;
    /// Probability that an order is executed 2 to 8 s later and its reply lost.
    double m_delayedRate = 0.0;
    /// Whether the next incarnation under the same id executes such an order;
    /// otherwise it is forgotten in a crash.
    bool m_delaysAcrossRestarts = false;
  };

  FakeWorker(Runtime &Host, std::mt19937_64 &Random, RunHistory &History,
             const std::string &Id, const Resources &Capacity);
  ~FakeWorker();

  /// Connects to the incarnation that has this id; as the platform's orders
  /// name the id only, they may reach a later one that keeps it.
  std::unique_ptr<WorkerLink> connect(const std::string &Id);
  std::unique_ptr<WorkerLink> connect() { return connect(id()); }

  /// Ends all runs without a report and starts a new incarnation immediately.
  void crash();

  /// The id of this incarnation.
  std::string id() const;

  WorkerRegistration registration() const;

  /// Does not affect the runs that the worker has.
  void setCapacity(const Resources &Capacity);

  /// Duration of subsequent runs, and the probability that each fails.
  Milliseconds m_runTime{300};
  double m_failureRate = 0.0;
  /// How long a run goes on after its stop was acknowledged.
  Milliseconds m_stopTime{0};
  Network m_network;
  /// Whether orders with a lower token than an earlier one are rejected.
  bool m_checksTokens = true;
  std::string m_dataCentre;
  /// How long the worker registers that it is slow after its start.
  Milliseconds m_coldFor{0};
  /// A crash ends the life of the id; the next incarnation has another one at
  /// the same address.
  bool m_changesId = false;
  /// Orders that arrive are lost.
  bool m_isDown = false;
  /// Decides what a run does; null for m_runTime and m_failureRate.
  std::function<RunPlan(const StartOrder &)> m_plan;
  /// Called when a run starts; null for none.
  std::function<void(const TaskKey &)> m_onStart;

private:
  class Link;
  struct Running {
    /// Work that the checkpoint of its start stands for.
    Milliseconds m_resumedWork{0};
    Milliseconds m_checkpointInterval{0};
    TimePoint m_startedAt;
    TimePoint m_endsAt;
    bool m_willFail = false;
    bool m_isStopping = false;
  };
  using RunKey = std::pair<TaskKey, RunNumber>;

  Milliseconds clock() const;
  OrderOutcome start(const StartOrder &Order, std::uint64_t Token,
                     TimePoint SentAt);
  OrderOutcome stop(const StopOrder &Order, std::uint64_t Token);
  OrderOutcome poll(const PollOrder &Order, std::uint64_t Token);
  Running makeRun(const StartOrder &Order);
  /// Returns a run's newest checkpoint; empty if there is none. A stop saves
  /// one.
  std::string checkpointOf(const Running &Run, bool IsStop) const;
  WorkerSnapshot snapshot() const;
  bool checkToken(std::uint64_t Token);
  void extendLease(Milliseconds Expires);
  void endRun(const RunKey &Which, RunEnd How);
  void tick();
  bool chance(double Probability);

  Runtime &m_host;
  std::mt19937_64 &m_random;
  RunHistory &m_history;
  const std::string m_id;
  Resources m_capacity;
  std::int64_t m_startedMs = 1;
  /// Number of ids that the worker has had before.
  std::uint32_t m_earlierIds = 0;
  TimePoint m_startedAt;
  std::uint64_t m_fence = 0;
  Milliseconds m_leaseEnd{0};
  bool m_hadLease = false;
  std::map<RunKey, Running> m_runs;
  /// Runs of a task up to this number have ended or been stopped; they cannot
  /// start again.
  std::map<TaskKey, RunNumber> m_highestClosedRun;
  std::vector<EndedRun> m_ended;
  std::uint64_t m_lastObservedEnd = 0;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H
