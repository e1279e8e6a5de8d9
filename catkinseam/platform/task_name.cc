// Parsing of task names and job IDs.
#include "catkinseam/platform/task_name.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

constexpr std::size_t JobIdDigits = 16;

bool consumeNumber(std::string_view &Rest, std::uint32_t &Number) {
  if (Rest.empty() || Rest.front() != '.')
    return false;
  Rest.remove_prefix(1);
  const auto [End, Ec] =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Number);
  if (Ec != std::errc())
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
  return consumeNumber(Name, Task.m_occurrence) &&
         consumeNumber(Name, Task.m_step) &&
         consumeNumber(Name, Task.m_index) && Name.empty();
}

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Digit) {
           return std::isxdigit(Digit) != 0;
         });
}

} // namespace catkinseam
