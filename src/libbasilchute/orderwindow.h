/// \file
/// How many orders may be under way at once.
#pragma once

#include "basilchute/clock.h"

#include <cstddef>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an OrderWindow.
struct OrderWindowOptions {
  size_t First = 32;
  size_t Least = 8;
  size_t Most = 4096;
  /// Time that an order may wait in this host beyond the time of its way. An
  /// urgent order waits as long behind those that are under way.
  milliseconds MostWait{100};
};

/// Follows the time from order to answer: the window grows while orders do not
/// wait for one another and shrinks when they do, so that a host with little
/// processor sends no more than it can in time, and a large fleet is not held
/// back by a constant.
class OrderWindow {
public:
  explicit OrderWindow(OrderWindowOptions Options = {});

  bool isOpen() const { return m_underWay < limit(); }
  size_t underWay() const { return m_underWay; }
  size_t limit() const { return static_cast<size_t>(m_limit); }

  void sent() { ++m_underWay; }
  /// An answer came \p Took after its order was sent.
  void answered(nanoseconds Took, TimePoint Now);
  /// No answer will come; that says something of the worker, not of this host.
  void lost() { --m_underWay; }

private:
  /// Least time of an answer, over the last one or two spans.
  nanoseconds base() const;
  void noteBase(nanoseconds Took, TimePoint Now);

  OrderWindowOptions m_options;
  size_t m_underWay = 0;
  double m_limit;
  /// Moving mean of the time of an order.
  std::optional<nanoseconds> m_mean;
  nanoseconds m_leastNow = nanoseconds::max();
  nanoseconds m_leastBefore = nanoseconds::max();
  TimePoint m_spanEnds{};
  TimePoint m_shrinkNotBefore{};
};

BASILCHUTE_NAMESPACE_END
