// Decides for every request: to which worker, wait for a slot, or refuse now.
//
//   RequestCore Core(Clock, makeSlotSharing("lending"), {});
//   Core.setWorkers(...);
//   std::vector<Decision> Now = Core.arrive(Spec);
//   Now = Core.finish(Spec.m_id, CallEnd::Answered);
//   Now = Core.tick();
//
// Every arrived request gets exactly one Decision, Dispatch or Refuse, at once
// or from a later call. The core holds no socket and no thread.
#ifndef CATKINSEAM_REQUEST_REQUEST_CORE_H
#define CATKINSEAM_REQUEST_REQUEST_CORE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/request/kinds.h"
#include "catkinseam/request/latency_estimate.h"
#include "catkinseam/request/slot_sharing.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

using RequestId = std::uint64_t;

struct RequestSpec {
  RequestId m_id = 0;
  KindPolicy m_kind;
  TimePoint m_deadline;
  /// A worker that already failed this request; avoided if another can do it.
  std::string m_avoid;
  /// Set on repeats, which spend the retry budget and jump no queue.
  bool m_isRetry = false;
};

enum class RefusalReason {
  NoWorker,    ///< No worker serves requests.
  Overloaded,  ///< Could not start in time behind those already waiting.
  TooLate,     ///< Its latest feasible start has passed.
  RetryBudget, ///< A repeat that the budget does not cover.
};

struct Decision {
  RequestId m_id = 0;
  bool m_isDispatched = false;
  /// Where to send it, when dispatched.
  std::string m_worker;
  RefusalReason m_reason = RefusalReason::NoWorker;
  /// When to come back, when refused.
  Duration m_retryAfter{0};
};

/// How a dispatched request ended at the worker.
enum class CallEnd {
  Answered,  ///< A whole answer below 500.
  Failed,    ///< The worker answered an error or broke the connection.
  NotSent,   ///< Nothing was sent.
  Abandoned, ///< No answer in time; the slot may still be busy.
};

/// Health and load of one worker as this entry sees it.
struct UpstreamRow {
  std::uint32_t m_slots = 0;
  bool m_isLeaving = false;
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_longInFlight = 0;
  /// Slots that abandoned requests may still hold, by when they are free.
  std::vector<TimePoint> m_lingering;
  std::uint32_t m_failStreak = 0;
  /// No requests until then.
  TimePoint m_ejectedUntil;
  Duration m_ejection{0};
  /// Service time relative to the kind's, 1 for an ordinary worker.
  double m_slowness = 1;
};

/// Not thread-safe: its owner locks.
class RequestCore {
public:
  struct Options {
    /// Most requests waiting at once.
    std::size_t m_maxWaiting = 2000;
    /// Longest planned wait for a slot, relative to the kind's service time.
    double m_waitFactor = 0.75;
    /// Largest part of the slots for long kinds.
    double m_longShare = 0.5;
    /// Smallest part of the slots that long kinds may use under any load.
    double m_leastLongShare = 0.1;
    /// Repeats allowed per hundred first tries.
    double m_retryPercent = 10;
    std::uint32_t m_connectionsPerWorker = 8;
  };

  RequestCore(const Clock &Time, std::unique_ptr<SlotSharing> Sharing,
              const Options &Limits);

  /// Takes the workers that serve requests, with their slots.
  void setWorkers(const std::map<std::string, std::uint32_t> &Slots);

  /// Takes the workers that are leaving: they get no new request.
  void setLeaving(const std::set<std::string> &Leaving);

  /// Takes what is known of the other entries.
  void setPeers(Seat Own, const std::vector<Seat> &Ready,
                const std::map<std::string, std::uint32_t> &PeerInFlight);

  void setLongShare(double Share) { m_options.m_longShare = Share; }
  void setRetryPercent(double Percent) { m_options.m_retryPercent = Percent; }

  /// Decides a request, or queues it; may decide others too.
  std::vector<Decision> arrive(const RequestSpec &Spec);

  /// Ends a dispatched request and gives its slot to the next.
  std::vector<Decision> finish(RequestId Id, CallEnd End);

  /// Refuses what can no longer make it and gives out slots that became free.
  std::vector<Decision> tick();

  /// Takes a waiting request out, decided elsewhere. Returns whether it waited.
  bool withdraw(RequestId Id);

  /// Slots to lend to a peer that has `Wanted` requests waiting.
  SlotLoan lend(std::uint32_t Wanted);
  void borrow(const SlotLoan &Loan);

  /// Service time of a kind that `Rank` of its answers stay below.
  Duration serviceTime(const KindPolicy &Kind, double Rank) const;

  std::uint32_t waiting() const;
  std::uint32_t waitingShort() const;
  /// False for the baseline, which neither limits nor repeats.
  bool mayRepeat() const { return m_sharing->isLimiting(); }
  std::map<std::string, std::uint16_t> inFlight() const;
  bool needsPeerInFlight() const { return m_sharing->needsPeerInFlight(); }
  const std::map<std::string, UpstreamRow> &upstreams() const {
    return m_upstreams;
  }

private:
  struct Waiting {
    RequestSpec m_spec;
    TimePoint m_latestStart;
  };
  struct Running {
    RequestSpec m_spec;
    std::string m_worker;
    TimePoint m_started;
  };
  /// Requests of one class, by latest feasible start.
  using Queue = std::multimap<TimePoint, Waiting>;

  struct Demand {
    TimePoint m_windowStart;
    double m_windowWork = 0;
    /// Slots' worth of work arriving, smoothed.
    double m_slots = 0;
  };

  Queue &queueOf(const KindPolicy &Kind) {
    return Kind.m_isLong ? m_longQueue : m_shortQueue;
  }

  LatencyEstimate &estimateOf(const KindPolicy &Kind);
  void countDemand(const KindPolicy &Kind);
  void rollDemand(Demand &Part);
  std::uint32_t openSlots(const std::string &Name,
                          const UpstreamRow &Row) const;
  std::uint32_t usableSlots() const;
  std::uint32_t longLimit() const;
  std::string pickWorker(const RequestSpec &Spec);
  std::string nextInTurn();
  bool mayUse(const UpstreamRow &Row, const RequestSpec &Spec) const;
  bool spendRetry(const RequestSpec &Spec);
  Decision dispatch(const RequestSpec &Spec, const std::string &Worker);
  Decision refuse(const RequestSpec &Spec, RefusalReason Reason) const;
  Duration plannedWait(const KindPolicy &Kind) const;
  bool hasServingWorker() const;
  bool hasFastWorker() const;
  void serveQueue(Queue &Line, std::vector<Decision> &Made);
  void serveQueues(std::vector<Decision> &Made);
  void refuseLate(Queue &Line, std::vector<Decision> &Made);
  void learn(const Running &Done, CallEnd End);
  void refreshSharing();

  const Clock &m_clock;
  std::unique_ptr<SlotSharing> m_sharing;
  Options m_options;
  SharingView m_view;
  std::map<std::string, UpstreamRow> m_upstreams;
  std::map<std::string, LatencyEstimate> m_estimates;
  std::map<RequestId, Running> m_running;
  Queue m_shortQueue;
  Queue m_longQueue;
  Demand m_shortDemand;
  std::uint32_t m_longInFlight = 0;
  double m_retryTokens = 10;
  std::string m_lastInTurn;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_REQUEST_CORE_H
