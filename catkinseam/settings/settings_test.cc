// Tests that validation reports every error of a settings file with its line.
#define BOOST_TEST_MODULE settings
#include "catkinseam/settings/settings.h"

#include <boost/test/unit_test.hpp>

using namespace catkinseam;

namespace {

const char *const ValidSettings = R"([entry]
name = "e1"
data_centre = "a"
seat = 1
callers = "127.0.0.1:8080"
admin = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
peers = ["127.0.0.1:8082"]
[platform]
log = "127.0.0.1:7000"
instances = "127.0.0.1:7000"
[admin]
token = "secret"
)";

std::vector<std::string> errorsOf(const std::string &Text) {
  std::vector<std::string> Messages;
  for (const SettingsError &Err : parseSettings(Text).m_errors)
    Messages.push_back(toString(Err));
  return Messages;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsAValidFile) {
  const LoadedSettings Loaded = parseSettings(std::string(ValidSettings) +
                                              "[limits]\nbody_bytes = 2048\n");
  BOOST_TEST(Loaded.m_errors.empty());
  BOOST_TEST(Loaded.m_settings.m_bodyBytes == 2048);
  BOOST_TEST(Loaded.m_settings.m_callerEndpoint.m_port == 8080);
}

BOOST_AUTO_TEST_CASE(ReportsEveryErrorWithItsLine) {
  const std::vector<std::string> Errors =
      errorsOf(std::string(ValidSettings) +
               "[limits]\nbody_bytes = 5\ncolour = 1\n[batch]\nlease_ms = "
               "1000\nrenew_ms = 500\n[telemetry]\nlog_level = 3\n[odd]\n");
  const std::vector<std::string> Expected = {
      "line 15: limits.body_bytes: must be from 1024 to 67108864",
      "line 16: limits.colour: unknown key",
      "line 19: batch.renew_ms: must be at most a third of batch.lease_ms",
      "line 21: telemetry.log_level: must be a string",
      "line 22: odd: unknown section"};
  BOOST_TEST(Errors == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(BudgetOfBodiesIsNotBelowTheLimitOfOne) {
  const std::vector<std::string> Errors =
      errorsOf(std::string(ValidSettings) +
               "[limits]\nunfinished_body_bytes = 2048\nbody_bytes = 4096\n");
  const std::vector<std::string> Expected = {
      "line 15: limits.unfinished_body_bytes: must not be below "
      "limits.body_bytes"};
  BOOST_TEST(Errors == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReportsMissingKeysAndInvalidAddresses) {
  const std::vector<std::string> Errors = errorsOf(
      "[entry]\nname = \"\"\ncallers = \"host:1\"\npeers = [\"1.2.3.4\"]\n");
  BOOST_TEST(Errors.size() == 10U);
  BOOST_TEST(Errors.back() ==
             "line 4: entry.peers: \"1.2.3.4\" is not an IP:PORT address");
}

BOOST_AUTO_TEST_CASE(ReportsMalformedTomlAndUnreadableFiles) {
  BOOST_TEST(errorsOf("[entry\n").size() == 1U);
  BOOST_TEST(loadSettings("/nonexistent/file").m_errors.size() == 1U);
}
