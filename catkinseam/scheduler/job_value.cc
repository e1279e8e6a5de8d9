// Mean work by queue, and values of jobs derived from it.
#include "catkinseam/scheduler/job_value.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// A job counts for this share of its queue's mean work besides its own work.
constexpr double JobCountWeight = 0.4;
/// Number of jobs over which a queue's mean work is taken.
constexpr double MaxMeanJobs = 100.0;
/// Lower bounds of what a task declares; its estimate may be missing.
constexpr Milliseconds MinTaskTime{50};
constexpr std::int64_t MinTaskMilliProcessors = 100;
constexpr double MilliProcessorsPerProcessor = 1000.0;

} // namespace

ProcessorSeconds taskWork(const StepSpec &Spec) {
  const std::chrono::duration<double> Time =
      std::max(Spec.m_estimate, MinTaskTime);
  const auto MilliProcessors = static_cast<double>(
      std::max(Spec.m_request.m_milliProcessors, MinTaskMilliProcessors));
  return Time.count() * MilliProcessors / MilliProcessorsPerProcessor;
}

ProcessorSeconds declaredWork(const JobSpec &Spec) {
  ProcessorSeconds Total = 0.0;
  for (const StepSpec &Each : Spec.m_steps)
    Total += Each.m_count * taskWork(Each);
  return Total;
}

double JobValue::current() const {
  return m_work + (m_queue ? JobCountWeight * m_queue->m_mean : 0.0);
}

JobValue JobValuation::add(const std::string &Queue, ProcessorSeconds Work) {
  QueueWork &Known = m_queues[Queue];
  Known.m_jobs = std::min(Known.m_jobs + 1.0, MaxMeanJobs);
  Known.m_mean += (Work - Known.m_mean) / Known.m_jobs;
  return {Work, Known};
}

} // namespace catkinseam
