// Sends task commands to a worker and returns its status.
//
//   WorkerCommands Commands;
//   Commands.m_boot = LastStatus.m_boot;
//   Commands.m_starts.push_back(...);
//   Result<WorkerStatus> Status = Workers.sync(Address, Commands, Timeout);
//
// Lease expiry times are on the worker's own clock, so that a delayed command
// cannot extend a lease beyond the time that its sender intended.
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

/// Time on a worker's own monotonic clock, since its boot.
using WorkerTime = Milliseconds;

enum class AttemptState {
  Running,
  Throttled,
  Finished,
  Failed,
  Stopped, ///< Stopped by a command or because its lease expired.
  Refused, ///< Never started on this worker and never will be.
};

/// A worker's status of one attempt.
struct AttemptStatus {
  TaskId m_task;
  std::uint32_t m_attempt = 0;
  AttemptState m_state = AttemptState::Running;
  std::string m_checkpoint;
  Resources m_peakUsage;
  Milliseconds m_runTime{0};
  /// Reason why the attempt was refused or failed.
  std::string m_reason;
};

struct WorkerStatus {
  /// Changes whenever the worker restarts and loses its tasks.
  std::string m_boot;
  /// The worker's clock at the time of its response.
  WorkerTime m_now{0};
  std::vector<AttemptStatus> m_attempts;
  /// Processor usage of the service and of batch in thousandths of a processor,
  /// measured m_usageAge ago.
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

/// Commands, executed in the order of the members. Each is idempotent.
struct WorkerCommands {
  /// Expected boot ID. A worker with another one refuses starts and renewals.
  std::string m_boot;
  std::vector<StartCommand> m_starts;
  std::vector<RenewCommand> m_renewals;
  std::vector<AttemptRef> m_throttles;
  /// Attempts to checkpoint and then stop. Stopping an unknown attempt prevents
  /// its later start.
  std::vector<AttemptRef> m_stops;
  /// Ended attempts that are recorded in the log, so that the worker may delete
  /// its record of them.
  std::vector<AttemptRef> m_forgets;

  bool isEmpty() const {
    return m_starts.empty() && m_renewals.empty() && m_throttles.empty() &&
           m_stops.empty() && m_forgets.empty();
  }
};

/// Client for workers. Thread-safe.
class WorkerService {
public:
  virtual ~WorkerService() = default;

  /// Executes the commands and returns the worker's status after them. Returns
  /// Unavailable when they were not sent, and OutcomeUnknown when they may have
  /// been executed.
  virtual Result<WorkerStatus> sync(const Endpoint &Address,
                                    const WorkerCommands &Commands,
                                    Duration Timeout) = 0;
};

/// Creates a client that uses POST /tasks/sync.
std::unique_ptr<WorkerService> makeHttpWorkerService();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_WORKER_SERVICE_H
