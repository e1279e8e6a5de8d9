// Parses the JSON of the operator configuration and of worker registrations.
#include "catkinseam/platform/operator_records.h"

#include "catkinseam/platform/boost_json.h"

namespace catkinseam {

const char *const OperatorConfigKey = "config";

namespace {

Result<Milliseconds> millisecondsMember(const JsonValue &Object,
                                        std::string_view Name) {
  BOOST_LEAF_AUTO(Count, integerMember(Object, Name));
  return Milliseconds(Count);
}

Result<QueueRoute> readRoute(const JsonValue &Item) {
  QueueRoute Route;
  BOOST_LEAF_ASSIGN(Route.m_host, stringMember(Item, "host"));
  BOOST_LEAF_ASSIGN(Route.m_pathPrefix, stringMember(Item, "pathPrefix"));
  QueuePolicy &Policy = Route.m_policy;
  BOOST_LEAF_ASSIGN(Policy.m_queue, stringMember(Item, "name"));
  BOOST_LEAF_ASSIGN(Policy.m_service, stringMember(Item, "service"));
  BOOST_LEAF_ASSIGN(Policy.m_priority, integerMember(Item, "priority"));
  BOOST_LEAF_AUTO(Attempts, integerMember(Item, "maxAttempts"));
  Policy.m_maxAttempts =
      Attempts > 0 ? static_cast<std::uint32_t>(Attempts) : 1;
  BOOST_LEAF_AUTO(Stretch, doubleMember(Item, "stretchFactor"));
  Policy.m_stretchFactor = Stretch > 0 ? Stretch : 1.0;
  BOOST_LEAF_ASSIGN(Policy.m_slack,
                    millisecondsMember(Item, "targetLatencyMs"));
  BOOST_LEAF_AUTO(Timeout, millisecondsMember(Item, "timeoutMs"));
  if (Timeout > Milliseconds::zero())
    Route.m_timeout = Timeout;
  Route.m_needsRecommendation = findMember(Item, "recommendation") != nullptr;
  return Route;
}

Result<void> readService(const JsonValue &Item, OperatorConfig &Config) {
  BOOST_LEAF_AUTO(Name, stringMember(Item, "name"));
  ServicePolicy Policy;
  BOOST_LEAF_ASSIGN(Policy.m_hasAdmissionControl,
                    boolMember(Item, "admissionControl"));
  BOOST_LEAF_ASSIGN(Policy.m_isStandby, boolMember(Item, "standby"));
  Config.m_services[Name] = Policy;
  return {};
}

Result<void> readLimits(const JsonValue &Item, CallLimits &Limits) {
  BOOST_LEAF_AUTO(Header, integerMember(Item, "maxHeaderBytes"));
  BOOST_LEAF_AUTO(Body, integerMember(Item, "maxBodyBytes"));
  BOOST_LEAF_AUTO(Idle, millisecondsMember(Item, "idleTimeoutMs"));
  if (Header > 0)
    Limits.m_headerBytes = static_cast<std::uint32_t>(Header);
  if (Body > 0)
    Limits.m_bodyBytes = static_cast<std::uint64_t>(Body);
  if (Idle > Milliseconds::zero())
    Limits.m_idleTimeout = Idle;
  return {};
}

Result<Resources> readResources(const JsonValue &Item) {
  Resources Amount;
  BOOST_LEAF_ASSIGN(Amount.m_milliProcessors, integerMember(Item, "cpu"));
  BOOST_LEAF_ASSIGN(Amount.m_memoryMb, integerMember(Item, "memMb"));
  BOOST_LEAF_ASSIGN(Amount.m_accelerators, integerMember(Item, "gpu"));
  return Amount;
}

auto missing(const char *Name) {
  return makeError(ErrorCode::Invalid,
                   std::string("field \"") + Name + "\" is missing");
}

} // namespace

std::optional<std::string> parseEvacuationKey(const std::string &Key) {
  constexpr std::string_view Prefix = "evacuate/";
  if (!Key.starts_with(Prefix) || Key.size() == Prefix.size())
    return std::nullopt;
  return Key.substr(Prefix.size());
}

Result<OperatorConfig> parseOperatorConfig(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonBody(Text));
  OperatorConfig Config;
  BOOST_LEAF_ASSIGN(Config.m_version, integerMember(Body, "version"));
  const JsonValue *Routes = findMember(Body, "routes");
  if (!Routes || !Routes->is_array())
    return missing("routes");
  for (const JsonValue &Item : Routes->get_array()) {
    BOOST_LEAF_AUTO(Element, readRoute(Item));
    Config.m_routes.push_back(std::move(Element));
  }
  const JsonValue *Services = findMember(Body, "services");
  if (!Services || !Services->is_array())
    return missing("services");
  for (const JsonValue &Item : Services->get_array())
    BOOST_LEAF_CHECK(readService(Item, Config));
  if (const JsonValue *Limits = findMember(Body, "limits"))
    BOOST_LEAF_CHECK(readLimits(*Limits, Config.m_limits));
  return Config;
}

Result<WorkerRegistration> parseWorkerRegistration(const std::string &Id,
                                                   const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonBody(Text));
  WorkerRegistration Registration;
  Registration.m_id = Id;
  BOOST_LEAF_ASSIGN(Registration.m_startedMs, integerMember(Body, "born"));
  BOOST_LEAF_AUTO(Address, stringMember(Body, "address"));
  BOOST_LEAF_ASSIGN(Registration.m_address, parseEndpoint(Address));
  BOOST_LEAF_ASSIGN(Registration.m_service, stringMember(Body, "service"));
  if (Registration.m_service.empty())
    return missing("service");
  BOOST_LEAF_ASSIGN(Registration.m_dataCentre, stringMember(Body, "zone"));
  BOOST_LEAF_AUTO(State, stringMember(Body, "state"));
  if (State != "ready" && State != "draining")
    return makeError(ErrorCode::Invalid,
                     "field \"state\" is \"" + State + "\"");
  Registration.m_isDraining = State == "draining";
  BOOST_LEAF_ASSIGN(Registration.m_remaining,
                    millisecondsMember(Body, "remainingMs"));
  BOOST_LEAF_ASSIGN(Registration.m_coldFor,
                    millisecondsMember(Body, "coldRemainingMs"));
  const JsonValue *Capacity = findMember(Body, "capacity");
  if (!Capacity || !Capacity->is_object())
    return missing("capacity");
  BOOST_LEAF_ASSIGN(Registration.m_capacity, readResources(*Capacity));
  const JsonValue *Labels = findMember(Body, "labels");
  if (!Labels || !Labels->is_array())
    return missing("labels");
  for (const JsonValue &Element : Labels->get_array()) {
    if (!Element.is_string())
      return makeError(ErrorCode::Invalid, "field \"labels\" is not a list of "
                                           "strings");
    Registration.m_labels.emplace_back(Element.get_string().data(),
                                       Element.get_string().size());
  }
  return Registration;
}

} // namespace catkinseam
