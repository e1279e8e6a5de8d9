// Amounts of processors, memory and accelerators.
//
//   if (Task.m_size.fitsIn(Available)) Used += Task.m_size;
#ifndef CATKINSEAM_CAPACITY_RESOURCES_H
#define CATKINSEAM_CAPACITY_RESOURCES_H

#include <algorithm>
#include <cstdint>
#include <string>

namespace catkinseam {

/// An amount of each resource. Differences may be negative.
struct Resources {
  /// Thousandths of a processor.
  std::int64_t m_milliProcessors = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;

  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other) {
    m_milliProcessors += Other.m_milliProcessors;
    m_memoryMb += Other.m_memoryMb;
    m_accelerators += Other.m_accelerators;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    m_milliProcessors -= Other.m_milliProcessors;
    m_memoryMb -= Other.m_memoryMb;
    m_accelerators -= Other.m_accelerators;
    return *this;
  }

  friend Resources operator+(Resources Left, const Resources &Right) {
    return Left += Right;
  }
  friend Resources operator-(Resources Left, const Resources &Right) {
    return Left -= Right;
  }

  /// Returns whether no amount exceeds the one in `Available`.
  bool fitsIn(const Resources &Available) const {
    return m_milliProcessors <= Available.m_milliProcessors &&
           m_memoryMb <= Available.m_memoryMb &&
           m_accelerators <= Available.m_accelerators;
  }

  bool isZero() const { return *this == Resources{}; }

  template <class Archive> void serialize(Archive &Target) {
    Target(m_milliProcessors, m_memoryMb, m_accelerators);
  }
};

/// Returns, for each resource, the smaller of the two amounts.
inline Resources elementwiseMin(const Resources &Left, const Resources &Right) {
  return {std::min(Left.m_milliProcessors, Right.m_milliProcessors),
          std::min(Left.m_memoryMb, Right.m_memoryMb),
          std::min(Left.m_accelerators, Right.m_accelerators)};
}

/// Returns, for each resource, the larger of the two amounts.
inline Resources elementwiseMax(const Resources &Left, const Resources &Right) {
  return {std::max(Left.m_milliProcessors, Right.m_milliProcessors),
          std::max(Left.m_memoryMb, Right.m_memoryMb),
          std::max(Left.m_accelerators, Right.m_accelerators)};
}

/// Returns the name of the first resource of which `Requested` exceeds
/// `Available`, or an empty string.
inline std::string insufficientResource(const Resources &Requested,
                                        const Resources &Available) {
  if (Requested.m_milliProcessors > Available.m_milliProcessors)
    return "processors";
  if (Requested.m_memoryMb > Available.m_memoryMb)
    return "memory";
  if (Requested.m_accelerators > Available.m_accelerators)
    return "accelerators";
  return "";
}

} // namespace catkinseam

#endif // CATKINSEAM_CAPACITY_RESOURCES_H
