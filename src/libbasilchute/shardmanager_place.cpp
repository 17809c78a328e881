// Placement, planned stops and evictions of the tasks of a shard.

#include "libbasilchute/shardmanager.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds PlacementRetryInterval{200};
/// Time within which a task normally ends after its stop order.
constexpr milliseconds StopTimeout{5000};

bool canPlaceOn(const WorkerRecord &Record) {
  return Record.IsReachable && Record.IsEpochInstalled && Record.IsListed &&
         !Record.IsCordoned && !Record.IsDraining;
}

} // namespace

void ShardManager::placeWaiting(TimePoint Now) {
  if (!m_shouldPlace && Now < m_nextPlaceAt)
    return;
  m_shouldPlace = false;
  m_nextPlaceAt = Now + PlacementRetryInterval;
  if (m_tasks.waiting().empty())
    return;
  std::vector<std::string> WaitingIds;
  for (const auto &[Class, Sequence, Id] : m_tasks.waiting())
    WaitingIds.push_back(Id);
  std::vector<PlacementWorker> Candidates = placementCandidates();
  // Demands that fit on no worker in this round, by class; tasks of the same
  // class with the same demand are skipped.
  std::vector<std::pair<TaskClass, Resources>> Unplaceable;
  for (const std::string &Id : WaitingIds) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (!Entry || Now < Entry->NotBefore)
      continue;
    std::pair<TaskClass, Resources> ClassAndDemand{Entry->taskClass(),
                                                   Entry->demand()};
    if (std::find(Unplaceable.begin(), Unplaceable.end(), ClassAndDemand) !=
        Unplaceable.end())
      continue;
    if (place(*Entry, Candidates, Now))
      continue;
    Unplaceable.push_back(ClassAndDemand);
    bool CanEvict = ClassAndDemand.first != TaskClass::Batch &&
                    Now - Entry->WaitingSince > m_context.Options.EvictAfter;
    if (CanEvict)
      planEviction(*Entry);
  }
}

std::vector<PlacementWorker> ShardManager::placementCandidates() const {
  std::vector<PlacementWorker> Candidates;
  for (const auto &[Id, Record] : m_workers) {
    if (!canPlaceOn(Record))
      continue;
    auto Replicas = static_cast<uint32_t>(Record.reservedReplicas());
    Candidates.push_back(
        {.Id = Id,
         .Rack = Record.info().Rack,
         .Capacity = Record.info().Capacity,
         .Free = Record.free(),
         .ServingTasks = Replicas,
         .BatchTasks =
             static_cast<uint32_t>(Record.reservations().size()) - Replicas});
  }
  return Candidates;
}

void ShardManager::countReplicas(std::vector<PlacementWorker> &Candidates,
                                 const std::string &Service) {
  std::map<std::string_view, uint32_t> CountByRack;
  for (PlacementWorker &Candidate : Candidates) {
    Candidate.Replicas = 0;
    for (const auto &[Task, Demand] :
         m_workers.at(std::string(Candidate.Id)).reservations()) {
      const TaskEntry *Entry = m_tasks.find(Task);
      Candidate.Replicas += Entry && Entry->Row.service() == Service;
    }
    CountByRack[Candidate.Rack] += Candidate.Replicas;
  }
  for (PlacementWorker &Candidate : Candidates)
    Candidate.ReplicasInRack = CountByRack[Candidate.Rack];
}

bool ShardManager::place(TaskEntry &Entry,
                         std::vector<PlacementWorker> &Candidates,
                         TimePoint Now) {
  const v1::TaskRow &OldRow = Entry.Row;
  if (!OldRow.service().empty())
    countReplicas(Candidates, OldRow.service());
  PlacementTask Task{.Id = OldRow.id(),
                     .Service = OldRow.service(),
                     .WorkKind = OldRow.kind(),
                     .Demand = Entry.demand()};
  bool SkipFit = m_context.Options.Faults.SkipFit;
  if (SkipFit)
    Task.Demand = {};
  std::optional<size_t> Choice = m_context.Options.Placement(Task, Candidates);
  if (!Choice || !Task.Demand.fits(Candidates[*Choice].Free)) {
    Entry.WaitReason =
        fmt::format("waiting: none of {} usable workers in shard {} has {} "
                    "millicores, {} MiB and {} accelerators free",
                    Candidates.size(), m_claim.Shard, Task.Demand.Millicores,
                    Task.Demand.MemoryMib, Task.Demand.Accelerators);
    return false;
  }
  Entry.WaitReason.clear();
  std::string Worker(Candidates[*Choice].Id);
  findWorker(Worker)->reserve(OldRow.id(), Entry.demand(),
                              !OldRow.service().empty());
  Candidates[*Choice].Free -= Entry.demand();
  ++(OldRow.service().empty() ? Candidates[*Choice].BatchTasks
                              : Candidates[*Choice].ServingTasks);
  v1::TaskRow NewRow = OldRow;
  NewRow.set_state(v1::TASK_PLACED);
  NewRow.set_worker(Worker);
  if (!m_context.Options.Faults.ReuseAttempt || NewRow.attempt() == 0)
    NewRow.set_attempt(NewRow.attempt() + 1);
  Entry.IsConfirmed = false;
  Entry.IsStartSent = false;
  Entry.TargetWorker = Worker;
  if (m_context.Options.Faults.StartBeforeCommit) {
    Entry.Row.set_worker(Worker);
    Entry.Row.set_attempt(NewRow.attempt());
    findWorker(Worker)->ShouldSyncNow = true;
  }
  ++m_context.Counters.Placements;
  Entry.WaitingSince = Now;
  commitTask(Entry, std::move(NewRow), [this](TaskEntry &Committed) {
    if (WorkerRecord *Record = findWorker(Committed.Row.worker()))
      Record->ShouldSyncNow = true;
    if (!Committed.IsWanted)
      beginStop(Committed, false, "no longer wanted");
  });
  return true;
}

void ShardManager::planEviction(const TaskEntry &WaitingTask) {
  const SchedulerOptions &Options = m_context.Options;
  TimePoint LatestBegin =
      m_context.Time.now() - StopTimeout -
      std::max(Options.CheckpointTimeout, Options.RouteDrain);
  std::string BestWorker;
  std::vector<std::string> BestTasks;
  for (auto &[Id, Record] : m_workers) {
    if (!canPlaceOn(Record) ||
        !WaitingTask.demand().fits(Record.info().Capacity))
      continue;
    std::vector<EvictionCandidate> Candidates;
    bool IsStopInProgress = false;
    for (const auto &[Task, Demand] : Record.reservations()) {
      const TaskEntry *Entry = m_tasks.find(Task);
      IsStopInProgress |= Entry && Entry->Phase != StopPhase::None &&
                          Entry->PhaseSince > LatestBegin;
      if (!Entry || Entry->taskClass() != TaskClass::Batch ||
          !Entry->IsConfirmed || Entry->Phase != StopPhase::None)
        continue;
      Candidates.push_back(
          {.Task = Entry->Row.id(),
           .Demand = Demand,
           .Cost = 1.0 + static_cast<double>(Entry->Row.evictions())});
    }
    // A stop in progress on any usable worker already frees resources: plan no
    // eviction on any worker until it completes or takes too long.
    if (IsStopInProgress)
      return;
    auto Plan =
        chooseEvictions(WaitingTask.demand(), Record.free(), Candidates);
    if (!Plan || Plan->empty())
      continue;
    if (!BestWorker.empty() && Plan->size() >= BestTasks.size())
      continue;
    BestWorker = Id;
    BestTasks.clear();
    for (size_t Index : *Plan)
      BestTasks.emplace_back(Candidates[Index].Task);
  }
  for (const std::string &Task : BestTasks)
    beginStop(*m_tasks.find(Task), true, "evicted for " + WaitingTask.Row.id());
}

// A replica is first removed from the routes, and a task of a job that is still
// wanted first writes a checkpoint; other tasks are stopped at once.
void ShardManager::beginStop(TaskEntry &Entry, bool IsEviction,
                             std::string_view Reason) {
  if (!Entry.isPlaced() || Entry.Phase != StopPhase::None)
    return;
  bool IsService = !Entry.Row.service().empty();
  Entry.Phase = IsService        ? StopPhase::Drain
                : Entry.IsWanted ? StopPhase::Checkpoint
                                 : StopPhase::Stop;
  Entry.PhaseSince = m_context.Time.now();
  Entry.IsEviction = IsEviction;
  Entry.Checkpoint.clear();
  m_stoppingTasks.insert(Entry.Row.id());
  if (WorkerRecord *Record = findWorker(Entry.Row.worker()))
    Record->ShouldSyncNow = true;
  reportEvent("task_stopping",
              fmt::format("task={} attempt={} worker={} why=\"{}\"",
                          Entry.Row.id(), Entry.Row.attempt(),
                          Entry.Row.worker(), Reason));
}

void ShardManager::advanceStops(TimePoint Now) {
  std::vector<std::string> Ids(m_stoppingTasks.begin(), m_stoppingTasks.end());
  for (const std::string &Id : Ids) {
    TaskEntry *Entry = m_tasks.find(Id);
    if (!Entry || !Entry->isPlaced() || Entry->Phase == StopPhase::None) {
      m_stoppingTasks.erase(Id);
      continue;
    }
    advanceStop(*Entry, Now);
  }
}

void ShardManager::advanceStop(TaskEntry &Entry, TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  nanoseconds Waited = Now - Entry.PhaseSince;
  bool IsDrained =
      Entry.Phase == StopPhase::Drain && Waited >= Options.RouteDrain;
  bool IsCheckpointDone =
      Entry.Phase == StopPhase::Checkpoint &&
      (!Entry.Checkpoint.empty() || Waited >= Options.CheckpointTimeout);
  if (!IsDrained && !IsCheckpointDone)
    return;
  Entry.Phase = StopPhase::Stop;
  if (WorkerRecord *Record = findWorker(Entry.Row.worker()))
    Record->ShouldSyncNow = true;
  if (!Options.Faults.ResumeBeforeStopped || Entry.IsWriting)
    return;
  if (WorkerRecord *Record = findWorker(Entry.Row.worker()))
    Record->release(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  Row.set_checkpoint(Entry.Checkpoint);
  returnToWaiting(Entry, std::move(Row));
}

void ShardManager::drainWorkers() {
  for (auto &[Id, Record] : m_workers) {
    if (!Record.IsDraining || Record.reservations().empty())
      continue;
    std::vector<std::string> Tasks;
    for (const auto &[Task, Demand] : Record.reservations())
      Tasks.push_back(Task);
    for (const std::string &Task : Tasks) {
      TaskEntry *Entry = m_tasks.find(Task);
      if (!Entry || !Entry->IsConfirmed || Entry->Phase != StopPhase::None)
        continue;
      beginStop(*Entry, Entry->Row.service().empty(), "worker is draining");
    }
  }
}

void ShardManager::cancelUnwanted(TaskEntry &Entry) {
  Entry.IsWanted = false;
  if (Entry.IsWriting || Entry.isFinal())
    return;
  if (Entry.isPlaced())
    return beginStop(Entry, false, "no longer wanted");
  if (!Entry.Row.service().empty())
    return removeReplica(Entry);
  m_tasks.removeFromQueue(Entry);
  Entry.Row.set_state(v1::TASK_CANCELLED);
  onFinal(Entry);
}

BASILCHUTE_NAMESPACE_END
