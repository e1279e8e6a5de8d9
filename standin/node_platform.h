// The platform of the nodes: the log service, the workers, a fixed
// configuration, and the check of what the workers saw.
//
//   NodePlatform Platform(Loop, {.m_port = 18500, .m_workers = 6});
//   if (auto Started = Platform.start()) ...
//   for (const std::string &Each : Platform.violations()) ...
//
// With the base port P, the log service is at P and, for node N alone, at
// P + 500 + N; worker I is at P + 1 + I; control is at P + 99.
#ifndef CATKINSEAM_STANDIN_NODE_PLATFORM_H
#define CATKINSEAM_STANDIN_NODE_PLATFORM_H

#include "catkinseam/ownership/testing/reported_jobs.h"
#include "standin/absence_monitor.h"
#include "standin/log_api.h"
#include "standin/platform_worker.h"
#include "standin/store_listener.h"

#include <random>

namespace catkinseam {

class NodePlatform {
public:
  struct Options {
    std::uint16_t m_port = 0;
    std::size_t m_workers = 6;
    std::size_t m_nodes = 3;
    std::uint64_t m_seed = 1;
    /// How long a run goes on after its stop was acknowledged.
    Milliseconds m_stopTime{0};
  };

  NodePlatform(EventLoop &Loop, const Options &Values);

  /// Returns Unavailable, naming the address, if one is in use.
  Result<void> start();

  /// Returns null if there is no such worker.
  PlatformWorker *worker(std::int64_t Index);

  /// Applies to all nodes and to the address that they share.
  void setStoreModeFor(StoreListener::Mode How, Milliseconds Time,
                       double Share);
  /// Applies to one node, numbered from 1.
  void setStoreModeFor(std::int64_t Node, StoreListener::Mode How,
                       Milliseconds Time, double Share);
  void loseAppendReplies(double Share, bool AreLate, Milliseconds Time);
  void slowStore(Milliseconds Latency, Milliseconds Time);
  void delayOrders(double Share, Milliseconds Time, bool AcrossRestarts);

  /// A fault lasts for `Time`, after which tasks that last must soon run.
  void onFault(Milliseconds Time) { m_absences.onFault(m_loop.now() + Time); }

  /// Returns the guarantees that were violated so far. At the end of a test,
  /// all finite jobs must have ended.
  std::vector<std::string> violations(bool IsAtEnd) const;
  std::size_t jobs() const { return m_reported.m_jobs.size(); }
  std::size_t failedJobs() const;
  std::size_t runs() const { return m_history.m_runs.size(); }
  std::size_t completedRuns() const;

private:
  void onStored(LogTopic Topic, const KeyedRecord &Record);
  void onControlCall(const HttpRequest &Request, const HttpResponder &Respond);
  HttpResponse verdict() const;
  FakeWorker::RunPlan planRun(const PlatformWorker &Worker,
                              const StartOrder &Order);
  void renewRegistrations();
  void checkAbsences();

  EventLoop &m_loop;
  const Options m_options;
  std::mt19937_64 m_random;
  RunHistory m_history;
  ReportedJobs m_reported;
  /// Number of runs of each task that were started.
  std::map<TaskKey, std::uint32_t> m_startedRuns;
  AbsenceMonitor m_absences{{}};
  Timer m_absenceTimer;
  TimePoint m_absenceTimerDue;
  FakeLog m_log;
  LogApi m_logApi;
  std::vector<std::unique_ptr<PlatformWorker>> m_workers;
  /// The shared address, then that of each node.
  std::vector<std::unique_ptr<StoreListener>> m_stores;
  std::unique_ptr<HttpListener> m_controlListener;
  Timer m_registrationTimer;
  std::int64_t m_sequence = 0;
  Timer m_endOfLostReplies;
  Timer m_endOfSlowStore;
  Timer m_endOfLateOrders;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_NODE_PLATFORM_H
