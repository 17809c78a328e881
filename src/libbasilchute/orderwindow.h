/// \file
/// Limit on the number of orders in flight.
#pragma once

#include "basilchute/clock.h"

#include <cstddef>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an OrderWindow.
struct OrderWindowOptions {
  /// Limit at first, and the bounds of the limit.
  size_t Initial = 32;
  size_t Min = 8;
  size_t Max = 4096;
  /// Maximum mean time that an order may wait in this host, in addition to the
  /// minimum round-trip time. An urgent order waits as long behind the orders
  /// in flight.
  milliseconds MaxQueueingDelay{100};
};

/// A congestion window for orders, based on their round-trip times: the limit
/// grows while orders do not queue behind one another and shrinks when they do.
/// A host with little processor time thus sends no more orders than it can
/// handle in time, and a large fleet is not limited by a constant.
class OrderWindow {
public:
  explicit OrderWindow(OrderWindowOptions Options = {});

  /// Returns true if another order may be sent.
  bool isOpen() const { return m_inFlight < limit(); }
  /// Returns the number of orders that were sent and not answered.
  size_t inFlight() const { return m_inFlight; }
  size_t limit() const { return static_cast<size_t>(m_limit); }

  /// Counts an order that is sent.
  void onSent() { ++m_inFlight; }
  /// Counts an answer that arrived at \p Now, \p RoundTrip after its order was
  /// sent.
  void onAnswered(nanoseconds RoundTrip, TimePoint Now);
  /// Records the round trip of another call to a worker, which takes about as
  /// long as that of an order.
  void onProbed(nanoseconds RoundTrip, TimePoint Now) {
    recordRoundTrip(RoundTrip, Now);
  }
  /// Counts an order that will not be answered. The limit stays, because a
  /// missing answer is due to the worker, not to this host.
  void onUnanswered() { --m_inFlight; }

private:
  /// Returns the minimum round-trip time of the current and the previous
  /// period.
  nanoseconds minRoundTrip() const;
  void recordRoundTrip(nanoseconds RoundTrip, TimePoint Now);

  OrderWindowOptions m_options;
  size_t m_inFlight = 0;
  double m_limit;
  /// Moving mean of the round-trip time.
  std::optional<nanoseconds> m_meanRoundTrip;
  /// Minimum round-trip time of the current and of the previous period.
  nanoseconds m_currentMin = nanoseconds::max();
  nanoseconds m_previousMin = nanoseconds::max();
  TimePoint m_periodEnd{};
  /// The limit is not decreased before this time.
  TimePoint m_nextDecrease{};
};

BASILCHUTE_NAMESPACE_END
