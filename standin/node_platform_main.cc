// Stand-in for the users' platform, used with nodes that run as separate
// processes. Serves the log service, the workers and a fixed configuration over
// HTTP on loopback; see NodePlatform for the ports. On SIGTERM it checks what
// its workers have seen and exits with 1 if a guarantee was violated.
//
//   node-platform --port 18500 --workers 6 --nodes 3 --seed 1
//
// Faults are injected by POST /control to the control port; see
// fault_injection.h. GET /verdict there returns what is violated so far. The
// tasks of a job do what its `spec` says; see TaskBehaviour. Each task of a job
// whose id starts with "dead" crashes its worker 10 ms after the start; the
// worker is down for a second.
#include "standin/node_platform.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

/// Prints the violations and returns the exit code.
int reportViolations(const NodePlatform &Platform) {
  const std::vector<std::string> Violations =
      Platform.violations(/*IsAtEnd=*/true);
  for (const std::string &Each : Violations)
    std::cout << "broken: " << Each << "\n";
  std::cout << "jobs " << Platform.jobs() << ", failed "
            << Platform.failedJobs() << ", runs " << Platform.runs()
            << ", done " << Platform.completedRuns() << ", broken promises "
            << Violations.size() << std::endl;
  return Violations.empty() ? 0 : 1;
}

int run(int ArgCount, char **Args) {
  NodePlatform::Options Values;
  std::int64_t StopMs = 0;
  po::options_description Options("node-platform");
  Options.add_options()("port", po::value(&Values.m_port)->required(),
                        "port of the log service; others follow from it")(
      "workers", po::value(&Values.m_workers)->default_value(Values.m_workers),
      "number of workers")(
      "nodes", po::value(&Values.m_nodes)->default_value(Values.m_nodes),
      "number of nodes that have an address of the log service of their own")(
      "seed", po::value(&Values.m_seed)->default_value(Values.m_seed),
      "seed of all random choices")(
      "stop-ms", po::value(&StopMs)->default_value(0),
      "time that a run takes to stop, in milliseconds");
  po::variables_map Variables;
  po::store(po::parse_command_line(ArgCount, Args, Options), Variables);
  po::notify(Variables);
  Values.m_stopTime = Milliseconds(StopMs);
  EventLoop Loop;
  NodePlatform Platform(Loop, Values);
  auto Started = attempt([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(Platform.start());
    return true;
  });
  if (!Started) {
    std::cerr << Started.error().m_message << "\n";
    return 2;
  }
  boost::asio::signal_set Signals(Loop.context(), SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Loop.stop(); });
  Loop.run();
  return reportViolations(Platform);
}

} // namespace

} // namespace catkinseam

int main(int ArgCount, char **Args) {
  try {
    return catkinseam::run(ArgCount, Args);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}
