// Command that checks an operator configuration before it is sent.
#ifndef CATKINSEAM_NODE_CONFIG_CHECK_COMMAND_H
#define CATKINSEAM_NODE_CONFIG_CHECK_COMMAND_H

#include "catkinseam/cli/command.h"

namespace catkinseam {

/// Adds the command-line options of the check.
void addConfigCheckOptions(
    boost::program_options::options_description &Options);

/// Prints the findings about a configuration file, and what differs from the
/// one named by --against. Error Invalid: a file cannot be read or parsed, or
/// there are findings other than differences.
Result<ExitCode> runConfigCheck(const CommandContext &Context);

} // namespace catkinseam

#endif // CATKINSEAM_NODE_CONFIG_CHECK_COMMAND_H
