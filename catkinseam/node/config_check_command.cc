// Reads configurations and prints the findings, as text or JSON.
#include "catkinseam/node/config_check_command.h"

#include "catkinseam/front/config_check.h"
#include "catkinseam/platform/operator_records.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

Result<OperatorConfig> readConfig(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeError(ErrorCode::Invalid,
                     "configuration \"" + Path + "\" cannot be read");
  const std::string Text{std::istreambuf_iterator<char>(File),
                         std::istreambuf_iterator<char>()};
  auto Parsed = attempt([&] { return parseOperatorConfig(Text); });
  if (!Parsed)
    return makeError(ErrorCode::Invalid, "configuration \"" + Path +
                                             "\": " + Parsed.error().m_message);
  return std::move(Parsed.value());
}

void printText(const std::vector<ConfigFinding> &Findings, std::ostream &Out) {
  for (const ConfigFinding &Each : Findings)
    Out << findingKindName(Each.m_kind) << ": " << Each.m_entry << ": "
        << Each.m_text << "\n";
}

void printJson(const std::vector<ConfigFinding> &Findings, std::ostream &Out) {
  boost::json::array Rows;
  for (const ConfigFinding &Each : Findings)
    Rows.push_back(boost::json::object{{"kind", findingKindName(Each.m_kind)},
                                       {"entry", Each.m_entry},
                                       {"text", Each.m_text}});
  Out << boost::json::serialize(boost::json::object{{"findings", Rows}})
      << "\n";
}

} // namespace

void addConfigCheckOptions(po::options_description &Options) {
  Options.add_options()("file", po::value<std::string>()->required(),
                        "configuration to be sent, as JSON")(
      "against", po::value<std::string>(),
      "configuration in force, as JSON, to compare with")(
      "json", po::bool_switch(), "print the findings as JSON");
}

Result<ExitCode> runConfigCheck(const CommandContext &Context) {
  const std::string Path = Context.m_options["file"].as<std::string>();
  BOOST_LEAF_AUTO(Draft, readConfig(Path));
  std::vector<ConfigFinding> Findings = checkConfig(Draft);
  if (Context.m_options.count("against") > 0) {
    BOOST_LEAF_AUTO(InForce,
                    readConfig(Context.m_options["against"].as<std::string>()));
    for (ConfigFinding &Each : compareConfigs(InForce, Draft))
      Findings.push_back(std::move(Each));
  }
  if (Context.m_options["json"].as<bool>())
    printJson(Findings, Context.m_out);
  else
    printText(Findings, Context.m_out);
  const auto Faults = std::count_if(
      Findings.begin(), Findings.end(), [](const ConfigFinding &Each) {
        return Each.m_kind != FindingKind::Difference;
      });
  if (Faults > 0)
    return makeError(ErrorCode::Invalid, "configuration \"" + Path + "\" has " +
                                             std::to_string(Faults) +
                                             " faults");
  return ExitCode::Success;
}

} // namespace catkinseam
