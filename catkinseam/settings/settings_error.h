// Errors found in a settings file.
#ifndef CATKINSEAM_SETTINGS_SETTINGS_ERROR_H
#define CATKINSEAM_SETTINGS_SETTINGS_ERROR_H

#include <cstdint>
#include <optional>
#include <string>

namespace catkinseam {

/// One error in a settings file.
struct SettingsError {
  std::string m_key;
  /// From 1; 0 when the key is missing or the file is unreadable.
  std::int64_t m_line = 0;
  std::string m_message;
};

/// Returns "line 12: limits.body_bytes: must be from 1024 to 67108864".
std::string toString(const SettingsError &Err);

/// Returns the contents of the file, or nullopt if it cannot be read.
std::optional<std::string> readSettingsFile(const std::string &Path);

/// Returns the error reported for a file that cannot be read.
SettingsError unreadableFileError(const std::string &Path);

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_SETTINGS_ERROR_H
