// Parses job submissions and formats the responses about jobs.
//
//   Outcome<JobSpec> Job = attempt([&] { return readJobBody(Body); });
#ifndef CATKINSEAM_PLATFORM_JOB_BODY_H
#define CATKINSEAM_PLATFORM_JOB_BODY_H

#include "catkinseam/base/error.h"
#include "catkinseam/scheduler/model.h"

#include <string>

namespace catkinseam {

/// Parses the JSON body of a job submission. Returns Invalid, naming the
/// invalid field, on failure.
Result<JobSpec> readJobBody(const std::string &Text);

/// Returns the response body for a job's state.
std::string jobStateBody(JobState State);

/// Returns the response body for the number of pending jobs of a queue.
std::string pendingBody(std::size_t Pending);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_JOB_BODY_H
