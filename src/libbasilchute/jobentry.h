/// \file
/// One job and its tasks, as the owner of its shard sees them.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/clock.h"
#include "basilchute/job.h"
#include "basilchute/taskworker.h"
#include "libbasilchute/jobrows.h"

#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Where a task is.
enum class TaskPhase { Waiting, Placed, Done };

/// One task of a job.
struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  /// Highest run that was used.
  int Run = 0;
  /// Runs that ended failed. An end can be seen twice, by two owners, and in
  /// any order, from two workers.
  std::set<int> FailedRuns;
  std::string Checkpoint;
  /// Worker of the present run, or of the last one.
  std::string Worker;
  /// The task is not started before this.
  TimePoint NotBefore{};
  /// The present run was ordered and certainly did not begin.
  bool NeverRan = false;
  /// Time of the run that ended done; zero if it is not known.
  milliseconds Took{0};
  /// Runs that were stopped for their slowness.
  int SlowMoves = 0;
  /// When the task became ready, or was put back.
  TimePoint WaitingSince{};
};

/// A job with its tasks by position.
class JobEntry {
public:
  /// \p Version is that of the stored progress row.
  JobEntry(Job Spec, uint64_t Version, TimePoint Seen);

  const Job Spec;
  JobState State = JobState::Queued;
  /// State in the progress row.
  JobState StoredState = JobState::Queued;
  /// Version of the progress row.
  uint64_t RowVersion;
  TimePoint Seen;
  /// When it was last asked whether another shard is better, and the answer.
  TimePoint AskedAt{};
  bool HasBetter = false;
  /// Version of the job's own row in the shard.
  uint64_t JobVersion = 0;
  /// This owner surely owned the shard when the job came.
  bool IsSure = false;
  /// It is being handed to another shard, and nothing of it may start here.
  bool Moving = false;
  std::vector<TaskState> Tasks;
  /// Kind of each step's tasks.
  std::vector<int> Kinds;
  /// Class of each step's tasks.
  std::vector<int> Classes;
  /// Load group of each step's tasks.
  std::vector<int> Groups;
  /// Millicores times seconds of the whole job, by the submitter's estimates.
  double TotalWork = 0;

  /// Takes over what is stored; unknown positions are ignored. Run numbers
  /// start at \p RunGap above the stored ones, because the previous owner may
  /// have used some that were not stored.
  void restore(const JobProgress &Stored, int RunGap);
  /// Returns what is to be stored.
  JobProgress progress() const;
  /// Returns the position of \p Name, or -1 if the job has no such task.
  int positionOf(const TaskName &Name) const;
  TaskName nameOf(int Position) const;
  StepName stepName(int Position) const;
  const JobStep &stepOf(int Position) const;
  /// Returns true if all tasks of the steps before have ended done.
  bool isReady(int Position) const;
  /// Returns the positions of all tasks of the step, in the same occurrence.
  std::vector<int> groupPositions(int Position) const;
  /// Time since 1970 at which the task's occurrence is due; zero if it has no
  /// time.
  milliseconds dueAt(int Position) const;
  /// Returns true if a task is placed now.
  bool hasPlaced() const;
  /// Marks the task done.
  void finish(int Position);
  /// Returns true if every task is done.
  bool allDone() const { return m_left == 0; }
  /// Time that the longest chain of steps takes, by the submitter's estimates.
  milliseconds longestChain() const;
  /// The same for the steps that are not done; of the first occurrence.
  milliseconds chainLeft() const;
  /// Millicores times seconds that are left, by the submitter's estimates.
  double workLeft() const;
  /// Returns true once a task has been started.
  bool hasStarted() const { return m_started; }
  void noteStarted() { m_started = true; }

private:
  size_t groupOf(int Position) const;

  int m_perOccurrence = 0;
  std::vector<int> m_stepOf;
  std::vector<int> m_stepStart;
  /// Tasks that are not done, by occurrence and step.
  std::vector<int> m_groupLeft;
  int m_left = 0;
  bool m_started = false;
};

BASILCHUTE_NAMESPACE_END
