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

} // namespace catkinseam

#endif // CATKINSEAM_BASE_CODEC_H
