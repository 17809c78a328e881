/// \file
/// Management of one shard by its owner.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/scheduler.h"
#include "libbasilchute/tasktable.h"
#include "libbasilchute/workerrecord.h"

#include <memory>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// A successful claim of a shard.
struct ShardClaim {
  std::string Shard;
  uint64_t Epoch = 0;
  /// Version of the ownership row that the claim wrote.
  uint64_t Version = 0;
  /// Time at which every lease granted by an earlier owner has expired.
  TimePoint InheritedLeaseEnd{};
  /// True if the shard never had an owner.
  bool IsFirst = false;
};

/// Interfaces and settings that all shard managers of a scheduler share. All
/// referenced objects must outlive the managers.
struct ShardManagerContext {
  const SchedulerOptions &Options;
  TableStore &Store;
  WorkerPort &Workers;
  const Clock &Time;
  SchedulerCounters &Counters;
  /// Returns true while leases of running tasks may be extended.
  std::function<bool()> CanExtendGrants;
  /// Returns true while new tasks may be started.
  std::function<bool()> CanStart;
};

/// Places, starts and stops the tasks of one shard, from the claim of the shard
/// until it is released or lost.
class ShardManager : public std::enable_shared_from_this<ShardManager> {
public:
  ShardManager(ShardManagerContext Context, ShardClaim Claim);

  void tick();
  void updateHosts(const std::vector<Host> &Hosts);
  void updateReplicas(const std::vector<v1::TaskRow> &Wanted);
  void updateCordons(const std::vector<WorkerCordon> &Cordons);
  /// Schedules a scan of the job shares for the next tick.
  void pollSharesSoon() { m_nextSharePollAt = {}; }
  /// Sets the free resources of all shards, as published by their owners.
  void setSummaries(std::vector<ShardSummary> All) {
    m_summaries = std::move(All);
  }

  const ShardClaim &claim() const { return m_claim; }
  /// Returns true once the rows of the shard have been read.
  bool isLoaded() const { return m_isLoaded; }
  /// Returns true once the shard has another owner: a worker reported a higher
  /// epoch or a commit conflicted. The shard manager then stops all work.
  bool isFencedOut() const { return m_isFencedOut; }
  /// Suspends all scheduling if \p IsReleasing, otherwise resumes it. A shard
  /// must be idle before it is released.
  void setReleasing(bool IsReleasing);
  /// Extends leases of running tasks for up to \p ExtendFor from now; writes no
  /// row and sends no other order until setReleasing(false). Returns how long
  /// leases may be valid at most.
  nanoseconds beginHandover(nanoseconds ExtendFor);
  /// Returns true between beginHandover() and setReleasing(false).
  bool isHandingOver() const { return m_handoverGrantEnd.has_value(); }
  /// Returns true if tasks may run on a worker that this owner cannot reach, so
  /// that a new owner would have to wait for the end of their leases.
  bool mayHaveUnreachableTasks() const;
  /// Returns true if no commit and no sync with a worker is in progress.
  bool isIdle() const;
  /// Returns how long leases on the shard's workers may still be valid.
  nanoseconds residualLease() const;

  /// Appends the replicas of this shard that accept requests now.
  void appendRoutes(std::vector<ReplicaRoute> &Out) const;
  /// Returns routes and credits for an entry process. Requires isLoaded().
  ShardRoutes handleEntryRequest(const EntryRequest &Request);
  /// Sets the entry processes that may hold credits of an earlier owner.
  void setEntries(const std::set<std::string> &Entries);
  /// Returns the free resources and the number of waiting tasks of this shard.
  ShardSummary summary() const;
  /// Explains the state and placement of \p Task; empty if it is not in this
  /// shard.
  std::vector<std::string> explain(const std::string &Task) const;

private:
  void load();
  void onLoaded();
  void pollShares();
  void onShares(std::vector<Row> Shares);
  void applyShares(const std::vector<Row> &Shares);

  // Syncs with workers (shardmanager_sync.cpp).
  void syncDueWorkers(TimePoint Now);
  void sync(WorkerRecord &Record, TimePoint Now);
  void addOrders(SyncRequest &Request, WorkerRecord &Record, TimePoint Now);
  void addTaskOrders(SyncRequest &Request, TaskEntry &Entry);
  /// Adds the orders for attempts that are not placed on the worker.
  static void addUnplacedOrders(SyncRequest &Request,
                                const WorkerRecord &Record);
  void onSync(const std::string &Worker, Result<SyncReply> Reply);
  void onReport(WorkerRecord &Record, const SyncReply &Report);
  void onReportWhileReleasing(WorkerRecord &Record, const SyncReply &Report);
  void onTaskReport(WorkerRecord &Record, const TaskReport &Report);
  void onUnplacedAttempt(WorkerRecord &Record, const TaskReport &Report);
  void onAttemptMissing(WorkerRecord &Record, TaskEntry &Entry);
  void onAttemptEnded(TaskEntry &Entry, const TaskReport &Report);
  void checkUnreachableWorkers(TimePoint Now);
  /// Returns true while leases and credits may be extended.
  bool canExtendGrants() const;

  // Placement, stops and evictions (shardmanager_place.cpp).
  /// Runs a round if one is due.
  void placeWaiting(TimePoint Now);
  /// Begins the placement of \p Entry on one of \p Candidates; returns false if
  /// it fits on none of them.
  bool place(TaskEntry &Entry, std::vector<PlacementWorker> &Candidates,
             TimePoint Now);
  /// Returns the workers that tasks may be placed on. The replica counts are
  /// filled in by countReplicas().
  std::vector<PlacementWorker> placementCandidates() const;
  void countReplicas(std::vector<PlacementWorker> &Candidates,
                     const std::string &Service);
  /// Begins the eviction of batch tasks to make room for \p WaitingTask, on the
  /// worker where the fewest tasks must be evicted.
  void planEviction(const TaskEntry &WaitingTask);
  void beginStop(TaskEntry &Entry, bool IsEviction, std::string_view Reason);
  void advanceStops(TimePoint Now);
  void advanceStop(TaskEntry &Entry, TimePoint Now);
  void drainWorkers();
  /// Stops or removes a task whose job was cancelled or a replica that left the
  /// configuration.
  void cancelUnwanted(TaskEntry &Entry);
  void cancelUnwanted(const std::vector<std::string> &Tasks);

  // Writes of rows (shardmanager_rows.cpp).
  /// Writes \p Row as the new row of \p Entry; calls \p OnDone once it is
  /// committed. A failed commit fences this shard manager out.
  void commitTask(TaskEntry &Entry, v1::TaskRow Row,
                  std::function<void(TaskEntry &)> OnDone);
  void onTaskCommitted(const std::string &Task, const v1::TaskRow &Row,
                       Result<uint64_t> Reply,
                       const std::function<void(TaskEntry &)> &OnDone);
  /// Commits \p Row as pending, so that the task is placed again; a task that
  /// is no longer wanted is cancelled instead.
  void returnToWaiting(TaskEntry &Entry, v1::TaskRow Row);
  /// Commits \p Row, which is in a final state.
  void commitFinal(TaskEntry &Entry, v1::TaskRow Row);
  void removeReplica(TaskEntry &Entry);
  void finishShare(const std::string &Name);
  void onShareConflict(const std::string &Name, const Error &Reason);
  void onFinal(const TaskEntry &Entry);
  void reportEvent(std::string_view Name, std::string_view Detail) const;

  // Moves to other shards (shardmanager_move.cpp).
  /// Returns the other shard with the most free processor time that has a
  /// worker on which \p Demand fits, or null.
  const ShardSummary *findShardWithRoom(const Resources &Demand) const;
  void moveWaiting(TimePoint Now);
  void beginMove(MovableTail Tail, const std::string &TargetShard);
  void writeMove(const MovableTail &Tail, const std::string &TargetShard,
                 const std::optional<Row> &Job);
  static void addJobWrite(std::vector<Write> &Writes,
                          const std::string &TargetShard,
                          const std::optional<Row> &Job);
  void endMove(const MovableTail &Tail, const Result<uint64_t> &Reply);

  // Routes and credits (shardmanager_routes.cpp).
  void refreshRoutes();
  CreditLender &findOrAddLender(const std::string &Worker);

  WorkerRecord *findWorker(const std::string &Worker);

  ShardManagerContext m_context;
  ShardClaim m_claim;
  Committer m_committer;
  TaskTable m_tasks;
  std::map<std::string, WorkerRecord> m_workers;
  std::vector<WorkerCordon> m_cordons;
  std::optional<std::vector<v1::TaskRow>> m_wantedReplicas;
  std::optional<std::vector<Row>> m_loadedShares;
  std::optional<std::vector<Row>> m_loadedTasks;
  std::map<std::string, CreditLender> m_lenders;
  std::set<std::string> m_entries;
  std::vector<ReplicaRoute> m_routes;
  uint64_t m_routesVersion = 0;
  TimePoint m_nextRouteRefreshAt{};
  /// Time at which all credits granted by earlier owners have expired.
  TimePoint m_priorGrantsEnd{};
  /// Tasks whose planned stop is in progress.
  std::set<std::string> m_stoppingTasks;
  TimePoint m_nextLoadAt{};
  TimePoint m_nextSharePollAt{};
  TimePoint m_nextPlaceAt{};
  TimePoint m_nextMoveAt{};
  std::vector<ShardSummary> m_summaries;
  /// True while a move of tasks to another shard is being written.
  bool m_isMoving = false;
  bool m_isLoading = false;
  bool m_isLoaded = false;
  bool m_isPolling = false;
  bool m_isReleasing = false;
  /// During a handover, the time until which leases may be extended.
  std::optional<TimePoint> m_handoverGrantEnd;
  bool m_isFencedOut = false;
  /// True if free resources or the queue changed since the last round.
  bool m_shouldPlace = true;
};

BASILCHUTE_NAMESPACE_END
