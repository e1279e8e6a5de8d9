// JSON encoding of worker commands and status, shared by the client and the
// worker simulator.
//
//   std::string Body = commandsToJson(Commands);
//   Result<WorkerStatus> Status = statusFromJson(Response);
#ifndef CATKINSEAM_PLATFORM_WORKER_WIRE_H
#define CATKINSEAM_PLATFORM_WORKER_WIRE_H

#include "catkinseam/platform/worker_service.h"

#include <string>

namespace catkinseam {

std::string commandsToJson(const WorkerCommands &Commands);
/// Returns Invalid when `Text` is not a JSON object.
Result<WorkerCommands> commandsFromJson(const std::string &Text);

std::string statusToJson(const WorkerStatus &Status);
/// Returns Invalid when `Text` is not a JSON object or has no boot ID.
Result<WorkerStatus> statusFromJson(const std::string &Text);

/// Returns the name of `State` in messages, such as "running".
const char *attemptStateName(AttemptState State);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_WORKER_WIRE_H
