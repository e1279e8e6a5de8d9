// JSON encoding and decoding for the administration API.
//
//   JsonObject Body = jobJson(Row);
//   Result<ConfigChanges> Changes = changesFromJson(Object);
#ifndef CATKINSEAM_SERVER_ADMIN_JSON_H
#define CATKINSEAM_SERVER_ADMIN_JSON_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/platform/worker_service.h"
#include "catkinseam/request/request_dispatcher.h"
#include "catkinseam/state/replicated_state.h"

#include <map>
#include <string>

namespace catkinseam {

JsonObject contentJson(const ConfigContent &Content);
JsonObject versionJson(const ConfigVersion &Version);

/// Encodes the outcome of a patch. A stale patch also lists the conflicting
/// paths and the versions since its base and, if `Patch` is given, a rebased
/// patch for review.
JsonObject outcomeJson(const ConfigTable &Config, const ConfigPatch *Patch,
                       const std::string &Id, const PatchOutcome &Decision);

/// Decodes an object that maps paths to scalars, or to null to remove the path.
/// Error Invalid names the path.
Result<ConfigChanges> changesFromJson(const JsonObject &Object);

/// Decodes a job submission except its id and team. Error Invalid names the
/// field.
Result<void> readJobSubmission(const JsonObject &Body, std::int64_t MaxTasks,
                               JobRecord &Job);

JsonObject jobJson(const JobRow &Job);
JsonArray taskListJson(const JobRow &Job);

/// Encodes the capacity report for the audience `Audience`: "service", "batch"
/// or "both".
JsonObject reportJson(const ReplicatedState &Shared,
                      const std::string &Audience);

JsonObject workerJson(const std::string &Name, const WorkerRow &Row,
                      const std::map<std::string, WorkerStatus> &Statuses,
                      const std::map<std::string, UpstreamState> &Upstreams);

JsonArray entriesJson(const Membership &Members);

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ADMIN_JSON_H
