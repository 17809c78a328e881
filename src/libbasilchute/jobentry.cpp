#include "libbasilchute/jobentry.h"

#include "libbasilchute/jobestimate.h"
#include "libbasilchute/jobmemory.h"

#include <algorithm>
#include <numeric>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The run numbers of an owner begin above the job's age at its takeover, in
/// units of this time: owners that follow one another without storing anything
/// must not use the same numbers.
constexpr milliseconds RunNumberTime{100};
constexpr int64_t MaxLowestRunNumber = int64_t(1) << 30;
/// Upper bound on a wait as computed from wall clocks. A larger value is taken
/// to be a difference between the clocks of two hosts.
constexpr milliseconds MaxRestoredWait{600000};
/// A job of more tasks stores entries only for tasks that were changed.
constexpr size_t MaxListedTasks = 4096;
/// Where the stored numbers are higher, they advance by the age, up to this.
constexpr int MaxRunAdvance = 4096;

} // namespace

JobEntry::JobEntry(Job Spec, uint64_t Version, TimePoint SubmittedAt)
    : Spec(std::move(Spec)),
      HasLongRunningStep(this->Spec.hasLongRunningStep()), RowVersion(Version),
      ArrivedAt(SubmittedAt) {
  for (const JobStep &Step : this->Spec.Steps) {
    m_firstTaskOfStep.push_back(m_tasksPerOccurrence);
    m_tasksPerOccurrence += Step.Count;
  }
  int Occurrences = this->Spec.occurrences();
  m_tasksLeft = m_tasksPerOccurrence * Occurrences;
  Tasks.resize(static_cast<size_t>(m_tasksLeft));
  m_left = OccurrenceCounts(this->Spec);
  m_dueOccurrences = this->Spec.Repetitions > 0 ? 0 : 1;
  Fits.resize(this->Spec.Steps.size());
  TotalWork = m_left.remainingWork(1);
  m_fixedBytes = bytesOfSpec(this->Spec) + sizeof(JobEntry);
}

int JobEntry::lowestRunNumber(milliseconds WallTime) const {
  if (Spec.AcceptedAt.count() == 0)
    return 0;
  int64_t Age = (WallTime - Spec.AcceptedAt) / RunNumberTime;
  return static_cast<int>(std::clamp(Age, int64_t(0), MaxLowestRunNumber));
}

void JobEntry::restore(const JobProgress &Stored, int RunGap,
                       milliseconds WallTime) {
  int LowestRun = lowestRunNumber(WallTime);
  State = Stored.State;
  WasDelegated = Stored.WasDelegated;
  StoredState = Stored.State;
  int Advance = std::min(LowestRun, MaxRunAdvance);
  m_firstRun = std::max(Stored.HighestRun + Advance, LowestRun) + RunGap;
  Tasks.setFirstRun(m_firstRun);
  for (const TaskProgress &Progress : Stored.Tasks) {
    if (Progress.Position < 0 ||
        Progress.Position >= static_cast<int>(Tasks.size()))
      continue;
    TaskState &Task = Tasks[static_cast<size_t>(Progress.Position)];
    Task.StoredRun = Progress.Run;
    Task.LastRun = std::max(Progress.Run + Advance, LowestRun) + RunGap;
    Task.FailedRuns = {Progress.FailedRuns.begin(), Progress.FailedRuns.end()};
    Task.Checkpoint = Progress.Checkpoint;
    if (storesPlace(Progress.Position))
      Task.Place = Progress.Place;
    Task.Crash = Progress.Crash;
    m_hasStarted = m_hasStarted || Progress.Run > 0 || Progress.Done;
    if (Progress.Done)
      finish(Progress.Position);
  }
}

void JobEntry::skipRunNumbers(int RunGap, milliseconds WallTime) {
  m_firstRun = lowestRunNumber(WallTime) + RunGap;
  Tasks.setFirstRun(m_firstRun);
}

TaskProgress JobEntry::progressOf(int Position) const {
  const TaskState &Task = Tasks[static_cast<size_t>(Position)];
  bool IsDone = Task.Phase == TaskPhase::Done;
  return {.Position = Position,
          .Run = isUntried(Position) ? 0 : Task.LastRun,
          .FailedRuns = {Task.FailedRuns.begin(), Task.FailedRuns.end()},
          .Done = IsDone,
          .Checkpoint = Task.Checkpoint,
          .Place = IsDone ? std::nullopt : Task.Place,
          .Crash = Task.Crash,
          .WaitingSince = storedWait(Position)};
}

// The row of a large job has one run number for all tasks without an entry.
JobProgress JobEntry::progress() const {
  JobProgress Out{.State = State, .WasDelegated = WasDelegated};
  bool IsLarge = Tasks.size() > MaxListedTasks;
  if (IsLarge)
    Out.HighestRun = std::max(m_firstRun, Tasks.highestDoneRun());
  for (size_t Position = 0; Position < Tasks.size(); ++Position) {
    if (IsLarge && Tasks.isUntouched(Position))
      continue;
    if (IsLarge && Tasks.isCompact(Position)) {
      Out.DoneTasks.resize(Position + 1);
      Out.DoneTasks[Position] = true;
      continue;
    }
    const TaskState &Task = Tasks[Position];
    if (Task.LastRun != 0 || Task.Place)
      Out.Tasks.push_back(progressOf(static_cast<int>(Position)));
  }
  return Out;
}

milliseconds JobEntry::storedWait(int Position) const {
  const TaskState &Task = Tasks[static_cast<size_t>(Position)];
  bool IsStored = Task.Phase == TaskPhase::Waiting && Task.Place == "" &&
                  isRestart(Position) && Task.WaitingSince != TimePoint{} &&
                  WallOffset;
  if (!IsStored)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(
      Task.WaitingSince.time_since_epoch() + *WallOffset);
}

// The waits of suspects begin anew: each owner looks for harmless workers and
// for other ones than those that crashed for some time of its own.
void JobEntry::restoreWait(const TaskProgress &Stored, TimePoint Now,
                           milliseconds WallTime) {
  bool IsKnown = Stored.Position >= 0 &&
                 Stored.Position < static_cast<int>(Tasks.size()) &&
                 !Stored.Done && !Stored.Crash.IsSuspect;
  if (!IsKnown)
    return;
  TaskState &Task = Tasks[static_cast<size_t>(Stored.Position)];
  Task.HereSince = Now;
  milliseconds Waited = Stored.Waited;
  if (Waited.count() == 0 && Stored.WaitingSince.count() > 0)
    Waited = std::clamp(WallTime - Stored.WaitingSince, milliseconds(0),
                        MaxRestoredWait);
  if (Waited.count() > 0)
    Task.WaitingSince = Now - Waited;
}

bool JobEntry::hasWaitedHere(int Position, milliseconds Wait,
                             TimePoint Now) const {
  const TaskState &Task = Tasks[static_cast<size_t>(Position)];
  return Now > std::max(Task.WaitingSince, Task.HereSince) + Wait;
}

// A job that has not started is read without its progress in the other shard,
// also by hosts of earlier versions, which store no place before its first
// starts. So its row must not say that there are no runs.
JobProgress JobEntry::progressWithoutRuns(TimePoint Now) const {
  if (!m_hasStarted)
    return {.State = State};
  JobProgress Out = progress();
  for (TaskProgress &Task : Out.Tasks) {
    if (!storesPlace(Task.Position) || Task.Done)
      continue;
    Task.Place = "";
    TimePoint Since = Tasks[static_cast<size_t>(Task.Position)].WaitingSince;
    if (Since != TimePoint{})
      Task.Waited = std::chrono::duration_cast<milliseconds>(Now - Since);
  }
  return Out;
}

bool JobEntry::isUntried(int Position) const {
  const TaskState &Task = Tasks[static_cast<size_t>(Position)];
  return Task.Place == "" && Task.LastRun == m_firstRun &&
         Task.StoredRun == 0 && Task.FailedRuns.empty() &&
         Task.Phase == TaskPhase::Waiting;
}

int JobEntry::positionOf(const TaskName &Name) const {
  bool IsKnown = Name.Occurrence >= 0 && Name.Occurrence < Spec.occurrences() &&
                 Name.Step >= 0 &&
                 Name.Step < static_cast<int>(Spec.Steps.size()) &&
                 Name.Index >= 0 &&
                 Name.Index < Spec.Steps[static_cast<size_t>(Name.Step)].Count;
  if (!IsKnown)
    return -1;
  return Name.Occurrence * m_tasksPerOccurrence +
         m_firstTaskOfStep[static_cast<size_t>(Name.Step)] + Name.Index;
}

TaskName JobEntry::nameOf(int Position) const {
  int Step = stepIndex(Position);
  return {.Job = Spec.Id,
          .Occurrence = occurrenceOf(Position),
          .Step = Step,
          .Index = Position % m_tasksPerOccurrence -
                   m_firstTaskOfStep[static_cast<size_t>(Step)]};
}

int JobEntry::stepIndex(int Position) const {
  auto Next =
      std::upper_bound(m_firstTaskOfStep.begin(), m_firstTaskOfStep.end(),
                       Position % m_tasksPerOccurrence);
  return static_cast<int>(Next - m_firstTaskOfStep.begin()) - 1;
}

StepName JobEntry::stepName(int Position) const {
  TaskName Name = nameOf(Position);
  return {.Job = Name.Job, .Occurrence = Name.Occurrence, .Step = Name.Step};
}

RunTimeKey JobEntry::runTimeKey(int Position) const {
  return {Spec.Queue, stepOf(Position).Image, nameOf(Position).Step};
}

const JobStep &JobEntry::stepOf(int Position) const {
  return Spec.Steps[static_cast<size_t>(stepIndex(Position))];
}

bool JobEntry::isReady(int Occurrence, int Step) const {
  const std::vector<int> &After =
      Spec.Steps[static_cast<size_t>(Step)].Predecessors;
  return std::all_of(After.begin(), After.end(), [&](int Earlier) {
    return !Spec.Steps[static_cast<size_t>(Earlier)].LongRunning &&
           m_left.left(Occurrence, Earlier) == 0;
  });
}

bool JobEntry::isReady(int Position) const {
  return isReady(occurrenceOf(Position), stepIndex(Position));
}

bool JobEntry::addWaiting(int Occurrence, int Step, size_t Limit,
                          std::vector<int> &Out) const {
  auto Index = static_cast<size_t>(Step);
  int First = Occurrence * m_tasksPerOccurrence + m_firstTaskOfStep[Index];
  int End = First + Spec.Steps[Index].Count;
  for (int Position = First; Position < End; ++Position) {
    if (Tasks.isCompact(static_cast<size_t>(Position)) ||
        Tasks[static_cast<size_t>(Position)].Phase != TaskPhase::Waiting)
      continue;
    if (Out.size() == Limit)
      return false;
    Out.push_back(Position);
  }
  return true;
}

ReadyTasks JobEntry::readyTasks(milliseconds WallTime, size_t Limit) {
  ReadyTasks Out;
  int Steps = static_cast<int>(Spec.Steps.size());
  int Occurrence = m_left.first();
  for (; Occurrence < Spec.occurrences(); ++Occurrence) {
    milliseconds Due = dueAt(Occurrence * m_tasksPerOccurrence);
    if (Due > WallTime) {
      Out.NextDue = Due;
      break;
    }
    for (int Step = 0; Step < Steps && !Out.HasMore; ++Step)
      Out.HasMore = m_left.left(Occurrence, Step) > 0 &&
                    isReady(Occurrence, Step) &&
                    !addWaiting(Occurrence, Step, Limit, Out.Positions);
    if (Out.HasMore)
      break;
  }
  m_dueOccurrences =
      std::max(m_dueOccurrences, Out.HasMore ? Occurrence + 1 : Occurrence);
  return Out;
}

int JobEntry::tasksLeftBeside(int Position) const {
  return m_left.left(occurrenceOf(Position), stepIndex(Position));
}

size_t JobEntry::bytes() const {
  return m_fixedBytes + Tasks.bytes() + m_left.bytes();
}

int JobEntry::crashPosition(int Position) const {
  if (!stepOf(Position).Gang)
    return Position;
  return Position - Position % m_tasksPerOccurrence +
         m_firstTaskOfStep[static_cast<size_t>(stepIndex(Position))];
}

std::vector<int> JobEntry::groupPositions(int Position) const {
  int First = Position - Position % m_tasksPerOccurrence +
              m_firstTaskOfStep[static_cast<size_t>(stepIndex(Position))];
  std::vector<int> Out(static_cast<size_t>(stepOf(Position).Count));
  std::iota(Out.begin(), Out.end(), First);
  return Out;
}

milliseconds JobEntry::dueAt(int Position) const {
  if (Spec.Repetitions == 0)
    return milliseconds(0);
  return Spec.FirstRun + Spec.Interval * (Position / m_tasksPerOccurrence);
}

bool JobEntry::hasPlaced() const {
  bool Out = false;
  Tasks.forEach([&Out](int, const TaskState &Task) {
    Out = Out || Task.Phase == TaskPhase::Placed;
  });
  return Out;
}

milliseconds JobEntry::criticalPath() const {
  return basilchute::criticalPath(Spec.Steps);
}

milliseconds JobEntry::remainingCriticalPath() const {
  return basilchute::criticalPath(Spec.Steps, [this](size_t Step) {
    return m_left.left(0, static_cast<int>(Step)) > 0;
  });
}

double JobEntry::remainingWork() const {
  return m_left.remainingWork(m_dueOccurrences);
}

bool JobEntry::storesPlace(int Position) const {
  const JobStep &Step = stepOf(Position);
  return Step.LongRunning && !Step.Gang;
}

// A commit in flight does not contain a place that is chosen after it was sent.
void JobEntry::place(int Position, const std::string &Worker) {
  dropPlace(Position);
  Tasks[static_cast<size_t>(Position)].Place = Worker;
  m_unstoredPlaces.insert(Position);
}

void JobEntry::clearPlace(int Position) {
  dropPlace(Position);
  Tasks[static_cast<size_t>(Position)].Place = "";
}

void JobEntry::dropPlace(int Position) {
  m_unstoredPlaces.erase(Position);
  m_placesInCommit.erase(Position);
}

std::set<int> JobEntry::onCommitEnded(bool IsStored) {
  std::set<int> Out;
  if (!IsStored)
    AddedTaskRows.insert(AddedTaskRows.end(), AddedTaskRowsInCommit.begin(),
                         AddedTaskRowsInCommit.end());
  AddedTaskRowsInCommit.clear();
  if (IsStored) {
    Out.swap(m_placesInCommit);
    m_storedCommit = m_commitsSent;
  }
  m_unstoredPlaces.merge(m_placesInCommit);
  m_placesInCommit.clear();
  return Out;
}

void JobEntry::finish(int Position) {
  auto Index = static_cast<size_t>(Position);
  if (std::as_const(Tasks)[Index].Phase == TaskPhase::Done)
    return;
  Tasks[Index].Phase = TaskPhase::Done;
  m_left.add(occurrenceOf(Position), stepIndex(Position), -1);
  --m_tasksLeft;
  // Tasks that are read from a row, or that another shard runs, are finished in
  // the order of their positions.
  if (Index % TaskPages::PageSize == TaskPages::PageSize - 1)
    Tasks.compact(Index);
}

bool JobEntry::allDone() const {
  return m_tasksLeft == 0 && !HasLongRunningStep;
}

bool JobEntry::addFailedRun(int Position, int Run) {
  std::set<int> &Runs = Tasks[static_cast<size_t>(Position)].FailedRuns;
  bool IsNew = Runs.insert(Run).second;
  if (stepOf(Position).LongRunning && Runs.size() > MaxFailedRuns)
    Runs.erase(Runs.begin());
  return IsNew;
}

void JobEntry::reopen(const TaskProgress &Progress, TimePoint Now) {
  TaskState &Task = Tasks[static_cast<size_t>(Progress.Position)];
  if (Task.Phase == TaskPhase::Done) {
    m_left.add(occurrenceOf(Progress.Position), stepIndex(Progress.Position),
               1);
    ++m_tasksLeft;
  }
  Task.Phase = TaskPhase::Waiting;
  Task.LastRun = std::max(Task.LastRun, Progress.Run);
  Task.StoredRun = std::max(Progress.Run, 1);
  Task.FailedRuns.insert(Progress.FailedRuns.begin(),
                         Progress.FailedRuns.end());
  Task.Checkpoint = Progress.Checkpoint;
  Task.Worker.clear();
  Task.Place = "";
  Task.Crash = Progress.Crash;
  Task.WaitingSince = Now - Progress.Waited;
  Task.HereSince = Now;
}

void JobEntry::finishAllBut(const std::vector<int> &Positions) {
  std::set<int> Kept(Positions.begin(), Positions.end());
  for (int Position = 0; Position < static_cast<int>(Tasks.size()); ++Position)
    if (!Kept.count(Position))
      finish(Position);
}

bool JobEntry::isRestart(int Position) const {
  const TaskState &Task = Tasks[static_cast<size_t>(Position)];
  return stepOf(Position).LongRunning &&
         (HomeShard || Task.StoredRun > 0 || !Task.Worker.empty());
}

std::pair<bool, TimePoint> JobEntry::delegationRank(int Position) const {
  return {!isRestart(Position),
          Tasks[static_cast<size_t>(Position)].WaitingSince};
}

bool JobEntry::hasDelegated() const {
  if (HomeShard || !HasLongRunningStep)
    return false;
  for (int Position = 0; Position < static_cast<int>(Tasks.size()); ++Position)
    if (stepOf(Position).LongRunning &&
        Tasks[static_cast<size_t>(Position)].Phase == TaskPhase::Done)
      return true;
  return false;
}

BASILCHUTE_NAMESPACE_END
