// Reads the body of a request with bounds on its bytes and on the bytes of its
// chunk extensions and trailers.
//
//   RequestBody Body({MaxBodyBytes, MaxFramingBytes});
//   if (Body.read(Request) == RequestBody::Outcome::Complete)
//     use(Body.take());
//
// POCO's chunked stream limits neither extensions nor trailers, leaves trailer
// fields to be read as the next request, and does not report truncated bodies.
#ifndef CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H
#define CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H

#include <cstddef>
#include <string>

namespace Poco::Net {
class HTTPServerRequestImpl;
class HTTPServerSession;
} // namespace Poco::Net

namespace catkinseam {

class RequestBody {
public:
  enum class Outcome {
    Complete,
    /// The body exceeds its limit.
    TooLarge,
    /// The chunk extensions and trailers exceed their limit.
    FramingTooLarge,
    /// A chunk is malformed, or the transfer encoding is not supported.
    Invalid,
    /// The connection ended within the body.
    Truncated,
  };

  struct Options {
    std::size_t m_maxBodyBytes;
    std::size_t m_maxFramingBytes;
  };

  explicit RequestBody(const Options &Limits) : m_options(Limits) {}

  /// Reads the body, and the trailers of a chunked one, from the connection.
  Outcome read(Poco::Net::HTTPServerRequestImpl &Request);

  /// Returns the body, once.
  std::string take() { return std::move(m_bytes); }

private:
  Outcome readFixed(Poco::Net::HTTPServerRequestImpl &Request);
  Outcome readChunked(Poco::Net::HTTPServerSession &Session);
  Outcome readChunkSize(Poco::Net::HTTPServerSession &Session,
                        std::size_t &Size);
  Outcome readChunkData(Poco::Net::HTTPServerSession &Session,
                        std::size_t Size);
  /// Skips a line from its first character `Next` on.
  Outcome skipLine(Poco::Net::HTTPServerSession &Session, int Next);
  Outcome append(const char *Bytes, std::size_t Size);

  const Options m_options;
  std::string m_bytes;
  std::size_t m_framingBytes = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H
