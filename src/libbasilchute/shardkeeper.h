/// \file
/// The owner's work for one shard.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/scheduler.h"
#include "libbasilchute/taskbook.h"
#include "libbasilchute/workerlink.h"

#include <memory>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// What a claim of a shard found out.
struct ShardClaim {
  std::string Shard;
  uint64_t Epoch = 0;
  /// Version of the ownership row that the claim wrote.
  uint64_t Version = 0;
  /// Point after which no earlier owner extends a lease.
  TimePoint InheritedHorizon{};
  /// True if the shard never had an owner.
  bool First = false;
};

/// Ports and settings that all keepers of a scheduler share. \p Options outlive
/// every keeper.
struct KeeperContext {
  const SchedulerOptions &Options;
  TableStore &Store;
  WorkerPort &Workers;
  const Clock &Time;
  SchedulerCounters &Counters;
  /// Says whether leases of what already runs may be extended.
  std::function<bool()> MayExtendGrants;
  /// Says whether anything new may be started.
  std::function<bool()> MayStart;
};

/// Keeps the right tasks running on the workers of one shard, from its claim
/// until it is released or lost.
class ShardKeeper : public std::enable_shared_from_this<ShardKeeper> {
public:
  ShardKeeper(KeeperContext Context, ShardClaim Claim);

  void tick();
  void updateHosts(const std::vector<Host> &Hosts);
  void updateReplicas(const std::vector<v1::TaskRow> &Wanted);
  void updateCordons(const std::vector<WorkerCordon> &Cordons);
  void pollSharesSoon() { m_pollSharesAt = {}; }
  /// Takes what other shards' owners say of their room.
  void setSummaries(std::vector<ShardSummary> All) {
    m_summaries = std::move(All);
  }

  const ShardClaim &claim() const { return m_claim; }
  bool loaded() const { return m_loaded; }
  /// True once another owner's epoch was met; the keeper does nothing more.
  bool fencedOut() const { return m_fencedOut; }
  /// Stops or goes on taking decisions; a shard that is handed over must be
  /// quiet first.
  void setReleasing(bool Releasing) { m_releasing = Releasing; }
  /// True once nothing of a released keeper is in flight.
  bool quiet() const;
  /// How long leases granted by this keeper may still run.
  nanoseconds residualLease() const;

  void appendRoutes(std::vector<ReplicaRoute> &Out) const;
  /// Answers an entry process; only of a loaded keeper.
  ShardRoutes answerEntry(const EntryQuestion &From);
  /// States which entry processes may hold credits of an earlier owner.
  void setEntries(const std::set<std::string> &Entries);
  ShardSummary summary() const;
  std::vector<std::string> explain(const std::string &Task) const;

private:
  void load();
  void onLoaded();
  void pollShares();
  void onShares(std::vector<Row> Shares);
  void applyShares(const std::vector<Row> &Shares);

  // Exchanges with workers (shardkeeper_sync.cpp).
  void syncDueWorkers(TimePoint Now);
  void sync(WorkerLink &Link, TimePoint Now);
  void addOrders(WorkerSync &Request, WorkerLink &Link, TimePoint Now);
  void addTaskOrders(WorkerSync &Request, TaskEntry &Entry);
  void onSync(const std::string &Worker, Result<WorkerReport> Reply);
  void onReport(WorkerLink &Link, const WorkerReport &Report);
  void onTaskReport(WorkerLink &Link, const TaskReport &Report);
  void onStray(WorkerLink &Link, const TaskReport &Report);
  void onMissing(WorkerLink &Link, TaskEntry &Entry);
  void onAttemptEnded(TaskEntry &Entry, const TaskReport &Report);
  void checkLostWorkers(TimePoint Now);

  // Decisions (shardkeeper_decide.cpp).
  void placeWaiting(TimePoint Now);
  bool place(TaskEntry &Entry, std::vector<PlacementWorker> &View,
             TimePoint Now);
  /// Workers that may take tasks, without the counts of one service.
  std::vector<PlacementWorker> placementView() const;
  void countReplicas(std::vector<PlacementWorker> &View,
                     const std::string &Service);
  void planEviction(const TaskEntry &For);
  void stopPlanned(TaskEntry &Entry, bool Evicting, std::string_view Why);
  void advanceStops(TimePoint Now);
  void advanceStop(TaskEntry &Entry, TimePoint Now);
  void drainWorkers();
  void dropUnwanted(TaskEntry &Entry);
  void dropUnwanted(const std::vector<std::string> &Tasks);

  // Rows (shardkeeper_rows.cpp).
  void commitTask(TaskEntry &Entry, v1::TaskRow Row,
                  std::function<void(TaskEntry &)> OnDone);
  void onTaskCommitted(const std::string &Task, const v1::TaskRow &Row,
                       Result<uint64_t> Reply,
                       const std::function<void(TaskEntry &)> &OnDone);
  void returnToWaiting(TaskEntry &Entry, v1::TaskRow Row);
  void becomeFinal(TaskEntry &Entry, v1::TaskRow Row);
  void removeReplica(TaskEntry &Entry);
  void finishShare(const std::string &Name);
  void onShareConflict(const std::string &Name, const Error &Why);
  void onFinal(const TaskEntry &Entry);
  void event(std::string_view Name, std::string_view Detail) const;

  // Moves to other shards (shardkeeper_move.cpp).
  const ShardSummary *roomElsewhere(const Resources &Demand) const;
  void moveWaiting(TimePoint Now);
  void beginMove(MovableTail Tail, const std::string &To);
  void writeMove(const MovableTail &Tail, const std::string &To,
                 const std::optional<Row> &Job);
  static void addJobWrite(std::vector<Write> &Writes, const std::string &To,
                          const std::optional<Row> &Job);
  void endMove(const MovableTail &Tail, const Result<uint64_t> &Reply);

  // Routes and credits (shardkeeper_routes.cpp).
  void refreshRoutes();
  CreditLender &lenderOf(const std::string &Worker);

  WorkerLink *linkOf(const std::string &Worker);

  KeeperContext m_context;
  ShardClaim m_claim;
  Committer m_committer;
  TaskBook m_book;
  std::map<std::string, WorkerLink> m_links;
  std::vector<WorkerCordon> m_cordons;
  std::optional<std::vector<v1::TaskRow>> m_wantedReplicas;
  std::optional<std::vector<Row>> m_loadedShares;
  std::optional<std::vector<Row>> m_loadedTasks;
  std::map<std::string, CreditLender> m_lenders;
  std::set<std::string> m_entries;
  std::vector<ReplicaRoute> m_routes;
  uint64_t m_routesVersion = 0;
  TimePoint m_routesAt{};
  /// Point at which all credits of earlier owners are over.
  TimePoint m_creditsSettledAt{};
  /// Tasks whose planned stop is under way.
  std::set<std::string> m_stopping;
  TimePoint m_loadAt{};
  TimePoint m_pollSharesAt{};
  TimePoint m_placeAt{};
  TimePoint m_moveAt{};
  std::vector<ShardSummary> m_summaries;
  /// True while a move to another shard is being written.
  bool m_moving = false;
  bool m_loading = false;
  bool m_loaded = false;
  bool m_polling = false;
  bool m_releasing = false;
  bool m_fencedOut = false;
  /// True if room or the queue changed since placing was last tried.
  bool m_placeDirty = true;
};

BASILCHUTE_NAMESPACE_END
