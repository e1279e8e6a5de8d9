// One worker of the stand-in platform: its address, its registration, and the
// faults that befall it.
//
//   PlatformWorker Worker(Loop, Log, History, Random, 3, Port, Capacity);
//   Worker.start();
//   Worker.crash(Milliseconds(1500), /*ChangesId=*/true);
#ifndef CATKINSEAM_STANDIN_PLATFORM_WORKER_H
#define CATKINSEAM_STANDIN_PLATFORM_WORKER_H

#include "catkinseam/ownership/testing/fake_log.h"
#include "standin/worker_api.h"

namespace catkinseam {

class PlatformWorker {
public:
  enum class CutKind {
    Silent,  ///< Calls are neither carried out nor answered.
    Replies, ///< Calls are carried out and not answered.
    Reset    ///< Connections are closed and refused.
  };

  /// What becomes of the connections of a worker that goes dark.
  enum class DarkKind {
    Reset, ///< They are closed when it starts again.
    Lose,  ///< They lead to its next incarnation; what was sent meanwhile is
           ///< lost.
    Keep   ///< They lead to its next incarnation, with what was sent meanwhile.
  };

  PlatformWorker(EventLoop &Loop, FakeLog &Log, RunHistory &History,
                 std::mt19937_64 &Random, std::size_t Index, std::uint16_t Port,
                 const Resources &Capacity);

  /// Returns Unavailable if the address is in use.
  Result<void> listen();

  /// Writes the registration, unless the worker is down or unlisted.
  void renewRegistration(std::int64_t Sequence);

  /// Connections are closed, and refused until the worker starts again after
  /// `DownTime`. Does nothing if it is down.
  void crash(Milliseconds DownTime, bool ChangesId);
  /// The worker loses power: its runs end, its connections stay open and carry
  /// nothing, and it starts again under its id after `DownTime`. Does nothing
  /// if it is down.
  void goDark(DarkKind How, Milliseconds DownTime);
  /// With `IsReborn`, the worker crashes and starts again while it is cut off.
  void cut(CutKind How, Milliseconds Time, bool IsReborn);
  /// All runs that start in this time fail at once.
  void failRunsFor(Milliseconds Time) { m_failsUntil = m_loop.now() + Time; }
  /// Share of orders that are carried out 2 to 8 s late and not answered, with
  /// `AcrossRestarts` also by the next incarnation.
  void setLateOrders(double Share, bool AcrossRestarts) {
    m_worker.m_network.m_delayedRate = Share;
    if (Share > 0)
      m_worker.m_network.m_delaysAcrossRestarts = AcrossRestarts;
  }
  /// Removes the registration for `Time`.
  void unlist(Milliseconds Time);
  /// Registers as draining, leaves after `Remaining`, and starts again.
  void drain(Milliseconds Remaining, Milliseconds DownTime, bool ChangesId);

  bool failsRuns() const { return m_loop.now() < m_failsUntil; }
  std::int64_t index() const { return m_index; }
  const std::string &name() const { return m_name; }
  FakeWorker &worker() { return m_worker; }

private:
  void removeRegistration(const std::string &Id);
  void restart();
  /// Prints an error.
  void acceptCalls();

  EventLoop &m_loop;
  FakeLog &m_log;
  const std::int64_t m_index;
  const std::string m_name;
  const std::uint16_t m_port;
  const Resources m_capacity;
  FakeWorker m_worker;
  WorkerApi m_api;
  /// Null while the worker is down or its connections are refused.
  std::unique_ptr<HttpListener> m_listener;
  bool m_isDown = false;
  bool m_isDraining = false;
  bool m_refusesCalls = false;
  TimePoint m_leavesAt;
  TimePoint m_unlistedUntil;
  TimePoint m_failsUntil;
  Timer m_endOfCut;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_PLATFORM_WORKER_H
