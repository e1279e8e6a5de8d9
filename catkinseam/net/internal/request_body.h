// Reads the body of a request with bounds on its bytes, on the bytes of its
// chunk extensions and trailers, and on what all unfinished requests use
// together.
//
//   RequestBody Body({MaxBodyBytes, MaxFramingBytes}, Budget);
//   if (Body.read(Request) == RequestBody::Outcome::Complete)
//     use(Body.take());
//
// POCO's chunked stream limits neither extensions nor trailers, leaves trailer
// fields to be read as the next request, and does not report truncated bodies.
#ifndef CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H
#define CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H

#include "catkinseam/net/byte_budget.h"

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
    /// The budget of all unfinished requests is used up.
    OverBudget,
    /// A chunk is malformed, or the transfer encoding is not supported.
    Invalid,
    /// The connection ended within the body.
    Truncated,
  };

  struct Options {
    std::size_t m_maxBodyBytes;
    std::size_t m_maxFramingBytes;
  };

  RequestBody(const Options &Limits, ByteBudget &Budget)
      : m_options(Limits), m_reservation(Budget) {}

  /// Reads the body, and the trailers of a chunked one, from the connection.
  Outcome read(Poco::Net::HTTPServerRequestImpl &Request);

  /// Returns the body. Its bytes stay reserved for the life of this object.
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
  ByteReservation m_reservation;
  std::string m_bytes;
  std::size_t m_framingBytes = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_INTERNAL_REQUEST_BODY_H
