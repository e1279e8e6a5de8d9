// What one client that does not behave sends on its connection.
//
//   HostileStream Stream(HostileMode::Trailers, {.m_host = "tally.example"},
//   7); while (Stream.sent() < Limit) write(Stream.next());
#ifndef CATKINSEAM_STANDIN_HOSTILE_CLIENTS_H
#define CATKINSEAM_STANDIN_HOSTILE_CLIENTS_H

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace catkinseam {

enum class HostileMode {
  Trailers,       ///< Trailer fields without end behind a chunked body.
  TrailerField,   ///< One trailer field without end.
  ChunkExtension, ///< One chunk extension without end.
  PartialBody,    ///< All but the last byte of a body.
  SlowHeader,     ///< A header of which a byte is sent at a time.
  Idle,           ///< Nothing.
  UnreadReplies,  ///< Requests without end whose replies are not read.
  Pipelining,     ///< Requests without end; replies are read.
  TinyChunks      ///< A body without end in chunks of one byte.
};

/// Returns the mode named "trailers", "trailer-field" and so on; none for an
/// unknown name.
std::optional<HostileMode> parseHostileMode(const std::string &Name);

struct HostileRequest {
  std::string m_host = "localhost";
  std::string m_path = "/";
  /// Size of the body of which a byte is missing.
  std::size_t m_bodyBytes = 262143;
};

class HostileStream {
public:
  HostileStream(HostileMode Mode, HostileRequest Request, std::uint64_t Seed);

  /// Returns the next bytes to send; empty if the client sends nothing more.
  std::string next();

  std::uint64_t sent() const { return m_sent; }

private:
  std::string opening();
  std::string repetition();
  std::string requestLine(const char *Method) const;
  /// Returns letters that depend on the seed.
  std::string filler(std::size_t Size);

  const HostileMode m_mode;
  const HostileRequest m_request;
  std::mt19937_64 m_random;
  std::uint64_t m_sent = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_HOSTILE_CLIENTS_H
