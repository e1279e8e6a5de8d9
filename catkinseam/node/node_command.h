// The command that runs a node.
#ifndef CATKINSEAM_NODE_NODE_COMMAND_H
#define CATKINSEAM_NODE_NODE_COMMAND_H

#include "catkinseam/cli/command.h"

namespace catkinseam {

void addNodeOptions(boost::program_options::options_description &Options);

/// Runs a node until it is told to stop.
Result<ExitCode> runNode(const CommandContext &Context);

} // namespace catkinseam

#endif // CATKINSEAM_NODE_NODE_COMMAND_H
