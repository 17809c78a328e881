/// \file
/// Arrival times of requests in an open-loop load.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <random>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Distribution of the arrivals over time.
enum class ArrivalKind { Poisson, Bursts, Steps };

/// Settings of an arrival process.
struct ArrivalOptions {
  ArrivalKind Kind = ArrivalKind::Poisson;
  /// Mean arrivals per second.
  double Rate = 100;
  milliseconds Duration{10000};
  uint64_t Seed = 1;
};

/// Parses "poisson", "bursts" or "steps".
Result<ArrivalKind> parseArrivalKind(const std::string &Name);
/// Returns the arrival times relative to the start of the run, ascending. Equal
/// options give equal times.
std::vector<nanoseconds> arrivalTimes(const ArrivalOptions &Options);

BASILCHUTE_NAMESPACE_END
