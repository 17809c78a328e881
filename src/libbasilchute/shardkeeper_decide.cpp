// Decisions of a shard's owner: placing, stopping and evicting tasks.

#include "libbasilchute/shardkeeper.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds PlaceRetryEvery{200};

bool mayTake(const WorkerLink &Link) {
  return Link.Reachable && Link.Fenced && Link.Listed && !Link.Cordoned &&
         !Link.Draining;
}

} // namespace

void ShardKeeper::placeWaiting(TimePoint Now) {
  if (!m_placeDirty && Now < m_placeAt)
    return;
  m_placeDirty = false;
  m_placeAt = Now + PlaceRetryEvery;
  if (m_book.waiting().empty())
    return;
  std::vector<std::string> Ready;
  for (const auto &[Class, Sequence, Id] : m_book.waiting())
    Ready.push_back(Id);
  std::vector<PlacementWorker> View = placementView();
  // Within one class a demand that found no room need not be tried again.
  std::vector<std::pair<TaskClass, Resources>> NoRoom;
  for (const std::string &Id : Ready) {
    TaskEntry *Entry = m_book.find(Id);
    if (!Entry || Now < Entry->NotBefore)
      continue;
    std::pair<TaskClass, Resources> Need{Entry->taskClass(), Entry->demand()};
    if (std::find(NoRoom.begin(), NoRoom.end(), Need) != NoRoom.end())
      continue;
    if (place(*Entry, View, Now))
      continue;
    NoRoom.push_back(Need);
    bool MayEvict = Need.first != TaskClass::Batch &&
                    Now - Entry->WaitingSince > m_context.Options.EvictAfter;
    if (MayEvict)
      planEviction(*Entry);
  }
}

std::vector<PlacementWorker> ShardKeeper::placementView() const {
  std::vector<PlacementWorker> View;
  for (const auto &[Id, Link] : m_links) {
    if (!mayTake(Link))
      continue;
    auto Services = static_cast<uint32_t>(Link.serviceHolds());
    View.push_back(
        {.Id = Id,
         .Rack = Link.info().Rack,
         .Capacity = Link.info().Capacity,
         .Free = Link.free(),
         .Services = Services,
         .Batch = static_cast<uint32_t>(Link.holds().size()) - Services});
  }
  return View;
}

void ShardKeeper::countReplicas(std::vector<PlacementWorker> &View,
                                const std::string &Service) {
  std::map<std::string_view, uint32_t> InRack;
  for (PlacementWorker &Each : View) {
    Each.SameService = 0;
    for (const auto &[Task, Demand] :
         m_links.at(std::string(Each.Id)).holds()) {
      const TaskEntry *Other = m_book.find(Task);
      Each.SameService += Other && Other->Row.service() == Service;
    }
    InRack[Each.Rack] += Each.SameService;
  }
  for (PlacementWorker &Each : View)
    Each.SameServiceInRack = InRack[Each.Rack];
}

bool ShardKeeper::place(TaskEntry &Entry, std::vector<PlacementWorker> &View,
                        TimePoint Now) {
  const v1::TaskRow &Old = Entry.Row;
  if (!Old.service().empty())
    countReplicas(View, Old.service());
  PlacementTask Task{.Id = Old.id(),
                     .Service = Old.service(),
                     .WorkKind = Old.kind(),
                     .Demand = Entry.demand()};
  bool SkipFit = m_context.Options.Faults.SkipFit;
  if (SkipFit)
    Task.Demand = {};
  std::optional<size_t> Choice = m_context.Options.Placement(Task, View);
  if (!Choice || !Task.Demand.fits(View[*Choice].Free)) {
    Entry.WaitReason =
        fmt::format("waits: none of {} usable workers in shard {} has {} "
                    "millicores, {} MiB and {} accelerators free",
                    View.size(), m_claim.Shard, Task.Demand.Millicores,
                    Task.Demand.MemoryMib, Task.Demand.Accelerators);
    return false;
  }
  Entry.WaitReason.clear();
  std::string Worker(View[*Choice].Id);
  linkOf(Worker)->hold(Old.id(), Entry.demand(), !Old.service().empty());
  View[*Choice].Free -= Entry.demand();
  ++(Old.service().empty() ? View[*Choice].Batch : View[*Choice].Services);
  v1::TaskRow Row = Old;
  Row.set_state(v1::TASK_PLACED);
  Row.set_worker(Worker);
  if (!m_context.Options.Faults.ReuseAttempt || Row.attempt() == 0)
    Row.set_attempt(Row.attempt() + 1);
  Entry.Confirmed = false;
  Entry.StartSent = false;
  Entry.TargetWorker = Worker;
  if (m_context.Options.Faults.StartBeforeCommit) {
    Entry.Row.set_worker(Worker);
    Entry.Row.set_attempt(Row.attempt());
    linkOf(Worker)->Urgent = true;
  }
  ++m_context.Counters.Placements;
  Entry.WaitingSince = Now;
  commitTask(Entry, std::move(Row), [this](TaskEntry &Done) {
    if (WorkerLink *Link = linkOf(Done.Row.worker()))
      Link->Urgent = true;
    if (!Done.Wanted)
      stopPlanned(Done, false, "not wanted any more");
  });
  return true;
}

void ShardKeeper::planEviction(const TaskEntry &For) {
  std::string BestWorker;
  std::vector<std::string> BestTasks;
  for (auto &[Id, Link] : m_links) {
    if (!mayTake(Link) || !For.demand().fits(Link.info().Capacity))
      continue;
    std::vector<EvictionCandidate> Candidates;
    bool AlreadyFreeing = false;
    for (const auto &[Task, Demand] : Link.holds()) {
      const TaskEntry *Entry = m_book.find(Task);
      AlreadyFreeing |= Entry && Entry->Phase != StopPhase::None;
      if (!Entry || Entry->taskClass() != TaskClass::Batch ||
          !Entry->Confirmed || Entry->Phase != StopPhase::None)
        continue;
      Candidates.push_back(
          {.Task = Entry->Row.id(),
           .Demand = Demand,
           .Cost = 1.0 + static_cast<double>(Entry->Row.evictions())});
    }
    // One eviction plan at a time on a worker: its room is on the way.
    if (AlreadyFreeing)
      return;
    auto Plan = cheapEviction(For.demand(), Link.free(), Candidates);
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
    stopPlanned(*m_book.find(Task), true, "room for " + For.Row.id());
}

// Replicas leave the routes first, batch tasks checkpoint first.
void ShardKeeper::stopPlanned(TaskEntry &Entry, bool Evicting,
                              std::string_view Why) {
  if (!Entry.isPlaced() || Entry.Phase != StopPhase::None)
    return;
  bool Service = !Entry.Row.service().empty();
  Entry.Phase = Service        ? StopPhase::Drain
                : Entry.Wanted ? StopPhase::Checkpoint
                               : StopPhase::Stop;
  Entry.PhaseSince = m_context.Time.now();
  Entry.Evicting = Evicting;
  Entry.Checkpoint.clear();
  m_stopping.insert(Entry.Row.id());
  if (WorkerLink *Link = linkOf(Entry.Row.worker()))
    Link->Urgent = true;
  event("task_stopping",
        fmt::format("task={} attempt={} worker={} why=\"{}\"", Entry.Row.id(),
                    Entry.Row.attempt(), Entry.Row.worker(), Why));
}

void ShardKeeper::advanceStops(TimePoint Now) {
  std::vector<std::string> Stopping(m_stopping.begin(), m_stopping.end());
  for (const std::string &Id : Stopping) {
    TaskEntry *Entry = m_book.find(Id);
    if (!Entry || !Entry->isPlaced() || Entry->Phase == StopPhase::None) {
      m_stopping.erase(Id);
      continue;
    }
    advanceStop(*Entry, Now);
  }
}

void ShardKeeper::advanceStop(TaskEntry &Entry, TimePoint Now) {
  const SchedulerOptions &Options = m_context.Options;
  nanoseconds Waited = Now - Entry.PhaseSince;
  bool Drained =
      Entry.Phase == StopPhase::Drain && Waited >= Options.RouteDrain;
  bool Saved =
      Entry.Phase == StopPhase::Checkpoint &&
      (!Entry.Checkpoint.empty() || Waited >= Options.CheckpointPatience);
  if (!Drained && !Saved)
    return;
  Entry.Phase = StopPhase::Stop;
  if (WorkerLink *Link = linkOf(Entry.Row.worker()))
    Link->Urgent = true;
  if (!Options.Faults.ResumeBeforeStopped || Entry.Writing)
    return;
  if (WorkerLink *Link = linkOf(Entry.Row.worker()))
    Link->release(Entry.Row.id());
  v1::TaskRow Row = Entry.Row;
  Row.set_checkpoint(Entry.Checkpoint);
  returnToWaiting(Entry, std::move(Row));
}

void ShardKeeper::drainWorkers() {
  for (auto &[Id, Link] : m_links) {
    if (!Link.Draining || Link.holds().empty())
      continue;
    std::vector<std::string> Held;
    for (const auto &[Task, Demand] : Link.holds())
      Held.push_back(Task);
    for (const std::string &Task : Held) {
      TaskEntry *Entry = m_book.find(Task);
      if (!Entry || !Entry->Confirmed || Entry->Phase != StopPhase::None)
        continue;
      stopPlanned(*Entry, Entry->Row.service().empty(), "worker leaves");
    }
  }
}

void ShardKeeper::dropUnwanted(TaskEntry &Entry) {
  Entry.Wanted = false;
  if (Entry.Writing || Entry.isFinal())
    return;
  if (Entry.isPlaced())
    return stopPlanned(Entry, false, "not wanted any more");
  if (!Entry.Row.service().empty())
    return removeReplica(Entry);
  m_book.unqueue(Entry);
  Entry.Row.set_state(v1::TASK_CANCELLED);
  onFinal(Entry);
}

BASILCHUTE_NAMESPACE_END
