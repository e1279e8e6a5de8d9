// Main program: the server and its command-line interface.
#include "catkinseam/base/signals.h"
#include "catkinseam/cli/command.h"
#include "catkinseam/cli/operator_commands.h"
#include "catkinseam/node/config_check_command.h"
#include "catkinseam/node/node_command.h"
#include "catkinseam/server/entry_server.h"
#include "catkinseam/settings/settings.h"
#include "catkinseam/telemetry/log.h"

#include <Poco/Exception.h>
#include <iostream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

void addSettingsOption(po::options_description &Options) {
  Options.add_options()("settings", po::value<std::string>()->required(),
                        "TOML settings file");
}

Result<Settings> readSettings(const CommandContext &Context) {
  const std::string Path = Context.m_options["settings"].as<std::string>();
  LoadedSettings Loaded = loadSettings(Path);
  for (const SettingsError &Err : Loaded.m_errors)
    Context.m_err << Path << ": " << toString(Err) << "\n";
  if (!Loaded.m_errors.empty())
    return makeError(ErrorCode::Invalid,
                     "settings have " + std::to_string(Loaded.m_errors.size()) +
                         " faults");
  return std::move(Loaded.m_settings);
}

Result<ExitCode> check(const CommandContext &Context) {
  const std::string Path = Context.m_options["settings"].as<std::string>();
  if (isNodeSettings(Path))
    return checkNode(Context);
  BOOST_LEAF_AUTO(EntrySettings, readSettings(Context));
  Context.m_out << "settings of entry \"" << EntrySettings.m_name
                << "\" are valid\n";
  return ExitCode::Success;
}

Result<ExitCode> serve(const CommandContext &Context) {
  BOOST_LEAF_AUTO(EntrySettings, readSettings(Context));
  startLogging(EntrySettings.m_logLevel);
  blockStopSignals();
  try {
    EntryServer RunningEntry(EntrySettings);
    waitForStopSignal();
    RunningEntry.stop();
  } catch (const Poco::Exception &Exception) {
    return makeError(ErrorCode::Unavailable,
                     "entry \"" + EntrySettings.m_name +
                         "\" cannot start: " + Exception.displayText());
  }
  return ExitCode::Success;
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> All = [] {
    std::vector<Command> Commands = {
        {"serve", "run one entry", addSettingsOption, {"settings"}, serve},
        {"node",
         "run one node on the users' platform",
         addNodeOptions,
         {},
         runNode},
        {"check",
         "check a settings file",
         addSettingsOption,
         {"settings"},
         check},
        {"config check",
         "check a configuration of the users' platform before it is sent",
         addConfigCheckOptions,
         {"file"},
         runConfigCheck}};
    for (Command &OperatorCommand : operatorCommands())
      Commands.push_back(std::move(OperatorCommand));
    return Commands;
  }();
  return All;
}

} // namespace catkinseam

int main(int Argc, char **Argv) {
  return catkinseam::runCommandLine({Argv + 1, Argv + Argc}, std::cout,
                                    std::cerr);
}
