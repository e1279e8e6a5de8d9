// Findings about routes, services and limits.
#include "catkinseam/front/config_check.h"

#include <algorithm>
#include <set>

namespace catkinseam {

namespace {

/// A node answers a call this long before its timeout at the latest.
constexpr Milliseconds LeastTimeout{200};
/// A job may have a payload of 4,000 bytes beside its steps.
constexpr std::uint64_t LeastBodyBytes = 4096;
/// Request line and headers of the shortest call.
constexpr std::uint32_t LeastHeaderBytes = 256;

using Findings = std::vector<ConfigFinding>;

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string routeEntry(const QueueRoute &Route) {
  return "route " + quoted(Route.m_policy.m_queue);
}

std::string serviceEntry(const std::string &Name) {
  return "service " + quoted(Name);
}

bool isHostName(const std::string &Host) {
  return !Host.empty() && Host.find_first_of(":/ ?#") == std::string::npos;
}

void checkAddress(const QueueRoute &Route, Findings &Found) {
  const std::string Entry = routeEntry(Route);
  if (!isHostName(Route.m_host))
    Found.push_back({FindingKind::Dead, Entry,
                     "no call has the host " + quoted(Route.m_host)});
  const std::string &Prefix = Route.m_pathPrefix;
  if (Prefix.empty() || Prefix.front() != '/' ||
      Prefix.find_first_of(" ?#") != std::string::npos)
    Found.push_back({FindingKind::Dead, Entry,
                     "no path begins with the prefix " + quoted(Prefix)});
  else if (Prefix.back() != '/')
    Found.push_back({FindingKind::Dead, Entry,
                     "a job id cannot follow the prefix " + quoted(Prefix) +
                         ", which does not end with \"/\""});
}

void checkService(const QueueRoute &Route, const OperatorConfig &Draft,
                  Findings &Found) {
  const std::string &Name = Route.m_policy.m_service;
  const auto Service = Draft.m_services.find(Name);
  if (Service == Draft.m_services.end())
    Found.push_back({FindingKind::Error, routeEntry(Route),
                     "service " + quoted(Name) + " does not exist"});
  else if (Service->second.m_isStandby)
    Found.push_back({FindingKind::Conflict, routeEntry(Route),
                     "service " + quoted(Name) +
                         " is on standby, so its jobs would not run"});
}

void checkPolicy(const QueueRoute &Route, Findings &Found) {
  const std::string Entry = routeEntry(Route);
  if (Route.m_policy.m_queue.empty())
    Found.push_back({FindingKind::Error, Entry, "the name is empty"});
  if (Route.m_policy.m_priority < 0)
    Found.push_back({FindingKind::Error, Entry,
                     "priority " + std::to_string(Route.m_policy.m_priority) +
                         " is below 0, the highest"});
  if (Route.m_policy.m_slack < Milliseconds::zero())
    Found.push_back(
        {FindingKind::Error, Entry, "the target latency is below 0 ms"});
  if (Route.m_needsRecommendation)
    Found.push_back({FindingKind::Error, Entry,
                     "recommendations are not supported, so each job would be "
                     "refused"});
  if (Route.m_timeout < LeastTimeout)
    Found.push_back({FindingKind::Conflict, Entry,
                     "a timeout of " + std::to_string(Route.m_timeout.count()) +
                         " ms leaves no time to store a job"});
}

void checkDuplicates(const OperatorConfig &Draft, Findings &Found) {
  std::set<std::pair<std::string, std::string>> Addresses;
  std::set<std::string> Names;
  for (const QueueRoute &Route : Draft.m_routes) {
    if (!Names.insert(Route.m_policy.m_queue).second)
      Found.push_back({FindingKind::Error, routeEntry(Route),
                       "the name is used by an earlier route"});
    if (!Addresses.insert({Route.m_host, Route.m_pathPrefix}).second)
      Found.push_back({FindingKind::Dead, routeEntry(Route),
                       "an earlier route has the same host and prefix"});
  }
}

void checkUnusedServices(const OperatorConfig &Draft, Findings &Found) {
  for (const auto &[Name, Policy] : Draft.m_services) {
    const bool IsUsed =
        std::any_of(Draft.m_routes.begin(), Draft.m_routes.end(),
                    [&Name = Name](const QueueRoute &Route) {
                      return Route.m_policy.m_service == Name;
                    });
    if (!IsUsed && !Policy.m_isStandby)
      Found.push_back({FindingKind::Dead, serviceEntry(Name),
                       "no route sends jobs to its workers"});
  }
}

void checkLimits(const CallLimits &Limits, Findings &Found) {
  if (Limits.m_bodyBytes < LeastBodyBytes)
    Found.push_back({FindingKind::Conflict, "limits",
                     "a body of " + std::to_string(Limits.m_bodyBytes) +
                         " bytes is shorter than a job may be"});
  if (Limits.m_headerBytes < LeastHeaderBytes)
    Found.push_back({FindingKind::Conflict, "limits",
                     "headers of " + std::to_string(Limits.m_headerBytes) +
                         " bytes are shorter than those of any call"});
}

/// Adds a difference unless the values are equal.
template <class Value>
void compare(const std::string &Entry, const char *Field, const Value &Before,
             const Value &After, Findings &Found) {
  const auto Text = [](const Value &Each) {
    if constexpr (std::is_same_v<Value, std::string>)
      return quoted(Each);
    else if constexpr (std::is_same_v<Value, Milliseconds>)
      return std::to_string(Each.count()) + " ms";
    else if constexpr (std::is_same_v<Value, bool>)
      return std::string(Each ? "true" : "false");
    else
      return std::to_string(Each);
  };
  if (Before != After)
    Found.push_back(
        {FindingKind::Difference, Entry,
         std::string(Field) + " " + Text(Before) + " becomes " + Text(After)});
}

void compareRoute(const QueueRoute &Before, const QueueRoute &After,
                  Findings &Found) {
  const std::string Entry = routeEntry(After);
  const QueuePolicy &Old = Before.m_policy;
  const QueuePolicy &New = After.m_policy;
  compare(Entry, "host", Before.m_host, After.m_host, Found);
  compare(Entry, "prefix", Before.m_pathPrefix, After.m_pathPrefix, Found);
  compare(Entry, "service", Old.m_service, New.m_service, Found);
  compare(Entry, "priority", Old.m_priority, New.m_priority, Found);
  compare(Entry, "attempts", Old.m_maxAttempts, New.m_maxAttempts, Found);
  compare(Entry, "stretch factor", Old.m_stretchFactor, New.m_stretchFactor,
          Found);
  compare(Entry, "target latency", Old.m_slack, New.m_slack, Found);
  compare(Entry, "timeout", Before.m_timeout, After.m_timeout, Found);
  compare(Entry, "recommendation", Before.m_needsRecommendation,
          After.m_needsRecommendation, Found);
}

const QueueRoute *findByName(const OperatorConfig &Config,
                             const std::string &Name) {
  const auto Found = std::find_if(
      Config.m_routes.begin(), Config.m_routes.end(),
      [&](const QueueRoute &Each) { return Each.m_policy.m_queue == Name; });
  return Found == Config.m_routes.end() ? nullptr : &*Found;
}

void compareServices(const OperatorConfig &InForce, const OperatorConfig &Draft,
                     Findings &Found) {
  for (const auto &[Name, Policy] : InForce.m_services)
    if (!Draft.m_services.contains(Name))
      Found.push_back({FindingKind::Difference, serviceEntry(Name), "removed"});
  for (const auto &[Name, Policy] : Draft.m_services) {
    const auto Before = InForce.m_services.find(Name);
    if (Before == InForce.m_services.end()) {
      Found.push_back({FindingKind::Difference, serviceEntry(Name), "added"});
      continue;
    }
    compare(serviceEntry(Name), "admission control",
            Before->second.m_hasAdmissionControl, Policy.m_hasAdmissionControl,
            Found);
    compare(serviceEntry(Name), "standby", Before->second.m_isStandby,
            Policy.m_isStandby, Found);
  }
}

} // namespace

const char *findingKindName(FindingKind Kind) {
  switch (Kind) {
  case FindingKind::Error:
    return "error";
  case FindingKind::Dead:
    return "never_matches";
  case FindingKind::Conflict:
    return "contradiction";
  case FindingKind::Difference:
    return "difference";
  }
  return "error";
}

std::vector<ConfigFinding> checkConfig(const OperatorConfig &Draft) {
  Findings Found;
  if (Draft.m_version <= 0)
    Found.push_back({FindingKind::Error, "version",
                     std::to_string(Draft.m_version) + " is not above 0"});
  for (const QueueRoute &Route : Draft.m_routes) {
    checkPolicy(Route, Found);
    checkAddress(Route, Found);
    checkService(Route, Draft, Found);
  }
  checkDuplicates(Draft, Found);
  checkUnusedServices(Draft, Found);
  checkLimits(Draft.m_limits, Found);
  return Found;
}

std::vector<ConfigFinding> compareConfigs(const OperatorConfig &InForce,
                                          const OperatorConfig &Draft) {
  Findings Found;
  if (Draft.m_version <= InForce.m_version)
    Found.push_back({FindingKind::Error, "version",
                     std::to_string(Draft.m_version) +
                         " does not follow version " +
                         std::to_string(InForce.m_version) + " in force"});
  for (const QueueRoute &Before : InForce.m_routes)
    if (!findByName(Draft, Before.m_policy.m_queue))
      Found.push_back({FindingKind::Difference, routeEntry(Before),
                       "removed; its callers will get 404"});
  for (const QueueRoute &After : Draft.m_routes) {
    if (const QueueRoute *Before = findByName(InForce, After.m_policy.m_queue))
      compareRoute(*Before, After, Found);
    else
      Found.push_back({FindingKind::Difference, routeEntry(After), "added"});
  }
  compareServices(InForce, Draft, Found);
  const CallLimits &Old = InForce.m_limits;
  const CallLimits &New = Draft.m_limits;
  compare("limits", "header bytes", Old.m_headerBytes, New.m_headerBytes,
          Found);
  compare("limits", "body bytes", Old.m_bodyBytes, New.m_bodyBytes, Found);
  compare("limits", "idle timeout", Old.m_idleTimeout, New.m_idleTimeout,
          Found);
  return Found;
}

} // namespace catkinseam
