#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Maximum number of tasks that a log line names.
constexpr size_t MaxLoggedTasks = 8;
/// A start order may be answered by another incarnation, whose clock begins
/// anew; answers may overtake each other by less than this.
constexpr milliseconds MaxClockStepBack{1000};

FleetSize fleetSize(const std::map<std::string, WorkerSlot> &Slots) {
  FleetSize Out{.Workers = Slots.size()};
  for (const auto &[Id, Slot] : Slots)
    ++Out.Domains[Slot.Entry.FailureDomain];
  return Out;
}

} // namespace

TaskName JobShard::Impl::crashUnit(const JobEntry &Entry, int Position) {
  return Entry.nameOf(Entry.crashPosition(Position));
}

CrashRecord &JobShard::Impl::crashRecord(JobEntry &Entry, int Position) {
  return Entry.Tasks[static_cast<size_t>(Entry.crashPosition(Position))].Crash;
}

bool JobShard::Impl::isSuspect(const JobEntry &Entry, int Position) {
  return Entry.Tasks[static_cast<size_t>(Entry.crashPosition(Position))]
      .Crash.IsSuspect;
}

std::pair<JobEntry *, int> JobShard::Impl::findRunning(const TaskName &Task) {
  JobEntry *Entry = find(Task.Job);
  if (!Entry || isFinal(Entry->State))
    return {nullptr, -1};
  int Position = Entry->positionOf(Task);
  return {Position < 0 ? nullptr : Entry, Position};
}

SilentWorker JobShard::Impl::silentWorker(const WorkerSlot &Slot) {
  SilentWorker Out{.Id = Slot.Entry.Id,
                   .Domain = Slot.Entry.FailureDomain,
                   .AliveAt = Slot.AliveAt,
                   .SilentAt = Slot.SilentAt == TimePoint{} ? m_time.now()
                                                            : Slot.SilentAt,
                   .Runs = Slot.LostRuns};
  for (const auto &[Key, Run] : Slot.Runs) {
    auto [Entry, Position] = findRunning(Key.first);
    if (!Entry || Run.Phase == RunPhase::Reserved)
      continue;
    Out.Runs.push_back({.Task = crashUnit(*Entry, Position),
                        .KnownAge = Slot.knownAge(Run),
                        .MaxAge = std::chrono::duration_cast<milliseconds>(
                            Out.SilentAt - Run.ObservedSince),
                        .Crashes = crashRecord(*Entry, Position).Crashes,
                        .IsAdopted = Run.IsAdopted});
  }
  return Out;
}

// A worker whose incarnation is gone has crashed earlier.
std::vector<SilentWorker>
JobShard::Impl::otherSilentWorkers(const WorkerSlot &Slot) {
  std::vector<SilentWorker> Out;
  for (const auto &[Id, Other] : m_slots) {
    bool IsSilent = Other.MissedPolls > 0 && !Other.Entry.IsDraining &&
                    Id != Slot.Entry.Id && Other.IsFenced;
    if (IsSilent)
      Out.push_back(silentWorker(Other));
  }
  return Out;
}

// A worker that is draining ends as planned.
std::vector<JobEntry *> JobShard::Impl::countCrash(WorkerSlot &Slot,
                                                   std::string_view Why,
                                                   CrashDoubt Doubt) {
  std::vector<JobEntry *> GivenUp;
  if (Slot.Entry.IsDraining) {
    resolveExposures(Slot, Slot.Incarnation);
    return GivenUp;
  }
  // Each later poll of a worker that was replaced finds the other one again.
  if (!Slot.IsFenced && Slot.Runs.empty())
    return GivenUp;
  SilentWorker Crashed = silentWorker(Slot);
  std::vector<SilentWorker> Silent = otherSilentWorkers(Slot);
  FleetSize Fleet = fleetSize(m_slots);
  bool IsOfDomain = m_crashes.isDomainCrash(Crashed, Silent, Fleet);
  std::map<TaskName, CrashEvidence> Judged =
      m_crashes.judge(Crashed, Silent, Fleet, m_time.now());
  if (IsOfDomain)
    passOverCrash(Crashed, Judged);
  if (Doubt == CrashDoubt::MayBeCutOff) {
    std::erase_if(Judged, [](const auto &Task) {
      return Task.second < CrashEvidence::Strong;
    });
    for (auto &[Unit, Evidence] : Judged)
      Evidence = CrashEvidence::Strong;
  }
  if (!Crashed.Runs.empty()) {
    ++m_counts.WorkerCrashes;
    logCrash(Crashed, Why, Judged, !Slot.LostRuns.empty(), IsOfDomain);
  }
  for (const auto &[Unit, Evidence] : Judged) {
    auto [Entry, Position] = findRunning(Unit);
    if (!Entry)
      continue;
    auto Run = std::min_element(
        Crashed.Runs.begin(), Crashed.Runs.end(),
        [&Name = Unit](const ExposedRun &A, const ExposedRun &B) {
          return std::pair(A.Task != Name, A.KnownAge) <
                 std::pair(B.Task != Name, B.KnownAge);
        });
    const CrashTrial *Trial = m_crashes.trialOf(Unit);
    bool WasTrial =
        Trial && Trial->HasStarted && Trial->Workers.count(Slot.Entry.Id);
    CrashRecord &Record = crashRecord(*Entry, Position);
    for (int Member : trialPositions(*Entry, Position))
      if (Entry->Tasks[static_cast<size_t>(Member)].Crash.Worker ==
          Slot.Entry.Id)
        clearExposure(*Entry, Member);
    size_t Suspects = std::count_if(Judged.begin(), Judged.end(),
                                    [Found = Evidence](const auto &Other) {
                                      return Other.second >= Found;
                                    });
    CountedCrash Crash{.Run = *Run,
                       .Evidence = Evidence,
                       .Suspects = Suspects,
                       .WasTrial = WasTrial,
                       .MayHaveHidden = Entry->MayHaveHiddenCrashes,
                       .Worker = Slot.Entry.Id};
    if (Doubt == CrashDoubt::MayHaveLapsed)
      CrashHistory::suspect(Record, Crash);
    else if (Doubt == CrashDoubt::MayBeCutOff)
      addUnconfirmed(Slot, *Entry, Crash);
    else if (CrashHistory::count(Record, Crash))
      GivenUp.push_back(Entry);
    markDirty(*Entry);
    if (Record.IsSuspect)
      m_suspects.insert(Unit);
    if (WasTrial)
      endTrial(Unit, "crashed");
  }
  return GivenUp;
}

// The job's task with the most crashes is the cause.
void JobShard::Impl::giveUp(JobEntry &Entry) {
  if (isFinal(Entry.State))
    return;
  int Worst = 0;
  int Crashes = 0;
  Entry.Tasks.forEach([&](int Position, const TaskState &State) {
    if (State.Crash.Crashes <= Crashes)
      return;
    Worst = Position;
    Crashes = State.Crash.Crashes;
  });
  TaskName Task = Entry.nameOf(Worst);
  ++m_counts.CrashJobsGivenUp;
  log("task_given_up", fmt::format("job={} step={} index={} crashes={}",
                                   Task.Job, Task.Step, Task.Index, Crashes));
  endJob(Entry, JobState::Failed,
         fmt::format("\"{} workers crashed under task {}.{}\"", Crashes,
                     Task.Step, Task.Index));
}

void JobShard::Impl::logCrash(const SilentWorker &Crashed, std::string_view Why,
                              const std::map<TaskName, CrashEvidence> &Judged,
                              bool IsLeaseOver, bool IsOfDomain) const {
  std::string Tasks;
  size_t Named = 0;
  for (CrashEvidence Evidence :
       {CrashEvidence::Proof, CrashEvidence::Strong, CrashEvidence::Weak})
    for (const auto &[Task, Found] : Judged) {
      if (Found != Evidence || Named == MaxLoggedTasks)
        continue;
      ++Named;
      Tasks += fmt::format("{}{}.{}.{}.{}:{}", Tasks.empty() ? "" : ",",
                           Task.Job, Task.Occurrence, Task.Step, Task.Index,
                           crashEvidenceName(Evidence));
    }
  log("worker_crashed",
      fmt::format("worker={} shard={} why={} runs={} suspects={} tasks={} "
                  "silent_ms={} lease_over={} domain_crash={}",
                  Crashed.Id, m_options.Shard, Why, Crashed.Runs.size(),
                  Judged.size(), Tasks.empty() ? "-" : Tasks,
                  (m_time.now() - Crashed.SilentAt) / milliseconds(1),
                  IsLeaseOver, IsOfDomain));
}

// An owner that is killed before the worker is back leaves this to the next.
void JobShard::Impl::storeExposures(WorkerSlot &Slot) {
  const std::string &Id = Slot.Entry.Id;
  auto HandedOver = m_handedOver.find(Id);
  if (HandedOver != m_handedOver.end()) {
    for (const TaskName &Task : HandedOver->second.Tasks)
      if (auto [Entry, Position] = findRunning(Task); Entry)
        setExposure(*Entry, Position, Id, HandedOver->second.Incarnation);
    HandedOver->second.Tasks.clear();
    if (HandedOver->second.Young.empty())
      m_handedOver.erase(HandedOver);
  }
  if (Slot.Entry.IsDraining || Slot.Incarnation.count() == 0)
    return;
  for (const auto &[Key, Run] : Slot.Runs) {
    auto [Entry, Position] = findRunning(Key.first);
    if (!Entry || Run.Phase == RunPhase::Reserved ||
        !ExposedRun{.KnownAge = Slot.knownAge(Run)}.isUnseen())
      continue;
    setExposure(*Entry, Position, Id, Slot.Incarnation);
  }
}

void JobShard::Impl::setExposure(JobEntry &Entry, int Position,
                                 const std::string &Worker,
                                 milliseconds Incarnation) {
  CrashRecord &Record = Entry.Tasks[static_cast<size_t>(Position)].Crash;
  m_exposed[Worker].insert(Entry.nameOf(Position));
  if (Record.Worker == Worker && Record.Incarnation == Incarnation)
    return;
  Record.Worker = Worker;
  Record.Incarnation = Incarnation;
  markDirty(Entry);
}

void JobShard::Impl::clearExposure(JobEntry &Entry, int Position) {
  CrashRecord &Record = Entry.Tasks[static_cast<size_t>(Position)].Crash;
  Record.Worker.clear();
  Record.Incarnation = milliseconds(0);
  markDirty(Entry);
}

// The crash of a failure domain counts against no task. The worker of a trial
// is named until the trial ends.
void JobShard::Impl::passOverCrash(
    const SilentWorker &Crashed,
    const std::map<TaskName, CrashEvidence> &Judged) {
  std::set<TaskName> Unseen;
  for (const ExposedRun &Run : Crashed.Runs) {
    auto [Entry, Position] = findRunning(Run.Task);
    bool MayBeCause = Entry && Run.isUnseen() && !Judged.count(Run.Task) &&
                      Unseen.insert(Run.Task).second;
    if (MayBeCause)
      ++crashRecord(*Entry, Position).DomainCrashes;
  }
  for (const TaskName &Task : m_exposed[Crashed.Id]) {
    auto [Entry, Position] = findRunning(Task);
    bool IsNamed = Entry &&
                   Entry->Tasks[static_cast<size_t>(Position)].Crash.Worker ==
                       Crashed.Id &&
                   !m_crashes.trialOf(crashUnit(*Entry, Position));
    if (IsNamed)
      clearExposure(*Entry, Position);
  }
}

// Runs that this owner knows were judged when it lost the incarnation.
void JobShard::Impl::resolveExposures(WorkerSlot &Slot,
                                      milliseconds Incarnation) {
  std::set<TaskName> Crashed = resolveHandedOver(Slot, Incarnation);
  const std::string &Id = Slot.Entry.Id;
  auto Exposed = m_exposed.find(Id);
  if (Exposed == m_exposed.end())
    return;
  std::set<TaskName> Tasks = std::move(Exposed->second);
  m_exposed.erase(Exposed);
  for (const TaskName &Task : Tasks) {
    auto [Entry, Position] = findRunning(Task);
    if (!Entry)
      continue;
    const CrashRecord &Record =
        Entry->Tasks[static_cast<size_t>(Position)].Crash;
    if (Record.Worker != Id)
      continue;
    // The worker of a trial is named until the trial ends.
    const CrashTrial *Trial = m_crashes.trialOf(crashUnit(*Entry, Position));
    if (Trial && Trial->Workers.count(Id)) {
      m_exposed[Id].insert(Task);
      continue;
    }
    bool HasCrashed = Record.Incarnation != Incarnation;
    if (!HasCrashed && isSuspect(*Entry, Position)) {
      resumeTrial(*Entry, Position, Id);
      continue;
    }
    clearExposure(*Entry, Position);
    if (HasCrashed && Crashed.insert(crashUnit(*Entry, Position)).second)
      countEarlierCrash(*Entry, Position, Id);
  }
}

std::set<TaskName> JobShard::Impl::resolveHandedOver(const WorkerSlot &Slot,
                                                     milliseconds Incarnation) {
  std::set<TaskName> Out;
  auto HandedOver = m_handedOver.find(Slot.Entry.Id);
  if (HandedOver == m_handedOver.end())
    return Out;
  bool HasCrashed = HandedOver->second.Incarnation != Incarnation;
  std::set<TaskName> Tasks = std::move(HandedOver->second.Tasks);
  std::map<TaskName, milliseconds> Young = std::move(HandedOver->second.Young);
  m_handedOver.erase(HandedOver);
  if (HasCrashed && !Slot.Entry.IsDraining)
    countYoungRuns(Young, Slot.Entry.Id);
  for (const TaskName &Task : Tasks) {
    auto [Entry, Position] = findRunning(Task);
    if (!Entry || !HasCrashed)
      continue;
    CrashRecord &Record = Entry->Tasks[static_cast<size_t>(Position)].Crash;
    if (Record.Worker == Slot.Entry.Id)
      clearExposure(*Entry, Position);
    if (Out.insert(crashUnit(*Entry, Position)).second)
      countEarlierCrash(*Entry, Position, Slot.Entry.Id);
  }
  return Out;
}

// A suspect starts as a trial only. Other workers may have crashed at the same
// time, so that the crash is no proof.
void JobShard::Impl::countYoungRuns(
    const std::map<TaskName, milliseconds> &Young, const std::string &Worker) {
  std::set<TaskName> Counted;
  for (const auto &[Task, MaxAge] : Young) {
    auto [Entry, Position] = findRunning(Task);
    if (!Entry)
      continue;
    TaskName Unit = crashUnit(*Entry, Position);
    if (!Counted.insert(Unit).second)
      continue;
    CrashRecord &Record = crashRecord(*Entry, Position);
    bool WasTrial = Record.IsSuspect;
    CountedCrash Crash{
        .Run = {.Task = Unit, .KnownAge = MaxAge, .MaxAge = MaxAge},
        .Evidence = WasTrial ? CrashEvidence::Strong : CrashEvidence::Weak,
        .Suspects = Young.size(),
        .WasTrial = WasTrial,
        .MayHaveHidden = Entry->MayHaveHiddenCrashes,
        .Worker = Worker};
    bool IsGivenUp = CrashHistory::count(Record, Crash);
    if (Record.IsSuspect)
      m_suspects.insert(Unit);
    markDirty(*Entry);
    ++m_counts.WorkerCrashes;
    log("worker_crashed",
        fmt::format("worker={} shard={} why=before_takeover runs=1 suspects={} "
                    "tasks={}.{}.{}.{}:{}",
                    Worker, m_options.Shard, Young.size(), Unit.Job,
                    Unit.Occurrence, Unit.Step, Unit.Index,
                    crashEvidenceName(Crash.Evidence)));
    if (IsGivenUp)
      giveUp(*Entry);
  }
}

void JobShard::Impl::countEarlierCrash(JobEntry &Entry, int Position,
                                       const std::string &Worker) {
  TaskName Unit = crashUnit(Entry, Position);
  bool IsGivenUp =
      CrashHistory::countUnseen(crashRecord(Entry, Position), Worker);
  m_suspects.insert(Unit);
  markDirty(Entry);
  ++m_counts.WorkerCrashes;
  log("worker_crashed",
      fmt::format("worker={} shard={} why=before_takeover runs=1 suspects=1 "
                  "tasks={}.{}.{}.{}:strong",
                  Worker, m_options.Shard, Unit.Job, Unit.Occurrence, Unit.Step,
                  Unit.Index));
  if (IsGivenUp)
    giveUp(Entry);
}

void JobShard::Impl::restoreCrashes(JobEntry &Entry) {
  Entry.Tasks.forEach([&](int Position, TaskState &Task) {
    CrashRecord &Record = Task.Crash;
    Record.HasTrace =
        Record.IsSuspect || Record.Crashes > 0 || !Record.Worker.empty();
    if (Record.IsSuspect)
      m_suspects.insert(Entry.nameOf(Position));
    if (!Record.Worker.empty())
      m_exposed[Record.Worker].insert(Entry.nameOf(Position));
  });
}

void JobShard::Impl::onStartSeen(WorkerSlot &Slot, ReservedRun &Run,
                                 milliseconds Clock) {
  if (Clock + MaxClockStepBack < Slot.AliveClock)
    return;
  Slot.setAlive(Clock, m_time.now());
  if (!Run.SeenAtClock)
    Run.SeenAtClock = Clock;
}

// All members of a gang must last.
void JobShard::Impl::onSuspectSeen(JobEntry &Entry, int Position) {
  if (!isSuspect(Entry, Position))
    return;
  milliseconds Needed = CrashHistory::trialTime(crashRecord(Entry, Position));
  for (int Member : trialPositions(Entry, Position)) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    auto Slot = m_slots.find(Task.Worker);
    if (Task.Phase != TaskPhase::Placed || Slot == m_slots.end())
      return;
    auto Run = Slot->second.Runs.find({Entry.nameOf(Member), Task.LastRun});
    bool HasLasted = Run != Slot->second.Runs.end() &&
                     Run->second.Phase == RunPhase::Running &&
                     Slot->second.MissedPolls == 0 &&
                     Slot->second.knownAge(Run->second) >= Needed;
    if (!HasLasted)
      return;
  }
  clearSuspicion(Entry, Position);
}

// A run that is stopped, or ends with another member of its gang, shows
// nothing.
void JobShard::Impl::onSuspectEnded(JobEntry &Entry, int Position,
                                    RunOutcome Outcome) {
  bool EndedByItself =
      Outcome == RunOutcome::Done || Outcome == RunOutcome::Failed;
  if (EndedByItself && !isFinal(Entry.State) && isSuspect(Entry, Position))
    clearSuspicion(Entry, Position);
}

void JobShard::Impl::clearSuspicion(JobEntry &Entry, int Position) {
  TaskName Unit = crashUnit(Entry, Position);
  for (int Member : trialPositions(Entry, Position))
    clearExposure(Entry, Member);
  CrashHistory::clear(crashRecord(Entry, Position));
  m_suspects.erase(Unit);
  if (m_crashes.trialOf(Unit)) {
    ++m_counts.CrashTrialsSurvived;
    endTrial(Unit, "survived");
  }
}

BASILCHUTE_NAMESPACE_END
