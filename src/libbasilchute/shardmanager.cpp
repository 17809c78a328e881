#include "libbasilchute/shardmanager.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds LoadRetryInterval{300};

CommitterOptions committerOptions(const SchedulerOptions &Options,
                                  const ShardClaim &Claim) {
  CommitterOptions Out{.WriterId = fmt::format("{}.{}.{}", Options.Self.Id,
                                               Claim.Shard, Claim.Epoch),
                       .BatchWindow = Options.GroupCommitWindow};
  if (!Options.Faults.SkipStoreFence)
    Out.FenceRow = RowVersionCheck{.Key = shardKey(Claim.Shard),
                                   .ExpectedVersion = Claim.Version};
  return Out;
}

} // namespace

ShardManager::ShardManager(ShardManagerContext Context, ShardClaim Claim)
    : m_context(std::move(Context)), m_claim(std::move(Claim)),
      m_committer(committerOptions(m_context.Options, m_claim), m_context.Store,
                  m_context.Time) {}

void ShardManager::reportEvent(std::string_view Name,
                               std::string_view Detail) const {
  if (m_context.Options.OnEvent)
    m_context.Options.OnEvent(Name, Detail);
}

WorkerRecord *ShardManager::findWorker(const std::string &Worker) {
  auto It = m_workers.find(Worker);
  return It == m_workers.end() ? nullptr : &It->second;
}

void ShardManager::tick() {
  if (m_isFencedOut)
    return;
  TimePoint Now = m_context.Time.now();
  if (!m_isLoaded)
    return load();
  if (isHandingOver())
    return syncDueWorkers(Now);
  m_committer.tick();
  if (m_isReleasing)
    return;
  if (!m_isPolling && Now >= m_nextSharePollAt)
    pollShares();
  checkUnreachableWorkers(Now);
  drainWorkers();
  advanceStops(Now);
  placeWaiting(Now);
  moveWaiting(Now);
  syncDueWorkers(Now);
}

void ShardManager::load() {
  if (m_isLoading || m_context.Time.now() < m_nextLoadAt)
    return;
  m_isLoading = true;
  auto OnRows = [Self = weak_from_this()](
                    std::optional<std::vector<Row>> ShardManager::*Target) {
    return [Self, Target](Result<std::vector<Row>> Rows) {
      auto Manager = Self.lock();
      if (!Manager)
        return;
      if (Rows.has_value())
        (*Manager).*Target = std::move(Rows.value());
      Manager->m_isLoading = false;
      Manager->m_nextLoadAt =
          Manager->m_context.Time.now() +
          (Rows.has_value() ? milliseconds(0) : LoadRetryInterval);
      if (Manager->m_loadedShares && Manager->m_loadedTasks)
        Manager->onLoaded();
    };
  };
  if (!m_loadedShares)
    return m_context.Store.scan(sharePrefix(m_claim.Shard),
                                OnRows(&ShardManager::m_loadedShares));
  m_context.Store.scan(taskPrefix(m_claim.Shard),
                       OnRows(&ShardManager::m_loadedTasks));
}

void ShardManager::onLoaded() {
  TimePoint Now = m_context.Time.now();
  m_isLoaded = true;
  std::vector<std::string> Unwanted =
      m_tasks.load(*m_loadedShares, *m_loadedTasks, Now);
  m_loadedShares.reset();
  m_loadedTasks.reset();
  // Reserves the resources of placed tasks before anything else is placed, even
  // on workers that the platform does not list.
  for (const auto &[Id, Entry] : m_tasks.tasks()) {
    if (!Entry.isPlaced())
      continue;
    const std::string &Worker = Entry.Row.worker();
    Host UnlistedHost{.Worker = Worker};
    auto [It, IsNew] = m_workers.try_emplace(Worker, std::move(UnlistedHost),
                                             m_claim.InheritedLeaseEnd);
    if (IsNew)
      It->second.IsListed = false;
    It->second.reserve(Id, Entry.demand(), !Entry.Row.service().empty());
  }
  cancelUnwanted(Unwanted);
  if (m_wantedReplicas)
    updateReplicas(*m_wantedReplicas);
  pollShares();
  reportEvent("shard_loaded",
              fmt::format("shard={} epoch={} tasks={}", m_claim.Shard,
                          m_claim.Epoch, m_tasks.tasks().size()));
}

void ShardManager::pollShares() {
  m_isPolling = true;
  m_nextSharePollAt =
      m_context.Time.now() + m_context.Options.SharePollInterval;
  m_context.Store.scan(
      sharePrefix(m_claim.Shard),
      [Self = weak_from_this()](Result<std::vector<Row>> Rows) {
        auto Manager = Self.lock();
        if (!Manager)
          return;
        if (!Rows.has_value()) {
          Manager->m_isPolling = false;
          return;
        }
        Manager->onShares(std::move(Rows.value()));
      });
}

// Tasks that were moved from another shard may have rows already. The rows are
// read first, because they hold the attempt numbers of the tasks.
void ShardManager::onShares(std::vector<Row> Shares) {
  std::vector<v1::ShareRow> ToAdopt = m_tasks.sharesToAdopt(Shares);
  if (ToAdopt.empty())
    return applyShares(Shares);
  m_context.Store.scan(
      taskPrefix(m_claim.Shard),
      [Self = weak_from_this(), Shares = std::move(Shares),
       ToAdopt = std::move(ToAdopt)](Result<std::vector<Row>> Tasks) {
        auto Manager = Self.lock();
        if (!Manager)
          return;
        if (!Tasks.has_value()) {
          Manager->m_isPolling = false;
          return;
        }
        Manager->m_tasks.adopt(ToAdopt, Tasks.value(),
                               Manager->m_context.Time.now());
        Manager->applyShares(Shares);
      });
}

void ShardManager::applyShares(const std::vector<Row> &Shares) {
  m_isPolling = false;
  cancelUnwanted(m_tasks.updateShares(Shares, m_context.Time.now()));
  std::vector<std::string> CompleteShares;
  for (const auto &[Name, Share] : m_tasks.shares())
    if (Share.FinalTasks >= Share.Row.count())
      CompleteShares.push_back(Name);
  for (const std::string &Name : CompleteShares)
    finishShare(Name);
  m_shouldPlace = true;
}

void ShardManager::updateHosts(const std::vector<Host> &Hosts) {
  for (auto &[Id, Record] : m_workers)
    Record.IsListed = false;
  for (const Host &Info : Hosts) {
    auto [It, IsNew] =
        m_workers.try_emplace(Info.Worker, Info, m_claim.InheritedLeaseEnd);
    It->second.setInfo(Info);
    It->second.IsListed = true;
  }
  std::erase_if(m_workers, [&](const auto &Item) {
    const WorkerRecord &Record = Item.second;
    return !Record.IsListed && Record.reservations().empty() &&
           !Record.IsSyncInFlight;
  });
  updateCordons(m_cordons);
}

void ShardManager::updateCordons(const std::vector<WorkerCordon> &Cordons) {
  m_cordons = Cordons;
  for (auto &[Id, Record] : m_workers) {
    Record.IsCordoned = false;
    Record.IsDraining = Record.info().IsLeaving;
    for (const WorkerCordon &Cordon : m_cordons) {
      if (Cordon.Worker != Id)
        continue;
      Record.IsCordoned = true;
      Record.IsDraining = Record.IsDraining || Cordon.ShouldDrain;
    }
  }
  m_shouldPlace = true;
}

void ShardManager::cancelUnwanted(const std::vector<std::string> &Tasks) {
  for (const std::string &Task : Tasks)
    if (TaskEntry *Entry = m_tasks.find(Task))
      cancelUnwanted(*Entry);
}

void ShardManager::updateReplicas(const std::vector<v1::TaskRow> &Wanted) {
  m_wantedReplicas = Wanted;
  if (!m_isLoaded)
    return;
  cancelUnwanted(m_tasks.updateReplicas(Wanted, m_context.Time.now()));
  m_shouldPlace = true;
}

bool ShardManager::isIdle() const {
  if (!m_committer.idle())
    return false;
  return std::none_of(m_workers.begin(), m_workers.end(), [](const auto &Item) {
    return Item.second.IsSyncInFlight;
  });
}

void ShardManager::setReleasing(bool IsReleasing) {
  m_isReleasing = IsReleasing;
  if (!IsReleasing)
    m_handoverGrantEnd.reset();
}

nanoseconds ShardManager::beginHandover(nanoseconds ExtendFor) {
  const SchedulerOptions &Options = m_context.Options;
  m_handoverGrantEnd = m_context.Time.now() + ExtendFor -
                       ExtendFor * Options.ClockDriftPermille / 1000;
  if (ExtendFor <= nanoseconds(0))
    return residualLease();
  nanoseconds Bound = ExtendFor + Options.TaskLease;
  Bound += Bound * Options.ClockDriftPermille / 1000;
  return std::max(residualLease(), Bound);
}

bool ShardManager::mayHaveUnreachableTasks() const {
  if (!m_isLoaded)
    return true;
  return std::any_of(m_workers.begin(), m_workers.end(), [](const auto &Item) {
    const WorkerRecord &Record = Item.second;
    bool CanReach = Record.IsReachable && Record.IsEpochInstalled;
    return !CanReach && !Record.reservations().empty();
  });
}

bool ShardManager::canExtendGrants() const {
  if (m_handoverGrantEnd && m_context.Time.now() >= *m_handoverGrantEnd)
    return false;
  return m_context.CanExtendGrants();
}

nanoseconds ShardManager::residualLease() const {
  TimePoint Now = m_context.Time.now();
  nanoseconds MaxResidual{0};
  for (const auto &[Id, Record] : m_workers)
    MaxResidual = std::max(MaxResidual, Record.latestLeaseEnd() - Now);
  return MaxResidual;
}

ShardSummary ShardManager::summary() const {
  ShardSummary Summary{.Shard = m_claim.Shard};
  for (const auto &[Id, Record] : m_workers) {
    if (!Record.IsReachable || !Record.IsEpochInstalled || Record.IsCordoned ||
        Record.IsDraining)
      continue;
    Resources Free = Record.free();
    Summary.Free += Free;
    if (Free.Millicores > Summary.LargestFree.Millicores)
      Summary.LargestFree = Free;
  }
  Summary.WaitingTasks = static_cast<uint32_t>(m_tasks.waiting().size());
  return Summary;
}

std::vector<std::string> ShardManager::explain(const std::string &Task) const {
  auto It = m_tasks.tasks().find(Task);
  if (It == m_tasks.tasks().end())
    return {};
  const TaskEntry &Entry = It->second;
  const v1::TaskRow &Row = Entry.Row;
  std::vector<std::string> Lines;
  Lines.push_back(fmt::format("task {} is in shard {} (epoch {})", Task,
                              m_claim.Shard, m_claim.Epoch));
  Lines.push_back(fmt::format("state {}, attempt {}, {} evictions, {} failures",
                              v1::TaskState_Name(Row.state()), Row.attempt(),
                              Row.evictions(), Row.failures()));
  if (Entry.isPlaced())
    Lines.push_back(fmt::format("placed on worker {}, {}", Row.worker(),
                                Entry.IsConfirmed
                                    ? "reported running by the worker"
                                    : "not yet reported by the worker"));
  auto Record = m_workers.find(Row.worker());
  if (Entry.isPlaced() && Record != m_workers.end())
    Lines.push_back(fmt::format(
        "worker {}: {}, epoch {}, {} since the last report", Row.worker(),
        Record->second.IsReachable ? "reachable" : "unreachable",
        Record->second.IsEpochInstalled ? "installed" : "not installed",
        std::chrono::duration_cast<milliseconds>(m_context.Time.now() -
                                                 Record->second.LastReportAt)));
  if (!m_context.CanStart())
    Lines.push_back(
        "this scheduler's membership lease has expired, so it starts no tasks");
  if (m_isReleasing)
    Lines.push_back("the shard is being released to another scheduler");
  if (Entry.IsWriting)
    Lines.push_back("a change of the task's row is being committed");
  if (!Entry.WaitReason.empty())
    Lines.push_back(Entry.WaitReason);
  if (!Row.reason().empty())
    Lines.push_back("last change: " + Row.reason());
  return Lines;
}

BASILCHUTE_NAMESPACE_END
