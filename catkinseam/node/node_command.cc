// Runs a node: loads its settings, handles signals and runs the event loop.
#include "catkinseam/node/node_command.h"

#include "catkinseam/node/node.h"
#include "catkinseam/platform/environment.h"
#include "catkinseam/telemetry/log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <ostream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;
using boost::system::error_code;

void waitForSignals(boost::asio::signal_set &Signals, Node &Server,
                    const std::string &Path) {
  Signals.async_wait(
      [&Signals, &Server, Path](const error_code &Error, int Signal) {
        if (Error)
          return;
        if (Signal == SIGHUP) {
          const LoadedNodeSettings Loaded = loadNodeSettings(Path);
          for (const SettingsError &Err : Loaded.m_errors)
            logWarn("settings.fault", {{"fault", toString(Err)}});
          if (Loaded.m_errors.empty())
            Server.reload(Loaded.m_settings);
        } else {
          Server.stop();
        }
        waitForSignals(Signals, Server, Path);
      });
}

Result<NodeSettings> readNodeSettings(const CommandContext &Context) {
  const std::string Path = Context.m_options["settings"].as<std::string>();
  LoadedNodeSettings Loaded = loadNodeSettings(Path);
  for (const SettingsError &Err : Loaded.m_errors)
    Context.m_err << Path << ": " << toString(Err) << "\n";
  if (!Loaded.m_errors.empty())
    return makeError(ErrorCode::Invalid,
                     "settings have " + std::to_string(Loaded.m_errors.size()) +
                         " faults");
  return std::move(Loaded.m_settings);
}

} // namespace

void addNodeOptions(po::options_description &Options) {
  Options.add_options()(
      "settings", po::value<std::string>()->default_value(nodeSettingsPath()),
      "TOML settings file");
}

bool isNodeSettings(const std::string &Path) {
  const std::optional<std::string> Text = readSettingsFile(Path);
  return Text && Text->find("[node]") != std::string::npos;
}

Result<ExitCode> checkNode(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Read, readNodeSettings(Context));
  Context.m_out << "settings of node \"" << Read.m_name << "\" are valid\n";
  return ExitCode::Success;
}

Result<ExitCode> runNode(const CommandContext &Context) {
  const std::string Path = Context.m_options["settings"].as<std::string>();
  BOOST_LEAF_AUTO(Values, readNodeSettings(Context));
  startLogging(Values.m_logLevel, LogStream::StandardOutput);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop Loop;
  boost::asio::signal_set Signals(Loop.context(), SIGTERM, SIGINT, SIGHUP);
  Node Server(Loop, Values);
  BOOST_LEAF_CHECK(Server.start());
  waitForSignals(Signals, Server, Path);
  Loop.run();
  // Skips destructors: joining the logger's threads may take too long on a
  // small machine, and nothing else needs cleanup.
  Context.m_out.flush();
  std::quick_exit(static_cast<int>(ExitCode::Success));
}

} // namespace catkinseam
