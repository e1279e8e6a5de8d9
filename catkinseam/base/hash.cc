// Hashing with xxHash, random identifiers, constant-time comparison.
#include "catkinseam/base/hash.h"

#include <random>
#include <xxhash.h>

namespace catkinseam {

std::uint64_t hashBytes(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

std::uint64_t hashPair(std::string_view First, std::string_view Second) {
  std::string Joined(First);
  Joined.push_back('\0');
  Joined.append(Second);
  return hashBytes(Joined);
}

std::string toHex(std::uint64_t Value) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t Position = Text.size(); Position > 0; --Position) {
    Text[Position - 1] = Digits[Value & 0xF];
    Value >>= 4;
  }
  return Text;
}

std::string randomId() {
  thread_local std::mt19937_64 Generator = [] {
    std::random_device Device;
    std::seed_seq Seed{Device(), Device(), Device(), Device()};
    return std::mt19937_64(Seed);
  }();
  return toHex(Generator());
}

bool constantTimeEquals(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index] ^ Right[Index]);
  return Difference == 0;
}

} // namespace catkinseam
