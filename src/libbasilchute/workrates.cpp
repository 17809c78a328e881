#include "libbasilchute/workrates.h"

#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time in which the weight of a value falls to 1/e.
constexpr double DecaySeconds = 10;
/// The same for arrivals: after a burst has ended, no room is to be left for
/// more of it.
constexpr double ArrivalDecaySeconds = 3;
/// Tasks of about a second have ended and made room for others by then.
constexpr double MinKnownSeconds = 3;
constexpr milliseconds MinUpdateInterval{200};

} // namespace

void WorkRates::Rate::advance(double Elapsed, double Decay, bool IsKnown) {
  if (!IsKnown) {
    *this = Rate{};
    return;
  }
  double Kept = std::exp(-Elapsed / Decay);
  Work *= Kept;
  Seconds = (Seconds + Elapsed) * Kept;
  SecondsKnown += Elapsed;
}

double WorkRates::Rate::mean() const {
  return SecondsKnown < MinKnownSeconds ? 0 : Work / Seconds;
}

void WorkRates::update(TimePoint Now, bool DoShortTasksWait, bool HasFillWork) {
  if (m_updatedAt != TimePoint{} && Now < m_updatedAt + MinUpdateInterval)
    return;
  double Elapsed = std::chrono::duration<double>(Now - m_updatedAt).count();
  if (m_updatedAt == TimePoint{})
    Elapsed = 0;
  m_short.advance(Elapsed, DecaySeconds,
                  m_didShortTasksWait && DoShortTasksWait);
  m_fill.advance(Elapsed, DecaySeconds, m_hadFillWork && HasFillWork);
  m_longRunning.advance(Elapsed, ArrivalDecaySeconds, true);
  m_didShortTasksWait = DoShortTasksWait;
  m_hadFillWork = HasFillWork;
  m_updatedAt = Now;
}

double WorkRates::finishedPerSecond() const { return m_short.mean(); }

double WorkRates::finishedFillPerSecond() const { return m_fill.mean(); }

BASILCHUTE_NAMESPACE_END
