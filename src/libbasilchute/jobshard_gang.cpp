#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

// All members start in one round with one run number, or none does.
bool JobShard::Impl::placeGang(std::vector<Spot> &Spots, JobEntry &Of,
                               int Position) {
  std::vector<int> Members = Of.groupPositions(Position);
  std::vector<Spot> Trial = Spots;
  std::vector<WorkerSlot *> Places;
  int Run = 0;
  for (int Each : Members) {
    TaskState &Task = Of.Tasks[static_cast<size_t>(Each)];
    if (Task.Phase != TaskPhase::Waiting || Task.NotBefore > m_time.now())
      return rejoinGang(Spots, Of, Position);
    Run = std::max(Run, Task.Run);
    Spot *Best = cheapest(Trial, Of, Each, Places);
    if (!Best) {
      failIfImpossible(Of, Each);
      return false;
    }
    take(*Best, Of, Each);
    Places.push_back(Best->Slot);
  }
  std::string Checkpoint;
  for (int Each : Members) {
    const TaskState &Task = Of.Tasks[static_cast<size_t>(Each)];
    if (!Task.Checkpoint.empty())
      Checkpoint = Task.Checkpoint;
  }
  for (size_t Each = 0; Each < Members.size(); ++Each) {
    TaskState &Task = Of.Tasks[static_cast<size_t>(Members[Each])];
    Task.Run = Run;
    Task.Checkpoint = Checkpoint;
    start(*Places[Each], Of, Members[Each]);
  }
  Spots = std::move(Trial);
  return true;
}

// A member whose start was refused follows the others with their run number; a
// member that ended waits until all have ended.
bool JobShard::Impl::rejoinGang(std::vector<Spot> &Spots, JobEntry &Of,
                                int Position) {
  TaskState &Task = Of.Tasks[static_cast<size_t>(Position)];
  if (!Task.NeverRan)
    return false;
  Spot *Best = cheapest(Spots, Of, Position, {});
  if (!Best)
    return false;
  take(*Best, Of, Position);
  --Task.Run;
  start(*Best->Slot, Of, Position);
  return true;
}

// The end of one member stands for all of them.
void JobShard::Impl::finishGang(JobEntry &Of, int Position) {
  for (int Each : Of.groupPositions(Position)) {
    dropWaiting(Of, Each);
    Of.finish(Each);
  }
}

BASILCHUTE_NAMESPACE_END
