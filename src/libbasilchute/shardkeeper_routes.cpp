// Routes and credits that a shard's owner gives to entry processes.

#include "libbasilchute/shardkeeper.h"

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RefreshEvery{100};

} // namespace

void ShardKeeper::appendRoutes(std::vector<ReplicaRoute> &Out) const {
  for (const auto &[Id, Entry] : m_book.tasks()) {
    if (Entry.Row.service().empty() || !Entry.isPlaced() || !Entry.Confirmed)
      continue;
    if (Entry.Phase != StopPhase::None || Entry.Address.empty())
      continue;
    auto Link = m_links.find(Entry.Row.worker());
    if (Link == m_links.end() || Link->second.Draining)
      continue;
    Out.push_back({.Service = Entry.Row.service(),
                   .Team = Entry.Row.team(),
                   .Task = Id,
                   .Worker = Entry.Row.worker(),
                   .Address = Entry.Address,
                   .FailureDomain = Link->second.info().FailureDomain});
  }
}

void ShardKeeper::refreshRoutes() {
  TimePoint Now = m_context.Time.now();
  if (Now < m_routesAt)
    return;
  m_routesAt = Now + RefreshEvery;
  std::vector<ReplicaRoute> Fresh;
  appendRoutes(Fresh);
  if (m_routesVersion != 0 && Fresh == m_routes)
    return;
  m_routes = std::move(Fresh);
  ++m_routesVersion;
}

CreditLender &ShardKeeper::lenderOf(const std::string &Worker) {
  auto Found = m_lenders.find(Worker);
  if (Found != m_lenders.end())
    return Found->second;
  CreditLender Fresh(m_context.Options.Credits, m_creditsSettledAt);
  Fresh.setPossibleHolders(m_entries);
  return m_lenders.emplace(Worker, std::move(Fresh)).first->second;
}

void ShardKeeper::setEntries(const std::set<std::string> &Entries) {
  if (Entries == m_entries)
    return;
  m_entries = Entries;
  for (auto &[Worker, Lender] : m_lenders)
    Lender.setPossibleHolders(Entries);
}

ShardRoutes ShardKeeper::answerEntry(const EntryQuestion &From) {
  refreshRoutes();
  ShardRoutes Out{.Shard = m_claim.Shard,
                  .Epoch = m_claim.Epoch,
                  .Version = m_routesVersion};
  for (const KnownRoutes &Each : From.Known)
    Out.Unchanged |= Each.Shard == Out.Shard && Each.Epoch == Out.Epoch &&
                     Each.Version == Out.Version;
  if (!Out.Unchanged)
    Out.Routes = m_routes;
  if (!m_context.MayExtendGrants())
    return Out;
  TimePoint Now = m_context.Time.now();
  for (const CreditDemand &Each : From.Demands) {
    if (!m_links.contains(Each.Worker))
      continue;
    uint32_t Slots =
        lenderOf(Each.Worker).lend(From.Entry, Each.Held, Each.Wanted, Now);
    Out.Grants.push_back({.Worker = Each.Worker,
                          .Slots = Slots,
                          .Lease = m_context.Options.Credits.Lease});
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
