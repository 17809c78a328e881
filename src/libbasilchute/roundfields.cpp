#include "libbasilchute/roundfields.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

std::string roundFields(const JobShardCounts &Current,
                        const JobShardCounts &Before, size_t StartLimit) {
  uint64_t Answered = Current.StartsAnswered - Before.StartsAnswered;
  auto MeanStartTime = std::chrono::duration_cast<milliseconds>(
      (Current.TotalStartRoundTrip - Before.TotalStartRoundTrip) /
      static_cast<int64_t>(std::max<uint64_t>(Answered, 1)));
  return fmt::format(
      "rounds_whole={} rounds_start_limit={} rounds_step_limit={} starts={} "
      "starts_under_way={} starts_limit={} start_ms={} paces={}",
      Current.RoundsCompleted - Before.RoundsCompleted,
      Current.RoundsAtStartLimit - Before.RoundsAtStartLimit,
      Current.RoundsAtStepLimit - Before.RoundsAtStepLimit,
      Current.Starts - Before.Starts, Current.StartsInFlight, StartLimit,
      MeanStartTime.count(), Current.PaceOrders - Before.PaceOrders);
}

BASILCHUTE_NAMESPACE_END
