#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time for which a suspect waits for a worker without long-running tasks.
constexpr milliseconds MaxWaitForHarmless{2000};
/// Another worker is chosen if a trial could not start within this time, in
/// which all runs beside it have ended or are no longer young.
constexpr milliseconds MaxTrialDelay{4500};
/// A suspect that has waited for this long comes before others. A long-running
/// task must run again within 9 s of its worker's crash, which is found after
/// about 3 s.
constexpr milliseconds MaxTrialWait{2500};
constexpr milliseconds MaxLongRunningTrialWait{1000};
/// A long-running suspect that no worker was chosen for within this time starts
/// without a trial, unless CrashHistory::mayRelease() forbids it.
constexpr milliseconds MaxSuspectWait{2200};
/// Time for which a suspect waits for a worker that has not crashed under it.
constexpr milliseconds MaxWaitForOther{3000};
/// Room is reserved for a suspect that has waited for this long.
constexpr milliseconds ReserveTrialRoomAfter{800};

} // namespace

std::vector<int> JobShard::Impl::trialPositions(const JobEntry &Entry,
                                                int Position) {
  return Entry.stepOf(Position).Gang ? Entry.groupPositions(Position)
                                     : std::vector<int>{Position};
}

void JobShard::Impl::placeTrials(std::vector<PlacementCandidate> &Candidates) {
  if (m_suspects.empty())
    return;
  updateTrials(Candidates);
  std::set<std::string> Silent = silentWorkers();
  for (const TaskName &Unit : suspectsInOrder()) {
    auto [Entry, Position] = findRunning(Unit);
    if (Entry && canRelease(*Entry, Position)) {
      release(*Entry, Position);
      continue;
    }
    if (Entry && canTry(*Entry, Position) &&
        m_crashes.mayBegin(crashRecord(*Entry, Position), m_slots.size(),
                           Silent, hasWaitedForTrial(*Entry, Position)))
      beginTrial(Candidates, *Entry, Position);
  }
  std::erase_if(Candidates, [&](const PlacementCandidate &Candidate) {
    return m_crashes.isTrialWorker(Candidate.Slot->Entry.Id);
  });
}

// Among many suspects most are innocent. A task that does crash its worker is
// a suspect again then, and is not released any more.
bool JobShard::Impl::canRelease(JobEntry &Entry, int Position) {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  return Entry.stepOf(Position).LongRunning && !Entry.stepOf(Position).Gang &&
         m_time.now() > Task.WaitingSince + MaxSuspectWait &&
         CrashHistory::mayRelease(Task.Crash) &&
         unconfirmedCrashes(Entry.nameOf(Position)) == 0 &&
         canTry(Entry, Position);
}

void JobShard::Impl::release(JobEntry &Entry, int Position) {
  const TaskState &Task = Entry.Tasks[static_cast<size_t>(Position)];
  TaskName Unit = Entry.nameOf(Position);
  log("suspect_released",
      fmt::format("job={} step={} index={} crashes={} waited_ms={}", Unit.Job,
                  Unit.Step, Unit.Index, Task.Crash.Crashes,
                  (m_time.now() - Task.WaitingSince) / milliseconds(1)));
  clearSuspicion(Entry, Position);
}

bool JobShard::Impl::hasWaitedForTrial(const JobEntry &Entry,
                                       int Position) const {
  milliseconds MaxWait = Entry.stepOf(Position).LongRunning
                             ? MaxLongRunningTrialWait
                             : MaxTrialWait;
  return m_time.now() >
         Entry.Tasks[static_cast<size_t>(Position)].WaitingSince + MaxWait;
}

// Those with the fewest crashes, which are most likely innocent, come first.
std::vector<TaskName> JobShard::Impl::suspectsInOrder() {
  std::vector<std::tuple<bool, int, bool, TimePoint, TaskName>> Ranked;
  for (auto It = m_suspects.begin(); It != m_suspects.end();) {
    auto [Entry, Position] = findRunning(*It);
    if (!Entry) {
      It = m_suspects.erase(It);
      continue;
    }
    const TaskState &Task = Entry->Tasks[static_cast<size_t>(Position)];
    bool HasWaited = hasWaitedForTrial(*Entry, Position);
    Ranked.emplace_back(!HasWaited, HasWaited ? 0 : Task.Crash.Crashes,
                        !Entry->stepOf(Position).LongRunning, Task.WaitingSince,
                        *It);
    ++It;
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<TaskName> Out;
  for (auto &[IsRecent, Crashes, IsShort, Since, Unit] : Ranked)
    Out.push_back(std::move(Unit));
  return Out;
}

bool JobShard::Impl::canTry(JobEntry &Entry, int Position) {
  auto Waiting = m_waiting.find(Entry.Spec.Id);
  if (Waiting == m_waiting.end() || Entry.IsTransferring || !canStart(Entry) ||
      m_crashes.trialOf(crashUnit(Entry, Position)) ||
      mayHavePreviousRun(Entry, Position) ||
      CrashHistory::mustWait(crashRecord(Entry, Position),
                             unconfirmedCrashes(crashUnit(Entry, Position))))
    return false;
  milliseconds WallTime =
      m_options.WallTime ? m_options.WallTime() : milliseconds(0);
  std::vector<int> Members = trialPositions(Entry, Position);
  return std::all_of(Members.begin(), Members.end(), [&](int Member) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    return Task.Phase == TaskPhase::Waiting && Waiting->second.count(Member) &&
           Task.EarliestStart <= m_time.now() &&
           Entry.dueAt(Member) <= WallTime && !hasRunsOf(Entry.nameOf(Member));
  });
}

TrialHarm JobShard::Impl::harmOf(const WorkerSlot &Slot) {
  TrialHarm Out{.IsUnsteady =
                    m_crashes.isUnsteady(Slot.Entry.Id, m_time.now())};
  for (const auto &[Key, Run] : Slot.Runs) {
    auto [Entry, Position] = findRunning(Key.first);
    ExposedRun Exposed{.KnownAge = Slot.knownAge(Run),
                       .Crashes =
                           Entry ? crashRecord(*Entry, Position).Crashes : 0};
    Out.LongRunningTasks += Run.LongRunning ? 1 : 0;
    Out.UnseenRuns += Exposed.isUnseen() ? 1 : 0;
    Out.YoungRuns += Exposed.isYoung() ? 1 : 0;
    Out.Work += std::chrono::duration<double>(m_time.now() - Run.ObservedSince)
                    .count() *
                static_cast<double>(Run.Reserved.Millicores);
  }
  return Out;
}

PlacementCandidate *
JobShard::Impl::leastHarmful(std::vector<PlacementCandidate> &Candidates,
                             JobEntry &Entry, int Position,
                             const std::set<std::string> &GangWorkers) {
  PlacementCandidate *Best = nullptr;
  const std::set<std::string> &Crashed =
      crashRecord(Entry, Position).CrashedWorkers;
  bool WaitsForOther =
      m_time.now() <
      Entry.Tasks[static_cast<size_t>(Position)].WaitingSince + MaxWaitForOther;
  std::pair<bool, TrialHarm> Least;
  for (PlacementCandidate &Candidate : Candidates) {
    const std::string &Id = Candidate.Slot->Entry.Id;
    // A gang may need several members on one worker.
    bool IsTaken = m_crashes.isTrialWorker(Id) && !GangWorkers.count(Id);
    if (IsTaken || !isAllowed(Candidate, Entry, Position))
      continue;
    bool HasCrashed = Crashed.count(Id) > 0;
    if (HasCrashed && WaitsForOther)
      continue;
    std::pair<bool, TrialHarm> Harm{HasCrashed, harmOf(*Candidate.Slot)};
    if (Best && Harm >= Least)
      continue;
    Best = &Candidate;
    Least = Harm;
  }
  return Best;
}

// Chooses the workers and stores them. Nothing else starts on them from now on.
bool JobShard::Impl::beginTrial(std::vector<PlacementCandidate> &Candidates,
                                JobEntry &Entry, int Position) {
  TimePoint Now = m_time.now();
  std::vector<PlacementCandidate> Chosen = Candidates;
  std::set<std::string> Workers;
  PendingTrial Pending;
  std::vector<int> Members = trialPositions(Entry, Position);
  for (int Member : Members) {
    PlacementCandidate *Best = leastHarmful(Chosen, Entry, Member, Workers);
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    if (!Best) {
      if (needsApproval(Entry))
        requestApproval(Candidates, Entry, Member, Members.size());
      else if (Now > Task.WaitingSince + ReserveTrialRoomAfter)
        keepRoom(Candidates, Entry, Member);
      return false;
    }
    if (harmOf(*Best->Slot).LongRunningTasks > 0 &&
        Now < Task.WaitingSince + MaxWaitForHarmless)
      return false;
    reserveFor(*Best, Entry, Member);
    Workers.insert(Best->Slot->Entry.Id);
    Pending.Places.push_back({.Position = Member,
                              .Worker = Best->Slot->Entry.Id,
                              .Incarnation = Best->Slot->Incarnation});
  }
  for (const TrialPlace &Place : Pending.Places)
    setExposure(Entry, Place.Position, Place.Worker, Place.Incarnation);
  markDirty(Entry);
  Pending.Commit = Entry.nextCommit();
  TaskName Unit = crashUnit(Entry, Position);
  m_crashes.begin(Unit, std::move(Workers), crashRecord(Entry, Position).Weight,
                  Now);
  m_pendingTrials[Unit] = std::move(Pending);
  return true;
}

// Only a trial can have started the task of a suspect. If the worker does not
// run it, the trial ends undecided.
void JobShard::Impl::resumeTrial(JobEntry &Entry, int Position,
                                 const std::string &Worker) {
  TaskName Unit = crashUnit(Entry, Position);
  m_exposed[Worker].insert(Entry.nameOf(Position));
  if (m_crashes.trialOf(Unit)) {
    m_crashes.addWorker(Unit, Worker);
    return;
  }
  m_crashes.begin(Unit, {Worker}, crashRecord(Entry, Position).Weight,
                  m_time.now());
  m_crashes.setStarted(Unit);
  log("trial_resumed",
      fmt::format("job={} step={} index={} worker={} crashes={}", Unit.Job,
                  Unit.Step, Unit.Index, Worker,
                  crashRecord(Entry, Position).Crashes));
}

void JobShard::Impl::updateTrials(std::vector<PlacementCandidate> &Candidates) {
  std::map<TaskName, CrashTrial> Trials = m_crashes.trials();
  for (const auto &[Unit, Trial] : Trials) {
    auto [Entry, Position] = findRunning(Unit);
    if (!Entry) {
      endTrial(Unit, "job_ended");
      continue;
    }
    if (Trial.HasStarted) {
      if (!hasTrialRuns(*Entry, Position)) {
        clearTrialExposures(*Entry, Position);
        endTrial(Unit, "undecided");
      } else if (Entry->stepOf(Position).Gang)
        for (int Member : Entry->groupPositions(Position))
          if (Entry->Tasks[static_cast<size_t>(Member)].Phase ==
              TaskPhase::Waiting)
            restartRefusedMember(Candidates, *Entry, Member);
      continue;
    }
    const PendingTrial Pending = m_pendingTrials.at(Unit);
    if (m_time.now() > Trial.Since + MaxTrialDelay || isEvacuated(Pending)) {
      clearTrialExposures(*Entry, Position);
      endTrial(Unit, "not_started");
      continue;
    }
    if (Entry->isStored(Pending.Commit) && !Entry->IsTransferring)
      startTrial(Candidates, *Entry, Position, Pending);
  }
}

bool JobShard::Impl::isEvacuated(const PendingTrial &Pending) const {
  return std::any_of(Pending.Places.begin(), Pending.Places.end(),
                     [&](const TrialPlace &Place) {
                       auto Slot = m_slots.find(Place.Worker);
                       return Slot != m_slots.end() &&
                              Slot->second.Entry.IsEvacuated;
                     });
}

std::vector<PlacementCandidate *>
JobShard::Impl::readyPlaces(std::vector<PlacementCandidate> &Candidates,
                            JobEntry &Entry, const PendingTrial &Pending) {
  bool NeedsProof = CrashHistory::needsProof(
      crashRecord(Entry, Pending.Places.front().Position),
      Entry.MayHaveHiddenCrashes);
  std::vector<PlacementCandidate *> Out;
  for (const TrialPlace &Place : Pending.Places) {
    auto Found = std::find_if(Candidates.begin(), Candidates.end(),
                              [&](const PlacementCandidate &Candidate) {
                                return Candidate.Slot->Entry.Id == Place.Worker;
                              });
    TrialHarm Harm =
        Found == Candidates.end() ? TrialHarm{} : harmOf(*Found->Slot);
    bool IsReady = Found != Candidates.end() &&
                   Found->Slot->Incarnation == Place.Incarnation &&
                   Harm.UnseenRuns == 0 &&
                   (!NeedsProof || Harm.YoungRuns == 0) &&
                   Entry.Tasks[static_cast<size_t>(Place.Position)].Phase ==
                       TaskPhase::Waiting &&
                   isAllowed(*Found, Entry, Place.Position);
    if (!IsReady)
      return {};
    Out.push_back(&*Found);
  }
  return Out;
}

void JobShard::Impl::startTrial(std::vector<PlacementCandidate> &Candidates,
                                JobEntry &Entry, int Position,
                                const PendingTrial &Pending) {
  std::vector<PlacementCandidate *> Ready =
      readyPlaces(Candidates, Entry, Pending);
  if (Ready.empty() || !m_startWindow.isOpen())
    return;
  TaskName Unit = crashUnit(Entry, Position);
  int Run = 0;
  std::string Checkpoint;
  for (const TrialPlace &Place : Pending.Places) {
    const TaskState &Task = Entry.Tasks[static_cast<size_t>(Place.Position)];
    Run = std::max(Run, Task.LastRun);
    if (!Task.Checkpoint.empty())
      Checkpoint = Task.Checkpoint;
  }
  log("trial_begins",
      fmt::format("job={} step={} index={} tasks={} worker={} crashes={} "
                  "long_running_beside={}",
                  Unit.Job, Unit.Step, Unit.Index, Pending.Places.size(),
                  Pending.Places.front().Worker,
                  crashRecord(Entry, Position).Crashes,
                  harmOf(*Ready.front()->Slot).LongRunningTasks));
  ++m_counts.CrashTrials;
  m_crashes.setStarted(Unit);
  for (size_t Index = 0; Index < Ready.size(); ++Index) {
    int Member = Pending.Places[Index].Position;
    TaskState &Task = Entry.Tasks[static_cast<size_t>(Member)];
    Task.LastRun = Run;
    Task.Checkpoint = Checkpoint;
    reserveFor(*Ready[Index], Entry, Member);
    start(*Ready[Index]->Slot, Entry, Member);
  }
  m_pendingTrials.erase(Unit);
}

void JobShard::Impl::endTrial(const TaskName &Unit, std::string_view How) {
  const CrashTrial *Trial = m_crashes.trialOf(Unit);
  if (!Trial)
    return;
  if (Trial->HasStarted)
    log("trial_ends",
        fmt::format("job={} step={} index={} how={} took_ms={}", Unit.Job,
                    Unit.Step, Unit.Index, How,
                    (m_time.now() - Trial->Since) / milliseconds(1)));
  m_crashes.end(Unit);
  m_pendingTrials.erase(Unit);
}

void JobShard::Impl::endTrialsOf(const std::string &Job) {
  if (!m_crashes.isTried(Job))
    return;
  std::map<TaskName, CrashTrial> Trials = m_crashes.trials();
  for (const auto &[Unit, Trial] : Trials)
    if (Unit.Job == Job)
      endTrial(Unit, "job_ended");
}

// A silent worker may yet turn out to have crashed.
void JobShard::Impl::clearTrialExposures(JobEntry &Entry, int Position) {
  for (int Member : trialPositions(Entry, Position)) {
    const CrashRecord &Record = Entry.Tasks[static_cast<size_t>(Member)].Crash;
    auto Slot = m_slots.find(Record.Worker);
    if (Slot != m_slots.end() && Slot->second.MissedPolls == 0)
      clearExposure(Entry, Member);
  }
}

bool JobShard::Impl::hasTrialRuns(const JobEntry &Entry, int Position) const {
  std::vector<int> Members = trialPositions(Entry, Position);
  return std::any_of(Members.begin(), Members.end(), [&](int Member) {
    return hasRunsOf(Entry.nameOf(Member));
  });
}

std::set<std::string> JobShard::Impl::silentWorkers() const {
  std::set<std::string> Out;
  for (const auto &[Id, Slot] : m_slots)
    if (Slot.MissedPolls > 0)
      Out.insert(Id);
  return Out;
}

BASILCHUTE_NAMESPACE_END
