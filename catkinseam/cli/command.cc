// Parsing of the command line and error reporting.
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
  for (const Command &Candidate : commands()) {
    std::string Name = Candidate.m_name;
    Name.resize(std::max<std::size_t>(Name.size() + 1, 16), ' ');
    Out << "  " << Name << Candidate.m_summary << "\n";
  }
  Out << "\ncatkinseam COMMAND --help shows a command's options.\n";
}

/// Finds the command and stores the number of words of its name in `WordCount`.
/// Returns null if there is none.
const Command *findCommand(const std::vector<std::string> &Arguments,
                           std::size_t &WordCount) {
  std::string Name;
  for (WordCount = 1; WordCount <= Arguments.size() && WordCount <= 2;
       ++WordCount) {
    Name += (WordCount > 1 ? " " : "") + Arguments[WordCount - 1];
    for (const Command &Candidate : commands())
      if (Candidate.m_name == Name)
        return &Candidate;
  }
  return nullptr;
}

int reportError(std::ostream &Err, ExitCode Code, const std::string &Message) {
  Err << "catkinseam: " << Message << "\n";
  return static_cast<int>(Code);
}

int runCommand(const Command &Selected,
               const std::vector<std::string> &CommandArguments,
               std::ostream &Out, std::ostream &Err) {
  po::options_description Options("options");
  Options.add_options()("help", "show this help");
  Selected.m_addOptions(Options);
  po::positional_options_description PositionalOptions;
  std::string Usage = "usage: catkinseam " + Selected.m_name;
  for (const std::string &Name : Selected.m_positionalOptions) {
    const bool IsLast = Name == Selected.m_positionalOptions.back();
    PositionalOptions.add(Name.c_str(), IsLast ? -1 : 1);
    Usage += " " + Name;
  }
  po::variables_map ParsedOptions;
  try {
    po::store(po::command_line_parser(CommandArguments)
                  .options(Options)
                  .positional(PositionalOptions)
                  .run(),
              ParsedOptions);
    if (ParsedOptions.count("help") > 0) {
      Out << Usage << " [OPTIONS]\n" << Selected.m_summary << "\n\n" << Options;
      return 0;
    }
    po::notify(ParsedOptions);
  } catch (const po::error &Exception) {
    return reportError(Err, ExitCode::Usage, Exception.what());
  }
  const CommandContext Context{ParsedOptions, Out, Err};
  const Outcome<ExitCode> Status =
      attempt([&] { return Selected.m_run(Context); });
  if (Status)
    return static_cast<int>(Status.value());
  return reportError(Err, exitCodeOf(Status.error().m_code),
                     Status.error().m_message);
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
  std::size_t WordCount = 0;
  const Command *Selected = findCommand(Arguments, WordCount);
  if (Selected == nullptr)
    return reportError(Err, ExitCode::Usage,
                       "\"" + Arguments[0] +
                           "\" is not a command; see catkinseam --help");
  return runCommand(
      *Selected,
      {Arguments.begin() + static_cast<long>(WordCount), Arguments.end()}, Out,
      Err);
}

} // namespace catkinseam
