// Textual names of scheduler values.
#include "catkinseam/scheduler/model.h"

namespace catkinseam {

std::string toString(const TaskKey &Task) {
  return Task.m_job + "." + std::to_string(Task.m_occurrence) + "." +
         std::to_string(Task.m_step) + "." + std::to_string(Task.m_index);
}

const char *runEndName(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  case RunEnd::Alone:
    return "alone";
  }
  return "unknown";
}

} // namespace catkinseam
