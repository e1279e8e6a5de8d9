// Command-line interface: a table of commands with their options and functions.
//
//   int Status =
//       runCommandLine({"config", "show", "--json"}, std::cout, std::cerr);
//
// Exit codes are documented in docs/OPERATIONS.md.
#ifndef CATKINSEAM_CLI_COMMAND_H
#define CATKINSEAM_CLI_COMMAND_H

#include "catkinseam/base/error.h"

#include <boost/program_options.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace catkinseam {

/// Exit status of the process.
enum class ExitCode : int {
  Success = 0,
  Internal = 1,
  Usage = 2,   ///< Invalid arguments, settings or input.
  Refused = 3, ///< Rejected because of the current state.
  NotFound = 4,
  Unavailable = 5, ///< Not performed; may be retried.
  Unknown = 6,     ///< May have been performed; query it by id.
  Unauthorized = 7,
};

/// Parsed options and output streams of one command.
struct CommandContext {
  const boost::program_options::variables_map &m_options;
  std::ostream &m_out;
  std::ostream &m_err;
};

/// One command, such as "config show".
struct Command {
  std::string m_name;
  std::string m_summary;
  /// Adds the command's own options.
  void (*m_addOptions)(boost::program_options::options_description &);
  /// Options that may be given as positional arguments, in order; the last one
  /// takes all remaining arguments.
  std::vector<std::string> m_positionalOptions;
  Result<ExitCode> (*m_run)(const CommandContext &);
};

/// Returns all commands, in the order of the help text.
const std::vector<Command> &commands();

/// Runs the command that `Arguments` (without the program name) selects and
/// returns the exit status.
int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

/// Returns the exit code for an error code.
ExitCode exitCodeOf(ErrorCode Code);

} // namespace catkinseam

#endif // CATKINSEAM_CLI_COMMAND_H
