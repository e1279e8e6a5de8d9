// Parses the behaviour of tasks.
#include "standin/task_behaviour.h"

#include <cstdlib>
#include <sstream>

namespace catkinseam {

TaskBehaviour parseTaskBehaviour(const std::string &Spec) {
  TaskBehaviour Read;
  std::istringstream Words(Spec);
  for (std::string Word; Words >> Word;) {
    const std::size_t Equals = Word.find('=');
    const std::string Name = Word.substr(0, Equals);
    const std::string Value =
        Equals == std::string::npos ? "" : Word.substr(Equals + 1);
    if (Name == "run_ms")
      Read.m_work = Milliseconds(std::atoll(Value.c_str()));
    else if (Name == "fail")
      Read.m_failureRate = std::atof(Value.c_str());
    else if (Name == "fail_first")
      Read.m_failingRuns = static_cast<std::uint32_t>(std::atoi(Value.c_str()));
    else if (Name == "deadly")
      Read.m_isDeadly = true;
  }
  return Read;
}

} // namespace catkinseam
