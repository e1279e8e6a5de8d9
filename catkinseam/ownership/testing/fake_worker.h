// A worker in memory: leases, fences, ends, and a path that loses things.
//
//   FakeWorker One(Host, Random, Past, "w1", Capacity);
//   std::unique_ptr<WorkerLink> Link = One.connect();
//   One.m_path.m_isCut = true;     // silent both ways; it runs on
#ifndef CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H
#define CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ownership/testing/run_history.h"
#include "catkinseam/scheduler/orders.h"

#include <map>
#include <random>

namespace catkinseam {

class FakeWorker {
public:
  struct Path {
    bool m_isCut = false;
    Milliseconds m_delay{1};
    /// Orders that are carried out and not answered.
    double m_lostShare = 0.0;
    /// Orders that are carried out 2 to 8 s later and not answered.
    double m_lateShare = 0.0;
  };

  FakeWorker(Runtime &Host, std::mt19937_64 &Random, RunHistory &Past,
             const std::string &Id, const Resources &Capacity);
  ~FakeWorker();

  std::unique_ptr<WorkerLink> connect();

  /// All that runs there ends; a new life begins at once.
  void crash();

  WorkerReport report() const;

  /// How long the next runs take, and whether they fail.
  Milliseconds m_runTime{300};
  double m_failShare = 0.0;
  Path m_path;

private:
  class Link;
  struct Running {
    std::string m_checkpoint;
    TimePoint m_doneAt;
    bool m_fails = false;
  };
  using RunKey = std::pair<TaskKey, RunNumber>;

  Milliseconds clock() const;
  OrderOutcome start(const StartOrder &Order, std::uint64_t Token,
                     TimePoint SentAt);
  OrderOutcome stop(const StopOrder &Order, std::uint64_t Token);
  OrderOutcome hold(const HoldOrder &Order, std::uint64_t Token);
  WorkerLook look() const;
  bool admit(std::uint64_t Token);
  void extend(Milliseconds Expires);
  void end(const RunKey &Which, RunEnd How);
  void tick();
  bool happens(double Share);

  Runtime &m_host;
  std::mt19937_64 &m_random;
  RunHistory &m_past;
  const std::string m_id;
  const Resources m_capacity;
  std::int64_t m_bornMs = 1;
  TimePoint m_bornAt;
  std::uint64_t m_fence = 0;
  Milliseconds m_leaseEnd{0};
  bool m_hadLease = false;
  std::map<RunKey, Running> m_runs;
  std::map<TaskKey, RunNumber> m_barred;
  std::vector<EndedRun> m_ended;
  std::uint64_t m_lastEnd = 0;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_FAKE_WORKER_H
