/// \file
/// State that the owner of a shard keeps for one job and its tasks.
#pragma once

#include "basilchute/approval.h"
#include "basilchute/clock.h"
#include "basilchute/job.h"
#include "basilchute/taskworker.h"
#include "libbasilchute/jobrows.h"
#include "libbasilchute/occurrencecounts.h"
#include "libbasilchute/runtimes.h"
#include "libbasilchute/taskpages.h"
#include "libbasilchute/workerfit.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Tasks of a job whose turn has come.
struct ReadyTasks {
  std::vector<int> Positions;
  /// More tasks are ready than were asked for.
  bool HasMore = false;
  /// When the next occurrence is due, since the Unix epoch; none if no more
  /// follow.
  std::optional<milliseconds> NextDue;
};

/// A job and its tasks. The position of a task is its index over all steps of
/// all occurrences of the job. A group is the tasks of one step in one
/// occurrence.
class JobEntry {
public:
  /// \p Version is the version of the stored progress row; \p SubmittedAt is
  /// the time at which the job counts as submitted.
  JobEntry(Job Spec, uint64_t Version, TimePoint SubmittedAt);

  const Job Spec;
  /// Any step of the job is long-running.
  const bool HasLongRunningStep;
  JobState State = JobState::Queued;
  /// State in the progress row.
  JobState StoredState = JobState::Queued;
  /// Version of the progress row.
  uint64_t RowVersion;
  /// When the job was submitted, on the local clock.
  TimePoint ArrivedAt;
  /// When the search for a better shard was last done for the job, and whether
  /// it found one.
  TimePoint ShardSearchAt{};
  bool HasBetterShard = false;
  /// Time since 1970 at zero of the local clock, if it is known.
  std::optional<nanoseconds> WallOffset;
  /// Version of the job's own row in the shard.
  uint64_t JobVersion = 0;
  /// This owner certainly owned the shard when the job arrived.
  bool IsOwnershipCertain = false;
  /// A transfer to another shard is pending; no task of the job may be started.
  bool IsTransferring = false;
  /// Tasks that a pending commit delegates to another shard.
  std::vector<int> Delegating;
  /// Shards that have tasks of the job, or may have some: more are added to
  /// these.
  std::set<int> PartShards;
  /// Tasks of the job were delegated to other shards. Some of these may have a
  /// part of it for ever.
  bool WasDelegated = false;
  /// No task is delegated before this time.
  TimePoint NextDelegation{};
  /// Commits of delegations that failed since the last success.
  int FailedDelegations = 0;
  /// Keys of rows that add tasks which this owner has added. The commit that
  /// stores the progress with these tasks removes the rows.
  std::vector<std::string> AddedTaskRows;
  /// Those of them that the pending commit removes.
  std::vector<std::string> AddedTaskRowsInCommit;
  /// The previous owner crashed while it held the job.
  bool MayHaveHiddenCrashes = false;
  /// Shard that holds the job, if this shard runs only delegated tasks of it.
  std::optional<int> HomeShard;
  /// The state of the job in its home shard is being read.
  bool IsReadingHome = false;
  /// The job may have been cancelled in its home shard before this owner took
  /// over. No task is started until that is known.
  bool MayBeCancelledAtHome = false;
  TaskPages Tasks;
  /// By step: kind of its tasks.
  std::vector<int> Kinds;
  /// By step: class of its tasks.
  std::vector<int> Classes;
  /// By step: load group of its tasks.
  std::vector<int> Groups;
  /// By step: where its tasks fit, as last found.
  mutable std::vector<KnownStepFit> Fits;
  /// Weight of the job's fill tasks in the division of processor time.
  double FillWeight = 1;
  /// Work of one occurrence of the job in millicores times seconds, by the
  /// submitter's estimates.
  double TotalWork = 0;

  /// Restores the stored progress; unknown positions are ignored. Run numbers
  /// continue \p RunGap above the stored ones, because the previous owner may
  /// have used run numbers that were not stored. \p WallTime is the present
  /// time since 1970, or zero if it is not known.
  void restore(const JobProgress &Stored, int RunGap, milliseconds WallTime);
  /// Begins the run numbers of a job without stored progress above the job's
  /// age, because owners in another shard may have used lower ones that they
  /// did not store. \p RunGap is that of restore().
  void skipRunNumbers(int RunGap, milliseconds WallTime);
  /// Returns the progress to be stored.
  JobProgress progress() const;
  /// Returns the progress to be stored with the job in another shard. There
  /// must be no run of any task that is not done.
  JobProgress progressWithoutRuns(TimePoint Now) const;
  /// Restores the wait of a task from its stored progress. \p WallTime is the
  /// time since 1970, or zero if it is not known.
  void restoreWait(const TaskProgress &Stored, TimePoint Now,
                   milliseconds WallTime);
  /// Returns true if the task has waited for more than \p Wait in this shard
  /// under this owner.
  bool hasWaitedHere(int Position, milliseconds Wait, TimePoint Now) const;
  /// Returns the position of \p Name, or -1 if the job has no such task.
  int positionOf(const TaskName &Name) const;
  TaskName nameOf(int Position) const;
  StepName stepName(int Position) const;
  const JobStep &stepOf(int Position) const;
  /// Returns the key by which the task's run time is learned.
  RunTimeKey runTimeKey(int Position) const;
  /// Returns true if the task is long-running and its next run is a restart:
  /// this owner knows of a run of it, a previous owner has stored one, or
  /// another shard has delegated the task.
  bool isRestart(int Position) const;
  /// Returns the rank of a waiting task among those that go to other shards,
  /// lowest first: restarts, then by the time since which the task has waited.
  std::pair<bool, TimePoint> delegationRank(int Position) const;
  /// Returns true if all tasks of all preceding steps are done, none of which
  /// is long-running.
  bool isReady(int Position) const;
  /// Returns the first tasks in phase Waiting that are ready in occurrences due
  /// at \p WallTime since the Unix epoch, at most \p Limit. The remaining work
  /// counts these occurrences from then on.
  ReadyTasks readyTasks(milliseconds WallTime, size_t Limit);
  /// Returns the number of tasks of the task's step and occurrence that are not
  /// done.
  int tasksLeftBeside(int Position) const;
  /// Returns the memory that the owner needs for the job, in bytes.
  size_t bytes() const;
  /// Returns the position whose crash record counts for the task: its own, or
  /// that of the gang's first member.
  int crashPosition(int Position) const;
  /// Returns the positions of all tasks of the same group.
  std::vector<int> groupPositions(int Position) const;
  /// Returns the time since 1970 at which the task's occurrence is due, or zero
  /// if the job is not repeated.
  milliseconds dueAt(int Position) const;
  /// Returns true if any task is in phase Placed.
  bool hasPlaced() const;
  /// Returns true if the worker of the task must be stored before its start
  /// order is sent: it is long-running and not a member of a gang.
  bool storesPlace(int Position) const;
  /// Has the task's worker stored by the next commit of the progress.
  void place(int Position, const std::string &Worker);
  /// Has stored that the task has no run. Reverts place().
  void clearPlace(int Position);
  /// Reverts place() while the place of an earlier run is not known.
  void dropPlace(int Position);
  /// Must be called when a commit of the progress is sent.
  void onCommitSent() {
    m_placesInCommit.merge(m_unstoredPlaces);
    AddedTaskRowsInCommit.swap(AddedTaskRows);
    ++m_commitsSent;
  }
  /// Must be called when that commit has succeeded or failed. Returns the tasks
  /// that may be started on their worker now.
  std::set<int> onCommitEnded(bool IsStored);
  /// Returns the number of the next commit of the progress, and whether that
  /// commit or a later one has succeeded.
  uint64_t nextCommit() const { return m_commitsSent + 1; }
  bool isStored(uint64_t Commit) const { return m_storedCommit >= Commit; }
  /// Marks the task done. A long-running task that another shard runs counts as
  /// done here.
  void finish(int Position);
  /// Marks all tasks but those at \p Positions done.
  void finishAllBut(const std::vector<int> &Positions);
  /// Records that the run has failed. Returns false if that was known. Of a
  /// long-running task, which may fail any number of times, only the last
  /// MaxFailedRuns are kept.
  bool addFailedRun(int Position, int Run);
  static constexpr size_t MaxFailedRuns = 32;
  /// Reverts finish() for a long-running task that was delegated and comes back
  /// in the state \p Progress. It runs nowhere and has waited since before
  /// \p Now.
  void reopen(const TaskProgress &Progress, TimePoint Now);
  /// Returns true if another shard runs long-running tasks of the job.
  bool hasDelegated() const;
  /// Returns true if every task is done. Long-running tasks never are: those
  /// that count as done here run in another shard.
  bool allDone() const;
  /// Returns the duration of the critical path through all steps, by the
  /// submitter's estimates.
  milliseconds criticalPath() const;
  /// Returns the duration of the critical path through the steps of the first
  /// occurrence that are not done.
  milliseconds remainingCriticalPath() const;
  /// Returns the work of the tasks that are not done in millicores times
  /// seconds, by the submitter's estimates; of a schedule in the occurrences
  /// that were due at the last call of readyTasks().
  double remainingWork() const;
  /// Returns true once any task has been started.
  bool hasStarted() const { return m_hasStarted; }
  void markStarted() { m_hasStarted = true; }

private:
  TaskProgress progressOf(int Position) const;
  /// Returns a run number that grows with the age of the job.
  int lowestRunNumber(milliseconds WallTime) const;
  /// Returns the time since 1970 since which a restart waits that surely runs
  /// nowhere; zero for other tasks.
  milliseconds storedWait(int Position) const;
  int occurrenceOf(int Position) const {
    return Position / m_tasksPerOccurrence;
  }
  int stepIndex(int Position) const;
  bool isReady(int Occurrence, int Step) const;
  /// Appends the waiting tasks of a step. Returns false if there are more than
  /// \p Limit.
  bool addWaiting(int Occurrence, int Step, size_t Limit,
                  std::vector<int> &Out) const;
  /// Returns true if no run of the task is known, from any owner.
  bool isUntried(int Position) const;

  int m_tasksPerOccurrence = 0;
  /// By step: position of its first task within an occurrence.
  std::vector<int> m_firstTaskOfStep;
  /// Memory that does not depend on the states of the tasks.
  size_t m_fixedBytes = 0;
  OccurrenceCounts m_left;
  /// End of the occurrences whose tasks count as remaining work.
  int m_dueOccurrences = 0;
  /// Number of all tasks that are not done.
  int m_tasksLeft = 0;
  bool m_hasStarted = false;
  /// Run number of a task that has not run.
  int m_firstRun = 0;
  /// Tasks that may be started once the next commit, or the present one, has
  /// succeeded.
  std::set<int> m_unstoredPlaces;
  std::set<int> m_placesInCommit;
  /// Number of the last commit that was sent, and of the last that succeeded.
  uint64_t m_commitsSent = 0;
  uint64_t m_storedCommit = 0;
};

BASILCHUTE_NAMESPACE_END
