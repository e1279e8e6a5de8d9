// Plays a crowd of HTTP clients that never complete a request or never read a
// response. Runs until it is terminated.
//
//   catkinseam-hostile-crowd --target 127.0.0.1:20010 --connections 50
//       --start $'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:
//       chunked\r\n\r\n5;'
//       --piece xxxxxxxx
//
// Prints "started" once every connection has sent its start or was closed.
#include "catkinseam/net/endpoint.h"

#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace catkinseam;

namespace {

struct Options {
  std::string m_target;
  std::size_t m_connections = 1;
  /// Sent once by each connection, followed by m_fill bytes.
  std::string m_start;
  std::size_t m_fill = 0;
  /// Sent again and again; if empty, nothing more is sent.
  std::string m_piece;
  /// Pause between pieces. Without one, each connection sends what it can.
  std::int64_t m_pauseMs = 0;
};

struct Connection {
  int m_descriptor = -1;
  /// Text that is being sent and the part of it that is still to be sent.
  std::string_view m_unsent;
  bool m_isStarted = false;
};

int connectTo(const Endpoint &Target) {
  // A small receive buffer fills with few unread responses.
  constexpr int ReceiveBufferBytes = 4096;
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof ReceiveBufferBytes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Target.m_port);
  ::inet_pton(AF_INET, Target.m_host.c_str(), &Address.sin_addr);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Descriptor);
    return -1;
  }
  return Descriptor;
}

/// Sends until the socket takes no more. Closes a connection that the server
/// has closed.
void sendUnsent(Connection &Client) {
  while (!Client.m_unsent.empty()) {
    const ssize_t Sent =
        ::send(Client.m_descriptor, Client.m_unsent.data(),
               Client.m_unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent < 0 && errno == EAGAIN)
      return;
    if (Sent < 0) {
      ::close(Client.m_descriptor);
      Client.m_descriptor = -1;
      return;
    }
    Client.m_unsent.remove_prefix(static_cast<std::size_t>(Sent));
  }
  Client.m_isStarted = true;
}

[[noreturn]] void runCrowd(const Options &Crowd) {
  constexpr std::chrono::milliseconds ConnectInterval(3);
  constexpr std::chrono::milliseconds PollInterval(100);
  constexpr std::size_t FloodBytes = 64 * 1024;
  std::string Flood = Crowd.m_piece;
  while (Crowd.m_pauseMs == 0 && !Flood.empty() && Flood.size() < FloodBytes)
    Flood += Crowd.m_piece;
  std::vector<Connection> Clients(Crowd.m_connections);
  const std::string Start = Crowd.m_start + std::string(Crowd.m_fill, 'x');
  const Outcome<Endpoint> Target =
      attempt([&] { return parseEndpoint(Crowd.m_target); });
  if (!Target)
    throw std::invalid_argument(Target.error().m_message);
  for (Connection &Client : Clients) {
    Client.m_descriptor = connectTo(Target.value());
    Client.m_unsent = Start;
    if (Client.m_descriptor >= 0)
      sendUnsent(Client);
    // One after the other, so that a limit on connections is reached exactly.
    std::this_thread::sleep_for(ConnectInterval);
  }
  bool IsReported = false;
  while (true) {
    std::vector<pollfd> Polled;
    bool AreStarted = true;
    for (Connection &Client : Clients) {
      if (Client.m_descriptor < 0)
        continue;
      if (Client.m_isStarted && Client.m_unsent.empty())
        Client.m_unsent = Flood;
      sendUnsent(Client);
      if (Client.m_descriptor < 0)
        continue;
      AreStarted = AreStarted && Client.m_isStarted;
      if (!Client.m_unsent.empty())
        Polled.push_back({Client.m_descriptor, POLLOUT, 0});
    }
    if (AreStarted && !IsReported) {
      std::cout << "started" << std::endl;
      IsReported = true;
    }
    if (Crowd.m_pauseMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Crowd.m_pauseMs));
    else if (Crowd.m_piece.empty() || !Polled.empty())
      ::poll(Polled.data(), Polled.size(), PollInterval.count());
  }
}

} // namespace

int main(int Count, char **Arguments) {
  namespace po = boost::program_options;
  Options Crowd;
  po::options_description Allowed;
  Allowed.add_options()("target", po::value(&Crowd.m_target)->required())(
      "connections", po::value(&Crowd.m_connections))(
      "start", po::value(&Crowd.m_start))("fill", po::value(&Crowd.m_fill))(
      "piece", po::value(&Crowd.m_piece))("pause-ms",
                                          po::value(&Crowd.m_pauseMs));
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Arguments, Allowed), Values);
    po::notify(Values);
    runCrowd(Crowd);
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}
