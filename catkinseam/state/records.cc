// Text form of task ids.
#include "catkinseam/state/records.h"

namespace catkinseam {

std::string toString(const TaskId &Task) {
  return Task.m_job + "/" + std::to_string(Task.m_index);
}

} // namespace catkinseam
