// Settings files and their faults as text.
#include "catkinseam/settings/fault.h"

#include <fstream>
#include <sstream>

namespace catkinseam {

std::string toString(const SettingsFault &Fault) {
  const std::string Place =
      Fault.m_line > 0 ? "line " + std::to_string(Fault.m_line) + ": " : "";
  return Place + Fault.m_key + ": " + Fault.m_message;
}

std::optional<std::string> readSettingsFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

SettingsFault unreadableFile(const std::string &Path) {
  return {"(file)", 0, "cannot read \"" + Path + "\""};
}

} // namespace catkinseam
