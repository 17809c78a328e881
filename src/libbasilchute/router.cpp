#include "basilchute/router.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>

#define RCU_MEMBARRIER
#include <urcu.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Weight of the newest answer in the smoothed latency, as 1/N.
constexpr int64_t LatencyWeight = 8;

/// Endpoints by service; never changed once published.
struct RouteTable {
  std::unordered_map<std::string, std::vector<std::shared_ptr<Endpoint>>>
      Services;
};

/// Registers the thread for read-side sections.
struct RcuThread {
  RcuThread() { rcu_register_thread(); }
  ~RcuThread() { rcu_unregister_thread(); }
};

void registerThread() { static thread_local RcuThread Registered; }

/// A read-side section; what it reads of the table stays valid within.
class RcuSection {
public:
  RcuSection() {
    registerThread();
    rcu_read_lock();
  }
  ~RcuSection() { rcu_read_unlock(); }
  RcuSection(const RcuSection &) = delete;
  RcuSection &operator=(const RcuSection &) = delete;
};

uint32_t randomStart(size_t Count) {
  static thread_local std::minstd_rand Engine(std::random_device{}());
  return static_cast<uint32_t>(Engine() % Count);
}

} // namespace

EndpointPick::EndpointPick(std::shared_ptr<Endpoint> To, TimePoint Since)
    : m_to(std::move(To)), m_since(Since) {
  m_to->InFlight.fetch_add(1, std::memory_order_relaxed);
}

EndpointPick::~EndpointPick() {
  if (!m_to)
    return;
  m_to->InFlight.fetch_sub(1, std::memory_order_relaxed);
  m_to->Credits->giveBack();
}

class Router::Impl {
public:
  Impl(RouterOptions Options, const Clock &Time)
      : m_options(std::move(Options)), m_time(Time), m_table(new RouteTable) {}

  ~Impl() {
    synchronize_rcu();
    delete m_table;
  }

  std::optional<EndpointPick> pick(std::string_view Service,
                                   const std::vector<std::string> &Avoid) {
    RcuSection Section;
    const auto *All = find(Service);
    if (!All || All->empty())
      return std::nullopt;
    TimePoint Now = m_time.now();
    bool MayEject = ejectedPercent(*All, Now) <= m_options.MaxEjectedPercent;
    if (auto Found = pickFrom(*All, Now, Avoid, MayEject))
      return Found;
    if (Avoid.empty() && !MayEject)
      return std::nullopt;
    return pickFrom(*All, Now, {}, false);
  }

  bool knows(std::string_view Service) const {
    RcuSection Section;
    return find(Service) != nullptr;
  }

  void finish(const EndpointPick &Of, AttemptOutcome How) {
    Endpoint &At = *Of.m_to;
    TimePoint Now = m_time.now();
    if (How != AttemptOutcome::Failed) {
      At.FailuresInRow.store(0, std::memory_order_relaxed);
      if (How == AttemptOutcome::Answered)
        learnLatency(At, Now - Of.m_since);
      return;
    }
    uint32_t Failures =
        At.FailuresInRow.fetch_add(1, std::memory_order_relaxed) + 1;
    if (Failures < m_options.EjectAfter)
      return;
    At.EjectedUntilNanos.store(
        (Now + m_options.EjectFor).time_since_epoch().count(),
        std::memory_order_relaxed);
    At.FailuresInRow.store(0, std::memory_order_relaxed);
  }

  bool update(const std::vector<ShardRoutes> &Answer, TimePoint AskedAt) {
    bool Changed = false;
    for (const ShardRoutes &Each : Answer) {
      Shard &Known = m_shards[Each.Shard];
      if (Each.Epoch < Known.Epoch)
        continue;
      Known.Epoch = Each.Epoch;
      for (const CreditGrant &Grant : Each.Grants)
        purseOf(Grant.Worker)->grant(Grant.Slots, AskedAt, Grant.Lease);
      if (Each.Unchanged)
        continue;
      Known.Version = Each.Version;
      Known.Routes = Each.Routes;
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

  void setLeaving(std::set<std::string> Workers) {
    if (Workers == m_leaving)
      return;
    m_leaving = std::move(Workers);
    rebuild();
  }

  EntryQuestion question(const std::string &Entry, const std::string &Address) {
    EntryQuestion Out{.Entry = Entry};
    std::set<std::string> Workers;
    for (const auto &[Name, Each] : m_shards) {
      if (!Each.Owner.empty() && Each.Owner != Address)
        continue;
      Out.Known.push_back(
          {.Shard = Name, .Epoch = Each.Epoch, .Version = Each.Version});
      for (const ReplicaRoute &Route : Each.Routes)
        Workers.insert(Route.Worker);
    }
    for (const std::string &Worker : Workers) {
      CreditPurse &Purse = *purseOf(Worker);
      Out.Demands.push_back({.Worker = Worker,
                             .Held = Purse.held(),
                             .Wanted = m_borrowing ? Purse.demand() : 0});
    }
    return Out;
  }

  void stopBorrowing() { m_borrowing = false; }

  void noteOwner(const std::string &Address,
                 const std::vector<ShardRoutes> &Answer) {
    for (const ShardRoutes &Each : Answer) {
      Shard &Known = m_shards[Each.Shard];
      if (Each.Epoch >= Known.Epoch)
        Known.Owner = Address;
    }
    for (auto &Entry : m_shards) {
      const std::string &Name = Entry.first;
      Shard &Each = Entry.second;
      bool Answered = std::any_of(
          Answer.begin(), Answer.end(),
          [&](const ShardRoutes &Other) { return Other.Shard == Name; });
      if (Each.Owner == Address && !Answered)
        Each.Owner.clear();
    }
  }

  std::vector<std::shared_ptr<const Endpoint>> endpoints() const {
    std::vector<std::shared_ptr<const Endpoint>> Out;
    RcuSection Section;
    for (const auto &[Service, All] : rcu_dereference(m_table)->Services)
      Out.insert(Out.end(), All.begin(), All.end());
    return Out;
  }

private:
  /// What the owner of one shard said last.
  struct Shard {
    uint64_t Epoch = 0;
    uint64_t Version = 0;
    std::string Owner;
    std::vector<ReplicaRoute> Routes;
  };

  const std::vector<std::shared_ptr<Endpoint>> *
  find(std::string_view Service) const {
    const RouteTable *Table = rcu_dereference(m_table);
    auto Found = Table->Services.find(std::string(Service));
    return Found == Table->Services.end() ? nullptr : &Found->second;
  }

  static bool isEjected(const Endpoint &Each, TimePoint Now) {
    return Now.time_since_epoch().count() <
           Each.EjectedUntilNanos.load(std::memory_order_relaxed);
  }

  static uint32_t
  ejectedPercent(const std::vector<std::shared_ptr<Endpoint>> &All,
                 TimePoint Now) {
    auto Count = std::count_if(All.begin(), All.end(), [&](const auto &Each) {
      return isEjected(*Each, Now);
    });
    return static_cast<uint32_t>(100 * Count /
                                 static_cast<int64_t>(All.size()));
  }

  /// Expected time of one more request at \p At.
  double cost(const Endpoint &At) const {
    auto Latency = static_cast<double>(
        At.LatencyNanos.load(std::memory_order_relaxed) + 1);
    double Load = At.InFlight.load(std::memory_order_relaxed) + 1.0;
    double Distance = At.FailureDomain == m_options.FailureDomain
                          ? 0.0
                          : static_cast<double>(
                                nanoseconds(m_options.DistancePenalty).count());
    return Latency * Load + Distance;
  }

  std::optional<EndpointPick>
  pickFrom(const std::vector<std::shared_ptr<Endpoint>> &All, TimePoint Now,
           const std::vector<std::string> &Avoid, bool SkipEjected) {
    // Sorting a few candidates by cost keeps the search short in a service of
    // any size, and a random start keeps entries from choosing alike.
    struct Candidate {
      double Cost;
      const std::shared_ptr<Endpoint> *At;
    };
    std::vector<Candidate> Candidates;
    size_t Start = randomStart(All.size());
    for (size_t I = 0; I < All.size(); ++I) {
      const std::shared_ptr<Endpoint> &Each = All[(Start + I) % All.size()];
      bool Avoided =
          std::find(Avoid.begin(), Avoid.end(), Each->Task) != Avoid.end();
      bool Ejected = SkipEjected && isEjected(*Each, Now);
      bool Full = Each->Credits->inUse() >= Each->Credits->granted();
      if (Avoided || Ejected || Full)
        continue;
      Candidates.push_back({cost(*Each), &Each});
      if (Candidates.size() >= m_options.CandidateLimit)
        break;
    }
    std::stable_sort(
        Candidates.begin(), Candidates.end(),
        [](const Candidate &A, const Candidate &B) { return A.Cost < B.Cost; });
    for (const Candidate &Each : Candidates)
      if ((*Each.At)->Credits->take(Now))
        return EndpointPick(*Each.At, Now);
    for (const std::shared_ptr<Endpoint> &Each : All)
      Each->Credits->noteShortage();
    return std::nullopt;
  }

  static void learnLatency(Endpoint &At, nanoseconds Took) {
    int64_t Old = At.LatencyNanos.load(std::memory_order_relaxed);
    int64_t New =
        Old == 0 ? Took.count() : Old + (Took.count() - Old) / LatencyWeight;
    // A lost race loses one sample.
    At.LatencyNanos.store(New, std::memory_order_relaxed);
  }

  const std::shared_ptr<CreditPurse> &purseOf(const std::string &Worker) {
    std::shared_ptr<CreditPurse> &Slot = m_purses[Worker];
    if (!Slot)
      Slot = std::make_shared<CreditPurse>();
    return Slot;
  }

  std::shared_ptr<Endpoint> endpointOf(const ReplicaRoute &Route) {
    std::string Key = Route.Task + "@" + Route.Address;
    std::shared_ptr<Endpoint> Known = m_endpoints[Key].lock();
    if (Known)
      return Known;
    auto Fresh = std::make_shared<Endpoint>();
    Fresh->Service = Route.Service;
    Fresh->Team = Route.Team;
    Fresh->Task = Route.Task;
    Fresh->Worker = Route.Worker;
    Fresh->Address = Route.Address;
    Fresh->FailureDomain = Route.FailureDomain;
    Fresh->Credits = purseOf(Route.Worker);
    m_endpoints[Key] = Fresh;
    return Fresh;
  }

  void rebuild() {
    auto *Fresh = new RouteTable;
    for (const std::string &Name : m_services)
      Fresh->Services[Name];
    for (const auto &[Name, Each] : m_shards) {
      for (const ReplicaRoute &Route : Each.Routes) {
        if (m_leaving.contains(Route.Worker))
          continue;
        Fresh->Services[Route.Service].push_back(endpointOf(Route));
      }
    }
    RouteTable *Old = m_table;
    rcu_assign_pointer(m_table, Fresh);
    synchronize_rcu();
    delete Old;
    std::erase_if(m_endpoints,
                  [](const auto &Entry) { return Entry.second.expired(); });
  }

  RouterOptions m_options;
  const Clock &m_time;
  RouteTable *m_table;
  std::map<std::string, Shard> m_shards;
  std::map<std::string, std::shared_ptr<CreditPurse>> m_purses;
  std::map<std::string, std::weak_ptr<Endpoint>> m_endpoints;
  std::set<std::string> m_leaving;
  std::set<std::string> m_services;
  bool m_borrowing = true;
};

Router::Router(RouterOptions Options, const Clock &Time)
    : m_impl(std::make_unique<Impl>(std::move(Options), Time)) {}
Router::~Router() = default;
std::optional<EndpointPick>
Router::pick(std::string_view Service, const std::vector<std::string> &Avoid) {
  return m_impl->pick(Service, Avoid);
}
bool Router::knows(std::string_view Service) const {
  return m_impl->knows(Service);
}
void Router::finish(const EndpointPick &Of, AttemptOutcome How) {
  m_impl->finish(Of, How);
}
bool Router::update(const std::vector<ShardRoutes> &Answer, TimePoint AskedAt) {
  return m_impl->update(Answer, AskedAt);
}
void Router::setServices(std::set<std::string> Names) {
  m_impl->setServices(std::move(Names));
}
void Router::setLeaving(std::set<std::string> Workers) {
  m_impl->setLeaving(std::move(Workers));
}
EntryQuestion Router::question(const std::string &Entry,
                               const std::string &Address) {
  return m_impl->question(Entry, Address);
}
void Router::stopBorrowing() { m_impl->stopBorrowing(); }
void Router::noteOwner(const std::string &Address,
                       const std::vector<ShardRoutes> &Answer) {
  m_impl->noteOwner(Address, Answer);
}
std::vector<std::shared_ptr<const Endpoint>> Router::endpoints() const {
  return m_impl->endpoints();
}

BASILCHUTE_NAMESPACE_END
