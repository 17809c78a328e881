#include "libbasilchute/jobshard_impl.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A long-running job that does not fit as a whole, or would leave no room for
/// the tasks of a lost worker, is started once no other shard is better, or
/// after this time if that is not known.
constexpr milliseconds StartAnywayAfter{4000};

} // namespace

// Returns true if the job is long-running, has not started, and another shard
// may suit it better: it does not fit here as a whole, or it would take the
// room that the tasks of a lost worker need.
bool JobShard::Impl::shouldWaitForTransfer(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) {
  if (!canStillTransfer(Entry))
    return false;
  std::vector<PlacementCandidate> TrialCandidates = Candidates;
  std::optional<std::vector<const WorkerSlot *>> Workers =
      planWholeStep(TrialCandidates, Entry, Position);
  if (!Workers)
    return true;
  return m_time.now() < Entry.ArrivedAt + StartAnywayAfter &&
         !canLoseWorker(std::move(TrialCandidates), Entry.stepOf(Position),
                        *Workers);
}

// Returns true if a long-running job may still be transferred to a shard that
// has room for all of its tasks; a job that has started stays in its shard.
bool JobShard::Impl::canStillTransfer(const JobEntry &Entry) const {
  bool HasOtherShards = m_options.ShardCount && m_options.ShardCount() > 1;
  if (!HasOtherShards || !Entry.Spec.Steps.front().LongRunning ||
      Entry.hasStarted())
    return false;
  bool WasAsked = Entry.ShardSearchAt > Entry.ArrivedAt;
  return WasAsked ? Entry.HasBetterShard
                  : m_time.now() < Entry.ArrivedAt + StartAnywayAfter;
}

std::optional<std::vector<const WorkerSlot *>>
JobShard::Impl::planWholeStep(std::vector<PlacementCandidate> &Candidates,
                              const JobEntry &Entry, int Position) {
  std::vector<const WorkerSlot *> Workers;
  for (int Member : Entry.groupPositions(Position)) {
    PlacementCandidate *Best = cheapest(Candidates, Entry, Member, {});
    if (!Best)
      return std::nullopt;
    reserveFor(*Best, Entry, Member);
    Workers.push_back(Best->Slot);
  }
  return Workers;
}

// Returns true if the long-running tasks of any one worker would fit on the
// others, with the tasks of \p Step on \p PlannedWorkers, for which
// \p Candidates already account. Only the worker with the most such tasks is
// tried. Labels and limits per worker are not considered.
bool JobShard::Impl::canLoseWorker(
    std::vector<PlacementCandidate> Candidates, const JobStep &Step,
    const std::vector<const WorkerSlot *> &PlannedWorkers) {
  const std::string &Service = PlannedWorkers.front()->Entry.Service;
  std::erase_if(Candidates, [&](const PlacementCandidate &Candidate) {
    return Candidate.Slot->Entry.Service != Service;
  });
  // Other runs end soon and leave their room.
  for (PlacementCandidate &Candidate : Candidates)
    Candidate.Room +=
        Candidate.Slot->eventualFreeCapacity() - Candidate.Slot->freeCapacity();
  auto Fullest = std::max_element(
      Candidates.begin(), Candidates.end(), [](const auto &A, const auto &B) {
        return A.Slot->Entry.Capacity.Millicores - A.Room.Millicores <
               B.Slot->Entry.Capacity.Millicores - B.Room.Millicores;
      });
  const WorkerSlot *Lost = Fullest->Slot;
  Candidates.erase(Fullest);
  std::vector<Resources> Demands(
      static_cast<size_t>(
          std::count(PlannedWorkers.begin(), PlannedWorkers.end(), Lost)),
      Step.reservation());
  for (const auto &[Key, Run] : Lost->Runs)
    if (Run.LongRunning)
      Demands.push_back(Run.Reserved);
  std::sort(Demands.begin(), Demands.end(), [](const auto &A, const auto &B) {
    return A.Millicores > B.Millicores;
  });
  return std::all_of(
      Demands.begin(), Demands.end(), [&](const Resources &Demand) {
        auto Target = std::find_if(Candidates.begin(), Candidates.end(),
                                   [&](const PlacementCandidate &Candidate) {
                                     return Demand.fits(Candidate.Room);
                                   });
        if (Target == Candidates.end())
          return false;
        Target->Room -= Demand;
        return true;
      });
}

BASILCHUTE_NAMESPACE_END
