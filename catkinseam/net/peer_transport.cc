// Peer transport based on POCO's datagram and stream sockets.
#include "catkinseam/net/peer_transport.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace catkinseam {

namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::size_t FrameHeaderBytes = 4;
constexpr int MaxConcurrentCalls = 32;
const Poco::Timespan ReceivePollInterval(0, 100 * 1000);
const Poco::Timespan ServerReadTimeout(5, 0);

SocketAddress toAddress(const Endpoint &Address) {
  return {Address.m_host, Address.m_port};
}

void sendAll(StreamSocket &Socket, const char *Bytes, std::size_t Size) {
  std::size_t Sent = 0;
  while (Sent < Size)
    Sent += static_cast<std::size_t>(
        Socket.sendBytes(Bytes + Sent, static_cast<int>(Size - Sent)));
}

void receiveAll(StreamSocket &Socket, char *Bytes, std::size_t Size) {
  std::size_t Total = 0;
  while (Total < Size) {
    const int Received =
        Socket.receiveBytes(Bytes + Total, static_cast<int>(Size - Total));
    if (Received <= 0)
      throw Poco::IOException("peer closed the connection");
    Total += static_cast<std::size_t>(Received);
  }
}

void sendFrame(StreamSocket &Socket, const std::string &Bytes) {
  const auto Size = static_cast<std::uint32_t>(Bytes.size());
  char Header[FrameHeaderBytes];
  for (std::size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Header[Index] = static_cast<char>(Size >> (8 * Index));
  sendAll(Socket, Header, sizeof Header);
  sendAll(Socket, Bytes.data(), Bytes.size());
}

std::string receiveFrame(StreamSocket &Socket) {
  unsigned char Header[FrameHeaderBytes];
  receiveAll(Socket, reinterpret_cast<char *>(Header), sizeof Header);
  std::size_t Size = 0;
  for (std::size_t Index = 0; Index < FrameHeaderBytes; ++Index)
    Size |= static_cast<std::size_t>(Header[Index]) << (8 * Index);
  if (Size > PeerTransport::MaxFrameBytes)
    throw Poco::IOException("frame is too large");
  // Grows with the bytes that arrive: the announced size is not yet proven.
  constexpr std::size_t PartBytes = 64 * 1024;
  std::string Bytes;
  while (Bytes.size() < Size) {
    const std::size_t Received = Bytes.size();
    Bytes.resize(std::min(Size, Received + PartBytes));
    receiveAll(Socket, Bytes.data() + Received, Bytes.size() - Received);
  }
  return Bytes;
}

class CallConnection final : public Poco::Net::TCPServerConnection {
public:
  CallConnection(const StreamSocket &Socket,
                 const PeerTransport::Handlers &Calls)
      : TCPServerConnection(Socket), m_handlers(Calls) {}

  void run() override {
    try {
      socket().setReceiveTimeout(ServerReadTimeout);
      socket().setNoDelay(true);
      sendFrame(socket(), m_handlers.m_onCall(receiveFrame(socket())));
    } catch (const Poco::Exception &) {
      // The caller notices the closed connection and reports it.
    }
  }

private:
  const PeerTransport::Handlers &m_handlers;
};

class CallConnectionFactory final
    : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit CallConnectionFactory(const PeerTransport::Handlers &Calls)
      : m_handlers(Calls) {}
  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &Socket) override {
    return new CallConnection(Socket, m_handlers);
  }

private:
  const PeerTransport::Handlers &m_handlers;
};

} // namespace

class PeerTransport::Impl {
public:
  Impl(const Endpoint &Listen, Handlers Callbacks)
      : m_handlers(std::move(Callbacks)),
        m_threads(2, MaxConcurrentCalls, /*idleTime=*/60) {
    m_datagrams.bind(toAddress(Listen), /*reuseAddress=*/true);
    m_datagrams.setReceiveTimeout(ReceivePollInterval);
    Poco::Net::ServerSocket Calls;
    Calls.bind(toAddress(Listen), /*reuseAddress=*/true, /*reusePort=*/false);
    Calls.listen();
    auto *Params = new Poco::Net::TCPServerParams;
    Params->setMaxThreads(MaxConcurrentCalls);
    m_calls = std::make_unique<Poco::Net::TCPServer>(
        new CallConnectionFactory(m_handlers), m_threads, Calls, Params);
    m_calls->start();
    m_receiver = std::thread([this] { receiveLoop(); });
  }

  ~Impl() {
    m_isStopping = true;
    m_receiver.join();
    m_calls->stop();
    m_threads.joinAll();
  }

  bool send(const Endpoint &Peer, const std::string &Bytes) {
    if (Bytes.size() > MaxDatagramBytes)
      return false;
    try {
      m_datagrams.sendTo(Bytes.data(), static_cast<int>(Bytes.size()),
                         toAddress(Peer));
      return true;
    } catch (const Poco::Exception &) {
      return false;
    }
  }

private:
  void receiveLoop() {
    std::vector<char> Buffer(MaxDatagramBytes + 1);
    while (!m_isStopping) {
      try {
        SocketAddress From;
        const int Size = m_datagrams.receiveFrom(
            Buffer.data(), static_cast<int>(Buffer.size()), From);
        if (Size <= 0)
          continue;
        m_handlers.m_onDatagram(
            std::string(Buffer.data(), static_cast<std::size_t>(Size)),
            Endpoint{From.host().toString(), From.port()});
      } catch (const Poco::Exception &) {
        // A timeout lets the loop check whether to stop. An unreachable peer
        // is also reported here; detecting it is left to the membership.
      }
    }
  }

  Handlers m_handlers;
  Poco::ThreadPool m_threads;
  Poco::Net::DatagramSocket m_datagrams;
  std::unique_ptr<Poco::Net::TCPServer> m_calls;
  std::atomic<bool> m_isStopping{false};
  std::thread m_receiver;
};

PeerTransport::PeerTransport(const Endpoint &Listen, Handlers Callbacks)
    : m_impl(std::make_unique<Impl>(Listen, std::move(Callbacks))) {}

PeerTransport::~PeerTransport() = default;

bool PeerTransport::send(const Endpoint &Peer, const std::string &Bytes) {
  return m_impl->send(Peer, Bytes);
}

Result<std::string> PeerTransport::call(const Endpoint &Peer,
                                        const std::string &Bytes,
                                        Duration Timeout) {
  try {
    const Poco::Timespan SocketTimeout(
        std::chrono::duration_cast<std::chrono::microseconds>(Timeout).count());
    StreamSocket Socket;
    Socket.connect(toAddress(Peer), SocketTimeout);
    Socket.setNoDelay(true);
    Socket.setReceiveTimeout(SocketTimeout);
    Socket.setSendTimeout(SocketTimeout);
    sendFrame(Socket, Bytes);
    return receiveFrame(Socket);
  } catch (const Poco::Exception &Exception) {
    return makeError(ErrorCode::Unavailable,
                     "peer " + toString(Peer) +
                         " did not respond: " + Exception.displayText());
  }
}

} // namespace catkinseam
