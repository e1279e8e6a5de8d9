// The command line: one table of commands, each with its options and action.
//
//   int Code = runCommandLine({"config", "show", "--json"}, std::cout,
//   std::cerr);
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

/// How the process ends.
enum class ExitCode : int {
  Success = 0,
  Internal = 1,
  Usage = 2,   ///< Wrong arguments, settings or input.
  Refused = 3, ///< The product refused because of the state it met.
  NotFound = 4,
  Unavailable = 5, ///< Did not happen; may be tried again.
  Unknown = 6,     ///< May have happened; ask by its id.
  Unauthorized = 7,
};

/// What a command gets.
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
  /// Names of positional arguments, in order.
  std::vector<std::string> m_positions;
  Result<ExitCode> (*m_run)(const CommandContext &);
};

/// All commands in the order of the help.
const std::vector<Command> &commands();

/// Runs one command line without the program's name.
int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

/// The exit code that reports an error of this kind.
ExitCode exitCodeOf(ErrorCode Code);

} // namespace catkinseam

#endif // CATKINSEAM_CLI_COMMAND_H
