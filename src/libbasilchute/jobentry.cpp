#include "libbasilchute/jobentry.h"

#include "libbasilchute/jobestimate.h"

#include <algorithm>
#include <numeric>

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
/// Where the stored numbers are higher, they advance by the age, up to this.
constexpr int MaxRunAdvance = 4096;

} // namespace

JobEntry::JobEntry(Job Spec, uint64_t Version, TimePoint SubmittedAt)
    : Spec(std::move(Spec)),
      HasLongRunningStep(this->Spec.hasLongRunningStep()), RowVersion(Version),
      ArrivedAt(SubmittedAt) {
  for (size_t Step = 0; Step < this->Spec.Steps.size(); ++Step) {
    m_firstTaskOfStep.push_back(m_tasksPerOccurrence);
    int Count = this->Spec.Steps[Step].Count;
    m_stepOfTask.insert(m_stepOfTask.end(), static_cast<size_t>(Count),
                        static_cast<int>(Step));
    m_tasksPerOccurrence += Count;
  }
  int Occurrences = this->Spec.occurrences();
  m_tasksLeft = m_tasksPerOccurrence * Occurrences;
  Tasks.resize(static_cast<size_t>(m_tasksLeft));
  for (int Occurrence = 0; Occurrence < Occurrences; ++Occurrence)
    for (const JobStep &Step : this->Spec.Steps)
      m_tasksLeftInGroup.push_back(Step.Count);
  TotalWork = remainingWork();
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
  for (TaskState &Task : Tasks)
    Task.LastRun = m_firstRun;
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
  for (TaskState &Task : Tasks)
    Task.LastRun = m_firstRun;
}

JobProgress JobEntry::progress() const {
  JobProgress Out{.State = State, .WasDelegated = WasDelegated};
  for (size_t Position = 0; Position < Tasks.size(); ++Position) {
    const TaskState &Task = Tasks[Position];
    bool IsDone = Task.Phase == TaskPhase::Done;
    if (Task.LastRun == 0 && !Task.Place)
      continue;
    Out.Tasks.push_back(
        {.Position = static_cast<int>(Position),
         .Run = isUntried(static_cast<int>(Position)) ? 0 : Task.LastRun,
         .FailedRuns = {Task.FailedRuns.begin(), Task.FailedRuns.end()},
         .Done = IsDone,
         .Checkpoint = Task.Checkpoint,
         .Place = IsDone ? std::nullopt : Task.Place,
         .Crash = Task.Crash,
         .WaitingSince = storedWait(static_cast<int>(Position))});
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
  int Within = Position % m_tasksPerOccurrence;
  int Step = m_stepOfTask[static_cast<size_t>(Within)];
  return {.Job = Spec.Id,
          .Occurrence = Position / m_tasksPerOccurrence,
          .Step = Step,
          .Index = Within - m_firstTaskOfStep[static_cast<size_t>(Step)]};
}

StepName JobEntry::stepName(int Position) const {
  TaskName Name = nameOf(Position);
  return {.Job = Name.Job, .Occurrence = Name.Occurrence, .Step = Name.Step};
}

RunTimeKey JobEntry::runTimeKey(int Position) const {
  return {Spec.Queue, stepOf(Position).Image, nameOf(Position).Step};
}

const JobStep &JobEntry::stepOf(int Position) const {
  int Step = m_stepOfTask[static_cast<size_t>(Position % m_tasksPerOccurrence)];
  return Spec.Steps[static_cast<size_t>(Step)];
}

size_t JobEntry::groupIndex(int Position) const {
  int Step = m_stepOfTask[static_cast<size_t>(Position % m_tasksPerOccurrence)];
  return static_cast<size_t>(Position / m_tasksPerOccurrence) *
             Spec.Steps.size() +
         static_cast<size_t>(Step);
}

bool JobEntry::isReady(int Position) const {
  size_t First =
      static_cast<size_t>(Position / m_tasksPerOccurrence) * Spec.Steps.size();
  const std::vector<int> &After = stepOf(Position).Predecessors;
  return std::all_of(After.begin(), After.end(), [&](int Step) {
    return !Spec.Steps[static_cast<size_t>(Step)].LongRunning &&
           m_tasksLeftInGroup[First + static_cast<size_t>(Step)] == 0;
  });
}

int JobEntry::crashPosition(int Position) const {
  int Within = Position % m_tasksPerOccurrence;
  int Step = m_stepOfTask[static_cast<size_t>(Within)];
  if (!Spec.Steps[static_cast<size_t>(Step)].Gang)
    return Position;
  return Position - Within + m_firstTaskOfStep[static_cast<size_t>(Step)];
}

std::vector<int> JobEntry::groupPositions(int Position) const {
  int Within = Position % m_tasksPerOccurrence;
  int Step = m_stepOfTask[static_cast<size_t>(Within)];
  int First = Position - Within + m_firstTaskOfStep[static_cast<size_t>(Step)];
  std::vector<int> Out(
      static_cast<size_t>(Spec.Steps[static_cast<size_t>(Step)].Count));
  std::iota(Out.begin(), Out.end(), First);
  return Out;
}

milliseconds JobEntry::dueAt(int Position) const {
  if (Spec.Repetitions == 0)
    return milliseconds(0);
  return Spec.FirstRun + Spec.Interval * (Position / m_tasksPerOccurrence);
}

bool JobEntry::hasPlaced() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const TaskState &Task) {
    return Task.Phase == TaskPhase::Placed;
  });
}

milliseconds JobEntry::criticalPath() const {
  return basilchute::criticalPath(Spec.Steps);
}

milliseconds JobEntry::remainingCriticalPath() const {
  return basilchute::criticalPath(
      Spec.Steps, [this](size_t Step) { return m_tasksLeftInGroup[Step] > 0; });
}

double JobEntry::remainingWork() const {
  double Out = 0;
  for (size_t Group = 0; Group < m_tasksLeftInGroup.size(); ++Group) {
    const JobStep &Step = Spec.Steps[Group % Spec.Steps.size()];
    Out += static_cast<double>(m_tasksLeftInGroup[Group]) * taskWork(Step);
  }
  return Out;
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
  TaskState &Task = Tasks[static_cast<size_t>(Position)];
  if (Task.Phase == TaskPhase::Done)
    return;
  Task.Phase = TaskPhase::Done;
  --m_tasksLeftInGroup[groupIndex(Position)];
  --m_tasksLeft;
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
    ++m_tasksLeftInGroup[groupIndex(Progress.Position)];
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
  for (int Position = 0; Position < static_cast<int>(Tasks.size()); ++Position)
    if (std::find(Positions.begin(), Positions.end(), Position) ==
        Positions.end())
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
  if (HomeShard)
    return false;
  for (int Position = 0; Position < static_cast<int>(Tasks.size()); ++Position)
    if (stepOf(Position).LongRunning &&
        Tasks[static_cast<size_t>(Position)].Phase == TaskPhase::Done)
      return true;
  return false;
}

BASILCHUTE_NAMESPACE_END
