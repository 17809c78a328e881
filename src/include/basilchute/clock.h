/// \file
/// Port to the local monotonic clock.
#pragma once

#include "basilchute/namespace.h"

#include <chrono>

BASILCHUTE_NAMESPACE_BEGIN

/// Time base of all leases: local, monotonic, and running while suspended.
/// Points of different processes are never compared.
struct MonotonicClock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point on the local monotonic clock.
using TimePoint = MonotonicClock::time_point;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Reads the time. Implementations are safe to call from any thread.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the present point; never less than an earlier answer.
  virtual TimePoint now() const = 0;
};

/// The operating system's clock that counts suspended time too.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that moves only when told; for tests and embedding in simulations.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return m_now; }
  /// Moves the clock forward by \p Step.
  void advance(nanoseconds Step) { m_now += Step; }

private:
  TimePoint m_now{std::chrono::hours(1)};
};

BASILCHUTE_NAMESPACE_END
