/// \file
/// The scheduler core: ownership of shards, and the tasks on their workers.
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

/// Deliberate faults that tests switch on to show that their checks find them.
/// All are off in production.
struct SchedulerFaults {
  /// Sends every order with the same epoch.
  bool SkipFence = false;
  /// Counts leases as over as soon as a worker is unreachable.
  bool IgnoreLeases = false;
  /// Gives room back when the stop is ordered.
  bool ReleaseAtStopOrder = false;
  /// Starts a task before its placement is committed.
  bool StartBeforeCommit = false;
  /// Resumes an evicted task before its stop is confirmed.
  bool ResumeBeforeStopped = false;
  /// Commits without depending on the shard's ownership row.
  bool SkipStoreFence = false;
  /// Ignores the horizon of a dead owner.
  bool IgnoreHorizon = false;
  /// Places without checking the free room.
  bool SkipFit = false;
  /// Does not count the leases that its own orders grant.
  bool ForgetGrants = false;
  /// Keeps the attempt number of a task that is placed again.
  bool ReuseAttempt = false;
};

/// Settings of a Scheduler.
struct SchedulerOptions {
  Member Self;
  Layout Division;
  MembershipOptions Membership;
  /// Lease of a running task.
  milliseconds TaskLease{12000};
  /// Interval between exchanges with one worker.
  milliseconds SyncEvery{2000};
  /// A worker without a reply for this long gets no new tasks.
  milliseconds UnreachableAfter{6000};
  milliseconds ShardScanEvery{1000};
  milliseconds SharePollEvery{5000};
  milliseconds HostPollEvery{1500};
  /// Time between a replica's leaving the routes and its stop order.
  milliseconds RouteDrain{3000};
  /// Longest wait for a checkpoint before a task is stopped without a new one.
  milliseconds CheckpointPatience{5000};
  /// Waiting time after which urgent work may evict batch work.
  milliseconds EvictAfter{1500};
  /// Waiting time after which a batch task moves to a shard that has room.
  milliseconds MoveAfter{8000};
  milliseconds GroupCommitWindow{20};
  /// Lending of the workers' slots to entry processes.
  CreditLenderOptions Credits;
  /// Failed attempts after which a task is given up.
  uint32_t MaxFailures = 5;
  milliseconds FailureBackoff{500};
  int ClockDriftPermille = 5;
  PlacementPolicy Placement = spreadPackPolicy();
  /// Called for every change of state that operators should see.
  std::function<void(std::string_view Event, std::string_view Detail)> OnEvent;
  SchedulerFaults Faults;
};

/// A replica that takes requests.
struct ReplicaRoute {
  std::string Service;
  std::string Team;
  std::string Task;
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  bool operator==(const ReplicaRoute &) const = default;
};

/// Slots that an entry process holds and would like on one worker.
struct CreditDemand {
  std::string Worker;
  uint32_t Held = 0;
  uint32_t Wanted = 0;
};

/// Slots that an entry process may use on one worker.
struct CreditGrant {
  std::string Worker;
  uint32_t Slots = 0;
  /// Counted by the entry from when it asked.
  milliseconds Lease{0};
};

/// Routes that an entry process has already.
struct KnownRoutes {
  std::string Shard;
  uint64_t Epoch = 0;
  uint64_t Version = 0;
};

/// What an entry process asks of a scheduler.
struct EntryQuestion {
  std::string Entry;
  std::vector<CreditDemand> Demands;
  std::vector<KnownRoutes> Known;
};

/// Routes and grants of one shard.
struct ShardRoutes {
  std::string Shard;
  uint64_t Epoch = 0;
  /// Changes with every change of the routes.
  uint64_t Version = 0;
  /// True if the entry has this version; the routes are left out then.
  bool Unchanged = false;
  std::vector<ReplicaRoute> Routes;
  std::vector<CreditGrant> Grants;
};

/// A service whose replicas must run.
struct ServiceSpec {
  std::string Name;
  std::string Team;
  std::string WorkKind;
  uint32_t Replicas = 0;
  Resources Demand;
};

/// A worker that operators took out of service.
struct WorkerCordon {
  std::string Worker;
  bool Drain = false;
};

/// Numbers of one scheduler since its start.
struct SchedulerCounters {
  uint64_t Placements = 0;
  uint64_t Finished = 0;
  uint64_t Failed = 0;
  uint64_t Evictions = 0;
  uint64_t Lost = 0;
  uint64_t Claims = 0;
  uint64_t Releases = 0;
  uint64_t FencedOut = 0;
  uint64_t Syncs = 0;
  uint64_t Transactions = 0;
};

/// Owns shards of workers and keeps the right tasks running on them.
///
/// Embed one per process and drive it from one thread: call tick() every few
/// milliseconds; all callbacks of the ports must run on that thread too. It
/// holds nothing that must last, so it may be destroyed at any point.
class Scheduler {
public:
  Scheduler(SchedulerOptions Options, TableStore &Store, WorkerPort &Workers,
            HostList &Hosts, const Clock &Time);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Does all that is due.
  void tick();
  /// Applies the services and cordons of configuration \p Revision; a revision
  /// not above the present one changes nothing.
  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons);
  /// Reads the shares of \p Shards at the next tick.
  void nudge(const std::vector<std::string> &Shards);
  /// Replicas in the owned shards that take requests now.
  std::vector<ReplicaRoute> routes() const;
  /// Answers an entry process for all owned shards.
  std::vector<ShardRoutes> answerEntry(const EntryQuestion &From);
  /// Names of the shards that are owned and loaded.
  std::vector<std::string> ownedShards() const;
  /// Says why \p Task is where it is; empty if no owned shard knows it.
  std::vector<std::string> explain(const std::string &Task) const;
  /// Hands all shards over and leaves; \p Done runs once that is settled.
  void shutDown(std::function<void()> Done);
  SchedulerCounters counters() const;
  const Membership &membership() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
