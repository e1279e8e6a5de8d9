// Requests of evacuations, and how current they are.
#include "catkinseam/ownership/evacuations.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

void Evacuations::request(const std::string &DataCentre) {
  if (m_requests.emplace(DataCentre, m_clock.now()).second)
    logInfo("evacuation.requested", {{"data_centre", DataCentre}});
}

void Evacuations::withdraw(const std::string &DataCentre) {
  const auto Found = m_requests.find(DataCentre);
  if (Found == m_requests.end())
    return;
  const Milliseconds Lasted = toMilliseconds(m_clock.now() - Found->second);
  logInfo("evacuation.withdrawn",
          {{"data_centre", DataCentre},
           {"lasted_ms", std::to_string(Lasted.count())}});
  m_requests.erase(Found);
}

void Evacuations::retainOnly(const std::set<std::string> &DataCentres) {
  for (const std::string &Each : dataCentres())
    if (!DataCentres.contains(Each))
      withdraw(Each);
}

void Evacuations::onRead(TimePoint When) {
  m_readAt = m_isRead ? std::max(m_readAt, When) : When;
  m_isRead = true;
}

bool Evacuations::areCurrent() const {
  if (m_options.m_maxAge == Milliseconds::zero())
    return true;
  return m_isRead && m_clock.now() - m_readAt < m_options.m_maxAge;
}

std::set<std::string> Evacuations::dataCentres() const {
  std::set<std::string> Names;
  for (const auto &[DataCentre, Since] : m_requests)
    Names.insert(DataCentre);
  return Names;
}

} // namespace catkinseam
