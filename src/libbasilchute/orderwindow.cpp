#include "libbasilchute/orderwindow.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The weight of one round trip in the moving mean is one part in this many.
constexpr int MeanDivisor = 8;
constexpr double DecreaseFactor = 0.75;
/// Time for which a minimum round-trip time is kept; the network path may
/// change.
constexpr std::chrono::seconds MinRoundTripPeriod{10};

} // namespace

OrderWindow::OrderWindow(OrderWindowOptions Options)
    : m_options(Options), m_limit(static_cast<double>(Options.Initial)) {}

nanoseconds OrderWindow::minRoundTrip() const {
  return std::min(m_currentMin, m_previousMin);
}

void OrderWindow::recordRoundTrip(nanoseconds RoundTrip, TimePoint Now) {
  if (Now >= m_periodEnd) {
    m_previousMin = m_currentMin;
    m_currentMin = nanoseconds::max();
    m_periodEnd = Now + MinRoundTripPeriod;
  }
  m_currentMin = std::min(m_currentMin, RoundTrip);
}

void OrderWindow::onAnswered(nanoseconds RoundTrip, TimePoint Now) {
  bool IsInUse = m_inFlight * 2 >= limit();
  --m_inFlight;
  recordRoundTrip(RoundTrip, Now);
  m_meanRoundTrip =
      m_meanRoundTrip
          ? *m_meanRoundTrip + (RoundTrip - *m_meanRoundTrip) / MeanDivisor
          : RoundTrip;
  nanoseconds QueueingDelay = *m_meanRoundTrip - minRoundTrip();
  if (QueueingDelay <= m_options.MaxQueueingDelay) {
    // An increment of one per answer doubles the limit in one round trip. Near
    // the maximum delay the limit grows by one per round trip.
    bool IsFarFromMax = QueueingDelay <= m_options.MaxQueueingDelay / 2;
    if (IsInUse)
      m_limit += IsFarFromMax ? 1 : 1 / m_limit;
    m_limit = std::min(m_limit, static_cast<double>(m_options.Max));
    return;
  }
  if (Now < m_nextDecrease)
    return;
  m_limit =
      std::max(m_limit * DecreaseFactor, static_cast<double>(m_options.Min));
  // The answers of the next round trip still belong to orders that were sent
  // under the previous limit.
  m_nextDecrease = Now + *m_meanRoundTrip;
}

BASILCHUTE_NAMESPACE_END
