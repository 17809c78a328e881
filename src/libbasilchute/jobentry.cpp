#include "libbasilchute/jobentry.h"

#include "libbasilchute/jobwork.h"

#include <algorithm>
#include <numeric>

BASILCHUTE_NAMESPACE_BEGIN

JobEntry::JobEntry(Job Spec, uint64_t Version, TimePoint Seen)
    : Spec(std::move(Spec)), RowVersion(Version), Seen(Seen) {
  for (size_t Step = 0; Step < this->Spec.Steps.size(); ++Step) {
    m_stepStart.push_back(m_perOccurrence);
    int Count = this->Spec.Steps[Step].Count;
    m_stepOf.insert(m_stepOf.end(), static_cast<size_t>(Count),
                    static_cast<int>(Step));
    m_perOccurrence += Count;
  }
  int Occurrences = this->Spec.occurrences();
  m_left = m_perOccurrence * Occurrences;
  Tasks.resize(static_cast<size_t>(m_left));
  for (int Each = 0; Each < Occurrences; ++Each)
    for (const JobStep &Step : this->Spec.Steps)
      m_groupLeft.push_back(Step.Count);
  TotalWork = workLeft();
}

void JobEntry::restore(const JobProgress &Stored, int RunGap) {
  State = Stored.State;
  StoredState = Stored.State;
  for (TaskState &Each : Tasks)
    Each.Run = RunGap;
  for (const TaskProgress &Each : Stored.Tasks) {
    if (Each.Position < 0 || Each.Position >= static_cast<int>(Tasks.size()))
      continue;
    TaskState &Task = Tasks[static_cast<size_t>(Each.Position)];
    Task.Run = Each.Run + RunGap;
    Task.FailedRuns = {Each.FailedRuns.begin(), Each.FailedRuns.end()};
    Task.Checkpoint = Each.Checkpoint;
    m_started = true;
    if (Each.Done)
      finish(Each.Position);
  }
}

JobProgress JobEntry::progress() const {
  JobProgress Out{.State = State};
  for (size_t Position = 0; Position < Tasks.size(); ++Position) {
    const TaskState &Each = Tasks[Position];
    if (Each.Run == 0)
      continue;
    Out.Tasks.push_back(
        {.Position = static_cast<int>(Position),
         .Run = Each.Run,
         .FailedRuns = {Each.FailedRuns.begin(), Each.FailedRuns.end()},
         .Done = Each.Phase == TaskPhase::Done,
         .Checkpoint = Each.Checkpoint});
  }
  return Out;
}

int JobEntry::positionOf(const TaskName &Name) const {
  bool Known = Name.Occurrence >= 0 && Name.Occurrence < Spec.occurrences() &&
               Name.Step >= 0 &&
               Name.Step < static_cast<int>(Spec.Steps.size()) &&
               Name.Index >= 0 &&
               Name.Index < Spec.Steps[static_cast<size_t>(Name.Step)].Count;
  if (!Known)
    return -1;
  return Name.Occurrence * m_perOccurrence +
         m_stepStart[static_cast<size_t>(Name.Step)] + Name.Index;
}

TaskName JobEntry::nameOf(int Position) const {
  int Within = Position % m_perOccurrence;
  int Step = m_stepOf[static_cast<size_t>(Within)];
  return {.Job = Spec.Id,
          .Occurrence = Position / m_perOccurrence,
          .Step = Step,
          .Index = Within - m_stepStart[static_cast<size_t>(Step)]};
}

StepName JobEntry::stepName(int Position) const {
  TaskName Name = nameOf(Position);
  return {.Job = Name.Job, .Occurrence = Name.Occurrence, .Step = Name.Step};
}

const JobStep &JobEntry::stepOf(int Position) const {
  int Step = m_stepOf[static_cast<size_t>(Position % m_perOccurrence)];
  return Spec.Steps[static_cast<size_t>(Step)];
}

size_t JobEntry::groupOf(int Position) const {
  int Step = m_stepOf[static_cast<size_t>(Position % m_perOccurrence)];
  return static_cast<size_t>(Position / m_perOccurrence) * Spec.Steps.size() +
         static_cast<size_t>(Step);
}

bool JobEntry::isReady(int Position) const {
  size_t First =
      static_cast<size_t>(Position / m_perOccurrence) * Spec.Steps.size();
  const std::vector<int> &After = stepOf(Position).After;
  return std::all_of(After.begin(), After.end(), [&](int Step) {
    return m_groupLeft[First + static_cast<size_t>(Step)] == 0;
  });
}

std::vector<int> JobEntry::groupPositions(int Position) const {
  int Within = Position % m_perOccurrence;
  int Step = m_stepOf[static_cast<size_t>(Within)];
  int First = Position - Within + m_stepStart[static_cast<size_t>(Step)];
  std::vector<int> Out(
      static_cast<size_t>(Spec.Steps[static_cast<size_t>(Step)].Count));
  std::iota(Out.begin(), Out.end(), First);
  return Out;
}

milliseconds JobEntry::dueAt(int Position) const {
  if (Spec.Repetitions == 0)
    return milliseconds(0);
  return Spec.FirstRun + Spec.Interval * (Position / m_perOccurrence);
}

bool JobEntry::hasPlaced() const {
  return std::any_of(Tasks.begin(), Tasks.end(), [](const TaskState &Each) {
    return Each.Phase == TaskPhase::Placed;
  });
}

milliseconds JobEntry::longestChain() const {
  return basilchute::longestChain(Spec.Steps);
}

milliseconds JobEntry::chainLeft() const {
  return basilchute::longestChain(
      Spec.Steps, [this](size_t Step) { return m_groupLeft[Step] > 0; });
}

double JobEntry::workLeft() const {
  double Out = 0;
  for (size_t Group = 0; Group < m_groupLeft.size(); ++Group) {
    const JobStep &Step = Spec.Steps[Group % Spec.Steps.size()];
    Out += static_cast<double>(m_groupLeft[Group]) * taskWork(Step);
  }
  return Out;
}

void JobEntry::finish(int Position) {
  TaskState &Task = Tasks[static_cast<size_t>(Position)];
  if (Task.Phase == TaskPhase::Done)
    return;
  Task.Phase = TaskPhase::Done;
  --m_groupLeft[groupOf(Position)];
  --m_left;
}

BASILCHUTE_NAMESPACE_END
