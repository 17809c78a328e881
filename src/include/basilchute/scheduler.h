/// \file
/// The scheduler core: owns shards of workers and runs tasks on them.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/credits.h"
#include "basilchute/hostlist.h"
#include "basilchute/layout.h"
#include "basilchute/membership.h"
#include "basilchute/placement.h"
#include "basilchute/tablestore.h"
#include "basilchute/workerport.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Faults that tests inject to prove that their checks detect them. All are off
/// in production.
struct SchedulerFaults {
  /// Sends all orders with epoch 1 instead of the claimed epoch.
  bool SkipFence = false;
  /// Treats all leases on a worker as expired once it is unreachable.
  bool IgnoreLeases = false;
  /// Releases a task's resources when its stop is ordered, not when the worker
  /// confirms that it stopped.
  bool ReleaseAtStopOrder = false;
  /// Sends the Start order of a task before its placement is committed.
  bool StartBeforeCommit = false;
  /// Returns an evicted task to the queue before its stop is confirmed.
  bool ResumeBeforeStopped = false;
  /// Commits rows without checking the version of the shard's ownership row.
  bool SkipStoreFence = false;
  /// Ignores the grant horizon of the previous owner after a takeover.
  bool IgnoreHorizon = false;
  /// Places tasks without checking the free resources of the worker.
  bool SkipFit = false;
  /// Does not record the leases that the scheduler itself grants.
  bool ForgetGrants = false;
  /// Reuses the attempt number when a task is placed again.
  bool ReuseAttempt = false;
};

/// Settings of a Scheduler.
struct SchedulerOptions {
  Member Self;
  Layout Partitioning;
  MembershipOptions Membership;
  /// Lease of a running task.
  milliseconds TaskLease{12000};
  /// Interval between syncs with one worker.
  milliseconds SyncInterval{2000};
  /// A worker that has not replied for this long counts as unreachable and gets
  /// no new tasks.
  milliseconds UnreachableAfter{6000};
  /// Interval between scans of the shards' ownership rows.
  milliseconds ShardScanInterval{1000};
  /// Interval between scans of an owned shard's job shares.
  milliseconds SharePollInterval{5000};
  /// Interval between reads of the host list.
  milliseconds HostPollInterval{1500};
  /// Time between the removal of a replica from the routes and its Stop order.
  milliseconds RouteDrain{3000};
  /// Maximum wait for a checkpoint before a task is stopped without a new one.
  milliseconds CheckpointTimeout{5000};
  /// Waiting time after which a replica or an urgent task may evict batch
  /// tasks.
  milliseconds EvictAfter{1500};
  /// Waiting time after which a task of a job, batch or urgent, moves to a
  /// shard with enough free resources.
  milliseconds MoveAfter{8000};
  /// How long writes are collected into one transaction.
  milliseconds GroupCommitWindow{20};
  /// How the workers' request slots are lent to entry processes.
  CreditLenderOptions Credits;
  /// Failed attempts after which a task fails for good.
  uint32_t MaxFailures = 5;
  /// Delay before a failed task is placed again, times its number of failures.
  milliseconds FailureBackoff{500};
  /// Maximum difference of clock rates, in parts per thousand.
  int ClockDriftPermille = 5;
  PlacementPolicy Placement = spreadPackPolicy();
  /// Called for every state change that operators should see.
  std::function<void(std::string_view Event, std::string_view Detail)> OnEvent;
  SchedulerFaults Faults;
};

/// A service replica that accepts requests.
struct ReplicaRoute {
  std::string Service;
  std::string Team;
  std::string Task;
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  bool operator==(const ReplicaRoute &) const = default;
};

/// Request slots that an entry process holds and requests on one worker.
struct CreditDemand {
  std::string Worker;
  uint32_t Held = 0;
  /// Requested number of slots, including those already held.
  uint32_t Requested = 0;
};

/// Request slots that an entry process may use on one worker.
struct CreditGrant {
  std::string Worker;
  uint32_t Slots = 0;
  /// The entry process counts the lease from the time it sent its request.
  milliseconds Lease{0};
};

/// Version of a shard's routes that an entry process already has.
struct KnownRoutes {
  std::string Shard;
  uint64_t Epoch = 0;
  uint64_t Version = 0;
};

/// Request of an entry process for routes and credits.
struct EntryRequest {
  std::string Entry;
  std::vector<CreditDemand> Demands;
  std::vector<KnownRoutes> Known;
};

/// Routes and grants of one shard.
struct ShardRoutes {
  std::string Shard;
  uint64_t Epoch = 0;
  /// Increases with every change of the routes.
  uint64_t Version = 0;
  /// True if the entry process already has this version; \p Routes is then
  /// empty.
  bool IsUnchanged = false;
  std::vector<ReplicaRoute> Routes;
  std::vector<CreditGrant> Grants;
};

/// Configuration of a service.
struct ServiceSpec {
  std::string Name;
  std::string Team;
  std::string WorkKind;
  uint32_t Replicas = 0;
  Resources Demand;
};

/// Operator's instruction to place no new tasks on a worker.
struct WorkerCordon {
  std::string Worker;
  /// True if running tasks must move to other workers.
  bool ShouldDrain = false;
};

/// Event counts of one scheduler since its start.
struct SchedulerCounters {
  uint64_t Placements = 0;
  uint64_t FinishedTasks = 0;
  /// Failed attempts, including those that are retried.
  uint64_t FailedAttempts = 0;
  uint64_t Evictions = 0;
  /// Placed attempts that the worker no longer reports, or whose worker stayed
  /// unreachable until all leases on it expired.
  uint64_t LostAttempts = 0;
  /// Shards claimed.
  uint64_t Claims = 0;
  /// Shards released to other schedulers.
  uint64_t Releases = 0;
  /// Shards lost to an owner with a higher epoch.
  uint64_t LostShards = 0;
  /// Syncs sent to workers.
  uint64_t Syncs = 0;
  uint64_t Transactions = 0;
};

/// Owns shards of workers, and places, starts and stops tasks on them.
///
/// Use one instance per process, from a single thread: call tick() every few
/// milliseconds and run all callbacks of the ports on the same thread. All
/// durable state is in the table store, so the scheduler may be destroyed at
/// any point.
class Scheduler {
public:
  Scheduler(SchedulerOptions Options, TableStore &Store, WorkerPort &Workers,
            HostList &Hosts, const Clock &Time);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Performs all work that is due.
  void tick();
  /// Applies the services and cordons of configuration \p Revision; has no
  /// effect unless \p Revision is higher than the current one.
  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons);
  /// Schedules a scan of the job shares of \p Shards for the next tick.
  void pollSharesSoon(const std::vector<std::string> &Shards);
  /// Returns the replicas in the owned shards that accept requests now.
  std::vector<ReplicaRoute> routes() const;
  /// Returns routes and credits of all owned shards for an entry process.
  std::vector<ShardRoutes> handleEntryRequest(const EntryRequest &Request);
  /// Returns the names of the shards that are owned and loaded.
  std::vector<std::string> ownedShards() const;
  /// Explains the state and placement of \p Task, one sentence per element;
  /// empty if \p Task is in none of the owned shards.
  std::vector<std::string> explain(const std::string &Task) const;
  /// Releases all shards and leaves the membership; calls \p Done afterwards.
  void shutDown(std::function<void()> Done);
  SchedulerCounters counters() const;
  const Membership &membership() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
