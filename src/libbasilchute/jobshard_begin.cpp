#include "libbasilchute/jobshard_impl.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A long-running job that does not fit as a whole is started in part once no
/// other shard is better, or after this time if that is not known.
constexpr milliseconds PartialStartAfter{4000};
/// A shard with a larger fraction of its processors reserved by long-running
/// tasks has little room for their restarts.
constexpr double NearlyFullFraction = 0.8;

} // namespace

// Returns true if the job is long-running, has not started, does not fit here
// as a whole or would nearly fill the shard, and another shard may suit it
// better. The shards are chosen by reports that are some hundred milliseconds
// old, so that many jobs at once can fill one shard beside an emptier one. That
// is hard to mend once they run.
bool JobShard::Impl::shouldWaitForTransfer(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) {
  return canStillTransfer(Entry) &&
         (isNearlyFullWith(Candidates, Entry) ||
          !canPlaceWholeStep(Candidates, Entry, Position));
}

bool JobShard::Impl::isNearlyFullWith(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry) {
  int64_t Total = 0;
  int64_t Reserved = 0;
  for (const PlacementCandidate &Candidate : Candidates) {
    int64_t Capacity = Candidate.Slot->Entry.Capacity.Millicores;
    Total += Capacity;
    Reserved += Capacity - Candidate.Later.Eventual.Millicores;
  }
  for (const JobStep &Step : Entry.Spec.Steps)
    Reserved += Step.Count * Step.reservation().Millicores;
  return static_cast<double>(Reserved) >
         NearlyFullFraction * static_cast<double>(Total);
}

// Returns true if a long-running job may still be transferred to a shard that
// has room for all of its tasks; a job that has started stays in its shard, and
// so does a part of a job.
bool JobShard::Impl::canStillTransfer(const JobEntry &Entry) const {
  bool HasOtherShards = m_options.ShardCount && m_options.ShardCount() > 1;
  if (!HasOtherShards || !Entry.Spec.Steps.front().LongRunning ||
      Entry.hasStarted() || Entry.HomeShard)
    return false;
  bool WasAsked = Entry.ShardSearchAt > Entry.ArrivedAt;
  return WasAsked ? Entry.HasBetterShard
                  : m_time.now() < Entry.ArrivedAt + PartialStartAfter;
}

bool JobShard::Impl::canPlaceWholeStep(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) {
  std::vector<PlacementCandidate> TrialCandidates = Candidates;
  for (int Member : Entry.groupPositions(Position)) {
    PlacementCandidate *Best = cheapest(TrialCandidates, Entry, Member, {});
    if (!Best)
      return false;
    reserveFor(*Best, Entry, Member);
  }
  return true;
}

BASILCHUTE_NAMESPACE_END
