// Requests that the scheduler sends to workers, and their replies.
//
//   for (const StartOrder &Each : Plan.release(Next, false)) ...
#ifndef CATKINSEAM_SCHEDULER_ORDERS_H
#define CATKINSEAM_SCHEDULER_ORDERS_H

#include "catkinseam/scheduler/model.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinseam {

struct StartOrder {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;
  /// End of the lease, on the worker's clock.
  Milliseconds m_expires{0};
  /// Start of the worker's incarnation that the order is for; another one, even
  /// under the same id, must not receive it.
  std::int64_t m_workerStartedMs = 0;
};

struct StopOrder {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  /// Start of the worker's newest incarnation when the order was sent; zero if
  /// it is not known. It does not restrict the order.
  std::int64_t m_workerStartedMs = 0;
};

struct ThrottleOrder {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  /// CPU rate in percent, 0 to 100.
  int m_cpuRatePercent = 100;
};

struct PollOrder {
  std::string m_worker;
  std::uint64_t m_fencingToken = 0;
  /// Acknowledged sequence number: the worker may discard ended runs up to it.
  std::uint64_t m_acknowledgedEnd = 0;
  /// New end of the lease, on the worker's clock; unset does not extend it.
  std::optional<Milliseconds> m_expires;
  /// How long the worker may delay its reply while no run ends.
  Milliseconds m_maxWait{0};
  /// As for a start; zero for any incarnation. Another one may reply, as if the
  /// poll neither acknowledged an end nor extended a lease.
  std::int64_t m_workerStartedMs = 0;
};

enum class OrderOutcome {
  Done,
  Fenced,   ///< The worker has seen a higher fencing token.
  StaleRun, ///< A run of this number or a higher one has ended or been stopped.
  LeaseExpired,          ///< The lease had expired when the order arrived.
  InsufficientResources, ///< The worker lacks the resources.
  OtherIncarnation,      ///< Another incarnation of the worker replied.
  Refused,               ///< Not carried out; the worker is unhealthy.
  Invalid,               ///< The worker could not parse the order.
  NotSent,               ///< The order was not sent.
  Unknown,               ///< Sent without a reply; may still be carried out.
};

const char *orderOutcomeName(OrderOutcome Outcome);

struct OrderReply {
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  std::optional<Milliseconds> m_clock;
  /// Start of the incarnation that replied, under the same id, if the outcome
  /// is OtherIncarnation; zero if it is not known.
  std::int64_t m_workerStartedMs = 0;
};

struct PollReply {
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  /// Set when the outcome is Done.
  WorkerSnapshot m_snapshot;
};

/// Sends orders to a worker. Orders name the incarnation that they are for, as
/// far as that matters. The callback is invoked exactly once, never from within
/// the call; destroying the link drops callbacks that are still pending.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;
  virtual void start(const StartOrder &Order, std::uint64_t FencingToken,
                     std::function<void(const OrderReply &)> Done) = 0;
  virtual void stop(const StopOrder &Order, std::uint64_t FencingToken,
                    std::function<void(const OrderReply &)> Done) = 0;
  virtual void throttle(const ThrottleOrder &Order, std::uint64_t FencingToken,
                        std::function<void(const OrderReply &)> Done) = 0;
  /// Extends the lease of all runs on the worker and returns its status.
  virtual void poll(const PollOrder &Order, std::uint64_t FencingToken,
                    std::function<void(const PollReply &)> Done) = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_ORDERS_H
