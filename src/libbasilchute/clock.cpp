#include "basilchute/clock.h"

#include <ctime>

BASILCHUTE_NAMESPACE_BEGIN

TimePoint SystemClock::now() const {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

BASILCHUTE_NAMESPACE_END
