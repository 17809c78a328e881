#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A run is moved only where this much more is left.
constexpr double HarmMargin = 0.15;
/// A fill run that is all but stopped moves to a better worker after this.
constexpr milliseconds StalledAfter{1500};
constexpr int StalledPace = 25;
constexpr milliseconds RelocatePause{400};
constexpr int MostRelocations = 6;

} // namespace

// Saved progress is not lost by a move, and a worker that serves
// latency-critical tasks may stay busy for long.
void JobShard::Impl::relocate() {
  TimePoint Now = m_time.now();
  if (Now < m_nextRelocate || !mayAct() || !isSettled())
    return;
  m_nextRelocate = Now + RelocatePause;
  std::vector<Spot> Spots;
  int Moved = 0;
  for (auto &Slot : m_slots) {
    WorkerSlot &At = Slot.second;
    std::vector<RunKey> Stalled;
    for (const auto &[Key, Run] : At.Held)
      if (Run.FillMillicores > 0 && Run.Phase == RunPhase::Running &&
          Run.Pace <= StalledPace && Now > Run.PacedAt + StalledAfter)
        Stalled.push_back(Key);
    for (const RunKey &Key : Stalled) {
      JobEntry *Of = find(Key.first.Job);
      int Position = Of ? Of->positionOf(Key.first) : -1;
      if (Position < 0 || !Of->stepOf(Position).Checkpointing)
        continue;
      if (Spots.empty())
        Spots = spots();
      auto Better = std::find_if(Spots.begin(), Spots.end(), [&](Spot &Each) {
        return Each.Slot != &At && isAllowed(Each, *Of, Position) &&
               isWorthwhile(Each, Of->stepOf(Position),
                            headroomWith(Each, *Of, Position) - HarmMargin);
      });
      if (Better == Spots.end())
        continue;
      take(*Better, *Of, Position);
      stop(At, Key);
      if (++Moved == MostRelocations)
        return;
    }
  }
}

// Smaller tasks would take the room that becomes free on every worker; for a
// large one that has waited it is kept on the worker where the most will be
// free. Long-running tasks do not leave, so what they hold does not count.
void JobShard::Impl::keepRoom(std::vector<Spot> &Spots, const JobEntry &Of,
                              int Position) {
  const JobStep &Step = Of.stepOf(Position);
  if (Step.Fills)
    return;
  int64_t Demand = Step.reserved().Millicores;
  Spot *Best = nullptr;
  int64_t BestLeft = 0;
  for (Spot &Each : Spots) {
    const JobQueue *Queue = queueOf(Of);
    const WorkerEntry &Entry = Each.Slot->Entry;
    bool Possible =
        Queue && Entry.Service == Queue->Service &&
        Step.reserved().fits(Entry.Capacity) &&
        (Step.RequiredLabel.empty() ||
         Each.Slot->hasLabel(Step.RequiredLabel)) &&
        (Step.MaxPerWorker == 0 ||
         countOnWorker(*Each.Slot, Of, Position) < Step.MaxPerWorker);
    int64_t Left = Each.Slot->movableRoom().Millicores - Each.Kept - Demand;
    if (!Possible || Left < 0 || (Best && Left <= BestLeft))
      continue;
    Best = &Each;
    BestLeft = Left;
  }
  if (!Best)
    return;
  Best->Kept += Demand;
  Best->Room.Millicores -= Demand;
}

// Long-running tasks leave a draining worker while it still runs, as far as
// there is room elsewhere.
void JobShard::Impl::evacuate() {
  if (!mayAct() || !isSettled())
    return;
  std::vector<Spot> Spots;
  for (auto &[Id, At] : m_slots) {
    if (!At.Entry.Draining)
      continue;
    if (Spots.empty())
      Spots = spots();
    std::vector<RunKey> Keys;
    for (const auto &[Key, Run] : At.Held)
      if (Run.Phase == RunPhase::Running)
        Keys.push_back(Key);
    for (const RunKey &Key : Keys) {
      JobEntry *Of = find(Key.first.Job);
      int Position = Of ? Of->positionOf(Key.first) : -1;
      if (Position < 0 || !Of->stepOf(Position).LongRunning)
        continue;
      auto Free = std::find_if(Spots.begin(), Spots.end(), [&](const Spot &S) {
        return isAllowed(S, *Of, Position);
      });
      if (Free == Spots.end())
        continue;
      take(*Free, *Of, Position);
      stop(At, Key);
    }
  }
}

BASILCHUTE_NAMESPACE_END
