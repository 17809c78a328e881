#include "libbasilchute/processorleft.h"

#include <algorithm>
#include <cmath>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time constant with which a peak is forgotten; several swings of the serving
/// load, in each of which some worker has processors to spare.
constexpr milliseconds PeakTime{30000};
/// Least part that a kind is taken to use on a worker that is not full.
constexpr double MinPeak = 0.5;

/// Returns the part of a value that is left of it after \p Age if it decays
/// with the time constant \p Constant.
double decayAfter(nanoseconds Age, milliseconds Constant) {
  return std::exp(-std::chrono::duration<double>(Age) /
                  std::chrono::duration<double>(Constant));
}

} // namespace

void FillUsePeaks::observe(TaskKind Kind, const FillReport &Report,
                           TimePoint Now) {
  if (Report.Age < ProcessorLeftOptions{}.SettleTime ||
      Report.AllowedMillicores <= 0)
    return;
  Peak &Known = m_peaks.try_emplace(Kind, Peak{.SeenAt = Now}).first->second;
  double Part = static_cast<double>(Report.UsedMillicores) /
                static_cast<double>(Report.AllowedMillicores);
  if (Part >= partOf(Kind, Now))
    Known = {.Part = std::min(Part, 1.0), .SeenAt = Now};
}

double FillUsePeaks::partOf(TaskKind Kind, TimePoint Now) const {
  auto It = m_peaks.find(Kind);
  if (It == m_peaks.end())
    return 1;
  return std::max(MinPeak, It->second.Part *
                               decayAfter(Now - It->second.SeenAt, PeakTime));
}

double ProcessorLeft::difference(TimePoint Now) const {
  if (!m_measuredAt)
    return 0;
  nanoseconds Age = std::max(nanoseconds(0), Now - *m_measuredAt);
  return m_difference * decayAfter(Age, m_options.DecayTime);
}

double ProcessorLeft::millicores(double ByReservations, TimePoint Now) const {
  return std::max(0.0, std::max(ByReservations, 0.0) + difference(Now));
}

// If one run gets less than it may use, the processors are fully used, and the
// sum of all reports is what other tasks leave. A run that has just started
// counts with the little that it has used: its older siblings used the rest.
void ProcessorLeft::observe(const std::vector<FillReport> &Reports,
                            double ByReservations, TimePoint Now) {
  double Used = 0;
  bool IsSaturated = false;
  for (const FillReport &Report : Reports) {
    Used += static_cast<double>(Report.UsedMillicores);
    IsSaturated |= Report.Age >= m_options.SettleTime &&
                   static_cast<double>(Report.UsedMillicores) <
                       m_options.SaturatedPart *
                           static_cast<double>(Report.AllowedMillicores);
  }
  double Measured = Used - std::max(ByReservations, 0.0);
  // Without saturation the sum is only a lower bound.
  if (!IsSaturated && Measured <= difference(Now))
    return;
  double Weight = 1;
  if (IsSaturated && m_measuredAt)
    Weight = 1 - decayAfter(Now - *m_measuredAt, m_options.SmoothingTime);
  m_difference += Weight * (Measured - m_difference);
  m_measuredAt = Now;
}

BASILCHUTE_NAMESPACE_END
