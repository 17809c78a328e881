#include "libjobhost/jobhost.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Longest lease that a shard gives to what runs; a crashed worker's tasks
/// wait for it.
constexpr milliseconds LongestLease{6000};
/// Allowance for slow clocks and orders under way.
constexpr milliseconds WriteOffMargin{700};

} // namespace

JobHost::JobHost(JobHostOptions Options, RowStore &Store, TaskWorkers &Workers,
                 ApprovalService *Approvals, const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_workers(Workers),
      m_approvals(Approvals), m_time(Time),
      m_queues(std::make_shared<JobQueues>()),
      m_cluster(clusterOptions(), Store, Time),
      m_desk({.Shards = m_options.Shards,
              .After = m_options.After,
              .WallTime = m_options.WallTime,
              .LocalState =
                  [this](const std::string &Job) { return localState(Job); }},
             Store, Time) {}

HostClusterOptions JobHost::clusterOptions() {
  return {.HostName = m_options.HostName,
          .HostId = m_options.HostName + HostIdSeparator + m_options.StartId,
          .Weight = m_options.Weight,
          .Shards = m_options.Shards,
          .OnOwned = [this](int Shard, uint64_t Epoch) { own(Shard, Epoch); },
          .OnDisowned = [this](int Shard) { m_shards.erase(Shard); },
          .OnAssigned =
              [this] {
                for (const auto &[Shard, Owner] : m_shards)
                  giveWorkers(Shard);
              },
          .Report = [this] { return reports(); },
          .Log = m_options.Log};
}

void JobHost::own(int Shard, uint64_t Epoch) {
  HostClusterOptions Cluster;
  JobShardOptions Options{.Shard = Shard, .Epoch = Epoch};
  Options.Lease = std::min(m_options.MaxLease, LongestLease);
  Options.WriteOff =
      Cluster.Horizon + Options.Lease + WriteOffMargin - Cluster.Timeout;
  Options.MayAct = [this] { return m_cluster.mayAct(); };
  Options.MayFence = [this] { return m_cluster.mayFence(); };
  Options.WallTime = m_options.WallTime;
  Options.Log = m_options.Log;
  auto Fresh = std::make_unique<JobShard>(std::move(Options), m_store,
                                          m_workers, m_approvals, m_time);
  Fresh->setQueues(m_queues);
  m_shards[Shard] = std::move(Fresh);
  giveWorkers(Shard);
  m_shards[Shard]->load();
}

void JobHost::giveWorkers(int Shard) {
  std::vector<WorkerEntry> Own;
  for (const WorkerEntry &Each : m_fleet)
    if (m_cluster.shardOf(Each.Id) == Shard)
      Own.push_back(Each);
  m_shards.at(Shard)->setWorkers(std::move(Own), m_fleet);
}

void JobHost::tick() {
  m_cluster.tick();
  for (const auto &[Shard, Owner] : m_shards) {
    Owner->tick();
    if (Owner->isLost())
      m_cluster.doubt(Shard);
  }
}

void JobHost::setFleet(std::vector<WorkerEntry> Fleet) {
  m_fleet = std::move(Fleet);
  m_cluster.setFleet(m_fleet);
  for (const auto &[Shard, Owner] : m_shards)
    giveWorkers(Shard);
}

void JobHost::setQueues(std::shared_ptr<const JobQueues> Queues) {
  m_queues = std::move(Queues);
  for (const auto &[Shard, Owner] : m_shards)
    Owner->setQueues(m_queues);
}

std::map<int, ShardReport> JobHost::reports() const {
  std::map<int, ShardReport> Out;
  for (const auto &[Shard, Owner] : m_shards)
    if (Owner->isLoaded() && !Owner->isLost())
      Out[Shard] = {.Epoch = Owner->epoch(), .Pending = Owner->pending()};
  return Out;
}

std::optional<int> JobHost::pending(const std::string &Queue) const {
  std::map<int, ShardReport> Own = reports();
  int Out = 0;
  for (int Shard = 0; Shard < m_options.Shards; ++Shard) {
    auto Here = Own.find(Shard);
    const ShardReport *Report =
        Here == Own.end() ? m_cluster.report(Shard) : &Here->second;
    if (!Report)
      return std::nullopt;
    auto Found = Report->Pending.find(Queue);
    Out += Found == Report->Pending.end() ? 0 : Found->second;
  }
  return Out;
}

std::optional<JobState> JobHost::localState(const std::string &Job) const {
  auto Found = m_shards.find(shardOfJob(Job, m_options.Shards));
  if (Found == m_shards.end() || Found->second->isLost() || !m_cluster.mayAct())
    return std::nullopt;
  return Found->second->state(Job);
}

JobShardCounts JobHost::counts() const {
  JobShardCounts Out;
  for (const auto &[Shard, Owner] : m_shards) {
    const JobShardCounts &Each = Owner->counts();
    Out.Starts += Each.Starts;
    Out.Looks += Each.Looks;
    Out.Commits += Each.Commits;
    Out.EndsDone += Each.EndsDone;
    Out.EndsOther += Each.EndsOther;
    Out.Unanswered += Each.Unanswered;
    Out.ApprovalCalls += Each.ApprovalCalls;
    Out.StartsAnswered += Each.StartsAnswered;
    Out.StartTime += Each.StartTime;
    Out.StartsUnderWay += Each.StartsUnderWay;
    Out.RoundsWhole += Each.RoundsWhole;
    Out.RoundsAtStartLimit += Each.RoundsAtStartLimit;
    Out.RoundsAtStepLimit += Each.RoundsAtStepLimit;
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
