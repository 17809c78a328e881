#include "libbasilchute/jobmemory.h"
#include "libbasilchute/jobshard_impl.h"
#include "libbasilchute/roundfields.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Least objective of a job, so that its lateness is finite.
constexpr std::chrono::duration<double> MinObjective{1e-9};
constexpr milliseconds StateLogInterval{1000};
/// Tasks of a schedule are queued this long before they are due.
constexpr milliseconds QueueLead{1000};

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
  auto AgeAtEnd =
      m_time.now() - Entry.ArrivedAt + Entry.remainingCriticalPath();
  return std::chrono::duration<double>(AgeAtEnd) /
         std::max(std::chrono::duration<double>(
                      objectiveOf(Entry.criticalPath(), *Queue)),
                  MinObjective);
}

int JobShard::Impl::latenessOf(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  if (!Queue || Entry.Spec.Repetitions > 0)
    return 0;
  return basilchute::latenessOf(m_time.now() - Entry.ArrivedAt +
                                    Entry.remainingCriticalPath(),
                                objectiveOf(Entry.criticalPath(), *Queue));
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

// Returns the step of the job's first waiting task, or its first step if none
// waits.
const JobStep &JobShard::Impl::waitingStepOf(const JobEntry &Entry) const {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  bool IsWaiting = Waiting != m_waiting.end() && !Waiting->second.empty();
  return IsWaiting ? Entry.stepOf(*Waiting->second.begin())
                   : Entry.Spec.Steps.front();
}

QueueRank JobShard::Impl::rankOf(const JobEntry &Entry) const {
  const JobQueue *Queue = queueOf(Entry);
  const JobStep &Step = waitingStepOf(Entry);
  auto Mean = m_meanWork.find(Entry.Spec.Queue);
  return queueRank(
      {.IsLongRunning = Step.LongRunning,
       .IsFill = Step.IsFill,
       .HasWaitedLong = Step.LongRunning && hasWaitedLong(Entry),
       .HasStarted = Entry.hasStarted(),
       .Lateness = Step.LongRunning ? 0 : latenessOf(Entry),
       .Priority = Queue ? Queue->Priority : 0,
       .Age = m_time.now() - Entry.ArrivedAt,
       .MeanWork = Mean == m_meanWork.end() ? Entry.TotalWork : Mean->second,
       .TotalWork = Entry.TotalWork,
       .RemainingWork = Entry.remainingWork()});
}

// A bounded number of tasks of each job is queued, and none of an occurrence
// that is not due soon.
void JobShard::Impl::queueReady(JobEntry &Entry) {
  if (isFinal(Entry.State) || Entry.IsTransferring)
    return;
  const std::string &Id = Entry.Spec.Id;
  milliseconds WallTime =
      m_options.WallTime ? m_options.WallTime() : milliseconds(0);
  ReadyTasks Ready = Entry.readyTasks(
      WallTime + QueueLead, queueLimit(m_held.Bytes, m_options.MaxJobBytes));
  if (Ready.NextDue)
    m_held.addLater(Id, *Ready.NextDue - QueueLead);
  if (Ready.HasMore)
    m_held.PartlyQueued.insert(Id);
  else
    m_held.PartlyQueued.erase(Id);
  for (int Position : Ready.Positions) {
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
    m_waiting[Id].insert(Position);
    // A task that was taken out of the queue for a commit keeps its place.
    if (Task.WaitingSince == TimePoint{}) {
      Task.WaitingSince = m_time.now();
      if (const JobQueue *Queue = queueOf(Entry))
        m_plan.addReady(Entry, Position, Queue->Service, m_time.now());
    }
  }
}

void JobShard::Impl::queueMore() {
  if (m_options.WallTime)
    for (const std::string &Id : m_held.takeDue(m_options.WallTime()))
      if (JobEntry *Entry = find(Id))
        queueReady(*Entry);
  size_t Limit = queueLimit(m_held.Bytes, m_options.MaxJobBytes);
  const std::set<std::string> PartlyQueued = m_held.PartlyQueued;
  for (const std::string &Id : PartlyQueued) {
    JobEntry *Entry = find(Id);
    auto Waiting = m_waiting.find(Id);
    size_t Queued = Waiting == m_waiting.end() ? 0 : Waiting->second.size();
    if (!Entry || isFinal(Entry->State))
      m_held.PartlyQueued.erase(Id);
    else if (Queued < Limit / 2)
      queueReady(*Entry);
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
    const JobEntry &Entry = *find(Id);
    for (int Position : Positions) {
      const JobStep &Step = Entry.stepOf(Position);
      ++WaitingTasks[Step.LongRunning ? 1 : Step.IsFill ? 2 : 0];
    }
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
          "most_eventual_cores={} over_target={} jobs={} jobs_kb={} {} {}",
          m_options.Shard, m_slots.size(), Candidates.size(),
          Free.Millicores / 1000, Largest.Millicores / 1000,
          Free.MemoryMib / 1024, Largest.MemoryMib / 1024, WaitingTasks[0],
          WaitingTasks[1], WaitingTasks[2],
          isTakeoverComplete() ? 0 : countHeldBackTasks(),
          FillMillicores / 1000, m_options.MeasuredFill ? FillLeft / 1000 : 0,
          m_counts.FillMoves, LongRunningMillicores / 1000,
          MostEventualMillicores / 1000, RunsOverTarget, m_jobs.size(),
          m_held.Bytes / 1000, fillWaitReasons(Candidates),
          roundFields(counts(), m_loggedCounts, m_startWindow.limit())));
  m_loggedCounts = counts();
  if (m_plan.isOn())
    log("placement_plan",
        fmt::format("shard={} {}", m_options.Shard, m_plan.fields()));
  logLongTaskWaits(Candidates, Largest.Millicores);
  logEvacuationWaits();
  logMissingWorkers();
}

BASILCHUTE_NAMESPACE_END
