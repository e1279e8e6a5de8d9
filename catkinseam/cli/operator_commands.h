// The commands that call an entry's administration API.
//
//   for (const Command &Each : operatorCommands()) ...
#ifndef CATKINSEAM_CLI_OPERATOR_COMMANDS_H
#define CATKINSEAM_CLI_OPERATOR_COMMANDS_H

#include "catkinseam/cli/command.h"

#include <vector>

namespace catkinseam {

/// Returns these commands, in the order of the help text.
std::vector<Command> operatorCommands();

} // namespace catkinseam

#endif // CATKINSEAM_CLI_OPERATOR_COMMANDS_H
