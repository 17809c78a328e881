#include "libbasilchute/admissionload.h"

#include "libbasilchute/jobestimate.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Unit of ShardLoad::OpenRooms in millicores.
constexpr int64_t OpenRoomUnit = 100;

} // namespace

void addOpenWorker(ShardLoad &Load, const Resources &Room,
                   const Resources &Free) {
  Load.FiniteDemandMillicores +=
      std::max<int64_t>(Room.Millicores - Free.Millicores, 0);
  Load.OpenMemoryMib += std::max<int64_t>(Room.MemoryMib, 0);
  if (Room.Millicores >= OpenRoomUnit)
    Load.OpenRooms.push_back(
        static_cast<uint32_t>(Room.Millicores / OpenRoomUnit));
}

void addRemainingWork(ShardLoad &Load, const JobEntry &Entry,
                      const std::function<bool(const TaskState &)> &Counts) {
  if (!Entry.Spec.Steps.front().LongRunning) {
    Load.RemainingWork += Entry.remainingWork();
    return;
  }
  for (int Position = 0; Position < static_cast<int>(Entry.Tasks.size());
       ++Position)
    if (Entry.Tasks[static_cast<size_t>(Position)].Phase != TaskPhase::Done &&
        Counts(Entry.Tasks[static_cast<size_t>(Position)]))
      Load.LongRunningMillicores += Entry.stepOf(Position).Demand.Millicores;
}

void addWaitingTask(ShardLoad &Load, const JobStep &Step, int Priority,
                    bool HasValue) {
  if (Step.IsFill)
    return;
  if (Step.LongRunning) {
    Load.WaitingLongRunningMillicores += Step.Demand.Millicores;
    return;
  }
  Load.FiniteDemandMillicores += Step.Demand.Millicores;
  if (HasValue)
    Load.WaitingWorkByPriority[Priority] += taskWork(Step);
}

BASILCHUTE_NAMESPACE_END
