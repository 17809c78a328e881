#include "libbasilchute/roomtokeep.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns the part of \p Eventual beyond \p Free that has to become free for
/// \p Demand.
double partToBecomeFree(int64_t Demand, int64_t Free, int64_t Eventual) {
  if (Demand <= Free)
    return 0;
  return static_cast<double>(Demand - Free) /
         static_cast<double>(std::max<int64_t>(Eventual - Free, 1));
}

double partToBecomeFree(const Resources &Demand, const WorkerRoom &Worker) {
  return std::max(
      {partToBecomeFree(Demand.Millicores, Worker.Free.Millicores,
                        Worker.Eventual.Millicores),
       partToBecomeFree(Demand.MemoryMib, Worker.Free.MemoryMib,
                        Worker.Eventual.MemoryMib),
       partToBecomeFree(Demand.Accelerators, Worker.Free.Accelerators,
                        Worker.Eventual.Accelerators)});
}

} // namespace

std::optional<size_t>
chooseRoomToKeep(const std::vector<WorkerRoom> &Workers,
                 const Resources &Demand,
                 const std::function<bool(size_t)> &CanRun) {
  std::optional<size_t> Best;
  double SmallestPart = 0;
  for (size_t Index = 0; Index < Workers.size(); ++Index) {
    if (!Demand.fits(Workers[Index].Eventual) || !CanRun(Index))
      continue;
    double Part = partToBecomeFree(Demand, Workers[Index]);
    if (Best && Part >= SmallestPart)
      continue;
    Best = Index;
    SmallestPart = Part;
  }
  return Best;
}

BASILCHUTE_NAMESPACE_END
