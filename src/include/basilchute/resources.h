/// \file
/// Amounts of processor time, memory and accelerators.
#pragma once

#include "basilchute/namespace.h"

#include <algorithm>
#include <cstdint>

BASILCHUTE_NAMESPACE_BEGIN

/// Resources of a worker, or the demand of a task.
struct Resources {
  int64_t Millicores = 0;
  int64_t MemoryMib = 0;
  int64_t Accelerators = 0;

  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other) {
    Millicores += Other.Millicores;
    MemoryMib += Other.MemoryMib;
    Accelerators += Other.Accelerators;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    Millicores -= Other.Millicores;
    MemoryMib -= Other.MemoryMib;
    Accelerators -= Other.Accelerators;
    return *this;
  }

  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }

  /// Returns the larger amount of each resource.
  friend Resources larger(const Resources &A, const Resources &B) {
    return {.Millicores = std::max(A.Millicores, B.Millicores),
            .MemoryMib = std::max(A.MemoryMib, B.MemoryMib),
            .Accelerators = std::max(A.Accelerators, B.Accelerators)};
  }

  /// Returns the smaller amount of each resource.
  friend Resources smaller(const Resources &A, const Resources &B) {
    return {.Millicores = std::min(A.Millicores, B.Millicores),
            .MemoryMib = std::min(A.MemoryMib, B.MemoryMib),
            .Accelerators = std::min(A.Accelerators, B.Accelerators)};
  }

  /// Returns true if this demand does not exceed \p Available in any dimension.
  bool fits(const Resources &Available) const {
    return Millicores <= Available.Millicores &&
           MemoryMib <= Available.MemoryMib &&
           Accelerators <= Available.Accelerators;
  }
};

BASILCHUTE_NAMESPACE_END
