// The value of a job relative to others of its queue.
//
//   JobValuation Valuation;
//   Job.m_value = Valuation.add(Queue, declaredWork(Spec));
//   Remaining / Job.m_value.current();
//
// A job counts for itself and for the work that it asks for. By work alone,
// small jobs would gain nothing by being short; by number alone, large jobs
// would starve under overload.
#ifndef CATKINSEAM_SCHEDULER_JOB_VALUE_H
#define CATKINSEAM_SCHEDULER_JOB_VALUE_H

#include "catkinseam/scheduler/model.h"

#include <string>
#include <unordered_map>

namespace catkinseam {

/// Amount of work: processors times the seconds for which they are used.
using ProcessorSeconds = double;

/// Declared work of one task; positive even if nothing is declared.
ProcessorSeconds taskWork(const StepSpec &Spec);

/// Declared work of one occurrence of the job.
ProcessorSeconds declaredWork(const JobSpec &Spec);

/// Mean work of the jobs of a queue.
struct QueueWork {
  /// Number of jobs that the mean covers.
  double m_jobs = 0.0;
  ProcessorSeconds m_mean = 0.0;
};

/// Follows the mean of the queue, so that equal jobs have equal values whenever
/// they were added. Refers to the JobValuation that made it.
class JobValue {
public:
  JobValue() = default;
  JobValue(ProcessorSeconds Work, const QueueWork &Queue)
      : m_work(Work), m_queue(&Queue) {}

  /// The current value, in processor seconds; positive.
  double current() const;

private:
  ProcessorSeconds m_work = 1.0;
  const QueueWork *m_queue = nullptr;
};

/// Not thread-safe.
class JobValuation {
public:
  /// Takes the job's work into the mean of its queue.
  JobValue add(const std::string &Queue, ProcessorSeconds Work);

private:
  /// References to elements stay valid when others are added.
  std::unordered_map<std::string, QueueWork> m_queues;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_JOB_VALUE_H
