#include "basilchute/router.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>

#define RCU_MEMBARRIER
#include <urcu.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The newest response time has the weight 1/LatencySmoothing in the smoothed
/// latency.
constexpr int64_t LatencySmoothing = 8;

/// Endpoints by service; immutable once published.
struct RouteTable {
  std::unordered_map<std::string, std::vector<std::shared_ptr<Endpoint>>>
      Services;
};

/// Registers the current thread with liburcu until the thread ends.
struct RcuThreadRegistration {
  RcuThreadRegistration() { rcu_register_thread(); }
  ~RcuThreadRegistration() { rcu_unregister_thread(); }
};

void registerThread() {
  static thread_local RcuThreadRegistration Registration;
}

/// RAII guard of an RCU read-side critical section: the route table read within
/// the section stays valid until its end.
class RcuReadGuard {
public:
  RcuReadGuard() {
    registerThread();
    rcu_read_lock();
  }
  ~RcuReadGuard() { rcu_read_unlock(); }
  RcuReadGuard(const RcuReadGuard &) = delete;
  RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

uint32_t randomStart(size_t Count) {
  static thread_local std::minstd_rand Engine(std::random_device{}());
  return static_cast<uint32_t>(Engine() % Count);
}

} // namespace

EndpointPick::EndpointPick(std::shared_ptr<Endpoint> Target, TimePoint PickedAt)
    : m_endpoint(std::move(Target)), m_pickedAt(PickedAt) {
  m_endpoint->InFlight.fetch_add(1, std::memory_order_relaxed);
}

EndpointPick::~EndpointPick() {
  if (!m_endpoint)
    return;
  m_endpoint->InFlight.fetch_sub(1, std::memory_order_relaxed);
  m_endpoint->Credits->release();
}

class Router::Impl {
public:
  Impl(RouterOptions Options, const Clock &Time)
      : m_options(std::move(Options)), m_time(Time), m_table(new RouteTable) {}

  ~Impl() {
    synchronize_rcu();
    delete m_table;
  }

  std::optional<EndpointPick>
  pick(std::string_view Service, const std::vector<std::string> &AvoidedTasks) {
    RcuReadGuard Guard;
    const auto *Endpoints = findService(Service);
    if (!Endpoints || Endpoints->empty())
      return std::nullopt;
    TimePoint Now = m_time.now();
    bool SkipEjected =
        ejectedPercent(*Endpoints, Now) <= m_options.MaxEjectedPercent;
    if (auto Pick = pickFrom(*Endpoints, Now, AvoidedTasks, SkipEjected))
      return Pick;
    if (AvoidedTasks.empty() && !SkipEjected)
      return std::nullopt;
    return pickFrom(*Endpoints, Now, {}, false);
  }

  bool hasService(std::string_view Service) const {
    RcuReadGuard Guard;
    return findService(Service) != nullptr;
  }

  void recordOutcome(const EndpointPick &Pick, AttemptOutcome Outcome) {
    Endpoint &Target = *Pick.m_endpoint;
    TimePoint Now = m_time.now();
    if (Outcome != AttemptOutcome::Failed) {
      Target.ConsecutiveFailures.store(0, std::memory_order_relaxed);
      if (Outcome == AttemptOutcome::Answered)
        updateLatency(Target, Now - Pick.m_pickedAt);
      return;
    }
    uint32_t Failures =
        Target.ConsecutiveFailures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (Failures < m_options.FailuresToEject)
      return;
    Target.EjectedUntilNanos.store(
        (Now + m_options.EjectionTime).time_since_epoch().count(),
        std::memory_order_relaxed);
    Target.ConsecutiveFailures.store(0, std::memory_order_relaxed);
  }

  bool applyRoutes(const std::vector<ShardRoutes> &Answer, TimePoint AskedAt) {
    bool Changed = false;
    for (const ShardRoutes &Update : Answer) {
      ShardState &State = m_shards[Update.Shard];
      if (Update.Epoch < State.Epoch)
        continue;
      State.Epoch = Update.Epoch;
      for (const CreditGrant &Grant : Update.Grants)
        creditsOf(Grant.Worker)->grant(Grant.Slots, AskedAt, Grant.Lease);
      if (Update.IsUnchanged)
        continue;
      State.Version = Update.Version;
      State.Routes = Update.Routes;
      Changed = true;
    }
    if (Changed)
      rebuild();
    return Changed;
  }

  void setServices(std::set<std::string> Names) {
    if (Names == m_services)
      return;
    m_services = std::move(Names);
    rebuild();
  }

  void setLeavingWorkers(std::set<std::string> Workers) {
    if (Workers == m_leavingWorkers)
      return;
    m_leavingWorkers = std::move(Workers);
    rebuild();
  }

  EntryRequest buildRequest(const std::string &EntryId,
                            const std::string &OwnerAddress) {
    EntryRequest Out{.Entry = EntryId};
    std::set<std::string> Workers;
    for (const auto &[Name, State] : m_shards) {
      if (!State.Owner.empty() && State.Owner != OwnerAddress)
        continue;
      Out.Known.push_back(
          {.Shard = Name, .Epoch = State.Epoch, .Version = State.Version});
      for (const ReplicaRoute &Route : State.Routes)
        Workers.insert(Route.Worker);
    }
    for (const std::string &Worker : Workers) {
      WorkerCredits &Credits = *creditsOf(Worker);
      Out.Demands.push_back(
          {.Worker = Worker,
           .Held = Credits.held(),
           .Requested = m_isBorrowing ? Credits.takeDemand() : 0});
    }
    return Out;
  }

  void stopRequestingCredits() { m_isBorrowing = false; }

  void setShardOwner(const std::string &OwnerAddress,
                     const std::vector<ShardRoutes> &Answer) {
    for (const ShardRoutes &Update : Answer) {
      ShardState &State = m_shards[Update.Shard];
      if (Update.Epoch >= State.Epoch)
        State.Owner = OwnerAddress;
    }
    for (auto &NameAndState : m_shards) {
      const std::string &Name = NameAndState.first;
      ShardState &State = NameAndState.second;
      bool IsInAnswer = std::any_of(
          Answer.begin(), Answer.end(),
          [&](const ShardRoutes &Update) { return Update.Shard == Name; });
      if (State.Owner == OwnerAddress && !IsInAnswer)
        State.Owner.clear();
    }
  }

  std::vector<std::shared_ptr<const Endpoint>> endpoints() const {
    std::vector<std::shared_ptr<const Endpoint>> Out;
    RcuReadGuard Guard;
    for (const auto &[Service, Endpoints] : rcu_dereference(m_table)->Services)
      Out.insert(Out.end(), Endpoints.begin(), Endpoints.end());
    return Out;
  }

private:
  /// Latest routes of one shard, as answered by its owner.
  struct ShardState {
    uint64_t Epoch = 0;
    uint64_t Version = 0;
    /// Peer address of the owner; empty if it is not known.
    std::string Owner;
    std::vector<ReplicaRoute> Routes;
  };

  const std::vector<std::shared_ptr<Endpoint>> *
  findService(std::string_view Service) const {
    const RouteTable *Table = rcu_dereference(m_table);
    auto It = Table->Services.find(std::string(Service));
    return It == Table->Services.end() ? nullptr : &It->second;
  }

  static bool isEjected(const Endpoint &Target, TimePoint Now) {
    return Now.time_since_epoch().count() <
           Target.EjectedUntilNanos.load(std::memory_order_relaxed);
  }

  static uint32_t
  ejectedPercent(const std::vector<std::shared_ptr<Endpoint>> &Endpoints,
                 TimePoint Now) {
    auto Count = std::count_if(
        Endpoints.begin(), Endpoints.end(),
        [&](const auto &Target) { return isEjected(*Target, Now); });
    return static_cast<uint32_t>(100 * Count /
                                 static_cast<int64_t>(Endpoints.size()));
  }

  /// Expected response time in nanoseconds of one more request at \p Target,
  /// with the penalty for another failure domain.
  double cost(const Endpoint &Target) const {
    auto Latency = static_cast<double>(
        Target.LatencyNanos.load(std::memory_order_relaxed) + 1);
    double Load = Target.InFlight.load(std::memory_order_relaxed) + 1.0;
    double Distance =
        Target.FailureDomain == m_options.FailureDomain
            ? 0.0
            : static_cast<double>(
                  nanoseconds(m_options.CrossDomainPenalty).count());
    return Latency * Load + Distance;
  }

  std::optional<EndpointPick>
  pickFrom(const std::vector<std::shared_ptr<Endpoint>> &Endpoints,
           TimePoint Now, const std::vector<std::string> &AvoidedTasks,
           bool SkipEjected) {
    // Only the first CandidateLimit usable endpoints are compared, so that the
    // search stays short for a service of any size. The random start keeps the
    // entry processes from all choosing the same endpoints.
    struct Candidate {
      double Cost;
      const std::shared_ptr<Endpoint> *Target;
    };
    std::vector<Candidate> Candidates;
    size_t Start = randomStart(Endpoints.size());
    for (size_t I = 0; I < Endpoints.size(); ++I) {
      const std::shared_ptr<Endpoint> &Target =
          Endpoints[(Start + I) % Endpoints.size()];
      bool IsAvoided = std::find(AvoidedTasks.begin(), AvoidedTasks.end(),
                                 Target->Task) != AvoidedTasks.end();
      bool IsSkipped = SkipEjected && isEjected(*Target, Now);
      bool IsFull = Target->Credits->inUse() >= Target->Credits->granted();
      if (IsAvoided || IsSkipped || IsFull)
        continue;
      Candidates.push_back({cost(*Target), &Target});
      if (Candidates.size() >= m_options.CandidateLimit)
        break;
    }
    std::stable_sort(
        Candidates.begin(), Candidates.end(),
        [](const Candidate &A, const Candidate &B) { return A.Cost < B.Cost; });
    for (const Candidate &Choice : Candidates)
      if ((*Choice.Target)->Credits->take(Now))
        return EndpointPick(*Choice.Target, Now);
    for (const std::shared_ptr<Endpoint> &Target : Endpoints)
      Target->Credits->recordShortage();
    return std::nullopt;
  }

  static void updateLatency(Endpoint &Target, nanoseconds Sample) {
    int64_t Old = Target.LatencyNanos.load(std::memory_order_relaxed);
    int64_t New = Old == 0 ? Sample.count()
                           : Old + (Sample.count() - Old) / LatencySmoothing;
    // Concurrent updates may overwrite each other, which loses one sample only.
    Target.LatencyNanos.store(New, std::memory_order_relaxed);
  }

  const std::shared_ptr<WorkerCredits> &creditsOf(const std::string &Worker) {
    std::shared_ptr<WorkerCredits> &Credits = m_credits[Worker];
    if (!Credits)
      Credits = std::make_shared<WorkerCredits>();
    return Credits;
  }

  /// Returns the endpoint of \p Route; an endpoint that is still in use is kept
  /// together with its latency and failures.
  std::shared_ptr<Endpoint> findOrCreateEndpoint(const ReplicaRoute &Route) {
    std::string Key = Route.Task + "@" + Route.Address;
    std::shared_ptr<Endpoint> Existing = m_endpoints[Key].lock();
    if (Existing)
      return Existing;
    auto Created = std::make_shared<Endpoint>();
    Created->Service = Route.Service;
    Created->Team = Route.Team;
    Created->Task = Route.Task;
    Created->Worker = Route.Worker;
    Created->Address = Route.Address;
    Created->FailureDomain = Route.FailureDomain;
    Created->Credits = creditsOf(Route.Worker);
    m_endpoints[Key] = Created;
    return Created;
  }

  /// Builds and publishes a new route table, and frees the old one once no
  /// reader uses it.
  void rebuild() {
    auto *New = new RouteTable;
    for (const std::string &Name : m_services)
      New->Services[Name];
    for (const auto &[Name, State] : m_shards) {
      for (const ReplicaRoute &Route : State.Routes) {
        if (m_leavingWorkers.contains(Route.Worker))
          continue;
        New->Services[Route.Service].push_back(findOrCreateEndpoint(Route));
      }
    }
    RouteTable *Old = m_table;
    rcu_assign_pointer(m_table, New);
    synchronize_rcu();
    delete Old;
    std::erase_if(m_endpoints,
                  [](const auto &Entry) { return Entry.second.expired(); });
  }

  RouterOptions m_options;
  const Clock &m_time;
  RouteTable *m_table;
  std::map<std::string, ShardState> m_shards;
  /// By worker.
  std::map<std::string, std::shared_ptr<WorkerCredits>> m_credits;
  /// By task and address.
  std::map<std::string, std::weak_ptr<Endpoint>> m_endpoints;
  std::set<std::string> m_leavingWorkers;
  std::set<std::string> m_services;
  bool m_isBorrowing = true;
};

Router::Router(RouterOptions Options, const Clock &Time)
    : m_impl(std::make_unique<Impl>(std::move(Options), Time)) {}
Router::~Router() = default;
std::optional<EndpointPick>
Router::pick(std::string_view Service,
             const std::vector<std::string> &AvoidedTasks) {
  return m_impl->pick(Service, AvoidedTasks);
}
bool Router::hasService(std::string_view Service) const {
  return m_impl->hasService(Service);
}
void Router::recordOutcome(const EndpointPick &Pick, AttemptOutcome Outcome) {
  m_impl->recordOutcome(Pick, Outcome);
}
bool Router::applyRoutes(const std::vector<ShardRoutes> &Answer,
                         TimePoint AskedAt) {
  return m_impl->applyRoutes(Answer, AskedAt);
}
void Router::setServices(std::set<std::string> Names) {
  m_impl->setServices(std::move(Names));
}
void Router::setLeavingWorkers(std::set<std::string> Workers) {
  m_impl->setLeavingWorkers(std::move(Workers));
}
EntryRequest Router::buildRequest(const std::string &EntryId,
                                  const std::string &OwnerAddress) {
  return m_impl->buildRequest(EntryId, OwnerAddress);
}
void Router::stopRequestingCredits() { m_impl->stopRequestingCredits(); }
void Router::setShardOwner(const std::string &OwnerAddress,
                           const std::vector<ShardRoutes> &Answer) {
  m_impl->setShardOwner(OwnerAddress, Answer);
}
std::vector<std::shared_ptr<const Endpoint>> Router::endpoints() const {
  return m_impl->endpoints();
}

BASILCHUTE_NAMESPACE_END
