// JSON form of worker commands and status, shared by the adapter and the
// stand-in worker.
//
//   std::string Body = commandsToJson(Commands);
//   Result<WorkerStatus> Status = statusFromJson(Answer);
#ifndef CATKINSEAM_PLATFORM_WORKER_WIRE_H
#define CATKINSEAM_PLATFORM_WORKER_WIRE_H

#include "catkinseam/platform/worker_service.h"

#include <string>

namespace catkinseam {

std::string commandsToJson(const WorkerCommands &Commands);
Result<WorkerCommands> commandsFromJson(const std::string &Text);

std::string statusToJson(const WorkerStatus &Status);
Result<WorkerStatus> statusFromJson(const std::string &Text);

/// Returns "running", "finished" and so on.
const char *attemptStateName(AttemptState State);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_WORKER_WIRE_H
