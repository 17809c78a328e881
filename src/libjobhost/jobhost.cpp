#include "libjobhost/jobhost.h"

#include "libbasilchute/evacuation.h"
#include "libbasilchute/gangfit.h"
#include "libbasilchute/handover.h"
#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Allowance for differences in clock rate and for orders in transit.
constexpr milliseconds LeaseExpiryMargin{700};
/// A worker that was removed from the list longer ago than this has ended all
/// its tasks.
constexpr milliseconds FormerWorkerRetention{10000};
/// Time after which an owner's report includes the work sent to that owner.
constexpr milliseconds ReportLag{1000};
/// A process that was not running for longer may have missed an evacuation.
/// Together with the feed's delay it must stay well below the 5 s in which an
/// evacuation takes effect.
constexpr milliseconds MaxTickGap{1000};
/// Time for which nothing is started after a pause while the store does not
/// tell of evacuations; then the last known state holds. A long-running task
/// must run again within 3 s.
constexpr milliseconds MaxStartHold{2000};
/// Log lines a second about refused jobs.
constexpr int MaxRefusalLines = 10;

} // namespace

JobHost::JobHost(JobHostOptions Options, RowStore &Store, TaskWorkers &Workers,
                 ApprovalService *Approvals, const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_workers(Workers),
      m_approvals(Approvals), m_time(Time),
      m_refusalLines(MaxRefusalLines, std::chrono::seconds(1)),
      m_queues(std::make_shared<JobQueues>()),
      m_cluster(clusterOptions(), Store, Time),
      m_frontend(
          {.ChooseShard =
               [this](const Job &Value) { return chooseShardFor(Value); },
           .CheckRoom = [this](const Job &Value) { return checkRoom(Value); },
           .Admit = [this](const Job &Value) { return admit(Value); },
           .KnownVersion = [this] { return knownVersion(); },
           .CanSpanPartitions = m_options.CanSpanPartitions,
           .RunAfter = m_options.RunAfter,
           .WallTime = m_options.WallTime,
           .FindLocalState =
               [this](const std::string &JobId) { return localState(JobId); }},
          Store, Time) {}

HostClusterOptions JobHost::clusterOptions() {
  ShardCountOptions ShardCount = m_options.ShardCount;
  if (!m_options.CanSpanPartitions)
    ShardCount.MaxShards = 1;
  return {.HostName = m_options.HostName,
          .HostId = m_options.HostName + HostIdSeparator + m_options.StartId,
          .Weight = m_options.Weight,
          .MaxJobBytes = m_options.MaxJobBytes,
          .ShardCount = ShardCount,
          .CanSpanPartitions = m_options.CanSpanPartitions,
          .OnAcquired =
              [this](int Shard, uint64_t Epoch, uint64_t ReleaseVersion) {
                acquireShard(Shard, Epoch, ReleaseVersion);
              },
          .OnHandover = [this](int Shard) { return handOverShard(Shard); },
          .OnHandoverFailed =
              [this](int Shard) { m_ownedShards.at(Shard)->resume(); },
          .OnReleased = [this](int Shard) { m_ownedShards.erase(Shard); },
          .OnAssigned = [this] { groupWorkers(); },
          .Report = [this] { return reports(); },
          .Log = m_options.Log};
}

void JobHost::acquireShard(int Shard, uint64_t Epoch, uint64_t ReleaseVersion) {
  ++m_takeovers;
  HostClusterOptions Cluster;
  JobShardOptions Options{.Shard = Shard, .Epoch = Epoch};
  bool IsReacquired = std::exchange(m_lastEpochs[Shard], Epoch) == Epoch;
  if (!IsReacquired)
    Options.HandoverVersion = ReleaseVersion != 0 ? ReleaseVersion : Epoch;
  Options.MaxWorkerLease = m_options.MaxWorkerLease;
  Options.Placement = m_options.Placement;
  Options.MaxJobBytes = m_options.MaxJobBytes;
  Options.MeasuredFill = m_options.MeasuredFill;
  LeaseTimes &Leases = Options.Leases;
  Leases.Sole = std::min(m_options.MaxWorkerLease, Leases.Sole);
  Leases.OnEvidence = std::min(m_options.MaxWorkerLease, Leases.OnEvidence);
  Options.PreviousRunsTimeout =
      Cluster.Horizon + Leases.OnEvidence + LeaseExpiryMargin - Cluster.Timeout;
  Options.PreviousSoleUntil = m_cluster.previousSoleUntil(Shard);
  Options.PreviousWorkers = m_cluster.previousWorkers(Shard);
  Options.HasPreviousStoredEvidence = m_cluster.havePreviousStoredEvidence();
  Options.PublishedWorkers = [this, Shard]() -> size_t {
    return m_cluster.publishedWorkers(Shard);
  };
  Options.CanSendOrders = [this] { return m_cluster.canSendOrders(); };
  Options.IsSoleOwner = [this] { return m_cluster.isSoleOwner(); };
  Options.WasOwnerAt = [this](uint64_t Version) {
    return m_cluster.wasOwnerAt(Version);
  };
  Options.FleetTime = [this] { return m_fleetTime; };
  Options.MayHaveMoved = [this](const std::string &Worker) {
    auto Former = m_formerWorkers.find(Worker);
    return Former != m_formerWorkers.end() && Former->second.MayHaveMoved;
  };
  Options.RefreshFleet = m_options.RefreshFleet;
  Options.WallTime = m_options.WallTime;
  Options.ChooseTransferTarget = [this, Shard](const Job &Value) {
    return chooseTransferFor(Shard, Value);
  };
  Options.FindShardWithRoom = [this, Shard](const Job &Value,
                                            const std::set<int> &Holders,
                                            size_t Tasks) {
    return findDelegationTarget(Shard, Value, Holders, Tasks);
  };
  Options.RestartsElsewhere = [this, Shard] {
    return restartsElsewhere(Shard);
  };
  Options.ShardCount = [this] { return m_cluster.shards(); };
  Options.MayStart = [this] { return mayStart(); };
  Options.OrdersByShares = m_options.OrdersByShares;
  Options.Log = m_options.Log;
  auto Acquired = std::make_unique<JobShard>(std::move(Options), m_store,
                                             m_workers, m_approvals, m_time);
  Acquired->setQueues(m_queues);
  m_ownedShards[Shard] = std::move(Acquired);
  updateShardWorkers(Shard);
  m_ownedShards[Shard]->addFormerWorkers(formerWorkersOf(Shard));
  m_ownedShards[Shard]->load();
  if (m_options.RefreshFleet)
    m_options.RefreshFleet();
}

std::optional<std::vector<RowChange>> JobHost::handOverShard(int Shard) {
  std::optional<HandoverRecord> Record = m_ownedShards.at(Shard)->handOver();
  if (!Record)
    return std::nullopt;
  std::vector<RowChange> Out;
  for (std::string &Value : encodeHandover(*Record))
    Out.push_back({.Address = handoverAddress(Shard, Out.size()),
                   .Value = std::move(Value)});
  return Out;
}

void JobHost::groupWorkers() {
  m_workersByShard.clear();
  m_evacuatedWorkers = markEvacuated(m_fleet, m_evacuated);
  for (const WorkerEntry &Worker : m_fleet) {
    int Shard = m_cluster.shardOf(Worker.Id);
    if (Shard >= 0)
      m_workersByShard[Shard].push_back(Worker);
  }
  for (const auto &[Shard, Owner] : m_ownedShards)
    updateShardWorkers(Shard);
}

void JobHost::updateShardWorkers(int Shard) {
  m_ownedShards.at(Shard)->setWorkers(m_workersByShard[Shard],
                                      m_cluster.largestWorkers());
}

bool JobHost::canHold(int Shard, const Job &Value,
                      const WorkerTest &IsUsable) const {
  auto Queue = m_queues->find(Value.Queue);
  auto Workers = m_workersByShard.find(Shard);
  if (Queue == m_queues->end() || Workers == m_workersByShard.end())
    return false;
  return std::all_of(
      Value.Steps.begin(), Value.Steps.end(), [&](const JobStep &Step) {
        return std::any_of(Workers->second.begin(), Workers->second.end(),
                           [&](const WorkerEntry &Worker) {
                             return Worker.Service == Queue->second.Service &&
                                    IsUsable(Worker) &&
                                    (Step.RequiredLabel.empty() ||
                                     Worker.hasLabel(Step.RequiredLabel)) &&
                                    Worker.canHold(Step);
                           });
      });
}

bool JobHost::canRun(int Shard, const Job &Value) const {
  return canHold(Shard, Value, &WorkerEntry::takesTasks);
}

bool JobHost::hasData(int Shard, const Job &Value) const {
  auto Workers = m_workersByShard.find(Shard);
  return std::all_of(
      Value.Steps.begin(), Value.Steps.end(), [&](const JobStep &Step) {
        return Step.DataRack.empty() ||
               std::any_of(Workers->second.begin(), Workers->second.end(),
                           [&](const WorkerEntry &Worker) {
                             return Worker.hasLabel(Step.DataRack);
                           });
      });
}

std::vector<ShardCandidate> JobHost::candidates(const Job &Value) {
  while (!m_sentWork.empty() &&
         m_sentWork.front().SentAt + ReportLag < m_time.now())
    m_sentWork.pop_front();
  std::vector<ShardCandidate> Out;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard) {
    const ShardReport *Report = m_cluster.report(Shard);
    if (!Report || !canRun(Shard, Value))
      continue;
    Out.push_back({.Shard = Shard,
                   .Load = Report->Load,
                   .HasData = hasData(Shard, Value)});
    ShardLoad &Load = Out.back().Load;
    for (const SentWork &Sent : m_sentWork) {
      if (Sent.Shard != Shard)
        continue;
      Load.LongRunningMillicores += Sent.Load.LongRunningMillicores;
      Load.RemainingWork += Sent.Load.RemainingWork;
      Load.RemainingFillWork += Sent.Load.RemainingFillWork;
      Load.WaitingFillMillicores += Sent.Load.WaitingFillMillicores;
    }
  }
  return Out;
}

void JobHost::recordSentWork(int Shard, const ShardDemand &Demand) {
  SentWork Sent{.SentAt = m_time.now(), .Shard = Shard};
  if (Demand.IsLongRunning)
    Sent.Load.LongRunningMillicores = static_cast<int64_t>(Demand.Amount);
  else
    Sent.Load.RemainingWork = Demand.Amount;
  Sent.Load.RemainingFillWork = Demand.FillWork;
  Sent.Load.WaitingFillMillicores = Demand.FillMillicores;
  m_sentWork.push_back(Sent);
}

std::map<int, std::vector<WorkerEntry>>
JobHost::largestWorkers(const std::string &Service) const {
  std::vector<WorkerEntry> Known = m_cluster.largestWorkers();
  for (const auto &[Id, Former] : m_formerWorkers)
    if (m_time.now() <= Former.RemovedAt + FormerWorkerRetention)
      Known.push_back(Former.Entry);
  std::map<int, std::vector<WorkerEntry>> Out;
  for (WorkerEntry &Worker : Known)
    if (Worker.Service == Service)
      Out[m_cluster.shardOf(Worker.Id)].push_back(std::move(Worker));
  return Out;
}

// Workers stay in their shards, so that a gang that fits none of them would
// wait for workers that join. A gang that does not fit the fleet waits as any
// job does whose workers are away.
Status JobHost::checkGangs(const Job &Value) const {
  auto Queue = m_queues->find(Value.Queue);
  if (!hasGang(Value) || Queue == m_queues->end())
    return okStatus();
  const std::string &Service = Queue->second.Service;
  std::map<int, std::vector<WorkerEntry>> ByShard = largestWorkers(Service);
  std::vector<WorkerEntry> Fleet;
  size_t Step = 0;
  for (const auto &[Shard, Workers] : ByShard) {
    std::optional<size_t> Unfit = firstUnfitGang(Value, Service, Workers);
    if (Shard >= 0 && !Unfit)
      return okStatus();
    Step = Unfit.value_or(Step);
    Fleet.insert(Fleet.end(), Workers.begin(), Workers.end());
  }
  if (firstUnfitGang(Value, Service, Fleet))
    return okStatus();
  if (ByShard.count(-1))
    return makeError(ResultCode::NotReady,
                     "workers for a gang are not assigned to a shard yet");
  return makeError(
      ResultCode::NeverFits,
      fmt::format("steps[{}]: the {} tasks of the gang must run in one shard, "
                  "and none of {} shards has enough of the {} workers",
                  Step, Value.Steps[Step].Count, ByShard.size(), Fleet.size()));
}

bool JobHost::holdsGangs(int Shard, const Job &Value) const {
  if (!hasGang(Value))
    return true;
  auto Queue = m_queues->find(Value.Queue);
  auto Workers = m_workersByShard.find(Shard);
  if (Queue == m_queues->end() || Workers == m_workersByShard.end())
    return false;
  std::vector<WorkerEntry> Usable = Workers->second;
  std::erase_if(Usable,
                [](const WorkerEntry &Worker) { return !Worker.takesTasks(); });
  return !firstUnfitGang(Value, Queue->second.Service, Usable);
}

std::vector<ShardCandidate> JobHost::gangCandidates(const Job &Value) {
  std::vector<ShardCandidate> Out = candidates(Value);
  std::erase_if(Out, [&](const ShardCandidate &Candidate) {
    return !holdsGangs(Candidate.Shard, Value);
  });
  return Out;
}

// Any shard may be chosen for a job that fits on none; its owner then detects
// whether the job can run. The owner of a shard that holds the gangs may be
// unknown, or workers there may be away.
std::vector<ShardCandidate> JobHost::unknownCandidates(const Job &Value) const {
  auto Queue = m_queues->find(Value.Queue);
  std::vector<ShardCandidate> All;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard)
    All.push_back({.Shard = Shard});
  // A job that fits only on evacuated workers waits where these are: one that
  // repeats is never transferred.
  std::vector<ShardCandidate> Holding = All;
  std::erase_if(Holding, [&](const ShardCandidate &Candidate) {
    return !canHold(Candidate.Shard, Value, [](const WorkerEntry &Worker) {
      return !Worker.IsDraining;
    });
  });
  if (!m_evacuated.empty() && !Holding.empty())
    All = Holding;
  if (!hasGang(Value) || Queue == m_queues->end())
    return All;
  const std::string &Service = Queue->second.Service;
  std::map<int, std::vector<WorkerEntry>> ByShard = largestWorkers(Service);
  std::vector<ShardCandidate> Out = All;
  std::erase_if(Out, [&](const ShardCandidate &Candidate) {
    return firstUnfitGang(Value, Service, ByShard[Candidate.Shard]).has_value();
  });
  return Out.empty() ? All : Out;
}

int JobHost::chooseShardFor(const Job &Value) {
  ShardDemand Demand = demandOf(Value);
  Demand.CountsOwnKind = m_options.ChoosesShardsByKind;
  std::vector<ShardCandidate> Choices = gangCandidates(Value);
  if (Choices.empty())
    Choices = unknownCandidates(Value);
  int Out = chooseShard(Choices, Demand);
  recordSentWork(Out, Demand);
  return Out;
}

int JobHost::chooseTransferFor(int Shard, const Job &Value) {
  ShardDemand Demand = demandOf(Value);
  Demand.CountsOwnKind = m_options.ChoosesShardsByKind;
  ShardCandidate Own{.Shard = Shard,
                     .Load = m_ownedShards.at(Shard)->currentLoad(),
                     .HasData = hasData(Shard, Value)};
  // The job's own work does not delay it.
  if (Demand.IsLongRunning)
    Own.Load.LongRunningMillicores -= static_cast<int64_t>(Demand.Amount);
  else
    Own.Load.RemainingWork -= Demand.Amount;
  Own.Load.RemainingFillWork =
      std::max(0.0, Own.Load.RemainingFillWork - Demand.FillWork);
  Own.Load.WaitingFillMillicores -=
      std::min(Own.Load.WaitingFillMillicores, Demand.FillMillicores);
  // On a shard that cannot run the job, the job would never start, not even if
  // nothing else waits there.
  if (!canRun(Shard, Value) || !holdsGangs(Shard, Value)) {
    Own.Load.CapacityMillicores = 0;
    Own.Load.FillMillicores = 0;
    Own.Load.RemainingFillWork = 0;
    Own.Load.RemainingWork = std::numeric_limits<double>::max();
  }
  std::vector<ShardCandidate> Others = gangCandidates(Value);
  std::erase_if(Others, [&](const ShardCandidate &Other) {
    return Other.Shard == Shard;
  });
  int Out = chooseTransferTarget(Own, Others, Demand);
  if (Out >= 0)
    recordSentWork(Out, Demand);
  return Out;
}

std::optional<DelegationTarget>
JobHost::findDelegationTarget(int Shard, const Job &Value,
                              const std::set<int> &Holders, size_t Tasks) {
  // Only long-running tasks are delegated.
  Job Delegable = Value;
  std::erase_if(Delegable.Steps,
                [](const JobStep &Step) { return !Step.LongRunning; });
  for (JobStep &Step : Delegable.Steps)
    Step.Predecessors.clear();
  std::vector<ShardCandidate> Others = candidates(Delegable);
  ShardDemand Demand = demandOf(Delegable);
  std::erase_if(Others, [&](const ShardCandidate &Other) {
    bool CanSend = !Holders.contains(Other.Shard) ||
                   m_cluster.report(Other.Shard)->TakesAddedTasks;
    return Other.Shard == Shard || !CanSend || tasksToSend(Other, Demand) == 0;
  });
  int Target = shardWithRoom(Others, Demand);
  if (Target < 0)
    return std::nullopt;
  const std::string &Service = m_queues->at(Value.Queue).Service;
  const std::vector<WorkerEntry> &Workers = m_workersByShard[Target];
  auto Usable = static_cast<size_t>(std::count_if(
      Workers.begin(), Workers.end(), [&](const WorkerEntry &Worker) {
        return Worker.Service == Service && Worker.takesTasks();
      }));
  auto Chosen =
      std::find_if(Others.begin(), Others.end(), [Target](const auto &Other) {
        return Other.Shard == Target;
      });
  // The largest room takes a task, also if it lies between two counts.
  std::optional<size_t> Roomy =
      workersWithRoom(Chosen->Load, Demand.LargestTaskMillicores);
  DelegationTarget Out{
      .Shard = Target,
      .Workers = std::max<size_t>(1, std::min(Usable, Roomy.value_or(Usable))),
      .MaxTasks = tasksToSend(*Chosen, Demand)};
  if (Tasks == 0)
    return Out;
  int64_t Sent = Demand.LargestTaskMillicores *
                 static_cast<int64_t>(std::min(Tasks, Out.MaxTasks));
  m_sentWork.push_back({.SentAt = m_time.now(),
                        .Shard = Target,
                        .Load = {.LongRunningMillicores = Sent},
                        .DelegatedMillicores = Sent});
  return Out;
}

RestartDemand JobHost::restartsElsewhere(int Shard) const {
  RestartDemand Out;
  for (int Other = 0; Other < m_cluster.shards(); ++Other) {
    const ShardReport *Report = m_cluster.report(Other);
    if (Other != Shard && Report)
      Out.add(Report->Load.WaitingRestarts);
  }
  return Out;
}

size_t JobHost::tasksToSend(const ShardCandidate &Target,
                            const ShardDemand &Demand) const {
  int64_t Task = std::max<int64_t>(Demand.LargestTaskMillicores, 1);
  int64_t Sent = 0;
  for (const SentWork &Work : m_sentWork)
    if (Work.Shard == Target.Shard)
      Sent += Work.DelegatedMillicores;
  auto SentTasks = static_cast<size_t>((Sent + Task - 1) / Task);
  size_t Room = tasksInLargestRooms(Target.Load, Task).value_or(SentTasks + 1);
  return std::min(tasksThatFit(Target.Load, Demand),
                  Room - std::min(Room, SentTasks));
}

void JobHost::tick() {
  holdStartsAfterPause();
  m_cluster.tick();
  if (m_options.RefusesJobs) {
    updateAdmission();
    logAdmission();
  }
  for (const auto &[Shard, Owner] : m_ownedShards) {
    Owner->tick();
    if (Owner->hasLostOwnership())
      m_cluster.recheckOwner(Shard);
  }
}

void JobHost::setFleet(std::vector<WorkerEntry> Fleet, bool IsFollowed) {
  std::vector<WorkerEntry> OldFleet = std::move(m_fleet);
  m_fleet = std::move(Fleet);
  updateFormerWorkers(OldFleet, IsFollowed);
  m_cluster.setFleet(m_fleet);
  groupWorkers();
}

void JobHost::setEvacuated(std::set<std::string> Domains) {
  std::set<std::string> Old = std::exchange(m_evacuated, std::move(Domains));
  groupWorkers();
  if (m_options.Log)
    m_options.Log("evacuation_changed",
                  evacuationFields(Old, m_evacuated, m_fleet));
}

void JobHost::setEvacuatedTime(TimePoint AsOf) {
  if (AsOf >= m_wokeAt)
    m_startsHeldUntil = TimePoint{};
}

// Answers that arrive after a pause may lead to starts before the first tick.
bool JobHost::mayStart() const {
  if (!m_options.RefreshEvacuated)
    return true;
  TimePoint Now = m_time.now();
  bool IsWaking = m_lastTick != TimePoint{} && Now > m_lastTick + MaxTickGap;
  return !IsWaking && Now >= m_startsHeldUntil;
}

void JobHost::holdStartsAfterPause() {
  TimePoint Now = m_time.now();
  TimePoint Last = std::exchange(m_lastTick, Now);
  bool WasPaused = Last != TimePoint{} && Now > Last + MaxTickGap;
  if (!WasPaused || !m_options.RefreshEvacuated)
    return;
  m_wokeAt = Now;
  m_startsHeldUntil = Now + MaxStartHold;
  if (m_options.Log)
    m_options.Log("starts_held",
                  fmt::format("paused_ms={}", (Now - Last) / milliseconds(1)));
  m_options.RefreshEvacuated();
}

void JobHost::updateFormerWorkers(const std::vector<WorkerEntry> &OldFleet,
                                  bool IsFollowed) {
  TimePoint Now = m_time.now();
  for (const WorkerEntry &Worker : OldFleet)
    m_formerWorkers[Worker.Id] = {
        .Entry = Worker, .RemovedAt = Now, .MayHaveMoved = !IsFollowed};
  for (const WorkerEntry &Worker : m_fleet)
    m_formerWorkers.erase(Worker.Id);
  std::erase_if(m_formerWorkers, [Now](const auto &Worker) {
    return Now > Worker.second.RemovedAt + FormerWorkerRetention;
  });
}

std::vector<WorkerEntry> JobHost::formerWorkersOf(int Shard) const {
  std::vector<WorkerEntry> Out;
  for (const auto &[Id, Worker] : m_formerWorkers)
    if (m_cluster.shardOf(Id) == Shard &&
        m_time.now() < Worker.RemovedAt + FormerWorkerRetention)
      Out.push_back(Worker.Entry);
  return Out;
}

void JobHost::setQueues(std::shared_ptr<const JobQueues> Queues) {
  m_queues = std::move(Queues);
  for (const auto &[Shard, Owner] : m_ownedShards)
    Owner->setQueues(m_queues);
}

std::map<int, ShardReport> JobHost::reports() const {
  std::map<int, ShardReport> Out;
  for (const auto &[Shard, Owner] : m_ownedShards)
    if (Owner->isLoaded() && !Owner->hasLostOwnership())
      Out[Shard] = {.Epoch = Owner->epoch(),
                    .Workers = static_cast<uint32_t>(Owner->listedWorkers()),
                    .TakesAddedTasks = true,
                    .PendingJobs = Owner->pendingJobs(),
                    .Load = m_options.RefusesJobs ? Owner->reportedLoad()
                                                  : Owner->currentLoad()};
  return Out;
}

std::optional<int> JobHost::pending(const std::string &Queue) const {
  int Out = 0;
  for (int Shard = 0; Shard < m_cluster.shards(); ++Shard) {
    std::map<std::string, int> Counts;
    auto Owned = m_ownedShards.find(Shard);
    if (Owned != m_ownedShards.end() && Owned->second->isLoaded() &&
        !Owned->second->hasLostOwnership())
      Counts = Owned->second->pendingJobs();
    else if (const ShardReport *Report = m_cluster.report(Shard))
      Counts = Report->PendingJobs;
    else
      return std::nullopt;
    Out += Counts[Queue];
  }
  return Out;
}

std::optional<JobState> JobHost::localState(const std::string &JobId) const {
  if (!m_cluster.canAnswer())
    return std::nullopt;
  for (const auto &[Shard, Owner] : m_ownedShards) {
    std::optional<JobState> Out =
        Owner->hasLostOwnership() ? std::nullopt : Owner->state(JobId);
    if (Out)
      return Out;
  }
  return std::nullopt;
}

JobShardCounts JobHost::counts() const {
  JobShardCounts Out{.Takeovers = m_takeovers};
  for (const auto &[Shard, Owner] : m_ownedShards) {
    const JobShardCounts &Counts = Owner->counts();
    Out.Starts += Counts.Starts;
    Out.Polls += Counts.Polls;
    Out.Commits += Counts.Commits;
    Out.RowsRefused += Counts.RowsRefused;
    Out.RunsSucceeded += Counts.RunsSucceeded;
    Out.RunsNotSucceeded += Counts.RunsNotSucceeded;
    Out.StartsUnanswered += Counts.StartsUnanswered;
    Out.ApprovalCalls += Counts.ApprovalCalls;
    Out.StartsAnswered += Counts.StartsAnswered;
    Out.TotalStartRoundTrip += Counts.TotalStartRoundTrip;
    Out.StartsInFlight += Counts.StartsInFlight;
    Out.RoundsCompleted += Counts.RoundsCompleted;
    Out.RoundsAtStartLimit += Counts.RoundsAtStartLimit;
    Out.RoundsAtStepLimit += Counts.RoundsAtStepLimit;
    Out.Transfers += Counts.Transfers;
    Out.LongTaskWaits += Counts.LongTaskWaits;
    Out.Delegations += Counts.Delegations;
    Out.WorkerCrashes += Counts.WorkerCrashes;
    Out.CrashTrials += Counts.CrashTrials;
    Out.CrashTrialsSurvived += Counts.CrashTrialsSurvived;
    Out.CrashJobsGivenUp += Counts.CrashJobsGivenUp;
    Out.PaceOrders += Counts.PaceOrders;
    Out.ReservationsMade += Counts.ReservationsMade;
    Out.ReservationsMoved += Counts.ReservationsMoved;
    Out.ReservationsMet += Counts.ReservationsMet;
    Out.ReservationsMissed += Counts.ReservationsMissed;
    Out.TasksBackfilled += Counts.TasksBackfilled;
    Out.KeptWorkers += Counts.KeptWorkers;
    Out.KeptMillicores += Counts.KeptMillicores;
    Out.RunsPredicted += Counts.RunsPredicted;
    Out.RunsOverLateBound += Counts.RunsOverLateBound;
    Out.TotalPredictionError += Counts.TotalPredictionError;
    Out.FillMoves += Counts.FillMoves;
    Out.TakeoverSilentWorkers += Counts.TakeoverSilentWorkers;
    Out.TasksHeldBack += Counts.TasksHeldBack;
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
