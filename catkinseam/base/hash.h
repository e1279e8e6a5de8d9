// Hashing and random identifiers.
//
//   std::uint64_t Score = hashPair(WorkerName, EntryName);
//   std::string BootId = randomId();
#ifndef CATKINSEAM_BASE_HASH_H
#define CATKINSEAM_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinseam {

/// Returns the 64-bit XXH3 hash of `Bytes`; identical on every machine.
std::uint64_t hashBytes(std::string_view Bytes);

/// Returns a hash of the pair of names, for rendezvous hashing.
std::uint64_t hashPair(std::string_view First, std::string_view Second);

/// Returns 16 random hexadecimal digits. Thread-safe.
std::string randomId();

/// Returns `Value` as 16 hexadecimal digits.
std::string toHex(std::uint64_t Value);

/// Compares two secrets in time that depends only on their lengths, so that
/// timing does not reveal where they differ.
bool constantTimeEquals(std::string_view Left, std::string_view Right);

} // namespace catkinseam

#endif // CATKINSEAM_BASE_HASH_H
