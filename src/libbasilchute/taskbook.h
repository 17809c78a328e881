/// \file
/// Tasks of one shard: their rows, the shares of jobs that they come from, and
/// the order in which they wait.
#pragma once

#include "basilchute/clock.h"
#include "libbasilchute/rows.h"

#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Order in which waiting tasks are placed.
enum class TaskClass { LatencyCritical, Urgent, Batch };

/// How far the planned stop of a running task has come.
enum class StopPhase { None, Drain, Checkpoint, Stop };

/// One task with its row and what the owner knows beyond it.
struct TaskEntry {
  v1::TaskRow Row;
  /// Version of the row, 0 while it was never written.
  uint64_t Version = 0;
  /// True while a change of the row is being committed.
  bool Writing = false;
  /// True once the worker reported the present attempt.
  bool Confirmed = false;
  /// True if a start of the present attempt may have reached a worker.
  bool StartSent = false;
  /// False once the job was cancelled or the replica is not wanted.
  bool Wanted = true;
  /// True if the planned stop counts as an eviction.
  bool Evicting = false;
  StopPhase Phase = StopPhase::None;
  TimePoint PhaseSince{};
  TimePoint WaitingSince{};
  TimePoint NotBefore{};
  /// Worker that a placement being committed names, else empty.
  std::string TargetWorker;
  /// Arrival number, which breaks ties between waiting tasks.
  uint64_t Sequence = 0;
  /// Where a replica takes requests.
  std::string Address;
  /// Newest checkpoint that the worker reported.
  std::string Checkpoint;
  Resources Usage;
  std::string WaitReason;

  TaskClass taskClass() const;
  Resources demand() const { return fromProto(Row.demand()); }
  bool isPlaced() const { return Row.state() == v1::TASK_PLACED; }
  bool isFinal() const;
  /// Returns true if the task is placed on \p Worker, or about to be.
  bool belongsTo(const std::string &Worker) const {
    return (isPlaced() && Row.worker() == Worker) || TargetWorker == Worker;
  }
};

/// The part of a job that the shard runs.
struct ShareEntry {
  v1::ShareRow Row;
  uint64_t Version = 0;
  bool Writing = false;
  uint32_t FinalTasks = 0;

  std::string name() const { return shareName(Row.job(), Row.first()); }
};

/// Waiting tasks at the end of a share that may move to another shard.
struct MovableTail {
  std::string Share;
  std::vector<std::string> Tasks;
};

/// All tasks and shares of one shard. Entries are stable in memory until they
/// are erased.
class TaskBook {
public:
  using WaitKey = std::tuple<TaskClass, uint64_t, std::string>;

  /// Takes over the rows of a shard, as read after its claim; returns ids of
  /// tasks that are not wanted any more.
  std::vector<std::string> load(const std::vector<Row> &Shares,
                                const std::vector<Row> &Tasks, TimePoint Now);
  /// Returns the shares of a later read that are new here and whose tasks have
  /// rows, which must be adopted first.
  std::vector<v1::ShareRow> sharesToAdopt(const std::vector<Row> &Shares) const;
  /// Takes over the rows of the tasks of \p Shares out of \p Tasks.
  void adopt(const std::vector<v1::ShareRow> &Shares,
             const std::vector<Row> &Tasks, TimePoint Now);
  /// Adds or updates shares from a later read; returns ids of tasks that are no
  /// longer wanted.
  std::vector<std::string> updateShares(const std::vector<Row> &Shares,
                                        TimePoint Now);
  /// Makes the replicas in \p Wanted exist; returns ids of replicas that are no
  /// longer wanted.
  std::vector<std::string>
  updateReplicas(const std::vector<v1::TaskRow> &Wanted, TimePoint Now);

  TaskEntry *find(const std::string &Task);
  const std::map<std::string, TaskEntry> &tasks() const { return m_tasks; }
  std::map<std::string, ShareEntry> &shares() { return m_shares; }
  const std::set<WaitKey> &waiting() const { return m_waiting; }

  /// Puts a pending task into the waiting order, or takes any other out.
  void requeue(TaskEntry &Entry, TimePoint Now);
  /// Takes a task out of the waiting order while its row is written.
  void unqueue(const TaskEntry &Entry);
  /// Removes a task that has no row any more.
  void erase(const std::string &Task);
  /// Counts a task that became final; returns its share once all are final.
  ShareEntry *noteFinal(const TaskEntry &Entry);
  /// Ids of the tasks of \p Share, in their order.
  static std::vector<std::string> tasksOf(const ShareEntry &Share);
  /// Returns the longest run of waiting tasks at the end of the share that
  /// \p Entry belongs to, at most \p Limit; empty if the share is being
  /// written or its last task does not wait.
  MovableTail movableTail(const TaskEntry &Entry, size_t Limit);
  /// Removes a share with all its tasks; its row says that it ended with
  /// \p Version.
  void eraseShare(const std::string &Share, uint64_t Version);
  /// Removes the last \p Count tasks of a share, whose row has \p Version now.
  void cutShare(const std::string &Share, uint32_t Count, uint64_t Version);

private:
  /// Makes a replica that was given up wait again.
  void revive(TaskEntry &Entry, const v1::TaskRow &Wanted, TimePoint Now);
  TaskEntry &add(v1::TaskRow Row, TimePoint Now);
  void addRow(const Row &From, const v1::TaskRow &Task, TimePoint Now);
  /// True if \p From is not newer than the end of the share of that name.
  bool hasEnded(const std::string &Share, const Row &From) const;
  void expand(ShareEntry &Share, TimePoint Now);
  ShareEntry *shareOf(const TaskEntry &Entry);

  std::map<std::string, TaskEntry> m_tasks;
  std::map<std::string, ShareEntry> m_shares;
  std::set<WaitKey> m_waiting;
  /// Shares that ended, until a read has shown it, with their last version.
  std::map<std::string, uint64_t> m_ended;
  uint64_t m_lastSequence = 0;
};

BASILCHUTE_NAMESPACE_END
