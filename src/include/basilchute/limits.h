/// \file
/// Bounds of values that other programs write. They lie far above any real
/// machine or job, and low enough that sums over a fleet and over a job fit
/// into 64 bits.
#pragma once

#include "basilchute/clock.h"

#include <cstdint>

BASILCHUTE_NAMESPACE_BEGIN

/// Processor time of one worker, or of one task, in millicores.
inline constexpr int64_t MaxMillicores = 100'000'000;
/// Memory of one worker, or of one task, in MiB.
inline constexpr int64_t MaxMemoryMib = 1'000'000'000;
/// Accelerators of one worker, or of one task.
inline constexpr int64_t MaxAccelerators = 100'000;
/// Highest run number that a worker reports.
inline constexpr int MaxReportedRun = 1'000'000'000;
/// Ten years; a span of time, or the age of a steady clock.
inline constexpr milliseconds MaxDuration = std::chrono::hours(10 * 365 * 24);
/// The year 2100; a time since the Unix epoch. As nanoseconds it fits into 64
/// bits.
inline constexpr milliseconds MaxUnixTime = std::chrono::hours(130 * 365 * 24);

BASILCHUTE_NAMESPACE_END
