// What the scheduler asks of workers, and what comes of it.
//
//   for (const StartOrder &Each : Decisions.m_starts) ...
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
};

struct StopOrder {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
};

struct PaceOrder {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  /// 0 to 100.
  int m_percent = 100;
};

struct HoldOrder {
  std::string m_worker;
  /// Ended runs up to this number are forgotten by the worker.
  std::uint64_t m_observed = 0;
  /// End of the lease, on the worker's clock; none leaves it as it is.
  std::optional<Milliseconds> m_expires;
  /// How long the worker may wait for a run to end before it answers.
  Milliseconds m_wait{0};
};

enum class OrderOutcome {
  Done,
  Fenced,    ///< A higher token is held there.
  OldRun,    ///< A run as high or higher has ended or been stopped there.
  Late,      ///< The lease had ended when the order arrived.
  NoRoom,    ///< Does not fit.
  OtherLife, ///< Another life of the worker answered.
  Refused,   ///< Nothing was done; the worker is unwell.
  Invalid,   ///< The worker cannot read the order.
  NotSent,   ///< Nothing has left for the worker.
  Unknown,   ///< Sent and not answered; may be carried out yet.
};

const char *orderOutcomeName(OrderOutcome Outcome);

struct OrderReply {
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  std::optional<Milliseconds> m_clock;
};

struct HoldReply {
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  /// Set when the outcome is Done.
  WorkerLook m_look;
};

/// Sends orders to one life of a worker. Every answer comes through the call
/// back, once, never from within the call; destroying the link drops those
/// still awaited.
class WorkerLink {
public:
  virtual ~WorkerLink() = default;
  virtual void start(const StartOrder &Order, std::uint64_t FencingToken,
                     std::function<void(const OrderReply &)> Done) = 0;
  virtual void stop(const StopOrder &Order, std::uint64_t FencingToken,
                    std::function<void(const OrderReply &)> Done) = 0;
  virtual void pace(const PaceOrder &Order, std::uint64_t FencingToken,
                    std::function<void(const OrderReply &)> Done) = 0;
  /// Extends the lease of all that runs there and lists it.
  virtual void hold(const HoldOrder &Order, std::uint64_t FencingToken,
                    std::function<void(const HoldReply &)> Done) = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_ORDERS_H
