/// \file
/// Tasks of one shard: their rows, the job shares that they belong to, and the
/// queue of waiting tasks.
#pragma once

#include "basilchute/clock.h"
#include "libbasilchute/rows.h"

#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Scheduling class of a task, in the order in which classes are placed.
enum class TaskClass { LatencyCritical, Urgent, Batch };

/// Phase of the planned stop of a running task. None means that no stop is
/// planned.
enum class StopPhase { None, Drain, Checkpoint, Stop };

/// A task: its row, and state that the shard's owner keeps in memory only.
struct TaskEntry {
  v1::TaskRow Row;
  /// Version of the row, 0 if the row was never written.
  uint64_t Version = 0;
  /// True while a change of the row is being committed.
  bool IsWriting = false;
  /// True once the worker reported the current attempt.
  bool IsConfirmed = false;
  /// True if a Start order for the current attempt may have reached the worker.
  bool IsStartSent = false;
  /// False once the job was cancelled or the replica left the configuration.
  bool IsWanted = true;
  /// True if the planned stop counts as an eviction.
  bool IsEviction = false;
  StopPhase Phase = StopPhase::None;
  TimePoint PhaseSince{};
  /// Start of the current wait for a placement.
  TimePoint WaitingSince{};
  /// The task is not placed before this time; set after a failed attempt.
  TimePoint NotBefore{};
  /// Worker of a placement that is being committed, otherwise empty.
  std::string TargetWorker;
  /// Arrival number; orders waiting tasks of the same class.
  uint64_t Sequence = 0;
  /// Where a replica accepts requests, as HOST:PORT/PATH.
  std::string Address;
  /// Latest checkpoint that the worker reported.
  std::string Checkpoint;
  Resources Usage;
  /// Why the last attempt to place the task failed; empty if it succeeded.
  std::string WaitReason;

  TaskClass taskClass() const;
  Resources demand() const { return fromProto(Row.demand()); }
  bool isPlaced() const { return Row.state() == v1::TASK_PLACED; }
  bool isFinal() const;
  /// Returns true if the task is placed on \p Worker, or if such a placement is
  /// being committed.
  bool belongsTo(const std::string &Worker) const {
    return (isPlaced() && Row.worker() == Worker) || TargetWorker == Worker;
  }
};

/// A share of a job: a range of its tasks that this shard runs.
struct ShareEntry {
  v1::ShareRow Row;
  uint64_t Version = 0;
  /// True while a change of the row is being committed.
  bool IsWriting = false;
  /// Number of tasks in a final state.
  uint32_t FinalTasks = 0;

  std::string name() const { return shareName(Row.job(), Row.first()); }
};

/// Waiting tasks at the end of a share that may move to another shard.
struct MovableTail {
  std::string Share;
  /// Task ids, from the last task of the share backwards.
  std::vector<std::string> Tasks;
};

/// All tasks and shares of one shard. References to entries stay valid until
/// the entry is erased.
class TaskTable {
public:
  /// Key of the queue of waiting tasks: class, arrival number and task id.
  using WaitKey = std::tuple<TaskClass, uint64_t, std::string>;

  /// Loads the rows of a shard, as read after its claim; returns the ids of
  /// tasks that are no longer wanted.
  std::vector<std::string> load(const std::vector<Row> &Shares,
                                const std::vector<Row> &Tasks, TimePoint Now);
  /// Returns the shares of a later read that are not known yet and whose tasks
  /// already have rows. Call adopt() for them before updateShares().
  std::vector<v1::ShareRow> sharesToAdopt(const std::vector<Row> &Shares) const;
  /// Loads from \p Tasks the rows of all tasks that belong to \p Shares.
  void adopt(const std::vector<v1::ShareRow> &Shares,
             const std::vector<Row> &Tasks, TimePoint Now);
  /// Adds or updates shares from a later read; returns the ids of tasks that
  /// are no longer wanted.
  std::vector<std::string> updateShares(const std::vector<Row> &Shares,
                                        TimePoint Now);
  /// Adds the missing replicas of \p Wanted; returns the ids of replicas that
  /// are no longer wanted.
  std::vector<std::string>
  updateReplicas(const std::vector<v1::TaskRow> &Wanted, TimePoint Now);

  TaskEntry *find(const std::string &Task);
  const std::map<std::string, TaskEntry> &tasks() const { return m_tasks; }
  std::map<std::string, ShareEntry> &shares() { return m_shares; }
  const std::set<WaitKey> &waiting() const { return m_waiting; }

  /// Adds \p Entry to the queue of waiting tasks if it may be placed, otherwise
  /// removes it from the queue.
  void requeue(TaskEntry &Entry, TimePoint Now);
  /// Removes \p Entry from the queue of waiting tasks.
  void removeFromQueue(const TaskEntry &Entry);
  /// Removes \p Task from memory; the stored row is not touched.
  void erase(const std::string &Task);
  /// Counts a task that reached a final state; returns its share if all tasks
  /// of the share are final, otherwise null.
  ShareEntry *countFinal(const TaskEntry &Entry);
  /// Returns the ids of the tasks of \p Share, in ascending order of their
  /// index.
  static std::vector<std::string> tasksOf(const ShareEntry &Share);
  /// Returns the waiting tasks at the end of the share that \p Entry belongs
  /// to, at most \p Limit. The result is empty if the share is cancelled, if
  /// its row is being written or if its last task is not waiting.
  MovableTail movableTail(const TaskEntry &Entry, size_t Limit);
  /// Removes a share and all its tasks; \p Version is the version of the
  /// transaction that finished or removed its row.
  void eraseShare(const std::string &Share, uint64_t Version);
  /// Removes the last \p Count tasks of a share; \p Version is the new version
  /// of its row.
  void shrinkShare(const std::string &Share, uint32_t Count, uint64_t Version);

private:
  /// Queues a replica in a final state again, with the row \p Wanted. The
  /// attempt number is kept, so that attempts stay unique.
  void resetReplica(TaskEntry &Entry, const v1::TaskRow &Wanted, TimePoint Now);
  TaskEntry &add(v1::TaskRow Row, TimePoint Now);
  /// Adds a task whose decoded row \p Task was read as \p StoredRow.
  void addRow(const Row &StoredRow, const v1::TaskRow &Task, TimePoint Now);
  /// Returns true if \p Share ended at the version of \p StoredRow or later.
  bool hasEnded(const std::string &Share, const Row &StoredRow) const;
  /// Adds the missing tasks of \p Share and counts those in a final state.
  void addTasks(ShareEntry &Share, TimePoint Now);
  /// Returns the share that \p Entry belongs to, null for a replica.
  ShareEntry *shareOf(const TaskEntry &Entry);

  std::map<std::string, TaskEntry> m_tasks;
  std::map<std::string, ShareEntry> m_shares;
  std::set<WaitKey> m_waiting;
  /// Last versions of shares that were finished or moved away; an entry is kept
  /// until a read returns a newer version of the share.
  std::map<std::string, uint64_t> m_endedShares;
  uint64_t m_lastSequence = 0;
};

BASILCHUTE_NAMESPACE_END
