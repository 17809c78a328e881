// Routes and credits that a shard's owner sends to entry processes.

#include "libbasilchute/shardmanager.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RouteRefreshInterval{100};

} // namespace

void ShardManager::appendRoutes(std::vector<ReplicaRoute> &Out) const {
  for (const auto &[Id, Entry] : m_tasks.tasks()) {
    if (Entry.Row.service().empty() || !Entry.isPlaced() || !Entry.IsConfirmed)
      continue;
    if (Entry.Phase != StopPhase::None || Entry.Address.empty())
      continue;
    auto Record = m_workers.find(Entry.Row.worker());
    if (Record == m_workers.end() || Record->second.IsDraining)
      continue;
    Out.push_back({.Service = Entry.Row.service(),
                   .Team = Entry.Row.team(),
                   .Task = Id,
                   .Worker = Entry.Row.worker(),
                   .Address = Entry.Address,
                   .FailureDomain = Record->second.info().FailureDomain});
  }
}

void ShardManager::refreshRoutes() {
  TimePoint Now = m_context.Time.now();
  if (Now < m_nextRouteRefreshAt)
    return;
  m_nextRouteRefreshAt = Now + RouteRefreshInterval;
  std::vector<ReplicaRoute> NewRoutes;
  appendRoutes(NewRoutes);
  if (m_routesVersion != 0 && NewRoutes == m_routes)
    return;
  m_routes = std::move(NewRoutes);
  ++m_routesVersion;
}

CreditLender &ShardManager::findOrAddLender(const std::string &Worker) {
  auto It = m_lenders.find(Worker);
  if (It != m_lenders.end())
    return It->second;
  CreditLender NewLender(m_context.Options.Credits, m_priorGrantsEnd);
  NewLender.setPossibleHolders(m_entries);
  return m_lenders.emplace(Worker, std::move(NewLender)).first->second;
}

void ShardManager::setEntries(const std::set<std::string> &Entries) {
  if (Entries == m_entries)
    return;
  m_entries = Entries;
  for (auto &[Worker, Lender] : m_lenders)
    Lender.setPossibleHolders(Entries);
}

ShardRoutes ShardManager::handleEntryRequest(const EntryRequest &Request) {
  refreshRoutes();
  ShardRoutes Answer{.Shard = m_claim.Shard,
                     .Epoch = m_claim.Epoch,
                     .Version = m_routesVersion};
  for (const KnownRoutes &Known : Request.Known)
    Answer.IsUnchanged |= Known.Shard == Answer.Shard &&
                          Known.Epoch == Answer.Epoch &&
                          Known.Version == Answer.Version;
  if (!Answer.IsUnchanged)
    Answer.Routes = m_routes;
  if (!canExtendGrants())
    return Answer;
  TimePoint Now = m_context.Time.now();
  for (const CreditDemand &Demand : Request.Demands) {
    if (!m_workers.contains(Demand.Worker))
      continue;
    uint32_t Slots =
        findOrAddLender(Demand.Worker)
            .lend(Request.Entry, Demand.Held, Demand.Requested, Now);
    Answer.Grants.push_back({.Worker = Demand.Worker,
                             .Slots = Slots,
                             .Lease = m_context.Options.Credits.Lease});
  }
  return Answer;
}

BASILCHUTE_NAMESPACE_END
