/// \file
/// Interface to the local monotonic clock.
#pragma once

#include "basilchute/namespace.h"

#include <chrono>

BASILCHUTE_NAMESPACE_BEGIN

/// Time base of all leases: local, monotonic, and advancing while the machine
/// is suspended. Time points of different processes must not be compared.
struct MonotonicClock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A time point of the local monotonic clock.
using TimePoint = MonotonicClock::time_point;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Source of the current time. Implementations are thread-safe.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the current time, which is never earlier than a previous result.
  virtual TimePoint now() const = 0;
};

/// The operating system's monotonic clock that includes time in suspension.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that advances only on request; for tests and simulations.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return m_now; }
  /// Advances the clock by \p Step.
  void advance(nanoseconds Step) { m_now += Step; }

private:
  TimePoint m_now{std::chrono::hours(1)};
};

BASILCHUTE_NAMESPACE_END
