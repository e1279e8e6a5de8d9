// Task commands to one worker and its report of what runs there.
//
//   WorkerCommands Commands;
//   Commands.m_boot = LastStatus.m_boot;
//   Commands.m_starts.push_back(...);
//   Result<WorkerStatus> Status = Workers.sync(Where, Commands, Timeout);
//
// Leases end at a time of the worker's own clock. A command that is delayed on
// its way can therefore never extend a lease beyond what its sender meant.
#ifndef CATKINSEAM_PLATFORM_WORKER_SERVICE_H
#define CATKINSEAM_PLATFORM_WORKER_SERVICE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/state/records.h"

#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

/// A point on a worker's own monotonic clock, counted from its boot.
using WorkerTime = Milliseconds;

enum class AttemptState {
  Running,
  Throttled,
  Finished,
  Failed,
  Stopped, ///< Stopped by command or because its lease ran out.
  Refused, ///< Never started here and never will.
};

/// What a worker says of one attempt.
struct AttemptStatus {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  AttemptState m_state = AttemptState::Running;
  std::string m_checkpoint;
  Resources m_peak;
  Milliseconds m_ran{0};
  /// Why it was refused or failed.
  std::string m_reason;
};

struct WorkerStatus {
  /// Changes whenever the worker restarts and loses its tasks.
  std::string m_boot;
  /// The worker's clock when it answered.
  WorkerTime m_now{0};
  std::vector<AttemptStatus> m_attempts;
  /// Processor usage of the service and of batch, as measured m_usageAge ago.
  std::int64_t m_serviceMilli = 0;
  std::int64_t m_batchMilli = 0;
  Milliseconds m_usageAge{0};
};

struct StartCommand {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  std::string m_program;
  Resources m_limit;
  std::string m_checkpoint;
  WorkerTime m_leaseUntil{0};
};

struct AttemptRef {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
};

struct RenewCommand {
  AttemptRef m_attempt;
  WorkerTime m_leaseUntil{0};
};

/// Commands carried out in this order; each is idempotent.
struct WorkerCommands {
  /// The boot that the sender means; other boots refuse starts and renewals.
  std::string m_boot;
  std::vector<StartCommand> m_starts;
  std::vector<RenewCommand> m_renewals;
  std::vector<AttemptRef> m_throttles;
  /// Checkpoints, then stops. A stop of an unknown attempt bars its start.
  std::vector<AttemptRef> m_stops;
  /// Ended attempts that the log knows of and the worker may forget.
  std::vector<AttemptRef> m_forgets;

  bool isEmpty() const {
    return m_starts.empty() && m_renewals.empty() && m_throttles.empty() &&
           m_stops.empty() && m_forgets.empty();
  }
};

/// Calls to workers. Thread-safe.
class WorkerService {
public:
  virtual ~WorkerService() = default;

  /// Carries out the commands and returns the worker's status after them.
  /// Error Unavailable: not sent. OutcomeUnknown: maybe carried out.
  virtual Result<WorkerStatus> sync(const Endpoint &Where,
                                    const WorkerCommands &Commands,
                                    Duration Timeout) = 0;
};

/// Workers over HTTP: POST /tasks/sync.
std::unique_ptr<WorkerService> makeHttpWorkerService();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_WORKER_SERVICE_H
