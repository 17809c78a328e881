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

BASILCHUTE_NAMESPACE_END
