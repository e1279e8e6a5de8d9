// A crowd of clients that do not behave, for tests of listeners.
//
//   hostile-clients --port 18610 --mode trailers --connections 8
//       --bytes 60000000 --seconds 60 --seed 1
//
// Opens all connections, sends up to the given number of bytes on each, and
// keeps those that the server does not close. Prints "in place" once all
// connections are open and no byte more can be sent, and totals at the end.
// Ends when the server has closed all connections, after the given time, on
// SIGTERM, or, with --leave, as soon as the crowd is in place.
#include "catkinseam/aio/event_loop.h"
#include "standin/hostile_clients.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using boost::system::error_code;

/// Interval of the bytes of a slow header, and of the check for progress.
constexpr Milliseconds TickInterval{500};
/// Checks without progress after which the crowd is in place.
constexpr int QuietTicks = 3;
constexpr std::size_t ParallelConnects = 64;
/// Makes the server's writes wait after few replies.
constexpr int UnreadReceiveBuffer = 2048;
/// Address of the clients: on that of the server their ports could be those
/// that another test listens on.
constexpr const char *ClientAddress = "127.0.0.2";

struct CrowdOptions {
  std::uint16_t m_port = 0;
  HostileMode m_mode = HostileMode::Idle;
  std::size_t m_connections = 1;
  std::uint64_t m_bytes = 60000000;
  Milliseconds m_duration{60000};
  std::uint64_t m_seed = 1;
  bool m_leaves = false;
  HostileRequest m_request;
};

class Crowd {
public:
  Crowd(EventLoop &Loop, const CrowdOptions &Values)
      : m_loop(Loop), m_options(Values) {}

  void start() {
    m_loop.schedule(m_options.m_duration, [this] { m_loop.stop(); });
    for (std::size_t Each = 0; Each < ParallelConnects; ++Each)
      connectNext();
    tick();
  }

  void report() const {
    std::cout << "connections " << m_clients.size() << ", refused " << m_refused
              << ", closed " << m_closed << ", bytes " << m_bytes;
    for (const auto &[Status, Count] : m_statuses)
      std::cout << ", status " << Status << " " << Count;
    std::cout << std::endl;
  }

private:
  struct Client {
    Client(EventLoop &Loop, const CrowdOptions &Values, std::uint64_t Seed)
        : m_socket(Loop.context()),
          m_stream(Values.m_mode, Values.m_request, Seed) {}

    asio::ip::tcp::socket m_socket;
    HostileStream m_stream;
    std::string m_pending;
    std::array<char, 4096> m_received{};
    bool m_isOpen = false;
    bool m_hasStatus = false;
  };

  void connectNext() {
    if (m_clients.size() == m_options.m_connections)
      return;
    m_clients.push_back(std::make_unique<Client>(
        m_loop, m_options, m_options.m_seed + m_clients.size()));
    Client &Opened = *m_clients.back();
    error_code Ignored;
    Opened.m_socket.open(asio::ip::tcp::v4(), Ignored);
    if (m_options.m_mode == HostileMode::UnreadReplies)
      Opened.m_socket.set_option(
          asio::socket_base::receive_buffer_size(UnreadReceiveBuffer), Ignored);
    Opened.m_socket.bind({asio::ip::make_address(ClientAddress), 0}, Ignored);
    Opened.m_socket.async_connect(
        {asio::ip::address_v4::loopback(), m_options.m_port},
        [this, &Opened](const error_code &Ec) {
          ++m_attempted;
          if (Ec) {
            ++m_refused;
          } else {
            Opened.m_isOpen = true;
            write(Opened);
            if (m_options.m_mode != HostileMode::UnreadReplies)
              read(Opened);
          }
          connectNext();
        });
  }

  void write(Client &Sender) {
    if (Sender.m_stream.sent() >= m_options.m_bytes)
      return;
    Sender.m_pending = Sender.m_stream.next();
    if (Sender.m_pending.empty())
      return;
    asio::async_write(Sender.m_socket, asio::buffer(Sender.m_pending),
                      [this, &Sender](const error_code &Ec, std::size_t Count) {
                        m_bytes += Count;
                        if (Ec)
                          return close(Sender);
                        if (m_options.m_mode == HostileMode::SlowHeader)
                          m_loop.schedule(TickInterval,
                                          [this, &Sender] { write(Sender); });
                        else
                          write(Sender);
                      });
  }

  void read(Client &Reader) {
    Reader.m_socket.async_read_some(
        asio::buffer(Reader.m_received),
        [this, &Reader](const error_code &Ec, std::size_t Count) {
          if (Ec)
            return close(Reader);
          countStatus(Reader, Count);
          read(Reader);
        });
  }

  /// Counts the status of the first reply on each connection.
  void countStatus(Client &Reader, std::size_t Count) {
    const std::string Text(Reader.m_received.data(), Count);
    if (Reader.m_hasStatus || !Text.starts_with("HTTP/1.1 "))
      return;
    Reader.m_hasStatus = true;
    ++m_statuses[Text.substr(std::string("HTTP/1.1 ").size(), 3)];
  }

  void close(Client &Closed) {
    if (!Closed.m_isOpen)
      return;
    Closed.m_isOpen = false;
    ++m_closed;
    error_code Ignored;
    Closed.m_socket.close(Ignored);
  }

  void tick() {
    const bool AreOpened = m_attempted == m_options.m_connections;
    if (AreOpened && m_closed + m_refused == m_options.m_connections)
      return m_loop.stop();
    const bool IsQuiet =
        m_options.m_mode == HostileMode::SlowHeader || m_bytes == m_bytesAtTick;
    m_bytesAtTick = m_bytes;
    m_quietTicks = AreOpened && IsQuiet ? m_quietTicks + 1 : 0;
    if (m_quietTicks == QuietTicks) {
      std::cout << "in place" << std::endl;
      if (m_options.m_leaves)
        return m_loop.stop();
    }
    m_loop.schedule(TickInterval, [this] { tick(); });
  }

  EventLoop &m_loop;
  const CrowdOptions m_options;
  std::vector<std::unique_ptr<Client>> m_clients;
  std::map<std::string, std::size_t> m_statuses;
  std::size_t m_attempted = 0;
  std::size_t m_refused = 0;
  std::size_t m_closed = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_bytesAtTick = 0;
  int m_quietTicks = 0;
};

int run(int ArgCount, char **Args) {
  CrowdOptions Values;
  std::string Mode;
  std::int64_t Seconds = 0;
  po::options_description Options("hostile-clients");
  Options.add_options()("port", po::value(&Values.m_port)->required(),
                        "port of the listener, on loopback")(
      "mode", po::value(&Mode)->required(), "what each client does")(
      "connections",
      po::value(&Values.m_connections)->default_value(Values.m_connections),
      "number of clients")(
      "bytes", po::value(&Values.m_bytes)->default_value(Values.m_bytes),
      "maximum number of bytes that each client sends")(
      "seconds", po::value(&Seconds)->default_value(60),
      "maximum time that the crowd lasts")(
      "seed", po::value(&Values.m_seed)->default_value(Values.m_seed),
      "seed of the bytes that are sent")(
      "host", po::value(&Values.m_request.m_host), "value of the Host field")(
      "path", po::value(&Values.m_request.m_path), "path of each request")(
      "body-bytes", po::value(&Values.m_request.m_bodyBytes),
      "size of the body of which a byte is missing")(
      "leave", po::bool_switch(&Values.m_leaves),
      "end once the crowd is in place");
  po::variables_map Variables;
  po::store(po::parse_command_line(ArgCount, Args, Options), Variables);
  po::notify(Variables);
  const auto Parsed = parseHostileMode(Mode);
  if (!Parsed) {
    std::cerr << "hostile-clients: unknown mode \"" << Mode << "\"\n";
    return 2;
  }
  Values.m_mode = *Parsed;
  Values.m_duration = Milliseconds(1000 * Seconds);
  EventLoop Loop;
  boost::asio::signal_set Signals(Loop.context(), SIGTERM);
  Signals.async_wait([&Loop](const error_code &, int) { Loop.stop(); });
  Crowd Clients(Loop, Values);
  Clients.start();
  Loop.run();
  Clients.report();
  return 0;
}

} // namespace

} // namespace catkinseam

int main(int ArgCount, char **Args) {
  try {
    return catkinseam::run(ArgCount, Args);
  } catch (const boost::program_options::error &Fault) {
    std::cerr << "hostile-clients: " << Fault.what() << "\n";
    return 2;
  }
}
