#include "basilchute-load/arrivals.h"

#include <cmath>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr double BurstPeriodSeconds = 1.0;
constexpr double BurstShare = 0.2;

/// Rate at \p Second relative to the mean rate.
double relativeRate(ArrivalKind Kind, double Second, double DurationSeconds) {
  switch (Kind) {
  case ArrivalKind::Bursts: {
    double Phase = std::fmod(Second, BurstPeriodSeconds) / BurstPeriodSeconds;
    // All arrivals fall into the first BurstShare of each period.
    return Phase < BurstShare ? 1.0 / BurstShare : 0.0;
  }
  case ArrivalKind::Steps:
    // Three steps of equal length at 0.5, 1 and 1.5 times the mean rate.
    return 0.5 + 0.5 * std::floor(3.0 * Second / DurationSeconds);
  default:
    return 1.0;
  }
}

double peakRate(ArrivalKind Kind) {
  if (Kind == ArrivalKind::Bursts)
    return 1.0 / BurstShare;
  return Kind == ArrivalKind::Steps ? 1.5 : 1.0;
}

} // namespace

Result<ArrivalKind> parseArrivalKind(const std::string &Name) {
  if (Name == "poisson")
    return ArrivalKind::Poisson;
  if (Name == "bursts")
    return ArrivalKind::Bursts;
  if (Name == "steps")
    return ArrivalKind::Steps;
  return makeError(ResultCode::InvalidArgument,
                   fmt::format("arrival kind \"{}\" is not one of poisson, "
                               "bursts, steps",
                               Name));
}

// Thinning: draws arrivals of a Poisson process at the peak rate and keeps each
// with the probability of the rate at its time over the peak rate.
std::vector<nanoseconds> arrivalTimes(const ArrivalOptions &Options) {
  std::mt19937_64 Random(Options.Seed);
  double Peak = peakRate(Options.Kind);
  std::exponential_distribution<double> Interval(Options.Rate * Peak);
  std::uniform_real_distribution<double> Unit(0.0, 1.0);
  double DurationSeconds =
      std::chrono::duration<double>(Options.Duration).count();
  std::vector<nanoseconds> Out;
  for (double Second = Interval(Random); Second < DurationSeconds;
       Second += Interval(Random)) {
    if (Unit(Random) * Peak >
        relativeRate(Options.Kind, Second, DurationSeconds))
      continue;
    Out.push_back(std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double>(Second)));
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
