/// \file
/// Hosts that share the shards, through rows of the store alone.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/rowstore.h"
#include "basilchute/shardchoice.h"
#include "basilchute/taskworker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// What the owner of a shard says of it.
struct ShardReport {
  uint64_t Epoch = 0;
  /// Jobs without a started task, by queue.
  std::map<std::string, int> Pending;
  ShardLoad Load;
};

/// Stands between a host's name and the suffix in its id.
inline constexpr char HostIdSeparator = '~';

/// Settings of a HostCluster.
struct HostClusterOptions {
  /// Name of the host. One process runs on each.
  std::string HostName;
  /// HostName with a suffix that is unique for each start of the process.
  std::string HostId;
  /// Capacity relative to other hosts.
  int Weight = 1;
  /// Workers that one shard should hold; the number of shards follows from it
  /// and from the fleet, and only grows.
  int WorkersPerShard = 160;
  /// Bounds on the number of shards; the same on all hosts.
  int LeastShards = 1;
  int MostShards = 64;
  /// Time between two renewals of the host's row, and between two readings of
  /// all hosts' rows.
  milliseconds BeatEvery{500};
  /// A host whose row stood still for this long counts as dead.
  milliseconds Timeout{1700};
  /// Time after the last renewal for which this host may give orders. A taker
  /// of its shards waits at least as long for workers that it cannot reach.
  milliseconds Horizon{7000};
  /// The shard is this host's, with this epoch.
  std::function<void(int Shard, uint64_t Epoch)> OnOwned;
  /// The shard is no longer this host's.
  std::function<void(int Shard)> OnDisowned;
  /// The assignment of workers to shards has changed.
  std::function<void()> OnAssigned;
  /// Returns what the host's row says of its shards.
  std::function<std::map<int, ShardReport>()> Report;
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Keeps this host's row, sees which hosts live, takes shards that nobody owns
/// and hands over those that another host should own.
///
/// Not safe for several threads.
class HostCluster {
public:
  HostCluster(HostClusterOptions Options, RowStore &Store, const Clock &Time);
  ~HostCluster();
  HostCluster(const HostCluster &) = delete;
  HostCluster &operator=(const HostCluster &) = delete;

  /// Begins to read and renew.
  void start();
  /// Does what has become due.
  void tick();
  /// Hands over all shards and takes none any more.
  void leave();
  /// Removes the host's row; call last.
  void removeSelf();
  /// The shard's owner was told by others that it is not; reads anew.
  void doubt(int Shard);
  /// All workers of the platform's list, for those without a shard.
  void setFleet(const std::vector<WorkerEntry> &Fleet);

  /// True while this host's row was renewed within the horizon.
  bool mayAct() const;
  /// True while no other host can have taken this host's shards before the
  /// version of a job's row. The new owner starts later jobs without knowing
  /// what runs on workers that it has not reached, so the former one must not.
  bool mayBegin(uint64_t RowVersion) const;
  /// True while no other host can have taken this host's shards. Only then may
  /// a worker's new life be fenced, since it knows of no newer owner.
  bool mayFence() const;
  /// Number of shards now.
  int shards() const;
  /// Shard of \p Worker, or -1 if it has none yet.
  int shardOf(const std::string &Worker) const;
  /// Returns what the owner of \p Shard said of it lately, or null if it has no
  /// owner that lives and has read it.
  const ShardReport *report(int Shard) const;
  /// Shards that this host owns.
  int owned() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
