/// \file
/// An entry host, which accepts jobs for all shards and owns some of the
/// shards.
#pragma once

#include "basilchute/admission.h"
#include "basilchute/hostcluster.h"
#include "basilchute/jobfrontend.h"
#include "basilchute/jobshard.h"
#include "libbasilchute/jobmemory.h"
#include "libbasilchute/linelimit.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a JobHost.
struct JobHostOptions {
  /// Name of the host.
  std::string HostName;
  /// Suffix of the host's id, unique for each start of the process.
  std::string StartId;
  /// Capacity relative to the other hosts.
  int Weight = 1;
  /// Memory in bytes that this host can spare for jobs; zero for no limit.
  size_t MaxJobBytes = 0;
  /// How the number of shards is derived from the fleet.
  ShardCountOptions ShardCount;
  /// Whether transactions of the store may span partitions. If not, there is
  /// only one shard.
  bool CanSpanPartitions = true;
  /// Longest lease that a worker grants.
  milliseconds MaxWorkerLease{6000};
  PlacementOptions Placement;
  /// Whether new jobs are refused for which there is no room; must be the same
  /// on all hosts.
  bool RefusesJobs = false;
  /// Whether queues whose short tasks wait are ordered by their shares of the
  /// resources.
  bool OrdersByShares = false;
  /// As in JobShardOptions.
  bool MeasuredFill = false;
  /// Whether the shard of a finite or fill job is chosen by the work of the
  /// job's own kind.
  bool ChoosesShardsByKind = false;
  /// Runs a function on the host's event loop after a delay.
  std::function<void(milliseconds, std::function<void()>)> RunAfter;
  /// Requests the current list of workers. The receiver calls setFleet() if the
  /// list has changed, and then setFleetTime().
  std::function<void()> RefreshFleet;
  /// Requests the failure domains that are evacuated now. The receiver calls
  /// setEvacuated() if they have changed, and then setEvacuatedTime(). If not
  /// set, starts are not held back after a pause of the process.
  std::function<void()> RefreshEvacuated;
  /// Returns the time since the Unix epoch.
  std::function<milliseconds()> WallTime;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Connects the job front end, the host cluster and the owned shards. Not
/// thread-safe.
class JobHost {
public:
  /// If \p Approvals is null, work that needs approval waits.
  JobHost(JobHostOptions Options, RowStore &Store, TaskWorkers &Workers,
          ApprovalService *Approvals, const Clock &Time);

  /// Starts the host cluster, which acquires shards.
  void start() { m_cluster.start(); }
  /// Runs the periodic work that has become due.
  void tick();
  /// Replaces the complete list of workers. \p IsFollowed tells whether this
  /// host has seen each change since the last list.
  void setFleet(std::vector<WorkerEntry> Fleet, bool IsFollowed);
  /// Records that the list of workers was complete at the time \p AsOf.
  void setFleetTime(TimePoint AsOf) {
    m_fleetTime = std::max(m_fleetTime, AsOf);
  }
  /// Replaces the set of failure domains on whose workers nothing is started.
  void setEvacuated(std::set<std::string> Domains);
  /// Records that these domains were complete at the time \p AsOf.
  void setEvacuatedTime(TimePoint AsOf);
  /// Replaces the configuration of the queues.
  void setQueues(std::shared_ptr<const JobQueues> Queues);
  /// Hands over all shards that this host owns.
  void leave() { m_cluster.leave(); }
  /// Removes this host's row. No other call may follow.
  void removeOwnRow() { m_cluster.removeOwnRow(); }

  /// Returns the job front end, through which jobs are submitted, queried and
  /// cancelled.
  JobFrontend &frontend() { return m_frontend; }
  /// Returns the number of jobs in \p Queue without a started task, over all
  /// shards. Returns nothing while the state of any shard is unknown, since it
  /// has no live owner that has loaded it.
  std::optional<int> pending(const std::string &Queue) const;
  /// Returns the number of failure domains that are evacuated, and of listed
  /// workers in them.
  size_t evacuatedDomains() const { return m_evacuated.size(); }
  size_t evacuatedWorkers() const { return m_evacuatedWorkers; }
  /// Returns the numbers of jobs that this host has refused, and the room for
  /// finite work by the last reports.
  const Admission &admission() const { return m_admission; }
  /// Returns the memory for jobs over all shards.
  JobMemoryState jobMemory() const;
  /// Returns the shares of the queues in the owned shards.
  std::map<std::pair<int, std::string>, double> queueShares() const;
  /// Returns the sums of the counters of all shards that this host owns now.
  JobShardCounts counts() const;
  /// Returns the current number of shards.
  int shards() const { return m_cluster.shards(); }
  /// Returns the shard of \p Worker, or -1 if the worker has none yet.
  int shardOf(const std::string &Worker) const {
    return m_cluster.shardOf(Worker);
  }
  /// Returns the number of shards that this host owns.
  /// See HostCluster::isIdle(). An idle host need not follow the list of
  /// workers closely.
  bool isIdle() const { return m_cluster.isIdle(); }
  int ownedShards() const { return static_cast<int>(m_ownedShards.size()); }

private:
  /// Work that was sent to a shard and may not be in its owner's report yet.
  struct SentWork {
    TimePoint SentAt{};
    int Shard = 0;
    ShardLoad Load;
    /// Millicores of delegated tasks, which are part of Load too.
    int64_t DelegatedMillicores = 0;
  };

  void acquireShard(int Shard, uint64_t Epoch, uint64_t ReleaseVersion);
  std::optional<std::vector<RowChange>> handOverShard(int Shard);
  void groupWorkers();
  void updateShardWorkers(int Shard);
  std::map<int, ShardReport> reports() const;
  /// Returns the shards that can run \p Value, with their load.
  std::vector<ShardCandidate> candidates(const Job &Value);
  std::optional<DelegationTarget>
  findDelegationTarget(int Shard, const Job &Value,
                       const std::set<int> &Holders, size_t Tasks);
  /// Returns the restarts that find no room in any shard but \p Shard.
  RestartDemand restartsElsewhere(int Shard) const;
  /// Returns how many more tasks of \p Demand than were sent to the shard
  /// lately it can take.
  size_t tasksToSend(const ShardCandidate &Target,
                     const ShardDemand &Demand) const;
  using WorkerTest = std::function<bool(const WorkerEntry &)>;
  /// Returns true if those of the shard's workers that \p IsUsable selects can
  /// hold a task of each step of \p Value.
  bool canHold(int Shard, const Job &Value, const WorkerTest &IsUsable) const;
  bool canRun(int Shard, const Job &Value) const;
  bool hasData(int Shard, const Job &Value) const;
  /// Returns \p Service's workers by shard, those without a shard as shard -1:
  /// also draining ones and ones that left the list a short time ago, with
  /// their largest capacities.
  std::map<int, std::vector<WorkerEntry>>
  largestWorkers(const std::string &Service) const;
  /// Fails if the gangs of \p Value fit on the fleet, but not within a shard.
  Status checkGangs(const Job &Value) const;
  /// Fails with TooLarge if no wait makes room for the job in the hosts'
  /// memory, and as checkWorkers() and checkGangs().
  Status checkRoom(const Job &Value) const;
  /// Fails with NeverFits if no worker that may come back can hold a step.
  Status checkWorkers(const Job &Value) const;
  /// Fails with Overloaded if the job is refused for the memory of the hosts or
  /// the load of the shards.
  Status admit(const Job &Value);
  std::optional<Refusal> checkLoad(const Job &Value,
                                   const AdmissionDemand &Demand);
  /// Returns a version that the store had reached when a shard's owner wrote
  /// its last report.
  uint64_t knownVersion() const;
  /// Logs the room for finite work and the shares of the queues.
  void logAdmission();
  /// Passes the reports on all shards to m_admission.
  void updateAdmission();
  /// Returns true if the usable workers of \p Shard hold each gang of \p Value
  /// when they are idle.
  bool holdsGangs(int Shard, const Job &Value) const;
  /// Returns the shards that are left for \p Value if no owner of a shard that
  /// can run it is known.
  std::vector<ShardCandidate> unknownCandidates(const Job &Value) const;
  /// Returns the shards that can run \p Value with all its gangs.
  std::vector<ShardCandidate> gangCandidates(const Job &Value);
  /// Returns the shard for the new job \p Value.
  int chooseShardFor(const Job &Value);
  /// Returns false after a pause of the process until it knows the evacuations
  /// that were requested meanwhile, or the wait for them is over.
  bool mayStart() const;
  void holdStartsAfterPause();
  /// Returns the shard to which the job \p Value that waits on \p Shard should
  /// be transferred, or -1 if the job should stay.
  int chooseTransferFor(int Shard, const Job &Value);
  void recordSentWork(int Shard, const ShardDemand &Demand);
  std::optional<JobState> localState(const std::string &JobId) const;
  HostClusterOptions clusterOptions();

  JobHostOptions m_options;
  RowStore &m_store;
  TaskWorkers &m_workers;
  ApprovalService *m_approvals;
  const Clock &m_time;
  std::map<int, std::unique_ptr<JobShard>> m_ownedShards;
  /// By shard: epoch under which this process last owned it.
  std::map<int, uint64_t> m_lastEpochs;
  /// Number of shards that this process has taken over so far.
  uint64_t m_takeovers = 0;
  std::vector<WorkerEntry> m_fleet;
  /// Failure domains that are evacuated, and number of listed workers there.
  std::set<std::string> m_evacuated;
  size_t m_evacuatedWorkers = 0;
  TimePoint m_lastTick{};
  /// When the process last went on after a pause, and until when nothing is
  /// started because of it.
  TimePoint m_wokeAt{};
  TimePoint m_startsHeldUntil{};
  TimePoint m_fleetTime{};
  /// A worker that was removed from the list.
  struct FormerWorker {
    WorkerEntry Entry;
    TimePoint RemovedAt{};
    /// It may have had another address before it was removed.
    bool MayHaveMoved = false;
  };

  void updateFormerWorkers(const std::vector<WorkerEntry> &OldFleet,
                           bool IsFollowed);
  std::vector<WorkerEntry> formerWorkersOf(int Shard) const;

  std::map<std::string, FormerWorker> m_formerWorkers;
  /// All workers by shard.
  std::map<int, std::vector<WorkerEntry>> m_workersByShard;
  std::deque<SentWork> m_sentWork;
  Admission m_admission;
  JobMemory m_jobMemory;
  LineLimit m_refusalLines;
  TimePoint m_nextAdmissionLog{};
  std::shared_ptr<const JobQueues> m_queues;
  HostCluster m_cluster;
  JobFrontend m_frontend;
};

BASILCHUTE_NAMESPACE_END
