#include "basilchute/scheduler.h"

#include "libbasilchute/ownership.h"
#include "libbasilchute/shardmanager.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds HandoverTimeout{4000};
/// Wait after a release that the store did not carry out, on shutdown.
constexpr milliseconds ReleaseRetryInterval{1000};
constexpr milliseconds PublishInterval{500};

v1::TaskRow replicaRow(const ServiceSpec &Service, uint32_t Index) {
  v1::TaskRow Row;
  Row.set_id(fmt::format("svc.{}/{}", Service.Name, Index));
  Row.set_service(Service.Name);
  Row.set_team(Service.Team);
  Row.set_kind(Service.WorkKind);
  *Row.mutable_demand() = toProto(Service.Demand);
  Row.set_state(v1::TASK_PENDING);
  return Row;
}

} // namespace

class Scheduler::Impl {
public:
  Impl(SchedulerOptions Options, TableStore &Store, WorkerPort &Workers,
       HostList &Hosts, const Clock &Time)
      : m_options(withMembershipSelf(std::move(Options))), m_store(Store),
        m_workers(Workers), m_hosts(Hosts), m_time(Time),
        m_membership(m_options.Membership, Store, Time),
        m_ownership({.Self = m_options.Self.Id,
                     .Partitioning = m_options.Partitioning,
                     .DefaultHorizon = m_options.Self.GrantHorizon,
                     .TaskLease = m_options.TaskLease,
                     .ScanInterval = m_options.ShardScanInterval,
                     .IgnoreHorizon = m_options.Faults.IgnoreHorizon},
                    Store, Time, m_membership) {
    m_ownership.OnClaimed = [this](const ShardClaim &Claim) {
      onShardClaimed(Claim);
    };
    m_ownership.OnLost = [this](const std::string &Shard) {
      onShardLost(Shard);
    };
    m_ownership.OnReleased = [this](const ShardClaim &Claim) {
      onShardReleased(Claim);
    };
    m_ownership.OnHandedOver = [this](const std::string &Shard) {
      m_managers.erase(Shard);
    };
    m_ownership.OnReleaseFailed = [this](const ShardClaim &Claim,
                                         const Error &Failure) {
      onReleaseFailed(Claim, Failure);
    };
  }

  void tick() {
    if (!m_hasLeft)
      publish();
    m_membership.tick();
    m_ownership.tick();
    pollHosts();
    for (auto &[Shard, Manager] : m_managers)
      Manager->tick();
    dropFencedShards();
    releaseShards();
    if (m_onShutDown && !m_hasLeft && m_managers.empty() && m_ownership.idle())
      leave();
  }

  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons) {
    if (Revision <= m_revision)
      return;
    m_revision = Revision;
    m_services = std::move(Services);
    m_cordons = std::move(Cordons);
    for (auto &[Shard, Manager] : m_managers)
      configureManager(*Manager);
  }

  void pollSharesSoon(const std::vector<std::string> &Shards) {
    for (const std::string &Shard : Shards) {
      auto It = m_managers.find(Shard);
      if (It == m_managers.end())
        continue;
      It->second->pollSharesSoon();
    }
  }

  std::vector<ReplicaRoute> routes() const {
    std::vector<ReplicaRoute> Out;
    for (const auto &[Shard, Manager] : m_managers)
      Manager->appendRoutes(Out);
    return Out;
  }

  std::vector<ShardRoutes> handleEntryRequest(const EntryRequest &From) {
    std::vector<ShardRoutes> Out;
    for (auto &[Shard, Manager] : m_managers) {
      if (!Manager->isLoaded() || Manager->isFencedOut())
        continue;
      Out.push_back(Manager->handleEntryRequest(From));
    }
    return Out;
  }

  std::vector<std::string> ownedShards() const {
    std::vector<std::string> Out;
    for (const auto &[Shard, Manager] : m_managers)
      if (Manager->isLoaded() && !m_ownership.isReleased(Shard))
        Out.push_back(Shard);
    return Out;
  }

  std::vector<std::string> explain(const std::string &Task) const {
    for (const auto &[Shard, Manager] : m_managers) {
      std::vector<std::string> Reasons = Manager->explain(Task);
      if (!Reasons.empty())
        return Reasons;
    }
    return {};
  }

  void shutDown(std::function<void()> Done) {
    m_onShutDown = std::move(Done);
    m_shutDownSince = m_time.now();
    m_membership.drain();
    m_ownership.stopClaiming();
  }

  SchedulerCounters counters() const { return m_counters; }
  const Membership &membership() const { return m_membership; }

private:
  static SchedulerOptions withMembershipSelf(SchedulerOptions Options) {
    Options.Membership.Self = Options.Self;
    return Options;
  }

  void reportEvent(std::string_view Name, std::string_view Detail) const {
    if (m_options.OnEvent)
      m_options.OnEvent(Name, Detail);
  }

  void onShardClaimed(const ShardClaim &Claim) {
    ++m_counters.Claims;
    reportEvent("shard_claimed",
                fmt::format("shard={} epoch={}", Claim.Shard, Claim.Epoch));
    auto Manager = std::make_shared<ShardManager>(
        ShardManagerContext{
            .Options = m_options,
            .Store = m_store,
            .Workers = m_workers,
            .Time = m_time,
            .Counters = m_counters,
            .CanExtendGrants =
                [this] { return m_membership.canExtendLeases(); },
            .CanStart = [this] { return m_membership.isLeaseValid(); }},
        Claim);
    m_managers[Claim.Shard] = Manager;
    configureManager(*Manager);
    if (m_hasHosts)
      Manager->updateHosts(hostsOf(Claim.Shard));
  }

  void onShardLost(const std::string &Shard) {
    if (m_managers.erase(Shard) == 0)
      return;
    ++m_counters.LostShards;
    reportEvent("shard_lost", fmt::format("shard={}", Shard));
  }

  ShardManager *findManager(const ShardClaim &Claim) const {
    auto It = m_managers.find(Claim.Shard);
    bool IsSame =
        It != m_managers.end() && It->second->claim().Epoch == Claim.Epoch;
    return IsSame ? It->second.get() : nullptr;
  }

  // The tasks of a released shard keep running until another process has
  // claimed it. On shutdown their leases must last until then.
  void onShardReleased(const ShardClaim &Claim) {
    ++m_counters.Releases;
    reportEvent("shard_released", fmt::format("shard={}", Claim.Shard));
    if (m_onShutDown)
      m_managers.erase(Claim.Shard);
  }

  void onReleaseFailed(const ShardClaim &Claim, const Error &Failure) {
    ShardManager *Manager = findManager(Claim);
    if (!Manager)
      return;
    if (Failure.Code == ResultCode::Unavailable) {
      m_nextReleaseAt = m_time.now() + ReleaseRetryInterval;
      Manager->setReleasing(false);
      reportEvent("release_failed", fmt::format("shard={}", Claim.Shard));
      return;
    }
    onShardLost(Claim.Shard);
    m_ownership.forget(Claim.Shard);
  }

  void dropFencedShards() {
    std::vector<std::string> FencedShards;
    for (const auto &[Shard, Manager] : m_managers)
      if (Manager->isFencedOut())
        FencedShards.push_back(Shard);
    for (const std::string &Shard : FencedShards) {
      if (m_ownership.isReleased(Shard))
        m_managers.erase(Shard);
      else
        onShardLost(Shard);
      m_ownership.forget(Shard);
    }
  }

  void configureManager(ShardManager &Manager) {
    if (m_revision == 0)
      return;
    std::vector<v1::TaskRow> Wanted;
    for (const ServiceSpec &Service : m_services)
      for (uint32_t Index = 0; Index < Service.Replicas; ++Index)
        if (m_options.Partitioning.homeShardOf(Service.Name, Index) ==
            Manager.claim().Shard)
          Wanted.push_back(replicaRow(Service, Index));
    Manager.updateReplicas(Wanted);
    Manager.updateCordons(m_cordons);
  }

  std::vector<Host> hostsOf(const std::string &Shard) const {
    std::vector<Host> Hosts;
    for (const Host &Info : m_hostList)
      if (m_options.Partitioning.shardOf(Info.Worker, Info.FailureDomain) ==
          Shard)
        Hosts.push_back(Info);
    return Hosts;
  }

  void pollHosts() {
    TimePoint Now = m_time.now();
    if (m_isPollingHosts || Now < m_nextHostPollAt)
      return;
    m_isPollingHosts = true;
    m_nextHostPollAt = Now + m_options.HostPollInterval;
    m_hosts.snapshot([this, Alive = std::weak_ptr<int>(m_alive)](
                         Result<HostSnapshot> Reply) {
      if (Alive.expired())
        return;
      m_isPollingHosts = false;
      if (!Reply.has_value())
        return;
      m_hostList = std::move(Reply.value().Hosts);
      m_hasHosts = true;
      for (auto &[Shard, Manager] : m_managers)
        Manager->updateHosts(hostsOf(Shard));
    });
  }

  void publish() {
    TimePoint Now = m_time.now();
    if (Now < m_nextPublishAt)
      return;
    m_nextPublishAt = Now + PublishInterval;
    std::vector<ShardSummary> Summaries;
    for (const auto &[Shard, Manager] : m_managers)
      Summaries.push_back(Manager->summary());
    m_membership.publish(m_revision, std::move(Summaries));
    std::set<std::string> Entries;
    for (const Member &Process : m_membership.allMembers())
      if (Process.Role == MemberRole::Entry)
        Entries.insert(Process.Id);
    std::vector<ShardSummary> All;
    for (const Member &Process : m_membership.liveMembers())
      All.insert(All.end(), Process.Shards.begin(), Process.Shards.end());
    for (auto &[Shard, Manager] : m_managers) {
      Manager->setEntries(Entries);
      Manager->setSummaries(All);
    }
  }

  // A shard manager must be idle before its shard is released, so that none of
  // its starts can follow the release. On shutdown the shard is released after
  // HandoverTimeout at the latest.
  void releaseShards() {
    bool HasTimedOut =
        m_onShutDown && m_time.now() - m_shutDownSince > HandoverTimeout;
    if (HasTimedOut)
      std::erase_if(m_managers, [this](const auto &Item) {
        return m_ownership.isReleased(Item.first);
      });
    for (auto &[Shard, Manager] : m_managers) {
      if (Manager->isHandingOver())
        continue;
      bool ShouldRelease = shouldRelease(Shard, *Manager);
      Manager->setReleasing(ShouldRelease);
      if (!ShouldRelease || (!Manager->isIdle() && !HasTimedOut))
        continue;
      nanoseconds ExtendFor =
          m_onShutDown ? nanoseconds(0) : m_options.Self.GrantHorizon;
      m_ownership.release(Manager->claim(), Manager->beginHandover(ExtendFor));
    }
  }

  bool shouldRelease(const std::string &Shard,
                     const ShardManager &Manager) const {
    if (m_onShutDown)
      return m_time.now() >= m_nextReleaseAt;
    return m_ownership.shouldRelease(Shard) &&
           !Manager.mayHaveUnreachableTasks();
  }

  void leave() {
    m_hasLeft = true;
    m_membership.leave([this] { m_onShutDown(); });
  }

  SchedulerOptions m_options;
  TableStore &m_store;
  WorkerPort &m_workers;
  HostList &m_hosts;
  const Clock &m_time;
  SchedulerCounters m_counters;
  class Membership m_membership;
  Ownership m_ownership;
  std::map<std::string, std::shared_ptr<ShardManager>> m_managers;
  std::vector<ServiceSpec> m_services;
  std::vector<WorkerCordon> m_cordons;
  uint64_t m_revision = 0;
  std::vector<Host> m_hostList;
  bool m_hasHosts = false;
  bool m_isPollingHosts = false;
  TimePoint m_nextHostPollAt{};
  TimePoint m_nextPublishAt{};
  std::function<void()> m_onShutDown;
  TimePoint m_shutDownSince{};
  /// Time before which no shard is released on shutdown.
  TimePoint m_nextReleaseAt{};
  bool m_hasLeft = false;
  /// Lets a callback detect that this object was destroyed before it ran.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

Scheduler::Scheduler(SchedulerOptions Options, TableStore &Store,
                     WorkerPort &Workers, HostList &Hosts, const Clock &Time)
    : m_impl(std::make_unique<Impl>(std::move(Options), Store, Workers, Hosts,
                                    Time)) {}
Scheduler::~Scheduler() = default;
void Scheduler::tick() { m_impl->tick(); }
void Scheduler::configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                          std::vector<WorkerCordon> Cordons) {
  m_impl->configure(Revision, std::move(Services), std::move(Cordons));
}
void Scheduler::pollSharesSoon(const std::vector<std::string> &Shards) {
  m_impl->pollSharesSoon(Shards);
}
std::vector<ReplicaRoute> Scheduler::routes() const { return m_impl->routes(); }
std::vector<ShardRoutes>
Scheduler::handleEntryRequest(const EntryRequest &From) {
  return m_impl->handleEntryRequest(From);
}
std::vector<std::string> Scheduler::ownedShards() const {
  return m_impl->ownedShards();
}
std::vector<std::string> Scheduler::explain(const std::string &Task) const {
  return m_impl->explain(Task);
}
void Scheduler::shutDown(std::function<void()> Done) {
  m_impl->shutDown(std::move(Done));
}
SchedulerCounters Scheduler::counters() const { return m_impl->counters(); }
const Membership &Scheduler::membership() const { return m_impl->membership(); }

BASILCHUTE_NAMESPACE_END
