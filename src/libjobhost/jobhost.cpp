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
/// Shards where transactions may span parts, and where not.
constexpr int MostShards = 64;
/// A worker that left the list longer ago has ended all that ran there.
constexpr milliseconds FormerFor{10000};
/// Time until an owner's report shows what was sent to it.
constexpr milliseconds ReportLag{1000};

} // namespace

JobHost::JobHost(JobHostOptions Options, RowStore &Store, TaskWorkers &Workers,
                 ApprovalService *Approvals, const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_workers(Workers),
      m_approvals(Approvals), m_time(Time),
      m_queues(std::make_shared<JobQueues>()),
      m_cluster(clusterOptions(), Store, Time),
      m_desk({.Choose = [this](const Job &Value) { return choose(Value); },
              .SpansParts = m_options.SpansParts,
              .After = m_options.After,
              .WallTime = m_options.WallTime,
              .LocalState =
                  [this](const std::string &Job) { return localState(Job); }},
             Store, Time) {}

HostClusterOptions JobHost::clusterOptions() {
  return {.HostName = m_options.HostName,
          .HostId = m_options.HostName + HostIdSeparator + m_options.StartId,
          .Weight = m_options.Weight,
          .WorkersPerShard = m_options.WorkersPerShard,
          .LeastShards = m_options.LeastShards,
          .MostShards = m_options.SpansParts ? MostShards : 1,
          .OnOwned = [this](int Shard, uint64_t Epoch) { own(Shard, Epoch); },
          .OnDisowned = [this](int Shard) { m_shards.erase(Shard); },
          .OnAssigned = [this] { groupWorkers(); },
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
  Options.MayBegin = [this](uint64_t Version) {
    return m_cluster.mayBegin(Version);
  };
  Options.FleetAsOf = [this] { return m_fleetAsOf; };
  Options.WallTime = m_options.WallTime;
  Options.Elsewhere = [this, Shard](const Job &Value) {
    return elsewhere(Shard, Value);
  };
  Options.Shards = [this] { return m_cluster.shards(); };
  Options.Log = m_options.Log;
  auto Fresh = std::make_unique<JobShard>(std::move(Options), m_store,
                                          m_workers, m_approvals, m_time);
  Fresh->setQueues(m_queues);
  m_shards[Shard] = std::move(Fresh);
  giveWorkers(Shard);
  m_shards[Shard]->setFormerWorkers(formerOf(Shard));
  m_shards[Shard]->load();
  if (m_options.RefreshFleet)
    m_options.RefreshFleet();
}

void JobHost::groupWorkers() {
  m_byShard.clear();
  for (const WorkerEntry &Each : m_fleet) {
    int Shard = m_cluster.shardOf(Each.Id);
    if (Shard >= 0)
      m_byShard[Shard].push_back(Each);
  }
  for (const auto &[Shard, Owner] : m_shards)
    giveWorkers(Shard);
}

void JobHost::giveWorkers(int Shard) {
  m_shards.at(Shard)->setWorkers(m_byShard[Shard], m_fleet);
}

bool JobHost::canRun(int Shard, const Job &Value) const {
  auto Queue = m_queues->find(Value.Queue);
  auto Workers = m_byShard.find(Shard);
  if (Queue == m_queues->end() || Workers == m_byShard.end())
    return false;
  return std::all_of(
      Value.Steps.begin(), Value.Steps.end(), [&](const JobStep &Step) {
        return std::any_of(Workers->second.begin(), Workers->second.end(),
                           [&](const WorkerEntry &Each) {
                             return Each.Service == Queue->second.Service &&
                                    !Each.Draining &&
                                    (Step.RequiredLabel.empty() ||
                                     Each.hasLabel(Step.RequiredLabel)) &&
                                    Step.reserved().fits(Each.Capacity);
                           });
      });
}

bool JobHost::hasData(int Shard, const Job &Value) const {
  auto Workers = m_byShard.find(Shard);
  return std::all_of(
      Value.Steps.begin(), Value.Steps.end(), [&](const JobStep &Step) {
        return Step.DataRack.empty() ||
               std::any_of(Workers->second.begin(), Workers->second.end(),
                           [&](const WorkerEntry &Each) {
                             return Each.hasLabel(Step.DataRack);
                           });
      });
}

std::vector<ShardCandidate> JobHost::candidates(const Job &Value) {
  while (!m_sent.empty() && m_sent.front().At + ReportLag < m_time.now())
    m_sent.pop_front();
  std::vector<ShardCandidate> Out;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard) {
    const ShardReport *Report = m_cluster.report(Shard);
    if (!Report || !canRun(Shard, Value))
      continue;
    Out.push_back({.Shard = Shard,
                   .Load = Report->Load,
                   .HasData = hasData(Shard, Value)});
    ShardLoad &Load = Out.back().Load;
    for (const SentWork &Each : m_sent) {
      if (Each.Shard != Shard)
        continue;
      Load.Lasting += Each.Load.Lasting;
      Load.Backlog += Each.Load.Backlog;
      Load.FillWaiting += Each.Load.FillWaiting;
    }
  }
  return Out;
}

void JobHost::noteSent(int Shard, const ShardDemand &Demand) {
  SentWork Sent{.At = m_time.now(), .Shard = Shard};
  if (Demand.LongRunning)
    Sent.Load.Lasting = static_cast<int64_t>(Demand.Amount);
  else
    Sent.Load.Backlog = Demand.Amount;
  Sent.Load.FillWaiting = Demand.FillWidth;
  m_sent.push_back(Sent);
}

// While no owner's report is known, and for jobs that fit nowhere, any shard
// will do: its owner finds out.
int JobHost::choose(const Job &Value) {
  ShardDemand Demand = demandOf(Value);
  std::vector<ShardCandidate> Known = candidates(Value);
  if (Known.empty())
    for (int Shard = 0; Shard < m_cluster.shards(); ++Shard)
      Known.push_back({.Shard = Shard});
  int Out = chooseShard(Known, Demand);
  noteSent(Out, Demand);
  return Out;
}

int JobHost::elsewhere(int Shard, const Job &Value) {
  ShardDemand Demand = demandOf(Value);
  ShardCandidate Own{.Shard = Shard,
                     .Load = m_shards.at(Shard)->currentLoad(),
                     .HasData = hasData(Shard, Value)};
  // The job itself holds nothing back.
  if (Demand.LongRunning)
    Own.Load.Lasting -= static_cast<int64_t>(Demand.Amount);
  else
    Own.Load.Backlog -= Demand.Amount;
  Own.Load.FillWaiting -= std::min(Own.Load.FillWaiting, Demand.FillWidth);
  // Nothing holds back more than a shard that cannot run it.
  if (!canRun(Shard, Value))
    Own.Load.Capacity = 0;
  std::vector<ShardCandidate> Others = candidates(Value);
  std::erase_if(
      Others, [&](const ShardCandidate &Each) { return Each.Shard == Shard; });
  int Out = betterShard(Own, Others, Demand);
  if (Out >= 0)
    noteSent(Out, Demand);
  return Out;
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
  std::vector<WorkerEntry> Before = std::move(m_fleet);
  m_fleet = std::move(Fleet);
  noteFormer(Before);
  m_cluster.setFleet(m_fleet);
  groupWorkers();
}

void JobHost::noteFormer(const std::vector<WorkerEntry> &Before) {
  TimePoint Now = m_time.now();
  for (const WorkerEntry &Each : Before)
    m_former[Each.Id] = {.Entry = Each, .LeftAt = Now};
  for (const WorkerEntry &Each : m_fleet)
    m_former.erase(Each.Id);
  std::erase_if(m_former, [Now](const auto &Each) {
    return Now > Each.second.LeftAt + FormerFor;
  });
}

std::vector<WorkerEntry> JobHost::formerOf(int Shard) const {
  std::vector<WorkerEntry> Out;
  for (const auto &[Id, Worker] : m_former)
    if (m_cluster.shardOf(Id) == Shard &&
        m_time.now() < Worker.LeftAt + FormerFor)
      Out.push_back(Worker.Entry);
  return Out;
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
      Out[Shard] = {.Epoch = Owner->epoch(),
                    .Pending = Owner->pending(),
                    .Load = Owner->currentLoad()};
  return Out;
}

std::optional<int> JobHost::pending(const std::string &Queue) const {
  std::map<int, ShardReport> Own = reports();
  int Out = 0;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard) {
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
  if (!m_cluster.mayAct())
    return std::nullopt;
  for (const auto &[Shard, Owner] : m_shards) {
    std::optional<JobState> Out =
        Owner->isLost() ? std::nullopt : Owner->state(Job);
    if (Out)
      return Out;
  }
  return std::nullopt;
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
    Out.Transfers += Each.Transfers;
    Out.Paces += Each.Paces;
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
