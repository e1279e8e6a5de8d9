// What is wrong with a settings file.
#ifndef CATKINSEAM_SETTINGS_FAULT_H
#define CATKINSEAM_SETTINGS_FAULT_H

#include <cstdint>
#include <optional>
#include <string>

namespace catkinseam {

/// One thing wrong with a settings file. Line 0: the key is missing.
struct SettingsFault {
  std::string m_key;
  std::int64_t m_line = 0;
  std::string m_message;
};

/// Returns "line 12: limits.body_bytes: must be from 1024 to 67108864".
std::string toString(const SettingsFault &Err);

/// Returns the file's text, or none when it cannot be read.
std::optional<std::string> readSettingsFile(const std::string &Path);

/// The fault of a file that cannot be read.
SettingsFault unreadableFileError(const std::string &Path);

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_FAULT_H
