// The data centres that the operator has asked to evacuate. Every node follows
// the requests in the operator topic; the owner starts no run in these data
// centres.
//
//   Evacuations Requests(Clock, {.m_maxAge = Milliseconds(4500)});
//   Requests.request("tamarindo");
//   Requests.onRead(Reader.caughtUpAt());
//   if (Requests.areCurrent()) ... Requests.dataCentres()
#ifndef CATKINSEAM_OWNERSHIP_EVACUATIONS_H
#define CATKINSEAM_OWNERSHIP_EVACUATIONS_H

#include "catkinseam/base/clock.h"

#include <map>
#include <set>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class Evacuations {
public:
  struct Options {
    /// How long ago the requests may have been read; zero for no limit.
    Milliseconds m_maxAge{0};
  };

  Evacuations(const Clock &Time, const Options &Values)
      : m_clock(Time), m_options(Values) {}

  /// Applies a request. Repeating it has no effect.
  void request(const std::string &DataCentre);
  /// Applies the withdrawal of a request.
  void withdraw(const std::string &DataCentre);
  /// Withdraws all requests but those for `DataCentres`, after the newest
  /// record of each key has been read.
  void retainOnly(const std::set<std::string> &DataCentres);

  /// Reports that all requests made before `When` have been applied.
  void onRead(TimePoint When);

  /// Whether the requests are recent enough to start runs. With a limit on
  /// their age, false until the first read.
  bool areCurrent() const;

  /// The requests in force: the data centres, and when this node learned of
  /// each request.
  const std::map<std::string, TimePoint> &requests() const {
    return m_requests;
  }
  std::set<std::string> dataCentres() const;

private:
  const Clock &m_clock;
  const Options m_options;
  std::map<std::string, TimePoint> m_requests;
  TimePoint m_readAt;
  bool m_isRead = false;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_EVACUATIONS_H
