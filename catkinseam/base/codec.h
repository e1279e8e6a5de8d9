// Binary encoding of records and peer messages with cereal.
//
//   std::string Bytes = encode(Message);
//   Outcome<Heartbeat> Read = attempt([&] { return decode<Heartbeat>(Bytes);
//   });
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

/// Returns the portable binary form of `Value`.
template <class T> std::string encode(const T &Value) {
  std::ostringstream Stream(std::ios::binary);
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return std::move(Stream).str();
}

/// Reads a value back. Error Invalid when `Bytes` is cut short or not of this
/// type.
template <class T> Result<T> decode(const std::string &Bytes) {
  try {
    std::istringstream Stream(Bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive Archive(Stream);
    T Value;
    Archive(Value);
    return Value;
  } catch (const std::exception &Fault) {
    return makeError(ErrorCode::Invalid,
                     std::string("cannot decode message: ") + Fault.what());
  }
}

/// Writes a number in as few bytes as it needs, seven bits each.
template <class Archive> void saveSmall(Archive &Target, std::uint64_t Value) {
  constexpr std::uint64_t More = 0x80;
  for (; Value >= More; Value >>= 7)
    Target(static_cast<std::uint8_t>(Value | More));
  Target(static_cast<std::uint8_t>(Value));
}

/// Reads back what saveSmall() wrote.
template <class Archive> std::uint64_t loadSmall(Archive &Source) {
  constexpr std::uint8_t More = 0x80;
  constexpr int MostBits = 63;
  std::uint64_t Value = 0;
  for (int Shift = 0; Shift <= MostBits; Shift += 7) {
    std::uint8_t Byte = 0;
    Source(Byte);
    Value |= static_cast<std::uint64_t>(Byte & ~More) << Shift;
    if (Byte < More)
      return Value;
  }
  throw cereal::Exception("number of too many bytes");
}

/// The same for short text.
template <class Archive>
void saveSmall(Archive &Target, const std::string &Text) {
  saveSmall(Target, Text.size());
  for (const char Each : Text)
    Target(Each);
}

template <class Archive> std::string loadSmallText(Archive &Source) {
  std::string Text;
  for (std::uint64_t Left = loadSmall(Source); Left > 0; --Left) {
    char Each = 0;
    Source(Each);
    Text += Each;
  }
  return Text;
}

} // namespace catkinseam

#endif // CATKINSEAM_BASE_CODEC_H
