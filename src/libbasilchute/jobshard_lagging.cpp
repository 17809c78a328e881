#include "libbasilchute/jobshard_impl.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time for which a worker on which a run lagged gets no starts.
constexpr milliseconds SlowWorkerTime{3000};
/// Maximum number of runs of one task that are stopped because they lag. A
/// task that lags again may itself be slow, rather than the worker.
constexpr int MaxSlowStops = 1;

} // namespace

// Returns true if the run's progress tells how fast the worker is. Fill runs do
// not: they are paced and get only processor time that others leave idle.
bool JobShard::Impl::hasComparableSpeed(const ReservedRun &Run) {
  return Run.Phase == RunPhase::Running && !Run.LongRunning &&
         Run.FullPaceMillicores == 0;
}

RunProgress JobShard::Impl::progressOf(const ReservedRun &Run) const {
  return {.Class = Run.Class,
          .Age = std::chrono::duration_cast<milliseconds>(m_time.now() -
                                                          Run.ObservedSince),
          .PercentGained = Run.Percent - Run.InitialPercent};
}

// Returns the durations of the other tasks of the step, extrapolated for those
// that still run.
std::vector<milliseconds> JobShard::Impl::siblingRunTimes(const JobEntry &Entry,
                                                          int Position) const {
  std::vector<milliseconds> Out;
  for (int Sibling : Entry.groupPositions(Position)) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Sibling)];
    if (Sibling == Position)
      continue;
    if (Task.Phase == TaskPhase::Done && Task.Duration.count() > 0)
      Out.push_back(Task.Duration);
    if (Task.Phase != TaskPhase::Placed)
      continue;
    auto WorkerIt = m_slots.find(Task.Worker);
    if (WorkerIt == m_slots.end())
      continue;
    auto RunIt =
        WorkerIt->second.Runs.find({Entry.nameOf(Sibling), Task.LastRun});
    if (RunIt == WorkerIt->second.Runs.end())
      continue;
    std::optional<milliseconds> Extrapolated =
        LagDetector::extrapolatedDuration(progressOf(RunIt->second));
    if (Extrapolated)
      Out.push_back(*Extrapolated);
  }
  return Out;
}

// Stops runs that would end sooner on another worker, and starts nothing on
// this worker for a while. After that time a new run shows whether the worker
// has recovered.
void JobShard::Impl::stopLaggingRuns(WorkerSlot &Slot) {
  if (!canSendOrders())
    return;
  TimePoint Now = m_time.now();
  std::vector<RunKey> Lagging;
  for (const auto &[Key, Run] : Slot.Runs) {
    if (!hasComparableSpeed(Run))
      continue;
    RunProgress Progress = progressOf(Run);
    if (!m_lagDetector.couldLag(Progress))
      continue;
    JobEntry *Entry = find(Key.first.Job);
    int Position = Entry ? Entry->positionOf(Key.first) : -1;
    if (Position >= 0 &&
        m_lagDetector.isLagging(Progress, siblingRunTimes(*Entry, Position)))
      Lagging.push_back(Key);
  }
  for (const RunKey &Key : Lagging) {
    JobEntry *Entry = find(Key.first.Job);
    int Position = Entry ? Entry->positionOf(Key.first) : -1;
    if (Position < 0 || isFinal(Entry->State) || Entry->stepOf(Position).Gang)
      continue;
    TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
    if (Task.SlowStops >= MaxSlowStops)
      continue;
    ++Task.SlowStops;
    Slot.NextStartAt = std::max(Slot.NextStartAt, Now + SlowWorkerTime);
    const ReservedRun &Run = Slot.Runs.at(Key);
    log("run_lags",
        fmt::format("job={} step={} index={} run={} worker={} "
                    "age_ms={} percent={}",
                    Key.first.Job, Key.first.Step, Key.first.Index, Key.second,
                    Slot.Entry.Id, (Now - Run.ObservedSince) / milliseconds(1),
                    Run.Percent));
    stop(Slot, Key);
  }
}

void JobShard::Impl::recordRunTime(const ReservedRun &Run, JobEntry &Entry,
                                   int Position) {
  // The start of an adopted run was not observed, so that its duration is
  // unknown.
  if (!hasComparableSpeed(Run) || Run.IsAdopted)
    return;
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  Task.Duration = progressOf(Run).Age;
  m_plan.onRunEnded(Entry, Position, Run.Expected, Task.Duration);
  m_lagDetector.addCompletion(Run.Class, Task.Duration);
}

BASILCHUTE_NAMESPACE_END
