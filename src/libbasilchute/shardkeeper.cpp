#include "libbasilchute/shardkeeper.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds LoadRetryPause{300};

CommitterOptions committerOptions(const SchedulerOptions &Options,
                                  const ShardClaim &Claim) {
  CommitterOptions Out{.WriterId = fmt::format("{}.{}.{}", Options.Self.Id,
                                               Claim.Shard, Claim.Epoch),
                       .Window = Options.GroupCommitWindow};
  if (!Options.Faults.SkipStoreFence)
    Out.Fence =
        Check{.Key = shardKey(Claim.Shard), .ExpectedVersion = Claim.Version};
  return Out;
}

} // namespace

ShardKeeper::ShardKeeper(KeeperContext Context, ShardClaim Claim)
    : m_context(std::move(Context)), m_claim(std::move(Claim)),
      m_committer(committerOptions(m_context.Options, m_claim), m_context.Store,
                  m_context.Time) {}

void ShardKeeper::event(std::string_view Name, std::string_view Detail) const {
  if (m_context.Options.OnEvent)
    m_context.Options.OnEvent(Name, Detail);
}

WorkerLink *ShardKeeper::linkOf(const std::string &Worker) {
  auto Found = m_links.find(Worker);
  return Found == m_links.end() ? nullptr : &Found->second;
}

void ShardKeeper::tick() {
  if (m_fencedOut)
    return;
  TimePoint Now = m_context.Time.now();
  if (!m_loaded)
    return load();
  m_committer.tick();
  if (m_releasing)
    return;
  if (!m_polling && Now >= m_pollSharesAt)
    pollShares();
  checkLostWorkers(Now);
  drainWorkers();
  advanceStops(Now);
  placeWaiting(Now);
  moveWaiting(Now);
  syncDueWorkers(Now);
}

void ShardKeeper::load() {
  if (m_loading || m_context.Time.now() < m_loadAt)
    return;
  m_loading = true;
  auto OnRows = [Self = weak_from_this()](
                    std::optional<std::vector<Row>> ShardKeeper::*Into) {
    return [Self, Into](Result<std::vector<Row>> Rows) {
      auto Live = Self.lock();
      if (!Live)
        return;
      if (Rows.has_value())
        (*Live).*Into = std::move(Rows.value());
      Live->m_loading = false;
      Live->m_loadAt = Live->m_context.Time.now() +
                       (Rows.has_value() ? milliseconds(0) : LoadRetryPause);
      if (Live->m_loadedShares && Live->m_loadedTasks)
        Live->onLoaded();
    };
  };
  if (!m_loadedShares)
    return m_context.Store.scan(sharePrefix(m_claim.Shard),
                                OnRows(&ShardKeeper::m_loadedShares));
  m_context.Store.scan(taskPrefix(m_claim.Shard),
                       OnRows(&ShardKeeper::m_loadedTasks));
}

void ShardKeeper::onLoaded() {
  TimePoint Now = m_context.Time.now();
  m_loaded = true;
  std::vector<std::string> Unwanted =
      m_book.load(*m_loadedShares, *m_loadedTasks, Now);
  m_loadedShares.reset();
  m_loadedTasks.reset();
  // Room of placed tasks is held from the start, also on unlisted workers.
  for (const auto &[Id, Entry] : m_book.tasks()) {
    if (!Entry.isPlaced())
      continue;
    const std::string &Worker = Entry.Row.worker();
    Host Unlisted{.Worker = Worker};
    auto [Found, New] = m_links.try_emplace(Worker, std::move(Unlisted),
                                            m_claim.InheritedHorizon);
    if (New)
      Found->second.Listed = false;
    Found->second.hold(Id, Entry.demand(), !Entry.Row.service().empty());
  }
  dropUnwanted(Unwanted);
  if (m_wantedReplicas)
    updateReplicas(*m_wantedReplicas);
  pollShares();
  event("shard_loaded", fmt::format("shard={} epoch={} tasks={}", m_claim.Shard,
                                    m_claim.Epoch, m_book.tasks().size()));
}

void ShardKeeper::pollShares() {
  m_polling = true;
  m_pollSharesAt = m_context.Time.now() + m_context.Options.SharePollEvery;
  m_context.Store.scan(
      sharePrefix(m_claim.Shard),
      [Self = weak_from_this()](Result<std::vector<Row>> Rows) {
        auto Live = Self.lock();
        if (!Live)
          return;
        if (!Rows.has_value()) {
          Live->m_polling = false;
          return;
        }
        Live->onShares(std::move(Rows.value()));
      });
}

// Tasks that came from another shard bring rows, which tell of their attempts.
void ShardKeeper::onShares(std::vector<Row> Shares) {
  std::vector<v1::ShareRow> ToAdopt = m_book.sharesToAdopt(Shares);
  if (ToAdopt.empty())
    return applyShares(Shares);
  m_context.Store.scan(
      taskPrefix(m_claim.Shard),
      [Self = weak_from_this(), Shares = std::move(Shares),
       ToAdopt = std::move(ToAdopt)](Result<std::vector<Row>> Tasks) {
        auto Live = Self.lock();
        if (!Live)
          return;
        if (!Tasks.has_value()) {
          Live->m_polling = false;
          return;
        }
        Live->m_book.adopt(ToAdopt, Tasks.value(), Live->m_context.Time.now());
        Live->applyShares(Shares);
      });
}

void ShardKeeper::applyShares(const std::vector<Row> &Shares) {
  m_polling = false;
  dropUnwanted(m_book.updateShares(Shares, m_context.Time.now()));
  std::vector<std::string> Complete;
  for (const auto &[Name, Share] : m_book.shares())
    if (Share.FinalTasks >= Share.Row.count())
      Complete.push_back(Name);
  for (const std::string &Name : Complete)
    finishShare(Name);
  m_placeDirty = true;
}

void ShardKeeper::updateHosts(const std::vector<Host> &Hosts) {
  for (auto &[Id, Link] : m_links)
    Link.Listed = false;
  for (const Host &Each : Hosts) {
    auto [Found, New] =
        m_links.try_emplace(Each.Worker, Each, m_claim.InheritedHorizon);
    Found->second.setInfo(Each);
    Found->second.Listed = true;
  }
  std::erase_if(m_links, [&](const auto &Entry) {
    const WorkerLink &Link = Entry.second;
    return !Link.Listed && Link.holds().empty() && !Link.SyncInFlight;
  });
  updateCordons(m_cordons);
}

void ShardKeeper::updateCordons(const std::vector<WorkerCordon> &Cordons) {
  m_cordons = Cordons;
  for (auto &[Id, Link] : m_links) {
    Link.Cordoned = false;
    Link.Draining = Link.info().Leaving;
    for (const WorkerCordon &Each : m_cordons) {
      if (Each.Worker != Id)
        continue;
      Link.Cordoned = true;
      Link.Draining = Link.Draining || Each.Drain;
    }
  }
  m_placeDirty = true;
}

void ShardKeeper::dropUnwanted(const std::vector<std::string> &Tasks) {
  for (const std::string &Each : Tasks)
    if (TaskEntry *Entry = m_book.find(Each))
      dropUnwanted(*Entry);
}

void ShardKeeper::updateReplicas(const std::vector<v1::TaskRow> &Wanted) {
  m_wantedReplicas = Wanted;
  if (!m_loaded)
    return;
  dropUnwanted(m_book.updateReplicas(Wanted, m_context.Time.now()));
  m_placeDirty = true;
}

bool ShardKeeper::quiet() const {
  if (!m_committer.idle())
    return false;
  return std::none_of(m_links.begin(), m_links.end(), [](const auto &Entry) {
    return Entry.second.SyncInFlight;
  });
}

nanoseconds ShardKeeper::residualLease() const {
  TimePoint Now = m_context.Time.now();
  nanoseconds Longest{0};
  for (const auto &[Id, Link] : m_links)
    Longest = std::max(Longest, Link.leaseBound() - Now);
  return Longest;
}

ShardSummary ShardKeeper::summary() const {
  ShardSummary Out{.Shard = m_claim.Shard};
  for (const auto &[Id, Link] : m_links) {
    if (!Link.Reachable || !Link.Fenced || Link.Cordoned || Link.Draining)
      continue;
    Resources Free = Link.free();
    Out.Free += Free;
    if (Free.Millicores > Out.LargestFit.Millicores)
      Out.LargestFit = Free;
  }
  Out.Waiting = static_cast<uint32_t>(m_book.waiting().size());
  return Out;
}

std::vector<std::string> ShardKeeper::explain(const std::string &Task) const {
  auto Found = m_book.tasks().find(Task);
  if (Found == m_book.tasks().end())
    return {};
  const TaskEntry &Entry = Found->second;
  const v1::TaskRow &Row = Entry.Row;
  std::vector<std::string> Out;
  Out.push_back(fmt::format("task {} is in shard {} (epoch {})", Task,
                            m_claim.Shard, m_claim.Epoch));
  Out.push_back(fmt::format("state {}, attempt {}, {} evictions, {} failures",
                            v1::TaskState_Name(Row.state()), Row.attempt(),
                            Row.evictions(), Row.failures()));
  if (Entry.isPlaced())
    Out.push_back(fmt::format("placed on worker {}, {}", Row.worker(),
                              Entry.Confirmed ? "confirmed running there"
                                              : "not yet confirmed"));
  auto Link = m_links.find(Row.worker());
  if (Entry.isPlaced() && Link != m_links.end())
    Out.push_back(fmt::format(
        "worker {}: {}, epoch {}, {} since the last report", Row.worker(),
        Link->second.Reachable ? "reachable" : "unreachable",
        Link->second.Fenced ? "installed" : "not installed",
        std::chrono::duration_cast<milliseconds>(m_context.Time.now() -
                                                 Link->second.LastReportAt)));
  if (!m_context.MayStart())
    Out.push_back("this scheduler's lease has lapsed, so it starts nothing");
  if (m_releasing)
    Out.push_back("the shard is being handed to another scheduler");
  if (Entry.Writing)
    Out.push_back("a change of the task's row is being written");
  if (!Entry.WaitReason.empty())
    Out.push_back(Entry.WaitReason);
  if (!Row.reason().empty())
    Out.push_back("last change: " + Row.reason());
  return Out;
}

BASILCHUTE_NAMESPACE_END
