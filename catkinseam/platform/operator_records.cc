// Wire form of the operator's configuration and of workers' entries.
#include "catkinseam/platform/operator_records.h"

#include "catkinseam/platform/fast_json.h"

namespace catkinseam {

const char *const OperatorConfigKey = "config";

namespace {

Result<Milliseconds> millisecondsMember(const JsonValue &Object,
                                        std::string_view Name) {
  BOOST_LEAF_AUTO(Count, countMember(Object, Name));
  return Milliseconds(Count);
}

Result<QueueRoute> readRoute(const JsonValue &Item) {
  QueueRoute Read;
  BOOST_LEAF_ASSIGN(Read.m_host, textMember(Item, "host"));
  BOOST_LEAF_ASSIGN(Read.m_pathPrefix, textMember(Item, "pathPrefix"));
  QueueTerms &Terms = Read.m_terms;
  BOOST_LEAF_ASSIGN(Terms.m_queue, textMember(Item, "name"));
  BOOST_LEAF_ASSIGN(Terms.m_service, textMember(Item, "service"));
  BOOST_LEAF_ASSIGN(Terms.m_priority, countMember(Item, "priority"));
  BOOST_LEAF_AUTO(Attempts, countMember(Item, "maxAttempts"));
  Terms.m_maxAttempts = Attempts > 0 ? static_cast<std::uint32_t>(Attempts) : 1;
  BOOST_LEAF_AUTO(Stretch, numberMember(Item, "stretchFactor"));
  Terms.m_stretch = Stretch > 0 ? Stretch : 1.0;
  BOOST_LEAF_ASSIGN(Terms.m_slack, millisecondsMember(Item, "targetLatencyMs"));
  BOOST_LEAF_AUTO(Timeout, millisecondsMember(Item, "timeoutMs"));
  if (Timeout > Milliseconds::zero())
    Read.m_timeout = Timeout;
  Read.m_needsAdvice = memberOf(Item, "recommendation") != nullptr;
  return Read;
}

Result<void> readService(const JsonValue &Item, OperatorConfig &Config) {
  BOOST_LEAF_AUTO(Name, textMember(Item, "name"));
  ServiceTerms Terms;
  BOOST_LEAF_ASSIGN(Terms.m_guardsCapacity,
                    flagMember(Item, "admissionControl"));
  BOOST_LEAF_ASSIGN(Terms.m_isStandby, flagMember(Item, "standby"));
  Config.m_services[Name] = Terms;
  return {};
}

Result<void> readLimits(const JsonValue &Item, CallLimits &Limits) {
  BOOST_LEAF_AUTO(Header, countMember(Item, "maxHeaderBytes"));
  BOOST_LEAF_AUTO(Body, countMember(Item, "maxBodyBytes"));
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
  Resources Read;
  BOOST_LEAF_ASSIGN(Read.m_milliProcessors, countMember(Item, "cpu"));
  BOOST_LEAF_ASSIGN(Read.m_memoryMb, countMember(Item, "memMb"));
  BOOST_LEAF_ASSIGN(Read.m_accelerators, countMember(Item, "gpu"));
  return Read;
}

auto missing(const char *Name) {
  return makeError(ErrorCode::Invalid,
                   std::string("field \"") + Name + "\" is missing");
}

} // namespace

Result<OperatorConfig> readOperatorConfig(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseBody(Text));
  OperatorConfig Read;
  BOOST_LEAF_ASSIGN(Read.m_version, countMember(Body, "version"));
  const JsonValue *Routes = memberOf(Body, "routes");
  if (!Routes || !Routes->is_array())
    return missing("routes");
  for (const JsonValue &Item : Routes->get_array()) {
    BOOST_LEAF_AUTO(Each, readRoute(Item));
    Read.m_routes.push_back(std::move(Each));
  }
  const JsonValue *Services = memberOf(Body, "services");
  if (!Services || !Services->is_array())
    return missing("services");
  for (const JsonValue &Item : Services->get_array())
    BOOST_LEAF_CHECK(readService(Item, Read));
  if (const JsonValue *Limits = memberOf(Body, "limits"))
    BOOST_LEAF_CHECK(readLimits(*Limits, Read.m_limits));
  return Read;
}

Result<WorkerReport> readWorkerEntry(const std::string &Id,
                                     const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseBody(Text));
  WorkerReport Read;
  Read.m_id = Id;
  BOOST_LEAF_ASSIGN(Read.m_bornMs, countMember(Body, "born"));
  BOOST_LEAF_AUTO(Address, textMember(Body, "address"));
  BOOST_LEAF_ASSIGN(Read.m_address, parseEndpoint(Address));
  BOOST_LEAF_ASSIGN(Read.m_service, textMember(Body, "service"));
  if (Read.m_service.empty())
    return missing("service");
  BOOST_LEAF_ASSIGN(Read.m_dataCentre, textMember(Body, "zone"));
  BOOST_LEAF_AUTO(State, textMember(Body, "state"));
  if (State != "ready" && State != "draining")
    return makeError(ErrorCode::Invalid,
                     "field \"state\" is \"" + State + "\"");
  Read.m_isDraining = State == "draining";
  BOOST_LEAF_ASSIGN(Read.m_remaining, millisecondsMember(Body, "remainingMs"));
  const JsonValue *Capacity = memberOf(Body, "capacity");
  if (!Capacity || !Capacity->is_object())
    return missing("capacity");
  BOOST_LEAF_ASSIGN(Read.m_capacity, readResources(*Capacity));
  const JsonValue *Labels = memberOf(Body, "labels");
  if (!Labels || !Labels->is_array())
    return missing("labels");
  for (const JsonValue &Each : Labels->get_array()) {
    if (!Each.is_string())
      return makeError(ErrorCode::Invalid, "field \"labels\" is no list of "
                                           "strings");
    Read.m_labels.emplace_back(Each.get_string().data(),
                               Each.get_string().size());
  }
  return Read;
}

} // namespace catkinseam
