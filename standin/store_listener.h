// One address of the log service, which may refuse its callers.
//
//   StoreListener Store(Loop, Port, Handler);
//   if (auto Opened = Store.setMode(StoreListener::Mode::Serving)) ...
//   Store.setModeFor(StoreListener::Mode::Busy, Milliseconds(4000));
#ifndef CATKINSEAM_STANDIN_STORE_LISTENER_H
#define CATKINSEAM_STANDIN_STORE_LISTENER_H

#include "standin/held_responses.h"
#include "standin/raw_listener.h"

#include <memory>
#include <optional>

namespace catkinseam {

class StoreListener {
public:
  enum class Mode {
    Serving,
    Closed, ///< Connections are closed and refused.
    Reset,  ///< Connections are accepted and reset.
    Busy,   ///< 503 to each call.
    Many,   ///< 429 to each call.
    Silent, ///< Calls are neither carried out nor answered.
    Early   ///< See RawListener::Kind::Early.
  };

  static std::optional<Mode> parseMode(const std::string &Name);

  StoreListener(EventLoop &Loop, std::uint16_t Port, AsyncHttpHandler Handler);

  /// Returns Unavailable if the address is in use. `Share` is the share of
  /// calls that Early refuses.
  Result<void> setMode(Mode How, double Share = 1.0);
  /// Serves again after `Time`, unless another mode was set in the meantime.
  void setModeFor(Mode How, Milliseconds Time, double Share = 1.0);

private:
  Result<void> listen();
  void onCall(const HttpRequest &Request, const HttpResponder &Respond);
  /// Prints an error.
  void change(Mode How, double Share = 1.0);

  EventLoop &m_loop;
  const Endpoint m_address;
  const AsyncHttpHandler m_handler;
  HeldResponses m_held;
  Mode m_mode = Mode::Closed;
  Timer m_endOfMode;
  std::unique_ptr<HttpListener> m_listener;
  std::unique_ptr<RawListener> m_rawListener;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_STORE_LISTENER_H
