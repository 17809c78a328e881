#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

// Starts all members of the gang in one round with the same run number, or none
// of them.
bool JobShard::Impl::placeGang(std::vector<PlacementCandidate> &Candidates,
                               JobEntry &Entry, int Position) {
  std::vector<int> Members = Entry.groupPositions(Position);
  std::vector<PlacementCandidate> TrialCandidates = Candidates;
  std::vector<WorkerSlot *> Workers;
  int Run = 0;
  for (int Member : Members) {
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    if (Task.Phase != TaskPhase::Waiting || Task.EarliestStart > m_time.now())
      return restartRefusedMember(Candidates, Entry, Position);
    Run = std::max(Run, Task.LastRun);
    PlacementCandidate *Best =
        cheapest(TrialCandidates, Entry, Member, Workers);
    if (!Best)
      return false;
    reserveFor(*Best, Entry, Member);
    Workers.push_back(Best->Slot);
  }
  std::string Checkpoint;
  for (int Member : Members) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    if (!Task.Checkpoint.empty())
      Checkpoint = Task.Checkpoint;
  }
  for (size_t Index = 0; Index < Members.size(); ++Index) {
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Members[Index])];
    Task.LastRun = Run;
    Task.Checkpoint = Checkpoint;
    start(*Workers[Index], Entry, Members[Index]);
  }
  Candidates = std::move(TrialCandidates);
  return true;
}

// Starts a member whose start was refused again, with the run number of the
// other members. A member whose run has ended waits until all members have
// ended.
bool JobShard::Impl::restartRefusedMember(
    std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
    int Position) {
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  if (!Task.LastRunNeverBegan)
    return false;
  PlacementCandidate *Best = cheapest(Candidates, Entry, Position, {});
  if (!Best)
    return false;
  reserveFor(*Best, Entry, Position);
  --Task.LastRun;
  start(*Best->Slot, Entry, Position);
  return true;
}

// Marks all members as done: one successful member completes the whole gang.
void JobShard::Impl::finishGang(JobEntry &Entry, int Position) {
  for (int Member : Entry.groupPositions(Position)) {
    removeWaiting(Entry, Member);
    Entry.finish(Member);
  }
}

BASILCHUTE_NAMESPACE_END
