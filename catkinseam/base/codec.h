// Binary serialization of records and peer messages with cereal.
//
//   std::string Bytes = encode(Message);
//   Outcome<Heartbeat> Decoded =
//       attempt([&] { return decode<Heartbeat>(Bytes); });
#ifndef CATKINSEAM_BASE_CODEC_H
#define CATKINSEAM_BASE_CODEC_H

#include "catkinseam/base/error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <string>

namespace catkinseam {

/// Returns `Value` in cereal's portable binary format.
template <class T> std::string encode(const T &Value) {
  std::ostringstream Stream(std::ios::binary);
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return std::move(Stream).str();
}

/// Decodes the output of encode(). Error Invalid if `Bytes` is truncated or
/// does not hold a `T`.
template <class T> Result<T> decode(const std::string &Bytes) {
  try {
    std::istringstream Stream(Bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive Archive(Stream);
    T Value;
    Archive(Value);
    return Value;
  } catch (const std::exception &Exception) {
    return makeError(ErrorCode::Invalid,
                     std::string("cannot decode message: ") + Exception.what());
  }
}

/// Writes a base-128 varint: seven bits per byte, least significant first.
template <class Archive> void saveVarint(Archive &Target, std::uint64_t Value) {
  constexpr std::uint64_t ContinuationBit = 0x80;
  for (; Value >= ContinuationBit; Value >>= 7)
    Target(static_cast<std::uint8_t>(Value | ContinuationBit));
  Target(static_cast<std::uint8_t>(Value));
}

/// Reads a varint. Throws cereal::Exception if it exceeds 10 bytes.
template <class Archive> std::uint64_t loadVarint(Archive &Source) {
  constexpr std::uint8_t ContinuationBit = 0x80;
  constexpr int MaxShift = 63;
  std::uint64_t Value = 0;
  for (int Shift = 0; Shift <= MaxShift; Shift += 7) {
    std::uint8_t Byte = 0;
    Source(Byte);
    Value |= static_cast<std::uint64_t>(Byte & ~ContinuationBit) << Shift;
    if (Byte < ContinuationBit)
      return Value;
  }
  throw cereal::Exception("varint exceeds 10 bytes");
}

/// Writes a string, prefixed with its length in bytes as a varint.
template <class Archive>
void saveVarint(Archive &Target, const std::string &Text) {
  saveVarint(Target, Text.size());
  for (const char Character : Text)
    Target(Character);
}

/// Reads a length-prefixed string.
template <class Archive> std::string loadVarintString(Archive &Source) {
  std::string Text;
  for (std::uint64_t Remaining = loadVarint(Source); Remaining > 0;
       --Remaining) {
    char Character = 0;
    Source(Character);
    Text += Character;
  }
  return Text;
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_CODEC_H
