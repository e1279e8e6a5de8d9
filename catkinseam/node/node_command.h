// Commands that run a node and check its settings.
#ifndef CATKINSEAM_NODE_NODE_COMMAND_H
#define CATKINSEAM_NODE_NODE_COMMAND_H

#include "catkinseam/cli/command.h"

#include <string>

namespace catkinseam {

/// Adds the command-line options of a node.
void addNodeOptions(boost::program_options::options_description &Options);

/// Whether the file has a [node] section; false if it cannot be read.
bool isNodeSettings(const std::string &Path);

/// Checks a node's settings file. Error Invalid: the settings have faults,
/// which are written to the context's error stream.
Result<ExitCode> checkNode(const CommandContext &Context);

/// Runs a node until SIGTERM or SIGINT; SIGHUP reloads its settings.
Result<ExitCode> runNode(const CommandContext &Context);

} // namespace catkinseam

#endif // CATKINSEAM_NODE_NODE_COMMAND_H
