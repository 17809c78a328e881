#include "libbasilchute/jobestimate.h"

#include "basilchute/limits.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

milliseconds criticalPath(const std::vector<JobStep> &Steps,
                          const std::function<bool(size_t)> &Count) {
  std::vector<milliseconds> Ends;
  milliseconds Longest{0};
  for (size_t Step = 0; Step < Steps.size(); ++Step) {
    milliseconds End{0};
    for (int Predecessor : Steps[Step].Predecessors)
      End = std::max(End, Ends[static_cast<size_t>(Predecessor)]);
    if (Count(Step))
      End += Steps[Step].EstimatedRunTime;
    Ends.push_back(End);
    Longest = std::max(Longest, End);
  }
  return std::min(Longest, MaxDuration);
}

double taskWork(const JobStep &Step) {
  return static_cast<double>(Step.Demand.Millicores) *
         std::chrono::duration<double>(Step.EstimatedRunTime).count();
}

BASILCHUTE_NAMESPACE_END
