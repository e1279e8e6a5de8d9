// JSON forms of what the administration API shows and takes.
//
//   JsonObject Body = jobJson(Row);
//   Result<ConfigChanges> Changes = changesFromJson(Object);
#ifndef CATKINSEAM_SERVER_ADMIN_JSON_H
#define CATKINSEAM_SERVER_ADMIN_JSON_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/platform/worker_service.h"
#include "catkinseam/request/request_core.h"
#include "catkinseam/state/fold.h"

#include <map>
#include <string>

namespace catkinseam {

JsonObject contentJson(const ConfigContent &Content);
JsonObject versionJson(const ConfigVersion &Version);

/// The outcome of a patch; when it is stale and `Patch` is given, with the
/// versions between and a rebased patch to review.
JsonObject outcomeJson(const ConfigTable &Config, const ConfigPatch *Patch,
                       const std::string &Id, const PatchOutcome &Decision);

/// Reads path to scalar or null. Error Invalid names the path.
Result<ConfigChanges> changesFromJson(const JsonObject &Object);

/// Reads the parts of a job submission other than its names.
Result<void> readJobSubmission(const JsonObject &Body, std::int64_t MaxTasks,
                               JobRecord &Job);

JsonObject jobJson(const JobRow &Job);
JsonArray taskListJson(const JobRow &Job);

/// The capacity report as "service", "batch" or "both" read it.
JsonObject reportJson(const State &Shared, const std::string &Audience);

JsonObject workerJson(const std::string &Name, const WorkerRow &Row,
                      const std::map<std::string, WorkerStatus> &Statuses,
                      const std::map<std::string, UpstreamRow> &Upstreams);

JsonArray entriesJson(const Membership &Members);

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ADMIN_JSON_H
