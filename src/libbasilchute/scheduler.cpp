#include "basilchute/scheduler.h"

#include "libbasilchute/ownership.h"
#include "libbasilchute/shardkeeper.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds HandoverPatience{4000};
constexpr milliseconds PublishEvery{500};

v1::TaskRow replicaRow(const ServiceSpec &Of, uint32_t Index) {
  v1::TaskRow Out;
  Out.set_id(fmt::format("svc.{}/{}", Of.Name, Index));
  Out.set_service(Of.Name);
  Out.set_team(Of.Team);
  Out.set_kind(Of.WorkKind);
  *Out.mutable_demand() = toProto(Of.Demand);
  Out.set_state(v1::TASK_PENDING);
  return Out;
}

} // namespace

class Scheduler::Impl {
public:
  Impl(SchedulerOptions Options, TableStore &Store, WorkerPort &Workers,
       HostList &Hosts, const Clock &Time)
      : m_options(withSelf(std::move(Options))), m_store(Store),
        m_workers(Workers), m_hosts(Hosts), m_time(Time),
        m_membership(m_options.Membership, Store, Time),
        m_ownership({.Self = m_options.Self.Id,
                     .Division = m_options.Division,
                     .DefaultHorizon = m_options.Self.GrantHorizon,
                     .TaskLease = m_options.TaskLease,
                     .ScanEvery = m_options.ShardScanEvery,
                     .IgnoreHorizon = m_options.Faults.IgnoreHorizon},
                    Store, Time, m_membership) {
    m_ownership.OnClaimed = [this](const ShardClaim &Claim) { open(Claim); };
    m_ownership.OnLost = [this](const std::string &Shard) { drop(Shard); };
  }

  void tick() {
    if (!m_left)
      publish();
    m_membership.tick();
    m_ownership.tick();
    pollHosts();
    for (auto &[Shard, Keeper] : m_keepers)
      Keeper->tick();
    dropFenced();
    releaseUnwanted();
    if (m_onDown && !m_left && m_keepers.empty() && m_ownership.idle())
      leave();
  }

  void configure(uint64_t Revision, std::vector<ServiceSpec> Services,
                 std::vector<WorkerCordon> Cordons) {
    if (Revision <= m_revision)
      return;
    m_revision = Revision;
    m_services = std::move(Services);
    m_cordons = std::move(Cordons);
    for (auto &[Shard, Keeper] : m_keepers)
      configureKeeper(*Keeper);
  }

  void nudge(const std::vector<std::string> &Shards) {
    for (const std::string &Each : Shards) {
      auto Found = m_keepers.find(Each);
      if (Found == m_keepers.end())
        continue;
      Found->second->pollSharesSoon();
    }
  }

  std::vector<ReplicaRoute> routes() const {
    std::vector<ReplicaRoute> Out;
    for (const auto &[Shard, Keeper] : m_keepers)
      Keeper->appendRoutes(Out);
    return Out;
  }

  std::vector<ShardRoutes> answerEntry(const EntryQuestion &From) {
    std::vector<ShardRoutes> Out;
    for (auto &[Shard, Keeper] : m_keepers) {
      if (!Keeper->loaded() || Keeper->fencedOut())
        continue;
      Out.push_back(Keeper->answerEntry(From));
    }
    return Out;
  }

  std::vector<std::string> ownedShards() const {
    std::vector<std::string> Out;
    for (const auto &[Shard, Keeper] : m_keepers)
      if (Keeper->loaded())
        Out.push_back(Shard);
    return Out;
  }

  std::vector<std::string> explain(const std::string &Task) const {
    for (const auto &[Shard, Keeper] : m_keepers) {
      std::vector<std::string> Reasons = Keeper->explain(Task);
      if (!Reasons.empty())
        return Reasons;
    }
    return {};
  }

  void shutDown(std::function<void()> Done) {
    m_onDown = std::move(Done);
    m_downSince = m_time.now();
    m_membership.drain();
    m_ownership.stopClaiming();
  }

  SchedulerCounters counters() const { return m_counters; }
  const Membership &membership() const { return m_membership; }

private:
  static SchedulerOptions withSelf(SchedulerOptions Options) {
    Options.Membership.Self = Options.Self;
    return Options;
  }

  void event(std::string_view Name, std::string_view Detail) const {
    if (m_options.OnEvent)
      m_options.OnEvent(Name, Detail);
  }

  void open(const ShardClaim &Claim) {
    ++m_counters.Claims;
    event("shard_claimed",
          fmt::format("shard={} epoch={}", Claim.Shard, Claim.Epoch));
    auto Keeper = std::make_shared<ShardKeeper>(
        KeeperContext{.Options = m_options,
                      .Store = m_store,
                      .Workers = m_workers,
                      .Time = m_time,
                      .Counters = m_counters,
                      .MayExtendGrants =
                          [this] { return m_membership.mayExtendGrants(); },
                      .MayStart = [this] { return m_membership.leaseValid(); }},
        Claim);
    m_keepers[Claim.Shard] = Keeper;
    configureKeeper(*Keeper);
    if (m_hostsKnown)
      Keeper->updateHosts(hostsOf(Claim.Shard));
  }

  void drop(const std::string &Shard) {
    if (m_keepers.erase(Shard) == 0)
      return;
    ++m_counters.FencedOut;
    event("shard_lost", fmt::format("shard={}", Shard));
  }

  void dropFenced() {
    std::vector<std::string> Fenced;
    for (const auto &[Shard, Keeper] : m_keepers)
      if (Keeper->fencedOut())
        Fenced.push_back(Shard);
    for (const std::string &Each : Fenced) {
      drop(Each);
      m_ownership.forget(Each);
    }
  }

  void configureKeeper(ShardKeeper &Keeper) {
    if (m_revision == 0)
      return;
    std::vector<v1::TaskRow> Wanted;
    for (const ServiceSpec &Each : m_services)
      for (uint32_t I = 0; I < Each.Replicas; ++I)
        if (m_options.Division.homeOf(Each.Name, I) == Keeper.claim().Shard)
          Wanted.push_back(replicaRow(Each, I));
    Keeper.updateReplicas(Wanted);
    Keeper.updateCordons(m_cordons);
  }

  std::vector<Host> hostsOf(const std::string &Shard) const {
    std::vector<Host> Out;
    for (const Host &Each : m_hostList)
      if (m_options.Division.shardOf(Each.Worker, Each.FailureDomain) == Shard)
        Out.push_back(Each);
    return Out;
  }

  void pollHosts() {
    TimePoint Now = m_time.now();
    if (m_pollingHosts || Now < m_pollHostsAt)
      return;
    m_pollingHosts = true;
    m_pollHostsAt = Now + m_options.HostPollEvery;
    m_hosts.snapshot([this, Alive = std::weak_ptr<int>(m_alive)](
                         Result<HostSnapshot> Reply) {
      if (Alive.expired())
        return;
      m_pollingHosts = false;
      if (!Reply.has_value())
        return;
      m_hostList = std::move(Reply.value().Hosts);
      m_hostsKnown = true;
      for (auto &[Shard, Keeper] : m_keepers)
        Keeper->updateHosts(hostsOf(Shard));
    });
  }

  void publish() {
    TimePoint Now = m_time.now();
    if (Now < m_publishAt)
      return;
    m_publishAt = Now + PublishEvery;
    std::vector<ShardSummary> Summaries;
    for (const auto &[Shard, Keeper] : m_keepers)
      Summaries.push_back(Keeper->summary());
    m_membership.publish(m_revision, std::move(Summaries));
    std::set<std::string> Entries;
    for (const Member &Each : m_membership.known())
      if (Each.Role == MemberRole::Entry)
        Entries.insert(Each.Id);
    std::vector<ShardSummary> All;
    for (const Member &Each : m_membership.live())
      All.insert(All.end(), Each.Shards.begin(), Each.Shards.end());
    for (auto &[Shard, Keeper] : m_keepers) {
      Keeper->setEntries(Entries);
      Keeper->setSummaries(All);
    }
  }

  // A keeper that is to go is quiet before its shard is released, so that no
  // order of it can follow the release.
  void releaseUnwanted() {
    std::vector<std::string> Released;
    for (auto &[Shard, Keeper] : m_keepers) {
      bool Unwanted = m_onDown || m_ownership.shouldRelease(Shard);
      Keeper->setReleasing(Unwanted);
      if (!Unwanted)
        continue;
      bool Patient = m_onDown && m_time.now() - m_downSince > HandoverPatience;
      if (!Keeper->quiet() && !Patient)
        continue;
      m_ownership.release(Keeper->claim(), Keeper->residualLease());
      Released.push_back(Shard);
    }
    for (const std::string &Each : Released) {
      ++m_counters.Releases;
      event("shard_released", fmt::format("shard={}", Each));
      m_keepers.erase(Each);
    }
  }

  void leave() {
    m_left = true;
    m_membership.leave([this] { m_onDown(); });
  }

  SchedulerOptions m_options;
  TableStore &m_store;
  WorkerPort &m_workers;
  HostList &m_hosts;
  const Clock &m_time;
  SchedulerCounters m_counters;
  class Membership m_membership;
  Ownership m_ownership;
  std::map<std::string, std::shared_ptr<ShardKeeper>> m_keepers;
  std::vector<ServiceSpec> m_services;
  std::vector<WorkerCordon> m_cordons;
  uint64_t m_revision = 0;
  std::vector<Host> m_hostList;
  bool m_hostsKnown = false;
  bool m_pollingHosts = false;
  TimePoint m_pollHostsAt{};
  TimePoint m_publishAt{};
  std::function<void()> m_onDown;
  TimePoint m_downSince{};
  bool m_left = false;
  /// Expires with this object, so that late callbacks can tell.
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
void Scheduler::nudge(const std::vector<std::string> &Shards) {
  m_impl->nudge(Shards);
}
std::vector<ReplicaRoute> Scheduler::routes() const { return m_impl->routes(); }
std::vector<ShardRoutes> Scheduler::answerEntry(const EntryQuestion &From) {
  return m_impl->answerEntry(From);
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
