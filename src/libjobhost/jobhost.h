/// \file
/// One entry host: takes jobs for all shards and owns some of them.
#pragma once

#include "basilchute/hostcluster.h"
#include "basilchute/jobdesk.h"
#include "basilchute/jobshard.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobHost.
struct JobHostOptions {
  /// Name of the host.
  std::string HostName;
  /// Makes the host's id unique for each start of the process.
  std::string StartId;
  /// Capacity relative to other hosts.
  int Weight = 1;
  /// Workers that one shard should hold; the number of shards follows the
  /// fleet.
  int WorkersPerShard = 160;
  int LeastShards = 1;
  /// Transactions of the store may span parts. If not, there is one shard.
  bool SpansParts = true;
  /// Longest lease that a worker grants.
  milliseconds MaxLease{6000};
  /// Runs a function on the host's loop after a delay.
  std::function<void(milliseconds, std::function<void()>)> After;
  /// Asks for the present list of workers: setFleet() if it has changed, and
  /// then noteFleet().
  std::function<void()> RefreshFleet;
  /// Returns the time since 1970.
  std::function<milliseconds()> WallTime;
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Ties the desk, the cluster and the owned shards together. Not safe for
/// several threads.
class JobHost {
public:
  /// \p Approvals may be null; then work that needs approval waits.
  JobHost(JobHostOptions Options, RowStore &Store, TaskWorkers &Workers,
          ApprovalService *Approvals, const Clock &Time);

  void start() { m_cluster.start(); }
  void tick();
  /// Replaces the list of all workers.
  void setFleet(std::vector<WorkerEntry> Fleet);
  /// The list was complete as of that time.
  void noteFleet(TimePoint AsOf) { m_fleetAsOf = std::max(m_fleetAsOf, AsOf); }
  /// Replaces the queues.
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  /// Hands over everything that this host owns.
  void leave() { m_cluster.leave(); }
  /// Removes the host's row.
  void finish() { m_cluster.removeSelf(); }

  JobDesk &desk() { return m_desk; }
  /// Jobs without a started task in \p Queue, over all shards; none while a
  /// shard has no owner that could say.
  std::optional<int> pending(const std::string &Queue) const;
  /// Counts over all shards owned now.
  JobShardCounts counts() const;
  /// Number of shards now, and the shard of a worker, -1 for none.
  int shards() const { return m_cluster.shards(); }
  int shardOf(const std::string &Worker) const {
    return m_cluster.shardOf(Worker);
  }
  int ownedShards() const { return static_cast<int>(m_shards.size()); }

private:
  /// Work that was sent to a shard, until its owner's report can show it.
  struct SentWork {
    TimePoint At{};
    int Shard = 0;
    ShardLoad Load;
  };

  void own(int Shard, uint64_t Epoch);
  void groupWorkers();
  void giveWorkers(int Shard);
  std::map<int, ShardReport> reports() const;
  /// Shards that could run \p Value, with their load.
  std::vector<ShardCandidate> candidates(const Job &Value);
  bool canRun(int Shard, const Job &Value) const;
  bool hasData(int Shard, const Job &Value) const;
  int choose(const Job &Value);
  int elsewhere(int Shard, const Job &Value);
  void noteSent(int Shard, const ShardDemand &Demand);
  std::optional<JobState> localState(const std::string &Job) const;
  HostClusterOptions clusterOptions();

  JobHostOptions m_options;
  RowStore &m_store;
  TaskWorkers &m_workers;
  ApprovalService *m_approvals;
  const Clock &m_time;
  std::map<int, std::unique_ptr<JobShard>> m_shards;
  std::vector<WorkerEntry> m_fleet;
  TimePoint m_fleetAsOf{};
  /// A worker that left the list, and when.
  struct FormerWorker {
    WorkerEntry Entry;
    TimePoint LeftAt{};
  };

  void noteFormer(const std::vector<WorkerEntry> &Before);
  std::vector<WorkerEntry> formerOf(int Shard) const;

  std::map<std::string, FormerWorker> m_former;
  /// The fleet by shard.
  std::map<int, std::vector<WorkerEntry>> m_byShard;
  std::deque<SentWork> m_sent;
  std::shared_ptr<const JobQueues> m_queues;
  HostCluster m_cluster;
  JobDesk m_desk;
};

BASILCHUTE_NAMESPACE_END
