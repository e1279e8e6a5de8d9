// Reads the body with which customers submit a job.
//
//   Outcome<JobSpec> Read = attempt([&] { return readJobBody(Body, Limits); });
#ifndef CATKINSEAM_PLATFORM_JOB_BODY_H
#define CATKINSEAM_PLATFORM_JOB_BODY_H

#include "catkinseam/base/error.h"
#include "catkinseam/scheduler/model.h"

#include <string>

namespace catkinseam {

/// Error Invalid names the field at fault.
Result<JobSpec> readJobBody(const std::string &Text);

/// The body that answers a question for a job's state.
std::string jobStateBody(JobState State);

/// The body that answers a question for a queue's length.
std::string pendingBody(std::size_t Pending);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_JOB_BODY_H
