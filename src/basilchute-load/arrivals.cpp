#include "basilchute-load/arrivals.h"

#include <cmath>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr double BurstPeriodSeconds = 1.0;
constexpr double BurstShare = 0.2;

/// Rate at \p Second relative to the mean rate.
double relativeRate(ArrivalKind Kind, double Second, double Whole) {
  switch (Kind) {
  case ArrivalKind::Bursts: {
    double Phase = std::fmod(Second, BurstPeriodSeconds) / BurstPeriodSeconds;
    // All arrivals fall into the first part of each period.
    return Phase < BurstShare ? 1.0 / BurstShare : 0.0;
  }
  case ArrivalKind::Steps:
    // Rises from a half to one and a half in three steps.
    return 0.5 + 0.5 * std::floor(3.0 * Second / Whole);
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

// Thinning: candidates at the peak rate are kept with the share that the rate
// at their time has of the peak.
std::vector<nanoseconds> arrivalTimes(const ArrivalOptions &Options) {
  std::mt19937_64 Random(Options.Seed);
  double Peak = peakRate(Options.Kind);
  std::exponential_distribution<double> Gap(Options.Rate * Peak);
  std::uniform_real_distribution<double> Unit(0.0, 1.0);
  double Whole = std::chrono::duration<double>(Options.Duration).count();
  std::vector<nanoseconds> Out;
  for (double At = Gap(Random); At < Whole; At += Gap(Random)) {
    if (Unit(Random) * Peak > relativeRate(Options.Kind, At, Whole))
      continue;
    Out.push_back(std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double>(At)));
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
