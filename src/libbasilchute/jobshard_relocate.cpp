#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A run is only moved to a worker that would keep this much more headroom than
/// a new start requires.
constexpr double HeadroomMargin = 0.15;
/// A fill run whose pace was at most \p MaxStalledPace for this long is moved
/// if a better worker exists.
constexpr milliseconds StallTime{1500};
constexpr int MaxStalledPace = 25;
constexpr milliseconds RelocationInterval{400};
constexpr int MaxRelocations = 6;

} // namespace

// Moves stalled fill runs to workers with more headroom: the serving tasks of a
// worker may need its processors for long. Only runs with checkpoints are
// moved: they resume from their saved progress.
void JobShard::Impl::relocateStalledRuns() {
  TimePoint Now = m_time.now();
  if (Now < m_nextRelocate || !canSendOrders())
    return;
  m_nextRelocate = Now + RelocationInterval;
  std::vector<PlacementCandidate> Candidates;
  int Moved = 0;
  for (auto &IdAndSlot : m_slots) {
    WorkerSlot &Slot = IdAndSlot.second;
    std::vector<RunKey> Stalled;
    for (const auto &[Key, Run] : Slot.Runs)
      if (Run.FullPaceMillicores > 0 && Run.Phase == RunPhase::Running &&
          Run.Pace <= MaxStalledPace && Now > Run.PacedAt + StallTime)
        Stalled.push_back(Key);
    for (const RunKey &Key : Stalled) {
      JobEntry *Entry = find(Key.first.Job);
      int Position = Entry ? Entry->positionOf(Key.first) : -1;
      if (Position < 0 || !Entry->stepOf(Position).Checkpointing ||
          mayHavePreviousRun(*Entry, Position))
        continue;
      if (Candidates.empty())
        Candidates = placementCandidates();
      auto Better = std::find_if(
          Candidates.begin(), Candidates.end(),
          [&](PlacementCandidate &Candidate) {
            return Candidate.Slot != &Slot &&
                   isAllowed(Candidate, *Entry, Position) &&
                   admitsFillTask(Candidate, Entry->stepOf(Position),
                                  headroomWith(Candidate, *Entry, Position) -
                                      HeadroomMargin);
          });
      if (Better == Candidates.end())
        continue;
      reserveFor(*Better, *Entry, Position);
      stop(Slot, Key);
      if (++Moved == MaxRelocations)
        return;
    }
  }
}

// Keeps capacity for a large task that has waited, on the worker that will have
// the most left. Otherwise smaller tasks would take the capacity that becomes
// free on every worker. Capacity that long-running tasks reserve does not
// become free and is not counted.
void JobShard::Impl::reserveCapacity(
    std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) {
  const JobStep &Step = Entry.stepOf(Position);
  if (Step.IsFill)
    return;
  int64_t Demand = Step.reservation().Millicores;
  PlacementCandidate *Best = nullptr;
  int64_t MaxLeft = 0;
  for (PlacementCandidate &Candidate : Candidates) {
    const JobQueue *Queue = queueOf(Entry);
    const WorkerEntry &Worker = Candidate.Slot->Entry;
    bool CanRun =
        Queue && Worker.Service == Queue->Service && Worker.canHold(Step) &&
        (Step.RequiredLabel.empty() ||
         Candidate.Slot->hasLabel(Step.RequiredLabel)) &&
        (Step.MaxPerWorker == 0 ||
         countOnWorker(*Candidate.Slot, Entry, Position) < Step.MaxPerWorker);
    int64_t Left = Candidate.Slot->eventualFreeCapacity().Millicores -
                   Candidate.ReservedMillicores - Demand;
    if (!CanRun || Left < 0 || (Best && Left <= MaxLeft))
      continue;
    Best = &Candidate;
    MaxLeft = Left;
  }
  if (!Best)
    return;
  Best->ReservedMillicores += Demand;
  Best->Room.Millicores -= Demand;
}

// Moves long-running tasks off draining workers while these still run, as far
// as other workers have capacity.
void JobShard::Impl::stopRunsOnDrainingWorkers() {
  if (!canSendOrders())
    return;
  std::vector<PlacementCandidate> Candidates;
  for (auto &[Id, Slot] : m_slots) {
    if (!Slot.Entry.IsDraining)
      continue;
    if (Candidates.empty())
      Candidates = placementCandidates();
    std::vector<RunKey> Keys;
    for (const auto &[Key, Run] : Slot.Runs)
      if (Run.Phase == RunPhase::Running)
        Keys.push_back(Key);
    for (const RunKey &Key : Keys) {
      JobEntry *Entry = find(Key.first.Job);
      int Position = Entry ? Entry->positionOf(Key.first) : -1;
      if (Position < 0 || !Entry->stepOf(Position).LongRunning ||
          mayHavePreviousRun(*Entry, Position))
        continue;
      auto Free = std::find_if(Candidates.begin(), Candidates.end(),
                               [&](const PlacementCandidate &Candidate) {
                                 return isAllowed(Candidate, *Entry, Position);
                               });
      if (Free == Candidates.end())
        continue;
      reserveFor(*Free, *Entry, Position);
      stop(Slot, Key);
    }
  }
}

BASILCHUTE_NAMESPACE_END
