// The command that runs a node.
#ifndef CATKINSEAM_NODE_NODE_COMMAND_H
#define CATKINSEAM_NODE_NODE_COMMAND_H

#include "catkinseam/cli/command.h"

#include <string>

namespace catkinseam {

void addNodeOptions(boost::program_options::options_description &Options);

/// Whether the file has a section of a node's settings.
bool isNodeSettings(const std::string &Path);

/// Checks a node's settings file.
Result<ExitCode> checkNode(const CommandContext &Context);

/// Runs a node until it is told to stop.
Result<ExitCode> runNode(const CommandContext &Context);

} // namespace catkinseam

#endif // CATKINSEAM_NODE_NODE_COMMAND_H
