#include "libbasilchute/orderwindow.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Part of the mean that one answer makes up: one in this many.
constexpr int MeanOver = 8;
constexpr double ShrinkTo = 0.75;
/// Span over which the least time of an answer is kept; the way may change.
constexpr std::chrono::seconds BaseSpan{10};

} // namespace

OrderWindow::OrderWindow(OrderWindowOptions Options)
    : m_options(Options), m_limit(static_cast<double>(Options.First)) {}

nanoseconds OrderWindow::base() const {
  return std::min(m_leastNow, m_leastBefore);
}

void OrderWindow::noteBase(nanoseconds Took, TimePoint Now) {
  if (Now >= m_spanEnds) {
    m_leastBefore = m_leastNow;
    m_leastNow = nanoseconds::max();
    m_spanEnds = Now + BaseSpan;
  }
  m_leastNow = std::min(m_leastNow, Took);
}

void OrderWindow::answered(nanoseconds Took, TimePoint Now) {
  bool Used = m_underWay * 2 >= limit();
  --m_underWay;
  noteBase(Took, Now);
  m_mean = m_mean ? *m_mean + (Took - *m_mean) / MeanOver : Took;
  nanoseconds Wait = *m_mean - base();
  if (Wait <= m_options.MostWait) {
    // One more an answer doubles the window in the time of one order; near the
    // longest wait it grows by one in that time.
    bool Far = Wait <= m_options.MostWait / 2;
    if (Used)
      m_limit += Far ? 1 : 1 / m_limit;
    m_limit = std::min(m_limit, static_cast<double>(m_options.Most));
    return;
  }
  if (Now < m_shrinkNotBefore)
    return;
  m_limit = std::max(m_limit * ShrinkTo, static_cast<double>(m_options.Least));
  // The next answers still tell of the window before.
  m_shrinkNotBefore = Now + *m_mean;
}

BASILCHUTE_NAMESPACE_END
