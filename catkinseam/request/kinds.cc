// Reads kind policies from the configuration.
#include "catkinseam/request/kinds.h"

namespace catkinseam {

KindTable readKinds(const ConfigContent &Content) {
  std::map<std::string, KindPolicy> Kinds;
  for (const std::string &Name : childNames(Content, "kinds")) {
    const std::string Prefix = "kinds/" + Name + "/";
    KindPolicy Policy;
    Policy.m_name = Name;
    Policy.m_isIdempotent = getBoolean(Content, Prefix + "idempotent", false);
    Policy.m_isLong = getBoolean(Content, Prefix + "long", false);
    Policy.m_estimate = Milliseconds(
        getNumber(Content, Prefix + "estimate_ms",
                  toMilliseconds(KindPolicy().m_estimate).count()));
    Policy.m_deadline = Milliseconds(
        getNumber(Content, Prefix + "deadline_ms",
                  toMilliseconds(KindPolicy().m_deadline).count()));
    Kinds.emplace(Name, Policy);
  }
  return KindTable(std::move(Kinds));
}

} // namespace catkinseam
