#include "libbasilchute/jobshard_impl.h"

#include "basilchute/limits.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Ratio of the run time of a step's longest task to the estimate of one task.
constexpr double LongestTaskFactor = 1.5;
constexpr milliseconds MinChain{200};
/// A job that ends after this many times its objective has no value left.
constexpr int NoValueFactor = 3;
/// Least objective of a job, so that its lateness is finite.
constexpr std::chrono::duration<double> MinObjective{1e-9};
constexpr milliseconds StateLogInterval{1000};
/// Part of a job's worth that is the same for all jobs of a queue, whatever
/// their size.
constexpr double SizeIndependentWorth = 0.3;

} // namespace

void JobShard::Impl::removeWaiting(const JobEntry &Entry, int Position) {
  auto It = m_waiting.find(Entry.Spec.Id);
  if (It == m_waiting.end())
    return;
  It->second.erase(Position);
  if (It->second.empty())
    m_waiting.erase(It);
}

double JobShard::Impl::endOverTarget(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  if (!Queue || Entry.Spec.Repetitions > 0)
    return 0;
  auto Chain = std::chrono::duration_cast<milliseconds>(
      std::max(Entry.criticalPath(), MinChain) * LongestTaskFactor);
  auto Objective = std::min(
      std::chrono::duration_cast<milliseconds>(Chain * Queue->SlackFactor) +
          Queue->TargetDuration,
      MaxDuration);
  auto AgeAtEnd =
      m_time.now() - Entry.ArrivedAt + Entry.remainingCriticalPath();
  return std::chrono::duration<double>(AgeAtEnd) /
         std::max(std::chrono::duration<double>(Objective), MinObjective);
}

// Returns 0 if the job can still meet its objective, 1 if it will end late but
// still has value, and 2 if it will have no value.
int JobShard::Impl::latenessOf(const JobEntry &Entry) const {
  double End = endOverTarget(Entry);
  if (End < 1)
    return 0;
  return End < NoValueFactor ? 1 : 2;
}

bool JobShard::Impl::hasWaitedLong(const JobEntry &Entry) const {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  if (Waiting == m_waiting.end())
    return false;
  TimePoint Limit = m_time.now() - LongRunningMaxWait;
  return std::any_of(
      Waiting->second.begin(), Waiting->second.end(), [&](int Position) {
        return Entry.Tasks[static_cast<size_t>(Position)].WaitingSince < Limit;
      });
}

JobShard::Impl::Rank JobShard::Impl::rankOf(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  const JobStep &FirstStep = Entry.Spec.Steps.front();
  int Priority = Queue ? Queue->Priority : 0;
  // A short task yields more per core than a long-running one and releases the
  // core soon. A long-running task that has waited long goes first, so that it
  // does not starve. Tasks of begun jobs cannot move to another shard.
  if (FirstStep.LongRunning)
    return {hasWaitedLong(Entry) ? -1 : 1, Entry.hasStarted() ? 0 : 1, Priority,
            0, 0};
  int KindRank = FirstStep.IsFill ? 2 : 0;
  // Under overload not all jobs can end in time. Started jobs are finished
  // first, then the youngest, which are the most likely to end in time. This
  // choice does not favour any size of job, and no work is spent on jobs that
  // would end too late.
  if (!Entry.hasStarted())
    return {
        KindRank, latenessOf(Entry), Priority, 1,
        std::chrono::duration<double>(m_time.now() - Entry.ArrivedAt).count()};
  // Worth per unit of remaining work: almost finished jobs come first.
  auto MeanIt = m_meanWork.find(Entry.Spec.Queue);
  double MeanWork =
      MeanIt == m_meanWork.end() ? Entry.TotalWork : MeanIt->second;
  double Worth = SizeIndependentWorth * MeanWork +
                 (1 - SizeIndependentWorth) * Entry.TotalWork;
  double WorkLeft = std::max(Entry.remainingWork(), 1.0);
  return {KindRank, latenessOf(Entry), Priority, 0, -Worth / WorkLeft};
}

void JobShard::Impl::queueReady(JobEntry &Entry) {
  if (isFinal(Entry.State) || Entry.IsTransferring)
    return;
  for (int Position = 0; Position < static_cast<int>(Entry.Tasks.size());
       ++Position) {
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
    if (Task.Phase != TaskPhase::Waiting || !Entry.isReady(Position))
      continue;
    m_waiting[Entry.Spec.Id].insert(Position);
    // A task that was taken out of the queue for a commit keeps its place.
    if (Task.WaitingSince == TimePoint{})
      Task.WaitingSince = m_time.now();
  }
}

void JobShard::Impl::setWaiting(JobEntry &Entry, int Position,
                                milliseconds Delay) {
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  Task.Phase = TaskPhase::Waiting;
  Task.LastRunNeverBegan = false;
  if (Entry.storesPlace(Position) && !isFinal(Entry.State)) {
    Entry.dropPlace(Position);
    storeNoRun(Entry, Position);
  }
  Task.EarliestStart = m_time.now() + Delay;
  Task.WaitingSince = m_time.now();
  Task.IsOverdue = false;
  // A task of a job that may have been transferred is queued once the transfer
  // has certainly failed.
  if (!isFinal(Entry.State) && !Entry.IsTransferring)
    m_waiting[Entry.Spec.Id].insert(Position);
}

// Reports for the first waiting fill task how many workers lack the room, are
// full, or run serving tasks that would suffer too much interference from it.
std::string JobShard::Impl::fillWaitReasons(
    const std::vector<PlacementCandidate> &Candidates) const {
  size_t NoRoom = 0;
  size_t Full = 0;
  size_t Interfering = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    int Position = *Positions.begin();
    if (!Entry.stepOf(Position).IsFill)
      continue;
    for (const PlacementCandidate &Candidate : Candidates) {
      if (!isAllowed(Candidate, Entry, Position))
        ++NoRoom;
      else if (FillPlace Place = fillPlace(Candidate, Entry, Position);
               isFullFor(fillTask(Entry, Position), Place, m_fillPlacement))
        ++Full;
      else if (!admitsFillTask(Entry, Position, Place))
        ++Interfering;
    }
    break;
  }
  return fmt::format("no_room={} full={} harm={}", NoRoom, Full, Interfering);
}

void JobShard::Impl::logState() {
  TimePoint Now = m_time.now();
  if (Now < m_nextStateLog)
    return;
  m_nextStateLog = Now + StateLogInterval;
  Resources Free;
  Resources Largest;
  std::vector<PlacementCandidate> Candidates = placementCandidates();
  double FillLeft = 0;
  for (const PlacementCandidate &Candidate : Candidates) {
    Free += Candidate.Room;
    FillLeft += Candidate.Fill.left();
    Largest.Millicores =
        std::max(Largest.Millicores, Candidate.Room.Millicores);
    Largest.MemoryMib = std::max(Largest.MemoryMib, Candidate.Room.MemoryMib);
  }
  std::array<size_t, 3> WaitingTasks{};
  for (const auto &[Id, Positions] : m_waiting) {
    const JobStep &FirstStep = find(Id)->Spec.Steps.front();
    WaitingTasks[FirstStep.LongRunning ? 1
                 : FirstStep.IsFill    ? 2
                                       : 0] += Positions.size();
  }
  int64_t FillMillicores = 0;
  int64_t LongRunningMillicores = 0;
  int64_t MostEventualMillicores = 0;
  size_t RunsOverTarget = 0;
  for (const auto &[Id, Slot] : m_slots) {
    FillMillicores += Slot.usedFillMillicores();
    RunsOverTarget += Slot.runsOverTarget();
    int64_t Eventual = Slot.eventualFreeCapacity().Millicores;
    LongRunningMillicores += Slot.Entry.Capacity.Millicores - Eventual;
    MostEventualMillicores = std::max(MostEventualMillicores, Eventual);
  }
  log("shard_state",
      fmt::format(
          "shard={} workers={} usable={} free_cores={} most_cores={} "
          "free_gib={} most_gib={} waiting_short={} waiting_long={} "
          "waiting_fill={} held_back={} fill_cores={} fill_left_cores={:.0f} "
          "fill_moves={} long_cores={} "
          "most_eventual_cores={} over_target={} {} {}",
          m_options.Shard, m_slots.size(), Candidates.size(),
          Free.Millicores / 1000, Largest.Millicores / 1000,
          Free.MemoryMib / 1024, Largest.MemoryMib / 1024, WaitingTasks[0],
          WaitingTasks[1], WaitingTasks[2],
          isTakeoverComplete() ? 0 : countHeldBackTasks(),
          FillMillicores / 1000, m_options.MeasuredFill ? FillLeft / 1000 : 0,
          m_counts.FillMoves, LongRunningMillicores / 1000,
          MostEventualMillicores / 1000, RunsOverTarget,
          fillWaitReasons(Candidates), placementFields()));
  logLongTaskWaits(Candidates, Largest.Millicores);
}

// Reports how the rounds since the last log line ended, and the mean round-trip
// time of a start order. Slow start orders and rounds that end at the limit of
// starts mean that the owner, not the workers, is the bottleneck.
std::string JobShard::Impl::placementFields() {
  const JobShardCounts &Current = counts();
  const JobShardCounts &Before = m_loggedCounts;
  uint64_t Answered = Current.StartsAnswered - Before.StartsAnswered;
  auto MeanStartTime = std::chrono::duration_cast<milliseconds>(
      (Current.TotalStartRoundTrip - Before.TotalStartRoundTrip) /
      static_cast<int64_t>(std::max<uint64_t>(Answered, 1)));
  std::string Fields = fmt::format(
      "rounds_whole={} rounds_start_limit={} rounds_step_limit={} starts={} "
      "starts_under_way={} starts_limit={} start_ms={} paces={}",
      Current.RoundsCompleted - Before.RoundsCompleted,
      Current.RoundsAtStartLimit - Before.RoundsAtStartLimit,
      Current.RoundsAtStepLimit - Before.RoundsAtStepLimit,
      Current.Starts - Before.Starts, Current.StartsInFlight,
      m_startWindow.limit(), MeanStartTime.count(),
      Current.PaceOrders - Before.PaceOrders);
  m_loggedCounts = Current;
  return Fields;
}

BASILCHUTE_NAMESPACE_END
