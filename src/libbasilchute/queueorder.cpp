#include "libbasilchute/queueorder.h"

#include "basilchute/limits.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Ratio of the run time of a step's longest task to the estimate of one task.
constexpr double LongestTaskFactor = 1.5;
constexpr milliseconds MinChain{200};
/// Part of a job's worth that is the same for all jobs of a queue, whatever
/// their size.
constexpr double SizeIndependentWorth = 0.3;

} // namespace

milliseconds objectiveOf(milliseconds Chain, const JobQueue &Queue) {
  auto Longest = std::chrono::duration_cast<milliseconds>(
      std::max(Chain, MinChain) * LongestTaskFactor);
  return std::min(
      std::chrono::duration_cast<milliseconds>(Longest * Queue.SlackFactor) +
          Queue.TargetDuration,
      MaxDuration);
}

int latenessOf(nanoseconds AgeAtEnd, milliseconds Objective) {
  if (AgeAtEnd < Objective)
    return 0;
  return AgeAtEnd < NoValueFactor * Objective ? 1 : 2;
}

QueueRank queueRank(const WaitingJob &Value) {
  // A short task yields more per core than a long-running one and releases the
  // core soon. A long-running task that has waited long goes first, so that it
  // does not starve. Tasks of begun jobs cannot move to another shard.
  if (Value.IsLongRunning)
    return {Value.HasWaitedLong ? -1 : 1, Value.HasStarted ? 0 : 1,
            Value.Priority, 0, 0};
  int KindRank = Value.IsFill ? 2 : 0;
  // Under overload not all jobs can end in time. Started jobs are finished
  // first, then the youngest, which are the most likely to end in time. This
  // choice does not favour any size of job, and no work is spent on jobs that
  // would end too late.
  if (!Value.HasStarted)
    return {KindRank, Value.Lateness, Value.Priority, 1,
            std::chrono::duration<double>(Value.Age).count()};
  // Worth per unit of remaining work: almost finished jobs come first.
  double Worth = SizeIndependentWorth * Value.MeanWork +
                 (1 - SizeIndependentWorth) * Value.TotalWork;
  double WorkLeft = std::max(Value.RemainingWork, 1.0);
  return {KindRank, Value.Lateness, Value.Priority, 0, -Worth / WorkLeft};
}

BASILCHUTE_NAMESPACE_END
