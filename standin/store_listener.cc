// An address of the log service.
#include "standin/store_listener.h"

#include <iostream>
#include <map>

namespace catkinseam {

namespace {

/// Room for the largest append that the log accepts.
constexpr std::uint64_t MaxBodyBytes = 4194304;

} // namespace

std::optional<StoreListener::Mode>
StoreListener::parseMode(const std::string &Name) {
  static const std::map<std::string, Mode> Names = {
      {"closed", Mode::Closed}, {"reset", Mode::Reset},
      {"busy", Mode::Busy},     {"many", Mode::Many},
      {"silent", Mode::Silent}, {"early", Mode::Early}};
  const auto Found = Names.find(Name);
  return Found == Names.end() ? std::nullopt : std::optional(Found->second);
}

StoreListener::StoreListener(EventLoop &Loop, std::uint16_t Port,
                             AsyncHttpHandler Handler)
    : m_loop(Loop), m_address{"127.0.0.1", Port}, m_handler(std::move(Handler)),
      m_held(Loop), m_endOfMode(Loop) {}

Result<void> StoreListener::setMode(Mode How, double Share) {
  m_endOfMode.cancel();
  m_mode = How;
  const bool IsRaw = How == Mode::Reset || How == Mode::Early;
  m_rawListener.reset();
  if (IsRaw || How == Mode::Closed)
    m_listener.reset();
  if (IsRaw) {
    const RawListener::Options Values{How == Mode::Early
                                          ? RawListener::Kind::Early
                                          : RawListener::Kind::Reset,
                                      Share};
    BOOST_LEAF_ASSIGN(m_rawListener,
                      RawListener::open(m_loop, m_address, Values, m_handler));
  } else if (How != Mode::Closed && !m_listener) {
    return listen();
  }
  return {};
}

void StoreListener::setModeFor(Mode How, Milliseconds Time, double Share) {
  change(How, Share);
  m_endOfMode.start(Time, [this] { change(Mode::Serving); });
}

void StoreListener::change(Mode How, double Share) {
  auto Changed = attempt([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(setMode(How, Share));
    return true;
  });
  if (!Changed)
    std::cerr << Changed.error().m_message << "\n";
}

Result<void> StoreListener::listen() {
  HttpListener::Options Limits;
  Limits.m_bodyBytes = MaxBodyBytes;
  BOOST_LEAF_ASSIGN(m_listener,
                    HttpListener::open(m_loop, m_address, Limits,
                                       [this](const HttpRequest &Request,
                                              const HttpResponder &Respond) {
                                         onCall(Request, Respond);
                                       }));
  return {};
}

void StoreListener::onCall(const HttpRequest &Request,
                           const HttpResponder &Respond) {
  if (m_mode == Mode::Busy)
    return Respond({503, {}, ""});
  if (m_mode == Mode::Many)
    return Respond({429, {}, ""});
  if (m_mode == Mode::Silent)
    return m_held.hold(Respond);
  m_handler(Request, [this, Respond](HttpResponse Response) {
    if (m_mode == Mode::Silent)
      return m_held.hold(Respond);
    Respond(std::move(Response));
  });
}

} // namespace catkinseam
