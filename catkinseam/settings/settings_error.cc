// Reads settings files and formats their errors.
#include "catkinseam/settings/settings_error.h"

#include <fstream>
#include <sstream>

namespace catkinseam {

std::string toString(const SettingsError &Err) {
  const std::string Prefix =
      Err.m_line > 0 ? "line " + std::to_string(Err.m_line) + ": " : "";
  return Prefix + Err.m_key + ": " + Err.m_message;
}

std::optional<std::string> readSettingsFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

SettingsError unreadableFileError(const std::string &Path) {
  return {"(file)", 0, "cannot read \"" + Path + "\""};
}

} // namespace catkinseam
