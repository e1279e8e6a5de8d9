// Parsing of the command line and reporting of errors.
#include "catkinseam/cli/command.h"

#include <algorithm>
#include <ostream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

constexpr const char *Version = "0.1.0";

void printHelp(std::ostream &Out) {
  Out << "catkinseam: places latency-critical and batch work on shared "
         "workers\n\nusage: catkinseam COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command &Known : commands()) {
    std::string Name = Known.m_name;
    Name.resize(std::max<std::size_t>(Name.size() + 1, 16), ' ');
    Out << "  " << Name << Known.m_summary << "\n";
  }
  Out << "\ncatkinseam COMMAND --help shows a command's options.\n";
}

/// Finds the command and counts the words of its name.
const Command *findCommand(const std::vector<std::string> &Arguments,
                           std::size_t &Words) {
  std::string Name;
  for (Words = 1; Words <= Arguments.size() && Words <= 2; ++Words) {
    Name += (Words > 1 ? " " : "") + Arguments[Words - 1];
    for (const Command &Known : commands())
      if (Known.m_name == Name)
        return &Known;
  }
  return nullptr;
}

int fail(std::ostream &Err, ExitCode Code, const std::string &Message) {
  Err << "catkinseam: " << Message << "\n";
  return static_cast<int>(Code);
}

int runOne(const Command &Known, const std::vector<std::string> &Rest,
           std::ostream &Out, std::ostream &Err) {
  po::options_description Options("options");
  Options.add_options()("help", "show this help");
  Known.m_addOptions(Options);
  po::positional_options_description Positions;
  std::string Usage = "usage: catkinseam " + Known.m_name;
  for (const std::string &Name : Known.m_positions) {
    const bool IsLast = Name == Known.m_positions.back();
    Positions.add(Name.c_str(), IsLast ? -1 : 1);
    Usage += " " + Name;
  }
  po::variables_map Given;
  try {
    po::store(po::command_line_parser(Rest)
                  .options(Options)
                  .positional(Positions)
                  .run(),
              Given);
    if (Given.count("help") > 0) {
      Out << Usage << " [OPTIONS]\n" << Known.m_summary << "\n\n" << Options;
      return 0;
    }
    po::notify(Given);
  } catch (const po::error &Fault) {
    return fail(Err, ExitCode::Usage, Fault.what());
  }
  const CommandContext Context{Given, Out, Err};
  const Outcome<ExitCode> Ended = attempt([&] { return Known.m_run(Context); });
  if (Ended)
    return static_cast<int>(Ended.value());
  return fail(Err, exitCodeOf(Ended.error().m_code), Ended.error().m_message);
}

} // namespace

ExitCode exitCodeOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
  case ErrorCode::TooLarge:
    return ExitCode::Usage;
  case ErrorCode::Unauthorized:
    return ExitCode::Unauthorized;
  case ErrorCode::NotFound:
    return ExitCode::NotFound;
  case ErrorCode::Conflict:
    return ExitCode::Refused;
  case ErrorCode::Unavailable:
    return ExitCode::Unavailable;
  case ErrorCode::OutcomeUnknown:
    return ExitCode::Unknown;
  case ErrorCode::Internal:
    return ExitCode::Internal;
  }
  return ExitCode::Internal;
}

int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err) {
  if (Arguments.empty() || Arguments[0] == "--help") {
    printHelp(Out);
    return Arguments.empty() ? static_cast<int>(ExitCode::Usage) : 0;
  }
  if (Arguments[0] == "--version") {
    Out << "catkinseam " << Version << "\n";
    return 0;
  }
  std::size_t Words = 0;
  const Command *Known = findCommand(Arguments, Words);
  if (Known == nullptr)
    return fail(Err, ExitCode::Usage,
                "\"" + Arguments[0] +
                    "\" is not a command; see catkinseam --help");
  return runOne(*Known,
                {Arguments.begin() + static_cast<long>(Words), Arguments.end()},
                Out, Err);
}

} // namespace catkinseam
