// What the tasks of a job do, from the words of the job's `spec`.
//
//   parseTaskBehaviour("run_ms=300 fail=0.05 fail_first=1 deadly")
#ifndef CATKINSEAM_STANDIN_TASK_BEHAVIOUR_H
#define CATKINSEAM_STANDIN_TASK_BEHAVIOUR_H

#include "catkinseam/base/clock.h"

#include <cstdint>
#include <string>

namespace catkinseam {

struct TaskBehaviour {
  Milliseconds m_work{300};
  /// Probability that a run fails.
  double m_failureRate = 0.0;
  /// The first runs of each task, up to this number, fail.
  std::uint32_t m_failingRuns = 0;
  /// Each run crashes its worker.
  bool m_isDeadly = false;
};

/// Ignores unknown words.
TaskBehaviour parseTaskBehaviour(const std::string &Spec);

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_TASK_BEHAVIOUR_H
