// Findings about operator configurations.
#define BOOST_TEST_MODULE config_check
#include "catkinseam/front/config_check.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

QueueRoute route(const std::string &Name) {
  QueueRoute Route;
  Route.m_host = "tally.example";
  Route.m_pathPrefix = "/" + Name + "/";
  Route.m_policy.m_queue = Name;
  Route.m_policy.m_service = "tally";
  return Route;
}

OperatorConfig validConfig() {
  OperatorConfig Config;
  Config.m_version = 7;
  Config.m_routes = {route("counts"), route("ledgers")};
  Config.m_services["tally"] = {};
  return Config;
}

/// Expects exactly one finding, of this kind and with this text in it.
void expectOne(const std::vector<ConfigFinding> &Found, FindingKind Kind,
               const std::string &Entry, const std::string &Text) {
  BOOST_REQUIRE(Found.size() == 1U);
  BOOST_TEST((Found.front().m_kind == Kind));
  BOOST_TEST(Found.front().m_entry == Entry);
  BOOST_TEST(Found.front().m_text.find(Text) != std::string::npos,
             Found.front().m_text);
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidConfigHasNoFindings) {
  BOOST_TEST(checkConfig(validConfig()).empty());
  BOOST_TEST(compareConfigs(validConfig(), validConfig()).size() == 1U);
}

// A route whose service does not exist accepts jobs that never run.
BOOST_AUTO_TEST_CASE(UnknownServiceIsAnError) {
  OperatorConfig Config = validConfig();
  Config.m_routes[1].m_policy.m_service = "taly";
  expectOne(checkConfig(Config), FindingKind::Error, "route \"ledgers\"",
            "\"taly\" does not exist");
}

BOOST_AUTO_TEST_CASE(StandbyServiceContradictsItsRoute) {
  OperatorConfig Config = validConfig();
  Config.m_services["idle"].m_isStandby = true;
  BOOST_TEST(checkConfig(Config).empty());
  Config.m_routes[0].m_policy.m_service = "idle";
  expectOne(checkConfig(Config), FindingKind::Conflict, "route \"counts\"",
            "standby");
}

BOOST_AUTO_TEST_CASE(RoutesThatNeverMatch) {
  for (const char *Host : {"", "tally.example:80", "a b"}) {
    OperatorConfig Config = validConfig();
    Config.m_routes[0].m_host = Host;
    expectOne(checkConfig(Config), FindingKind::Dead, "route \"counts\"",
              "no call has the host");
  }
  for (const char *Prefix : {"", "counts/", "/counts?x=/", "/counts"}) {
    OperatorConfig Config = validConfig();
    Config.m_routes[0].m_pathPrefix = Prefix;
    expectOne(checkConfig(Config), FindingKind::Dead, "route \"counts\"",
              "prefix");
  }
  OperatorConfig Config = validConfig();
  Config.m_routes[1].m_pathPrefix = Config.m_routes[0].m_pathPrefix;
  expectOne(checkConfig(Config), FindingKind::Dead, "route \"ledgers\"",
            "same host and prefix");
}

BOOST_AUTO_TEST_CASE(UnusedServiceIsFound) {
  OperatorConfig Config = validConfig();
  Config.m_services["spare"] = {};
  expectOne(checkConfig(Config), FindingKind::Dead, "service \"spare\"",
            "no route");
}

BOOST_AUTO_TEST_CASE(LimitsThatNoCallCanMeet) {
  OperatorConfig Config = validConfig();
  Config.m_limits.m_bodyBytes = 100;
  expectOne(checkConfig(Config), FindingKind::Conflict, "limits", "100 bytes");
  Config = validConfig();
  Config.m_limits.m_headerBytes = 10;
  expectOne(checkConfig(Config), FindingKind::Conflict, "limits", "10 bytes");
  Config = validConfig();
  Config.m_routes[0].m_timeout = Milliseconds(50);
  expectOne(checkConfig(Config), FindingKind::Conflict, "route \"counts\"",
            "50 ms");
}

BOOST_AUTO_TEST_CASE(InvalidPolicies) {
  OperatorConfig Config = validConfig();
  Config.m_routes[0].m_policy.m_priority = -1;
  expectOne(checkConfig(Config), FindingKind::Error, "route \"counts\"",
            "priority -1");
  Config = validConfig();
  Config.m_routes[0].m_needsRecommendation = true;
  expectOne(checkConfig(Config), FindingKind::Error, "route \"counts\"",
            "recommendations");
  Config = validConfig();
  Config.m_routes[1].m_policy.m_queue = "counts";
  expectOne(checkConfig(Config), FindingKind::Error, "route \"counts\"",
            "used by an earlier route");
  Config = validConfig();
  Config.m_version = 0;
  expectOne(checkConfig(Config), FindingKind::Error, "version", "0");
}

BOOST_AUTO_TEST_CASE(DifferencesToTheVersionInForce) {
  OperatorConfig Draft = validConfig();
  Draft.m_version = 8;
  BOOST_TEST(compareConfigs(validConfig(), Draft).empty());
  Draft.m_routes[0].m_timeout = Milliseconds(900);
  expectOne(compareConfigs(validConfig(), Draft), FindingKind::Difference,
            "route \"counts\"", "timeout 3000 ms becomes 900 ms");
  Draft.m_routes.erase(Draft.m_routes.begin());
  expectOne(compareConfigs(validConfig(), Draft), FindingKind::Difference,
            "route \"counts\"", "removed");
  Draft = validConfig();
  Draft.m_version = 8;
  Draft.m_routes.push_back(route("more"));
  Draft.m_services["tally"].m_hasAdmissionControl = false;
  Draft.m_limits.m_bodyBytes = 5000;
  const std::vector<ConfigFinding> Found = compareConfigs(validConfig(), Draft);
  BOOST_TEST(Found.size() == 3U);
  BOOST_TEST(
      std::all_of(Found.begin(), Found.end(), [](const ConfigFinding &Each) {
        return Each.m_kind == FindingKind::Difference;
      }));
}

// A lower version is never put in force.
BOOST_AUTO_TEST_CASE(VersionMustFollow) {
  OperatorConfig Draft = validConfig();
  Draft.m_version = 6;
  expectOne(compareConfigs(validConfig(), Draft), FindingKind::Error, "version",
            "6 does not follow version 7");
}

} // namespace catkinseam
