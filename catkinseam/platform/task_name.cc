// Names of tasks and jobs on the wire.
#include "catkinseam/platform/task_name.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

constexpr std::size_t JobIdDigits = 16;

bool takeNumber(std::string_view &Rest, std::uint32_t &Number) {
  if (Rest.empty() || Rest.front() != '.')
    return false;
  Rest.remove_prefix(1);
  const auto [End, Fault] =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Fault != std::errc())
    return false;
  Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()));
  return true;
}

} // namespace

std::string formatTaskName(const TaskKey &Task) { return toString(Task); }

bool parseTaskName(std::string_view Name, TaskKey &Task) {
  const std::size_t Dot = Name.find('.');
  if (Dot == std::string_view::npos)
    return false;
  Task.m_job = std::string(Name.substr(0, Dot));
  Name.remove_prefix(Dot);
  return takeNumber(Name, Task.m_occurrence) && takeNumber(Name, Task.m_step) &&
         takeNumber(Name, Task.m_index) && Name.empty();
}

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
           return std::isxdigit(Each) != 0;
         });
}

} // namespace catkinseam
