// Client that sends any bytes to a listener on loopback, for tests.
//
//   RawClient Client(Loop, Port);
//   Client.send("GET / HTTP/1.1\r\n\r\n");
#ifndef CATKINSEAM_AIO_TESTING_RAW_CLIENT_H
#define CATKINSEAM_AIO_TESTING_RAW_CLIENT_H

#include "catkinseam/aio/event_loop.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace catkinseam {

/// Not thread-safe. Must outlive the loop's run.
class RawClient {
public:
  /// With a receive buffer other than zero the client reads nothing until
  /// read() is called.
  RawClient(EventLoop &Loop, std::uint16_t Port, int ReceiveBuffer = 0)
      : m_socket(Loop.context()) {
    m_socket.open(boost::asio::ip::tcp::v4());
    if (ReceiveBuffer > 0)
      m_socket.set_option(
          boost::asio::socket_base::receive_buffer_size(ReceiveBuffer));
    m_socket.connect({boost::asio::ip::address_v4::loopback(), Port});
    if (ReceiveBuffer == 0)
      read();
  }

  void send(std::string Text) {
    m_text = std::move(Text);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_text),
        [](const boost::system::error_code &, std::size_t) {});
  }

  void read() {
    m_socket.async_read_some(
        boost::asio::buffer(m_chunk),
        [this](const boost::system::error_code &Ec, std::size_t Count) {
          m_received.append(m_chunk.data(), Count);
          if (Ec) {
            m_isClosed = true;
            return;
          }
          read();
        });
  }

  /// Status of the first reply; empty without one.
  std::string status() const {
    return m_received.size() < 12 ? "" : m_received.substr(9, 3);
  }
  bool isClosed() const { return m_isClosed; }

private:
  boost::asio::ip::tcp::socket m_socket;
  std::string m_text;
  std::array<char, 4096> m_chunk{};
  std::string m_received;
  bool m_isClosed = false;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_TESTING_RAW_CLIENT_H
