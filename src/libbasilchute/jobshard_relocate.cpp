#include "libbasilchute/jobestimate.h"
#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

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
  if (m_options.MeasuredFill) {
    moveFillRuns();
    return;
  }
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
      auto Better =
          std::find_if(Candidates.begin(), Candidates.end(),
                       [&](PlacementCandidate &Candidate) {
                         FillPlace Place =
                             fillPlace(Candidate, *Entry, Position);
                         Place.Headroom -= HeadroomMargin;
                         return Candidate.Slot != &Slot &&
                                isAllowed(Candidate, *Entry, Position) &&
                                admitsFillTask(*Entry, Position, Place);
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

// Moves runs that get little processor time, see runsToMove().
void JobShard::Impl::moveFillRuns() {
  int Left = m_fillMoves.available(m_time.now());
  if (Left == 0)
    return;
  std::vector<FillMoveRun> Runs;
  std::vector<std::pair<WorkerSlot *, RunKey>> Keys;
  for (auto &[Id, Slot] : m_slots)
    for (const auto &[Key, Run] : Slot.Runs) {
      JobEntry *Entry = find(Key.first.Job);
      int Position = Entry ? Entry->positionOf(Key.first) : -1;
      if (Run.FullPaceMillicores == 0 || Position < 0)
        continue;
      const JobStep &Step = Entry->stepOf(Position);
      Runs.push_back(Slot.fillMoveRun(Run, taskWork(Step)));
      Runs.back().Moves = Entry->Tasks[static_cast<size_t>(Position)].FillMoves;
      Runs.back().CanMove &= Step.Checkpointing && !isFinal(Entry->State) &&
                             !mayHavePreviousRun(*Entry, Position);
      Keys.emplace_back(&Slot, Key);
    }
  std::vector<size_t> Order = runsToMove(Runs);
  if (Order.empty())
    return;
  std::vector<PlacementCandidate> Candidates = placementCandidates();
  for (size_t Index : Order) {
    if (Left == 0)
      return;
    if (moveFillRun(Candidates, *Keys[Index].first, Keys[Index].second,
                    Runs[Index]))
      --Left;
  }
}

bool JobShard::Impl::moveFillRun(std::vector<PlacementCandidate> &Candidates,
                                 WorkerSlot &Slot, const RunKey &Key,
                                 const FillMoveRun &Run) {
  JobEntry &Entry = *find(Key.first.Job);
  int Position = Entry.positionOf(Key.first);
  FillTask Task{.Millicores = Run.Millicores, .Weight = Run.Weight};
  PlacementCandidate *Best = nullptr;
  for (PlacementCandidate &Candidate : Candidates) {
    bool IsWorse = Best && Candidate.Fill.weightedRatio(Task) >=
                               Best->Fill.weightedRatio(Task);
    if (Candidate.Slot == &Slot || IsWorse ||
        !isAllowed(Candidate, Entry, Position))
      continue;
    FillPlace Place = fillPlace(Candidate, Entry, Position);
    Place.Headroom -= HeadroomMargin;
    if (admitsFill(Task, Place, m_fillPlacement))
      Best = &Candidate;
  }
  if (!Best || !isWorthMoving(Run, Best->Fill.shareFor(Task)))
    return false;
  log("fill_moved",
      fmt::format(
          "job={} step={} index={} run={} worker={} to={} used={} of={} "
          "work_left={:.0f} work_lost={:.0f} here_ms={:.0f} there_ms={:.0f}",
          Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
          Slot.Entry.Id, Best->Slot->Entry.Id, static_cast<int64_t>(Run.Usage),
          static_cast<int64_t>(Run.Millicores), Run.RemainingWork,
          Run.WorkSinceCheckpoint, 1000 * secondsHere(Run),
          1000 * secondsElsewhere(Run, Best->Fill.shareFor(Task))));
  ++m_counts.FillMoves;
  ++Entry.Tasks[static_cast<size_t>(Position)].FillMoves;
  m_fillMoves.spend();
  reserveFor(*Best, Entry, Position);
  stop(Slot, Key);
  return true;
}

BASILCHUTE_NAMESPACE_END
