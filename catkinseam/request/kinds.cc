// Reads request kinds from configuration.
#include "catkinseam/request/kinds.h"

namespace catkinseam {

KindTable readKinds(const ConfigContent &Content) {
  std::map<std::string, KindPolicy> Known;
  for (const std::string &Name : namesBelow(Content, "kinds")) {
    const std::string Base = "kinds/" + Name + "/";
    KindPolicy Policy;
    Policy.m_name = Name;
    Policy.m_isIdempotent = flagAt(Content, Base + "idempotent", false);
    Policy.m_isLong = flagAt(Content, Base + "long", false);
    Policy.m_estimate =
        Milliseconds(numberAt(Content, Base + "estimate_ms",
                              toMilliseconds(KindPolicy().m_estimate).count()));
    Policy.m_deadline =
        Milliseconds(numberAt(Content, Base + "deadline_ms",
                              toMilliseconds(KindPolicy().m_deadline).count()));
    Known.emplace(Name, Policy);
  }
  return KindTable(std::move(Known));
}

} // namespace catkinseam
