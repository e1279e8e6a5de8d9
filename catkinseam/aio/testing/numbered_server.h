// Test support: a server whose processes tell their numbers, and that restarts
// at the same address.
//
//   NumberedServer Server(Loop);
//   Server.start(1);
//   Server.start(2); // instead of 1
#ifndef CATKINSEAM_AIO_TESTING_NUMBERED_SERVER_H
#define CATKINSEAM_AIO_TESTING_NUMBERED_SERVER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/aio/http_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace catkinseam {

/// Passes requests to a handler together with the number of its process.
class NumberedServer {
public:
  struct Received {
    int m_process = 0;
    std::string m_path;
    std::string m_body;
  };
  using Handler = std::function<void(const Received &, const HttpResponder &)>;

  NumberedServer(EventLoop &Loop, Handler Handle)
      : m_loop(Loop), m_handle(std::move(Handle)) {
    // Reserves a free port.
    boost::asio::ip::tcp::acceptor Acceptor(
        Loop.context(), {boost::asio::ip::make_address("127.0.0.1"), 0});
    m_endpoint = {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Ends the process, with its connections, and starts the next one.
  void start(int Process) {
    m_listener.reset();
    auto Opened = attempt([&] {
      return HttpListener::open(
          m_loop, m_endpoint, {},
          [this, Process](const HttpRequest &Request,
                          const HttpResponder &Respond) {
            m_received.push_back({Process, Request.m_path, Request.m_body});
            m_handle(m_received.back(), Respond);
          });
    });
    if (!Opened)
      throw std::runtime_error(Opened.error().m_message);
    m_listener = std::move(Opened.value());
  }

  void closeAfterResponses() { m_listener->closeAfterResponses(); }

  const Endpoint &endpoint() const { return m_endpoint; }

  /// Paths of the requests to a process, separated by spaces.
  std::string pathsTo(int Process) const {
    std::string Paths;
    for (const Received &Each : m_received)
      if (Each.m_process == Process)
        Paths += (Paths.empty() ? "" : " ") + Each.m_path;
    return Paths;
  }

  std::vector<Received> m_received;

private:
  EventLoop &m_loop;
  const Handler m_handle;
  Endpoint m_endpoint;
  std::unique_ptr<HttpListener> m_listener;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_TESTING_NUMBERED_SERVER_H
