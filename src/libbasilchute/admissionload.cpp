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
  if (!Entry.HasLongRunningStep) {
    Load.RemainingWork += Entry.remainingWork();
    return;
  }
  for (int Position = 0; Position < static_cast<int>(Entry.Tasks.size());
       ++Position) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
    if (Task.Phase == TaskPhase::Done)
      continue;
    const JobStep &Step = Entry.stepOf(Position);
    if (!Step.LongRunning)
      Load.RemainingWork += taskWork(Step);
    else if (Counts(Task))
      Load.LongRunningMillicores += Step.Demand.Millicores;
  }
}

void addWaitingTask(ShardLoad &Load, const JobStep &Step, int Priority,
                    bool HasValue, int Count) {
  if (Step.IsFill)
    return;
  if (Step.LongRunning) {
    Load.WaitingLongRunningMillicores += Count * Step.Demand.Millicores;
    return;
  }
  Load.FiniteDemandMillicores += Count * Step.Demand.Millicores;
  if (HasValue)
    Load.WaitingWorkByPriority[Priority] += Count * taskWork(Step);
}

BASILCHUTE_NAMESPACE_END
