// Task names in platform messages: JOB.OCCURRENCE.STEP.INDEX.
//
//   TaskKey Task;
//   if (parseTaskName("5c0e7a21d94b36f8.0.1.17", Task)) ...
#ifndef CATKINSEAM_PLATFORM_TASK_NAME_H
#define CATKINSEAM_PLATFORM_TASK_NAME_H

#include "catkinseam/scheduler/model.h"

#include <string>
#include <string_view>

namespace catkinseam {

std::string formatTaskName(const TaskKey &Task);

/// Parses a task name. Returns false when `Name` is not valid; `Task` may then
/// be partly set.
bool parseTaskName(std::string_view Name, TaskKey &Task);

/// Returns whether `Text` is a job ID: 16 hexadecimal digits.
bool isJobId(std::string_view Text);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_TASK_NAME_H
