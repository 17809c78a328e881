#include "libbasilchute/evacuation.h"
#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A long-running task without a run for this long gets a log line of its own.
/// Operators count it as lost after 9 s.
constexpr milliseconds OverdueAfter{5000};
/// Bounds the number of these lines in a second.
constexpr size_t MaxOverdueLines = 20;
/// Bounds the number of waiting steps that are compared with the workers each
/// second while a failure domain is evacuated.
constexpr size_t MaxStepsChecked = 200;

double inCores(int64_t Millicores) {
  return static_cast<double>(Millicores) / 1000;
}

} // namespace

// Returns true if workers could take the task, and all of them are kept for
// trials.
bool JobShard::Impl::waitsForTrials(
    const std::vector<PlacementCandidate> &Candidates, const JobEntry &Entry,
    int Position) const {
  bool IsOnTrial = false;
  for (const PlacementCandidate &Candidate : Candidates) {
    if (!isAllowed(Candidate, Entry, Position))
      continue;
    if (!m_crashes.isTrialWorker(Candidate.Slot->Entry.Id))
      return false;
    IsOnTrial = true;
  }
  return IsOnTrial;
}

// Returns what keeps the task from being placed, or "room" if that depends on
// the workers alone.
std::string
JobShard::Impl::waitReason(const std::vector<PlacementCandidate> &Candidates,
                           const JobEntry &Entry, int Position) const {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  if (mayHavePreviousRun(Entry, Position))
    return "previous_run";
  if (isSuspect(Entry, Position))
    return "suspect";
  if (hasRunsOf(Entry.nameOf(Position)))
    return "run_not_ended";
  if (Task.EarliestStart > m_time.now())
    return "delay";
  if (waitsForTrials(Candidates, Entry, Position))
    return "trial";
  if (!queueOf(Entry))
    return "no_queue";
  if (needsEvacuated(Entry, Position))
    return "evacuated";
  return fitOf(Entry, Position) == StepFit::Nowhere ? "no_worker" : "room";
}

std::vector<const WorkerEntry *> JobShard::Impl::listedEntries() const {
  std::vector<const WorkerEntry *> Out;
  for (const auto &[Id, Slot] : m_slots)
    if (Slot.IsListed)
      Out.push_back(&Slot.Entry);
  return Out;
}

bool JobShard::Impl::needsEvacuated(const JobEntry &Entry, int Position) const {
  return fitsOnlyEvacuated(Entry.stepOf(Position), queueOf(Entry)->Service,
                           listedEntries());
}

// The first waiting task of each job stands for all.
void JobShard::Impl::logEvacuationWaits() const {
  std::vector<const WorkerEntry *> Workers = listedEntries();
  auto Evacuated = std::count_if(
      Workers.begin(), Workers.end(),
      [](const WorkerEntry *Worker) { return Worker->IsEvacuated; });
  if (Evacuated == 0)
    return;
  size_t Checked = 0;
  size_t Jobs = 0;
  size_t Tasks = 0;
  const JobEntry *First = nullptr;
  int FirstPosition = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    const JobQueue *Queue = queueOf(Entry);
    if (!Queue || Positions.empty() || ++Checked > MaxStepsChecked)
      continue;
    int Position = *Positions.begin();
    if (!fitsOnlyEvacuated(Entry.stepOf(Position), Queue->Service, Workers))
      continue;
    ++Jobs;
    Tasks += Positions.size();
    if (First)
      continue;
    First = &Entry;
    FirstPosition = Position;
  }
  if (!First)
    return;
  TaskName Task = First->nameOf(FirstPosition);
  const TaskState &State = First->Tasks[static_cast<size_t>(FirstPosition)];
  log("evacuation_waits",
      fmt::format("shard={} evacuated_workers={} jobs={} tasks={} job={} "
                  "step={} index={} waited_ms={} jobs_checked={} "
                  "message=\"only evacuated workers can hold the tasks\"",
                  m_options.Shard, Evacuated, Jobs, Tasks, Task.Job, Task.Step,
                  Task.Index,
                  (m_time.now() - State.WaitingSince) / milliseconds(1),
                  std::min(Checked, MaxStepsChecked)));
}

void JobShard::Impl::logMissingWorkers() const {
  size_t Jobs = 0;
  const JobEntry *First = nullptr;
  int FirstPosition = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    const JobEntry &Entry = m_jobs.at(Id);
    int Position = *Positions.begin();
    if (fitOf(Entry, Position) != StepFit::Nowhere)
      continue;
    ++Jobs;
    if (First)
      continue;
    First = &Entry;
    FirstPosition = Position;
  }
  if (!First)
    return;
  TaskName Task = First->nameOf(FirstPosition);
  const JobStep &Step = First->stepOf(FirstPosition);
  log("worker_missing",
      fmt::format("shard={} jobs={} job={} step={} needs_cores={:.1f} "
                  "needs_gib={:.1f} label={:?} message=\"no listed worker can "
                  "hold the tasks\"",
                  m_options.Shard, Jobs, Task.Job, Task.Step,
                  inCores(Step.reservation().Millicores),
                  static_cast<double>(Step.Demand.MemoryMib) / 1024,
                  Step.RequiredLabel));
}

bool JobShard::Impl::isOfKind(const WorkerSlot &Slot, const JobEntry &Entry,
                              int Position) const {
  const JobQueue *Queue = queueOf(Entry);
  const std::string &Label = Entry.stepOf(Position).RequiredLabel;
  return Queue && Slot.Entry.Service == Queue->Service &&
         (Label.empty() || Slot.hasLabel(Label));
}

// Counts the shard's workers of the task's kind: those that take no starts now,
// those that lack the processors or the memory, those at the limit of tasks per
// worker, those that could take the task, and those that could once their short
// runs have ended.
std::string
JobShard::Impl::waitFields(const std::vector<PlacementCandidate> &Candidates,
                           const JobEntry &Entry, int Position) const {
  const JobStep &Step = Entry.stepOf(Position);
  auto OfKind =
      std::count_if(m_slots.begin(), m_slots.end(), [&](const auto &Slot) {
        return Slot.second.IsListed && isOfKind(Slot.second, Entry, Position);
      });
  int Usable = 0;
  int NoProcessors = 0;
  int NoMemory = 0;
  int AtLimit = 0;
  int NoApproval = 0;
  int Fitting = 0;
  int FittingLater = 0;
  for (const PlacementCandidate &Candidate : Candidates) {
    if (!isOfKind(*Candidate.Slot, Entry, Position))
      continue;
    ++Usable;
    Resources Demand = Step.reservation();
    FittingLater += Demand.fits(Candidate.Slot->eventualFreeCapacity());
    if (Demand.Millicores > Candidate.Room.Millicores)
      ++NoProcessors;
    else if (!Demand.fits(Candidate.Room))
      ++NoMemory;
    else if (!canRunIfApproved(Candidate, Entry, Position))
      ++AtLimit;
    else if (!isApproved(Candidate, Entry, Position))
      ++NoApproval;
    else
      ++Fitting;
  }
  return fmt::format("workers={} unusable={} no_processors={} no_memory={} "
                     "at_limit={} no_approval={} fitting={} "
                     "fitting_later={}",
                     OfKind, OfKind - Usable, NoProcessors, NoMemory, AtLimit,
                     NoApproval, Fitting, FittingLater);
}

void JobShard::Impl::logOverdueTask(
    const std::vector<PlacementCandidate> &Candidates, JobEntry &Entry,
    int Position) {
  TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  Task.IsOverdue = true;
  TaskName Name = Entry.nameOf(Position);
  Resources Demand = Entry.stepOf(Position).reservation();
  log("long_task_overdue",
      fmt::format("shard={} job={} step={} index={} run={} waited_ms={} "
                  "needs_cores={:.1f} needs_gib={:.1f} why={} {}",
                  m_options.Shard, Name.Job, Name.Step, Name.Index,
                  Task.LastRun,
                  (m_time.now() - Task.WaitingSince) / milliseconds(1),
                  inCores(Demand.Millicores),
                  static_cast<double>(Demand.MemoryMib) / 1024,
                  waitReason(Candidates, Entry, Position),
                  waitFields(Candidates, Entry, Position)));
}

// Counts long-running tasks of started jobs whose wait has become long, and
// reports the one that has waited longest and those that are overdue. \p
// MostMillicores is the largest room on one worker of this shard.
void JobShard::Impl::logLongTaskWaits(
    const std::vector<PlacementCandidate> &Candidates, int64_t MostMillicores) {
  TimePoint Limit = m_time.now() - LongRunningMaxWait;
  const JobEntry *LongestEntry = nullptr;
  int LongestPosition = -1;
  TimePoint LongestSince = Limit;
  size_t Waiting = 0;
  size_t OverdueLines = 0;
  for (const auto &[Id, Positions] : m_waiting) {
    JobEntry &Entry = m_jobs.at(Id);
    if (!Entry.HasLongRunningStep || !Entry.hasStarted())
      continue;
    for (int Position : Positions) {
      if (!Entry.stepOf(Position).LongRunning)
        continue;
      const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
      TimePoint Since = Task.WaitingSince;
      if (Since >= Limit)
        continue;
      ++Waiting;
      if (!Task.IsOverdue && m_time.now() > Since + OverdueAfter &&
          OverdueLines < MaxOverdueLines) {
        logOverdueTask(Candidates, Entry, Position);
        ++OverdueLines;
      }
      m_counts.LongTaskWaits += Since + LongRunningMaxWait >= m_waitsCountedAt;
      if (Since >= LongestSince)
        continue;
      LongestEntry = &Entry;
      LongestPosition = Position;
      LongestSince = Since;
    }
  }
  m_waitsCountedAt = m_time.now();
  if (!LongestEntry)
    return;
  TaskName Task = LongestEntry->nameOf(LongestPosition);
  std::optional<DelegationTarget> Target;
  if (m_options.FindShardWithRoom)
    Target = m_options.FindShardWithRoom(LongestEntry->Spec,
                                         LongestEntry->PartShards, 0);
  log("long_task_waits",
      fmt::format(
          "shard={} tasks={} job={} step={} index={} waited_ms={} "
          "needs_cores={:.1f} most_cores={:.1f} target={} why={} {}",
          m_options.Shard, Waiting, Task.Job, Task.Step, Task.Index,
          (m_time.now() - LongestSince) / milliseconds(1),
          inCores(LongestEntry->stepOf(LongestPosition).Demand.Millicores),
          inCores(MostMillicores), Target ? Target->Shard : -1,
          waitReason(Candidates, *LongestEntry, LongestPosition),
          waitFields(Candidates, *LongestEntry, LongestPosition)));
}

BASILCHUTE_NAMESPACE_END
