/// \file
/// Distribution of the shards among the hosts, coordinated through rows in the
/// store.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/rowstore.h"
#include "basilchute/shardchoice.h"
#include "basilchute/shardcount.h"
#include "basilchute/taskworker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

class ShardLayout;

/// State of a shard as published by its owner.
struct ShardReport {
  /// Epoch under which the host owns the shard.
  uint64_t Epoch = 0;
  /// Number of listed workers that the owner counts; zero if unknown.
  uint32_t Workers = 0;
  /// The owner takes tasks of other shards' jobs in addition to those that it
  /// has of the same job. Owners of earlier versions do not.
  bool TakesAddedTasks = false;
  /// Number of jobs without a started task, by queue.
  std::map<std::string, int> PendingJobs;
  ShardLoad Load;
};

/// Separates a host's name from the suffix in its id.
inline constexpr char HostIdSeparator = '~';

/// Settings of a HostCluster.
struct HostClusterOptions {
  /// Name of the host, on which only one process runs.
  std::string HostName;
  /// HostName with a suffix that is unique for each start of the process.
  std::string HostId;
  /// Capacity relative to the other hosts.
  int Weight = 1;
  /// Memory in bytes that the host can spare for jobs; zero for no limit.
  size_t MaxJobBytes = 0;
  /// How the number of shards is derived from the fleet; must be the same on
  /// all hosts.
  ShardCountOptions ShardCount;
  /// Interval between two renewals of this host's row, and between two reads
  /// of all hosts' rows.
  milliseconds RenewInterval{500};
  /// Interval between two renewals of this host's row while it is idle, see
  /// HostCluster::isIdle().
  milliseconds IdleRenewInterval{2500};
  /// A host whose row has not changed for this long is considered dead; an idle
  /// one after as much more as its interval is longer.
  milliseconds Timeout{1700};
  /// Time after the last renewal during which this host may send orders to
  /// workers, if they still accept them. With the lease that such an owner
  /// gives (2.4 s), running tasks outlast a store that is away for 12 s.
  milliseconds Horizon{10600};
  /// Time after the last renewal during which this host answers for jobs of its
  /// shards from memory.
  milliseconds AnswerHorizon{7000};
  /// Whether conditions of a commit may name rows of several partitions.
  bool CanSpanPartitions = true;
  /// Called when this host has become the owner of a shard. \p ReleaseVersion
  /// is the version at which the last owner gave the shard up, if nobody has
  /// owned it since; 0 if that is not known.
  std::function<void(int Shard, uint64_t Epoch, uint64_t ReleaseVersion)>
      OnAcquired;
  /// Called before this host hands over a shard that it owns. The callee stops
  /// sending orders for the shard and returns the rows for the new owner, which
  /// are written in one transaction with the owner row; none if the shard
  /// cannot be handed over yet. Called again if a handover is repeated.
  std::function<std::optional<std::vector<RowChange>>(int Shard)> OnHandover;
  /// Called when a handover has certainly failed: this host still owns the
  /// shard, and orders may be sent again.
  std::function<void(int Shard)> OnHandoverFailed;
  /// Called when this host no longer owns a shard.
  std::function<void(int Shard)> OnReleased;
  /// Called when the assignment of workers to shards, or the result of
  /// largestWorkers(), has changed.
  std::function<void()> OnAssigned;
  /// Returns the reports on the owned shards, to be published in this host's
  /// row.
  std::function<std::map<int, ShardReport>()> Report;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Renews this host's row, tracks which hosts are alive, claims shards without
/// a live owner, and hands over shards that another host should own.
///
/// Not thread-safe.
class HostCluster {
public:
  HostCluster(HostClusterOptions Options, RowStore &Store, const Clock &Time);
  ~HostCluster();
  HostCluster(const HostCluster &) = delete;
  HostCluster &operator=(const HostCluster &) = delete;

  /// Starts reading the rows of hosts and shards, and renewing this host's row.
  void start();
  /// Runs the periodic work that has become due.
  void tick();
  /// Hands over all shards and stops claiming shards.
  void leave();
  /// Gives up the shards that no other host could take, and removes this host's
  /// row. No other call may follow.
  void removeOwnRow();
  /// Reads the owner row of \p Shard again, after a worker or the store showed
  /// that this host may no longer own the shard.
  void recheckOwner(int Shard);
  /// Sets the complete list of the platform's workers, from which workers
  /// without a shard are assigned to one.
  void setFleet(const std::vector<WorkerEntry> &Fleet);

  /// Returns true if this host's row was renewed within the horizon, and this
  /// host certainly owned its shards then.
  bool canSendOrders() const;
  /// Returns true if this host may answer for jobs of its shards from memory.
  bool canAnswer() const;
  /// Returns a time from which no previous owner of \p Shard was a sole owner
  /// any more, see isSoleOwner(); at the latest the time of the call. \p Shard
  /// must be owned by this host.
  TimePoint previousSoleUntil(int Shard) const;
  /// Returns a number of workers that every previous owner of \p Shard counts
  /// at least that may still give leases on evidence; the largest value if
  /// there is no such owner, zero if the number is not known. Only known while
  /// OnAcquired is called, after a claim.
  uint32_t previousWorkers(int Shard) const;
  /// Returns whether all previous owners that may still give leases take only
  /// workers for evidence whose names they have stored.
  bool havePreviousStoredEvidence() const;
  /// Returns the largest number of workers that any report on \p Shard counts
  /// which other hosts may read, zero if they may have no report. \p Shard must
  /// be owned by this host.
  uint32_t publishedWorkers(int Shard) const;
  /// Returns true if no other host can have taken over this host's shards
  /// before a job's row was written with version \p RowVersion. A new owner
  /// starts jobs that were accepted later without knowing what runs on workers
  /// that it has not reached, so the previous owner must not start them.
  bool wasOwnerAt(uint64_t RowVersion) const;
  /// Returns true if no other host can have taken over this host's shards. A
  /// new incarnation of a worker may only be fenced under this condition, since
  /// the worker does not know of a newer owner.
  bool isSoleOwner() const;
  /// Returns the current number of shards.
  int shards() const;
  /// Returns the shard of \p Worker, or -1 if the worker has none yet.
  int shardOf(const std::string &Worker) const;
  /// Returns the listed workers with the largest capacity that each is known to
  /// have had; none before the stored capacities were read.
  std::vector<WorkerEntry> largestWorkers() const;
  /// Returns the layout with the workers that are known; null before start().
  const ShardLayout *layout() const;
  /// Returns the last report on \p Shard by its owner. Returns null if the
  /// shard has no live owner, or if the owner has not loaded the shard yet.
  const ShardReport *report(int Shard) const;
  /// Returns a number that grows with each report() on \p Shard that its owner
  /// writes, zero if there is none.
  uint64_t reportNumber(int Shard) const;
  /// Returns the number of live hosts.
  size_t liveHosts() const;
  /// Returns the least memory that any host with a row can spare for jobs, zero
  /// if none has a limit.
  size_t leastJobBytes() const;
  /// Returns the number of shards that this host owns.
  int owned() const;
  /// Returns true if this host owns no shard and is not about to get one, has
  /// been up for a while, and neither manages the layout nor is a standby. Idle
  /// hosts renew their row and read others' rows less often.
  bool isIdle() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
