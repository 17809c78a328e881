#include "libbasilchute/jobshard_impl.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A long-running job that does not fit as a whole is started in part once no
/// other shard is better, or after this time if that is not known.
constexpr milliseconds PartialStartAfter{4000};

} // namespace

// Returns true if the task is long-running, its job has not started, its step
// does not fit here as a whole, and another shard may suit the job better.
bool JobShard::Impl::shouldWaitForTransfer(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) {
  return Entry.stepOf(Position).LongRunning && canStillTransfer(Entry) &&
         !canPlaceWholeStep(Candidates, Entry, Position);
}

// Returns true if the job may still be transferred to a shard that has room for
// all of its tasks; a job that has started stays in its shard, and so does a
// part of a job.
bool JobShard::Impl::canStillTransfer(const JobEntry &Entry) const {
  bool HasOtherShards = m_options.ShardCount && m_options.ShardCount() > 1;
  if (!HasOtherShards || Entry.hasStarted() || Entry.HomeShard)
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
