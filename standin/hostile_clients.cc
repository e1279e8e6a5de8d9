// Requests of clients that do not behave.
#include "standin/hostile_clients.h"

#include <map>
#include <utility>

namespace catkinseam {

namespace {

constexpr std::size_t FillerBytes = 1024;
/// Requests or chunks in one write.
constexpr int BatchSize = 64;

} // namespace

std::optional<HostileMode> parseHostileMode(const std::string &Name) {
  static const std::map<std::string, HostileMode> Modes = {
      {"trailers", HostileMode::Trailers},
      {"trailer-field", HostileMode::TrailerField},
      {"chunk-extension", HostileMode::ChunkExtension},
      {"partial-body", HostileMode::PartialBody},
      {"slow-header", HostileMode::SlowHeader},
      {"idle", HostileMode::Idle},
      {"unread-replies", HostileMode::UnreadReplies},
      {"pipelining", HostileMode::Pipelining},
      {"tiny-chunks", HostileMode::TinyChunks}};
  const auto Found = Modes.find(Name);
  if (Found == Modes.end())
    return std::nullopt;
  return Found->second;
}

HostileStream::HostileStream(HostileMode Mode, HostileRequest Request,
                             std::uint64_t Seed)
    : m_mode(Mode), m_request(std::move(Request)), m_random(Seed) {}

std::string HostileStream::next() {
  std::string Bytes = m_sent == 0 ? opening() : repetition();
  m_sent += Bytes.size();
  return Bytes;
}

std::string HostileStream::opening() {
  std::string Chunked =
      requestLine("POST") + "Transfer-Encoding: chunked\r\n\r\n";
  switch (m_mode) {
  case HostileMode::Trailers:
    return Chunked + "0\r\n";
  case HostileMode::TrailerField:
    return Chunked + "0\r\nX-Endless: ";
  case HostileMode::ChunkExtension:
    return Chunked + "5;extension=";
  case HostileMode::TinyChunks:
    return Chunked;
  case HostileMode::PartialBody:
    return requestLine("POST") +
           "Content-Length: " + std::to_string(m_request.m_bodyBytes) +
           "\r\n\r\n" + filler(m_request.m_bodyBytes - 1);
  case HostileMode::SlowHeader:
    return "G";
  case HostileMode::Idle:
    return "";
  case HostileMode::UnreadReplies:
  case HostileMode::Pipelining:
    return requestLine("GET") + "\r\n";
  }
  return "";
}

std::string HostileStream::repetition() {
  std::string Bytes;
  switch (m_mode) {
  case HostileMode::Trailers:
    return "X-" + filler(8) + ": " + filler(FillerBytes) + "\r\n";
  case HostileMode::TrailerField:
  case HostileMode::ChunkExtension:
    return filler(FillerBytes);
  case HostileMode::TinyChunks:
    for (int Each = 0; Each < BatchSize; ++Each)
      Bytes += "1\r\n" + filler(1) + "\r\n";
    return Bytes;
  case HostileMode::SlowHeader: {
    const std::string Header = requestLine("GET");
    return m_sent < Header.size() ? Header.substr(m_sent, 1) : filler(1);
  }
  case HostileMode::UnreadReplies:
  case HostileMode::Pipelining:
    for (int Each = 0; Each < BatchSize; ++Each)
      Bytes += requestLine("GET") + "\r\n";
    return Bytes;
  case HostileMode::PartialBody:
  case HostileMode::Idle:
    return "";
  }
  return "";
}

std::string HostileStream::requestLine(const char *Method) const {
  return std::string(Method) + " " + m_request.m_path +
         " HTTP/1.1\r\nHost: " + m_request.m_host + "\r\n";
}

std::string HostileStream::filler(std::size_t Size) {
  std::string Text(Size, 'x');
  for (char &Each : Text)
    Each = static_cast<char>('a' + m_random() % 26);
  return Text;
}

} // namespace catkinseam
