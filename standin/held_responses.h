// Requests that get no response while their connections stay open.
//
//   HeldResponses Held(Loop);
//   Held.hold(Respond);
#ifndef CATKINSEAM_STANDIN_HELD_RESPONSES_H
#define CATKINSEAM_STANDIN_HELD_RESPONSES_H

#include "catkinseam/aio/http_listener.h"

namespace catkinseam {

class HeldResponses {
public:
  explicit HeldResponses(Runtime &Host) : m_host(Host) {}

  /// Keeps the connection open until every client has given up.
  void hold(const HttpResponder &Respond) {
    constexpr Milliseconds LongestWait{35000};
    m_host.schedule(LongestWait, [Respond] {});
  }

private:
  Runtime &m_host;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_HELD_RESPONSES_H
