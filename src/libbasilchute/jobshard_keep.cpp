#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Restarts that have waited for this long find no room in their shard.
constexpr milliseconds OverdueRestart{300};
/// Other shards keep no room any more for restarts that have waited longer:
/// what they need may not exist there.
constexpr milliseconds MaxKeptElsewhere{30000};

} // namespace

// Otherwise smaller tasks would take the room that becomes free on every
// worker. Fill tasks reserve no processors and are not kept off the worker by
// the processors that are kept.
void JobShard::Impl::keepRoom(std::vector<PlacementCandidate> &Candidates,
                              const JobEntry &Entry, int Position) {
  const JobStep &Step = Entry.stepOf(Position);
  if (Step.IsFill)
    return;
  Resources Demand = Step.reservation();
  std::vector<WorkerRoom> Workers;
  Workers.reserve(Candidates.size());
  for (const PlacementCandidate &Candidate : Candidates)
    Workers.push_back(Candidate.Later);
  std::optional<size_t> Chosen =
      chooseRoomToKeep(Workers, Demand, [&](size_t Index) {
        const PlacementCandidate &Candidate = Candidates[Index];
        return !Candidate.Reservation &&
               !m_plan.isBarred(Candidate, Entry, Position, m_time.now()) &&
               mayRunOn(*Candidate.Slot, Entry, Position);
      });
  if (!Chosen)
    return;
  Candidates[*Chosen].keep(Demand);
}

bool JobShard::Impl::mayRunOn(const WorkerSlot &Slot, const JobEntry &Entry,
                              int Position) const {
  const JobStep &Step = Entry.stepOf(Position);
  return isOfKind(Slot, Entry, Position) &&
         (Step.MaxPerWorker == 0 ||
          countOnWorker(Slot, Entry, Position) < Step.MaxPerWorker);
}

PlacementCandidate *
JobShard::Impl::holdRoom(std::vector<PlacementCandidate> &Candidates,
                         const JobEntry &Entry, int Position) {
  PlacementCandidate *Best = cheapest(Candidates, Entry, Position, {});
  if (Best)
    reserveFor(*Best, Entry, Position);
  else if (!needsApproval(Entry))
    keepRoom(Candidates, Entry, Position);
  return Best;
}

RestartDemand JobShard::Impl::overdueRestarts() const {
  RestartDemand Out;
  TimePoint Limit = m_time.now() - OverdueRestart;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    if (!Entry.HasLongRunningStep || needsApproval(Entry) ||
        Entry.MayBeCancelledAtHome)
      continue;
    for (int Position : Positions) {
      const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
      if (Entry.isRestart(Position) && !isSuspect(Entry, Position) &&
          fitOf(Entry, Position) != StepFit::Nowhere &&
          Task.WaitingSince < Limit &&
          Task.WaitingSince + MaxKeptElsewhere > m_time.now() &&
          Task.EarliestStart <= m_time.now() &&
          !mayHavePreviousRun(Entry, Position))
        Out.add(Entry.stepOf(Position).reservation());
    }
  }
  return Out;
}

// Room is room for the whole fleet: the tasks come here once their owner has
// seen that it is there.
void JobShard::Impl::keepRoomForOtherShards(
    std::vector<PlacementCandidate> &Candidates) {
  RestartDemand Restarts;
  if (m_options.RestartsElsewhere)
    Restarts = m_options.RestartsElsewhere();
  keepForRestarts(Candidates, Restarts);
}

bool JobShard::Impl::hasLeavingRuns() const {
  return std::any_of(m_slots.begin(), m_slots.end(), [](const auto &Slot) {
    return Slot.second.Entry.IsDraining && !Slot.second.Runs.empty();
  });
}

// Moves long-running tasks off draining workers while these still run. Room is
// kept for those that fit nowhere yet, and until a run that is stopped has
// ended: the notice is used to make room. The largest come first.
void JobShard::Impl::moveLeavingRuns(PlacementRound &Current) {
  std::vector<std::tuple<int64_t, RunKey, WorkerSlot *>> Leaving;
  for (auto &[Id, Slot] : m_slots) {
    if (!Slot.Entry.IsDraining)
      continue;
    for (const auto &[Key, Run] : Slot.Runs)
      if (Run.LongRunning &&
          (Run.Phase == RunPhase::Running || Run.Phase == RunPhase::Stopping))
        Leaving.emplace_back(-Run.Reserved.Millicores, Key, &Slot);
  }
  std::sort(Leaving.begin(), Leaving.end());
  for (const auto &[Millicores, Key, Slot] : Leaving)
    moveLeavingRun(Current, *Slot, Key);
}

void JobShard::Impl::moveLeavingRun(PlacementRound &Current, WorkerSlot &Slot,
                                    const RunKey &Key) {
  JobEntry *Entry = find(Key.first.Job);
  int Position = Entry ? Entry->positionOf(Key.first) : -1;
  bool IsMoving = Position >= 0 && !isFinal(Entry->State) &&
                  !mayHavePreviousRun(*Entry, Position);
  if (!IsMoving)
    return;
  bool HasRoom = holdRoom(Current.Candidates, *Entry, Position) != nullptr;
  if (Slot.Runs.at(Key).Phase == RunPhase::Stopping)
    return;
  if (HasRoom)
    stop(Slot, Key);
  else if (needsApproval(*Entry))
    requestApproval(Current.Candidates, *Entry, Position, 1);
}

BASILCHUTE_NAMESPACE_END
