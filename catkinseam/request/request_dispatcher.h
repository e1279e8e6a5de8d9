// Admission control, queueing and worker selection for latency-critical
// requests.
//
//   RequestDispatcher Dispatcher(Clock, makeSlotSharing("lending"), {});
//   Dispatcher.setWorkers(...);
//   std::vector<Decision> Decisions = Dispatcher.submit(Spec);
//   Decisions = Dispatcher.complete(Spec.m_id, CallResultKind::Answered);
//   Decisions = Dispatcher.tick();
//
// Every request gets exactly one Decision, to dispatch or to refuse it, from
// submit() or from a later call. Only a request taken back with removeWaiting()
// gets none. The class does no I/O and starts no threads.
#ifndef CATKINSEAM_REQUEST_REQUEST_DISPATCHER_H
#define CATKINSEAM_REQUEST_REQUEST_DISPATCHER_H

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

/// A request to be decided.
struct RequestSpec {
  RequestId m_id = 0;
  KindPolicy m_kind;
  TimePoint m_deadline;
  /// Worker that has failed this request before; used only if no other worker
  /// is available. Empty if none.
  std::string m_avoidedWorker;
  /// Retries are charged to the retry budget and refused while requests wait.
  bool m_isRetry = false;
};

enum class RefusalReason {
  NoWorker,    ///< No worker serves requests.
  Overloaded,  ///< The queue is full or the estimated wait is too long.
  TooLate,     ///< The latest start that meets the deadline has passed.
  RetryBudget, ///< A retry that the retry budget does not allow.
};

/// What a refusal was based on.
struct RefusalInputs {
  std::uint32_t m_waitingRequests = 0;
  std::uint32_t m_usableSlots = 0;
  std::uint32_t m_ejectedWorkers = 0;
  std::uint32_t m_leavingWorkers = 0;
  /// Estimated wait for a slot, and the most that is accepted.
  Duration m_estimatedWait{0};
  Duration m_maxWait{0};
  /// Time left until the latest start that meets the deadline.
  Duration m_slack{0};
};

/// Whether a request is dispatched, and where to, or refused, and why.
struct Decision {
  RequestId m_id = 0;
  bool m_isDispatched = false;
  /// Worker to send the request to, if dispatched.
  std::string m_worker;
  /// Valid if refused.
  RefusalReason m_reason = RefusalReason::NoWorker;
  RefusalInputs m_inputs;
  /// Delay after which the caller may retry, if refused.
  Duration m_retryAfter{0};
};

/// How a dispatched request ended at the worker.
enum class CallResultKind {
  Answered,  ///< A complete response with a status below 500.
  Failed,    ///< An error response, or the connection was closed early.
  NotSent,   ///< The request was not sent.
  Abandoned, ///< No response in time; the slot may still be in use.
};

/// Health and load of one worker, as observed by this entry.
struct UpstreamState {
  std::uint32_t m_slots = 0;
  bool m_isLeaving = false;
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_longInFlight = 0;
  /// For each abandoned request that may still occupy a slot, the time at which
  /// the slot is assumed free.
  std::vector<TimePoint> m_abandonedUntil;
  /// Consecutive failures.
  std::uint32_t m_consecutiveFailures = 0;
  /// The worker gets no requests before this time.
  TimePoint m_ejectedUntil;
  /// Duration of the last ejection; zero after a successful request.
  Duration m_ejectionDuration{0};
  /// Moving average of the worker's service times relative to the mean of the
  /// kind; 1 is average.
  double m_slowdown = 1;
};

/// Not thread-safe; callers must synchronize.
class RequestDispatcher {
public:
  struct Options {
    /// Maximum number of waiting requests.
    std::size_t m_maxWaitingRequests = 2000;
    /// Maximum estimated wait for a slot, relative to the kind's service time.
    double m_maxWaitFactor = 0.75;
    /// A wait of up to this is accepted for any kind: requests that arrive
    /// together after a pause of the process or its machine are no overload.
    Duration m_minMaxWait = std::chrono::milliseconds(20);
    /// Maximum share of the slots for long kinds, 0 to 1.
    double m_maxLongShare = 0.5;
    /// Share of the slots that long kinds may use under any load, 0 to 1.
    double m_minLongShare = 0.1;
    /// Retries allowed per 100 first attempts.
    double m_retryPercent = 10;
    std::uint32_t m_connectionsPerWorker = 8;
  };

  RequestDispatcher(const Clock &Time, std::unique_ptr<SlotSharing> Sharing,
                    const Options &Opts);

  /// Sets the workers that serve requests, with their numbers of slots.
  void setWorkers(const std::map<std::string, std::uint32_t> &Slots);

  /// Sets the workers that are leaving. They get no new requests.
  void setLeaving(const std::set<std::string> &Leaving);

  /// Sets this entry's seat, the seats of all ready entries including this one,
  /// and the requests in flight at the other entries by worker.
  void setPeers(Seat Own, const std::vector<Seat> &Ready,
                const std::map<std::string, std::uint32_t> &PeerInFlight);

  /// Sets the maximum share of the slots for long kinds, 0 to 1.
  void setMaxLongShare(double Share) { m_options.m_maxLongShare = Share; }
  /// Sets the retries allowed per 100 first attempts.
  void setRetryPercent(double Percent) { m_options.m_retryPercent = Percent; }

  /// Decides the request or queues it. The result is empty if it is queued.
  std::vector<Decision> submit(const RequestSpec &Spec);

  /// Records the end of a dispatched request and dispatches waiting requests.
  /// Does nothing if the id is unknown.
  std::vector<Decision> complete(RequestId Id, CallResultKind End);

  /// Refuses waiting requests that can no longer meet their deadline, or all if
  /// no worker serves requests, and dispatches others to free slots. To be
  /// called periodically.
  std::vector<Decision> tick();

  /// Removes a waiting request that the caller decides itself. Returns whether
  /// it was waiting.
  bool removeWaiting(RequestId Id);

  /// Lends up to `MaxSlots` idle slots to a peer with waiting requests. Lends
  /// none while short requests wait here.
  SlotLoan lend(std::uint32_t MaxSlots);
  /// Adds slots lent by a peer until the loan expires.
  void borrow(const SlotLoan &Loan);

  /// Returns the given quantile (0 to 1) of a kind's service time, or its
  /// configured estimate before any request of the kind.
  Duration serviceTime(const KindPolicy &Kind, double Quantile) const;

  /// Returns the number of waiting requests.
  std::uint32_t waitingRequests() const;
  /// Returns the number of waiting requests of short kinds.
  std::uint32_t waitingShortRequests() const;
  /// Returns whether requests may be retried; false for the round-robin
  /// baseline.
  bool allowsRetries() const { return m_sharing->enforcesLimits(); }
  /// Returns the number of requests in flight by worker, without zeros.
  std::map<std::string, std::uint16_t> inFlight() const;
  bool needsPeerInFlight() const { return m_sharing->needsPeerInFlight(); }
  const std::map<std::string, UpstreamState> &upstreams() const {
    return m_upstreams;
  }

private:
  struct WaitingRequest {
    RequestSpec m_spec;
    TimePoint m_latestStart;
  };
  struct RunningRequest {
    RequestSpec m_spec;
    std::string m_worker;
    TimePoint m_started;
  };
  /// Waiting short or long requests, ordered by the latest start that meets the
  /// deadline.
  using Queue = std::multimap<TimePoint, WaitingRequest>;

  /// Estimates how many slots the arriving requests keep busy.
  struct DemandEstimate {
    TimePoint m_windowStart;
    double m_windowWorkSeconds = 0;
    /// Work arriving per second in seconds, that is, in slots; smoothed.
    double m_slots = 0;
  };

  Queue &queueFor(const KindPolicy &Kind) {
    return Kind.m_isLong ? m_longQueue : m_shortQueue;
  }

  LatencyEstimate &estimateFor(const KindPolicy &Kind);
  void recordDemand(const KindPolicy &Kind);
  void updateDemand(DemandEstimate &Estimate);
  std::uint32_t freeSlots(const std::string &Name,
                          const UpstreamState &Row) const;
  std::uint32_t usableSlots() const;
  std::uint32_t longLimit() const;
  std::string pickWorker(const RequestSpec &Spec);
  std::string nextRoundRobinWorker();
  bool isEligible(const UpstreamState &Row, const RequestSpec &Spec) const;
  bool takeRetryToken(const RequestSpec &Spec);
  Decision dispatch(const RequestSpec &Spec, const std::string &Worker);
  Decision refuse(const RequestSpec &Spec, RefusalReason Reason) const;
  Duration estimateWait(const KindPolicy &Kind) const;
  /// Returns the most that a request of this kind may wait for a slot.
  Duration maxWait(const KindPolicy &Kind) const;
  bool hasServingWorker() const;
  bool hasFastWorker() const;
  void dispatchQueue(Queue &Pending, std::vector<Decision> &Decisions);
  void dispatchQueues(std::vector<Decision> &Decisions);
  void refuseExpired(Queue &Pending, std::vector<Decision> &Decisions);
  void recordCallEnd(const RunningRequest &Finished, CallResultKind End);
  void refreshSharing();

  const Clock &m_clock;
  std::unique_ptr<SlotSharing> m_sharing;
  Options m_options;
  SharingView m_view;
  std::map<std::string, UpstreamState> m_upstreams;
  std::map<std::string, LatencyEstimate> m_estimates;
  std::map<RequestId, RunningRequest> m_running;
  Queue m_shortQueue;
  Queue m_longQueue;
  DemandEstimate m_shortDemand;
  std::uint32_t m_longInFlight = 0;
  /// Token bucket: each first attempt adds m_retryPercent / 100, each retry
  /// takes 1.
  double m_retryTokens = 10;
  std::string m_lastRoundRobinWorker;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_REQUEST_DISPATCHER_H
