// Request bodies, of known length or chunked.
#include "catkinseam/net/internal/request_body.h"

#include <Poco/Ascii.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <algorithm>
#include <cstdint>
#include <istream>

namespace catkinseam {

namespace {

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerSession;
using Poco::Net::HTTPSession;

constexpr std::size_t ReadBytes = 8192;
/// Hexadecimal digits of a chunk size; more could overflow it.
constexpr std::size_t MaxSizeDigits = 15;
constexpr int EndOfStream = std::char_traits<char>::eof();

/// Gives access to the session's reads, which are protected.
struct SessionReads : HTTPSession {
  using HTTPSession::get;
  using HTTPSession::read;
};

int getFrom(HTTPSession &Session) { return (Session.*&SessionReads::get)(); }

int readFrom(HTTPSession &Session, char *Bytes, std::size_t Size) {
  return (Session.*&SessionReads::read)(Bytes,
                                        static_cast<std::streamsize>(Size));
}

} // namespace

RequestBody::Outcome RequestBody::read(HTTPServerRequestImpl &Request) {
  try {
    if (Request.getChunkedTransferEncoding())
      return readChunked(Request.session());
    if (Request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING))
      return Outcome::Invalid;
    // Without a length the body is empty (RFC 9112, section 6.3).
    return Request.hasContentLength() ? readFixed(Request) : Outcome::Complete;
  } catch (const Poco::Exception &) {
    return Outcome::Truncated;
  }
}

RequestBody::Outcome RequestBody::readFixed(HTTPServerRequestImpl &Request) {
  const auto Length = static_cast<std::uint64_t>(Request.getContentLength64());
  if (Length > m_options.m_maxBodyBytes)
    return Outcome::TooLarge;
  std::istream &Stream = Request.stream();
  char Buffer[ReadBytes];
  while (Stream.read(Buffer, sizeof Buffer), Stream.gcount() > 0)
    if (const Outcome Appended =
            append(Buffer, static_cast<std::size_t>(Stream.gcount()));
        Appended != Outcome::Complete)
      return Appended;
  return m_bytes.size() == Length ? Outcome::Complete : Outcome::Truncated;
}

RequestBody::Outcome RequestBody::readChunked(HTTPServerSession &Session) {
  while (true) {
    std::size_t Size = 0;
    if (const Outcome Header = readChunkSize(Session, Size);
        Header != Outcome::Complete)
      return Header;
    if (Size == 0)
      break;
    if (const Outcome Data = readChunkData(Session, Size);
        Data != Outcome::Complete)
      return Data;
  }
  // Trailer fields end with an empty line.
  while (true) {
    int Next = getFrom(Session);
    if (Next == '\r')
      Next = getFrom(Session);
    if (Next == '\n')
      return Outcome::Complete;
    if (const Outcome Field = skipLine(Session, Next);
        Field != Outcome::Complete)
      return Field;
  }
}

RequestBody::Outcome RequestBody::readChunkSize(HTTPServerSession &Session,
                                                std::size_t &Size) {
  std::string Digits;
  int Next = getFrom(Session);
  while (Poco::Ascii::isHexDigit(Next) && Digits.size() < MaxSizeDigits) {
    Digits += static_cast<char>(Next);
    Next = getFrom(Session);
  }
  if (Next == EndOfStream)
    return Outcome::Truncated;
  const bool EndsSize = Next == '\r' || Next == '\n' || Next == ';' ||
                        Next == ' ' || Next == '\t';
  if (Digits.empty() || !EndsSize)
    return Outcome::Invalid;
  Size = std::stoull(Digits, nullptr, 16);
  if (Next == '\r')
    Next = getFrom(Session);
  return skipLine(Session, Next);
}

RequestBody::Outcome RequestBody::readChunkData(HTTPServerSession &Session,
                                                std::size_t Size) {
  if (Size > m_options.m_maxBodyBytes - m_bytes.size())
    return Outcome::TooLarge;
  char Buffer[ReadBytes];
  while (Size > 0) {
    const int Count = readFrom(Session, Buffer, std::min(Size, sizeof Buffer));
    if (Count <= 0)
      return Outcome::Truncated;
    if (const Outcome Appended =
            append(Buffer, static_cast<std::size_t>(Count));
        Appended != Outcome::Complete)
      return Appended;
    Size -= static_cast<std::size_t>(Count);
  }
  int Next = getFrom(Session);
  if (Next == '\r')
    Next = getFrom(Session);
  if (Next == EndOfStream)
    return Outcome::Truncated;
  return Next == '\n' ? Outcome::Complete : Outcome::Invalid;
}

RequestBody::Outcome RequestBody::skipLine(HTTPServerSession &Session,
                                           int Next) {
  for (; Next != '\n'; Next = getFrom(Session)) {
    if (Next == EndOfStream)
      return Outcome::Truncated;
    if (++m_framingBytes > m_options.m_maxFramingBytes)
      return Outcome::FramingTooLarge;
  }
  return Outcome::Complete;
}

RequestBody::Outcome RequestBody::append(const char *Bytes, std::size_t Size) {
  if (m_bytes.size() + Size > m_options.m_maxBodyBytes)
    return Outcome::TooLarge;
  if (!m_reservation.grow(Size))
    return Outcome::OverBudget;
  m_bytes.append(Bytes, Size);
  return Outcome::Complete;
}

} // namespace catkinseam
