#include "libbasilchute/jobshard_impl.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A worker where a run lagged gets no starts for this long.
constexpr milliseconds SlowPause{3000};
/// A task is moved for its slowness at most this often: it may be slow itself.
constexpr int MostSlowMoves = 1;

} // namespace

// Runs that are paced or share what is left show nothing by their speed.
bool JobShard::Impl::showsSpeed(const HeldRun &Run) {
  return Run.Phase == RunPhase::Running && !Run.LongRunning &&
         Run.FillMillicores == 0;
}

ProgressSeen JobShard::Impl::progressOf(const HeldRun &Run) const {
  return {
      .Class = Run.Class,
      .Age = std::chrono::duration_cast<milliseconds>(m_time.now() - Run.Began),
      .Gained = Run.Percent - Run.BeganPercent};
}

// Whole times of the other tasks of the step.
std::vector<milliseconds> JobShard::Impl::siblings(const JobEntry &Of,
                                                   int Position) const {
  std::vector<milliseconds> Out;
  for (int Each : Of.groupPositions(Position)) {
    const TaskState &Task = Of.Tasks[static_cast<size_t>(Each)];
    if (Each == Position)
      continue;
    if (Task.Phase == TaskPhase::Done && Task.Took.count() > 0)
      Out.push_back(Task.Took);
    if (Task.Phase != TaskPhase::Placed)
      continue;
    auto Slot = m_slots.find(Task.Worker);
    if (Slot == m_slots.end())
      continue;
    auto Run = Slot->second.Held.find({Of.nameOf(Each), Task.Run});
    if (Run == Slot->second.Held.end())
      continue;
    std::optional<milliseconds> Whole =
        ProgressWatch::wholeTime(progressOf(Run->second));
    if (Whole)
      Out.push_back(*Whole);
  }
  return Out;
}

// Stops what would end sooner elsewhere, and keeps the worker free of new work
// for a while; after that a new run shows whether it is sound again.
void JobShard::Impl::leaveSlowRuns(WorkerSlot &At) {
  if (!mayAct())
    return;
  TimePoint Now = m_time.now();
  std::vector<RunKey> Lagging;
  for (const auto &[Key, Run] : At.Held) {
    if (!showsSpeed(Run))
      continue;
    ProgressSeen Seen = progressOf(Run);
    if (!m_progress.couldLag(Seen))
      continue;
    JobEntry *Of = find(Key.first.Job);
    int Position = Of ? Of->positionOf(Key.first) : -1;
    if (Position >= 0 && m_progress.isLagging(Seen, siblings(*Of, Position)))
      Lagging.push_back(Key);
  }
  for (const RunKey &Key : Lagging) {
    JobEntry *Of = find(Key.first.Job);
    int Position = Of ? Of->positionOf(Key.first) : -1;
    if (Position < 0 || isFinal(Of->State) || Of->stepOf(Position).Gang)
      continue;
    TaskState &Task = Of->Tasks[static_cast<size_t>(Position)];
    if (Task.SlowMoves >= MostSlowMoves)
      continue;
    ++Task.SlowMoves;
    At.NoStartBefore = std::max(At.NoStartBefore, Now + SlowPause);
    const HeldRun &Run = At.Held.at(Key);
    log("run_lags",
        fmt::format("job={} step={} index={} run={} worker={} "
                    "age_ms={} percent={}",
                    Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                    At.Entry.Id, (Now - Run.Began) / milliseconds(1),
                    Run.Percent));
    stop(At, Key);
  }
}

void JobShard::Impl::learnSpeed(const HeldRun &Run, TaskState &Task) {
  // A run that was adopted did only a part under this owner's eyes.
  if (!showsSpeed(Run) || Run.Adopted)
    return;
  Task.Took = progressOf(Run).Age;
  m_progress.ended(Run.Class, Task.Took);
}

BASILCHUTE_NAMESPACE_END
