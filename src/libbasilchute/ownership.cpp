#include "libbasilchute/ownership.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

Ownership::Ownership(OwnershipOptions Options, TableStore &Store,
                     const Clock &Time, const Membership &Members)
    : m_options(std::move(Options)), m_store(Store), m_time(Time),
      m_members(Members),
      m_committer({.WriterId = m_options.Self + ".own", .Window = {}}, Store,
                  Time) {}

void Ownership::tick() {
  TimePoint Now = m_time.now();
  m_committer.tick();
  if (!m_scanning && Now >= m_scanAt)
    scan(Now);
}

void Ownership::scan(TimePoint Now) {
  m_scanning = true;
  m_scanAt = Now + m_options.ScanEvery;
  m_store.scan(std::string(ShardPrefix),
               [this, Alive = std::weak_ptr<int>(m_alive)](
                   Result<std::vector<Row>> Rows) {
                 if (Alive.expired())
                   return;
                 m_scanning = false;
                 if (Rows.has_value())
                   onRows(Rows.value());
               });
}

void Ownership::onRows(const std::vector<Row> &Rows) {
  TimePoint Now = m_time.now();
  for (const Row &Each : Rows) {
    std::string Shard = Each.Key.substr(ShardPrefix.size());
    WatchedShard &Watched = m_shards[Shard];
    if (Each.Version <= Watched.Version)
      continue;
    Result<v1::ShardRow> Decoded = decodeRow<v1::ShardRow>(Each);
    if (!Decoded.has_value())
      continue;
    Watched.Row = Decoded.value();
    Watched.Version = Each.Version;
    Watched.FirstSeen = Now;
    Watched.OrphanSince.reset();
    auto Owned = m_owned.find(Shard);
    bool Lost = Owned != m_owned.end() && Watched.Row.epoch() > Owned->second;
    if (!Lost)
      continue;
    m_owned.erase(Owned);
    OnLost(Shard);
  }
  if (!m_members.joined())
    return;
  std::vector<Member> Candidates;
  for (const Member &Each : m_members.live())
    if (Each.Role == MemberRole::Scheduler && !Each.Draining)
      Candidates.push_back(Each);
  for (const auto &[Shard, FirstChoice] :
       assignShards(m_options.Division, Candidates))
    judge(Shard, FirstChoice);
}

void Ownership::judge(const std::string &Shard,
                      const std::string &FirstChoice) {
  TimePoint Now = m_time.now();
  WatchedShard &Watched = m_shards[Shard];
  bool Mine = FirstChoice == m_options.Self;
  if (m_owned.contains(Shard)) {
    if (Mine)
      Watched.MisplacedSince.reset();
    else if (!Watched.MisplacedSince)
      Watched.MisplacedSince = Now;
    return;
  }
  const std::string &Owner = Watched.Row.owner();
  bool Orphan =
      Owner.empty() || Owner == m_options.Self || !m_members.isLive(Owner);
  if (!Orphan) {
    Watched.OrphanSince.reset();
    return;
  }
  if (!Watched.OrphanSince)
    Watched.OrphanSince = Now;
  bool Overdue = Now - *Watched.OrphanSince > m_options.FirstChoicePatience;
  if (m_claiming && !Watched.Writing && (Mine || Overdue) &&
      m_members.leaseValid())
    claim(Shard);
}

TimePoint Ownership::inheritedHorizon(const WatchedShard &Of) const {
  TimePoint Now = m_time.now();
  if (Of.Version == 0 || m_options.IgnoreHorizon)
    return Now;
  TimePoint Residual = Of.FirstSeen + milliseconds(Of.Row.residual_lease_ms());
  TimePoint Chain = Of.FirstSeen + milliseconds(Of.Row.previous_horizon_ms());
  TimePoint Bound = std::max(Residual, Chain);
  if (Of.Row.owner().empty())
    return Bound;
  TimePoint Owner = m_members.grantHorizonEnd(Of.Row.owner())
                        .value_or(Now + m_options.DefaultHorizon);
  return std::max(Bound, Owner + m_options.TaskLease);
}

void Ownership::claim(const std::string &Shard) {
  WatchedShard &Watched = m_shards[Shard];
  Watched.Writing = true;
  ShardClaim Claim{.Shard = Shard,
                   .Epoch = Watched.Row.epoch() + 1,
                   .InheritedHorizon = inheritedHorizon(Watched),
                   .First = Watched.Version == 0};
  auto Left =
      std::chrono::ceil<milliseconds>(Claim.InheritedHorizon - m_time.now());
  v1::ShardRow Row;
  Row.set_owner(m_options.Self);
  Row.set_epoch(Claim.Epoch);
  Row.set_previous_owner(Watched.Row.owner());
  Row.set_previous_horizon_ms(std::max<int64_t>(Left.count(), 0));
  m_committer.commit({Write{.Key = shardKey(Shard),
                            .Value = Row.SerializeAsString(),
                            .ExpectedVersion = Watched.Version}},
                     [this, Claim](Result<uint64_t> Reply) {
                       onClaimed(Claim, std::move(Reply));
                     });
}

void Ownership::onClaimed(ShardClaim Claim, Result<uint64_t> Reply) {
  m_shards[Claim.Shard].Writing = false;
  if (!Reply.has_value())
    return;
  Claim.Version = Reply.value();
  m_owned[Claim.Shard] = Claim.Epoch;
  m_shards[Claim.Shard].MisplacedSince.reset();
  OnClaimed(Claim);
}

bool Ownership::shouldRelease(const std::string &Shard) const {
  auto Found = m_shards.find(Shard);
  if (Found == m_shards.end() || !Found->second.MisplacedSince)
    return false;
  return m_time.now() - *Found->second.MisplacedSince >
         m_options.RebalanceAfter;
}

void Ownership::release(const ShardClaim &Claim, nanoseconds Residual) {
  m_owned.erase(Claim.Shard);
  WatchedShard &Watched = m_shards[Claim.Shard];
  Watched.Writing = true;
  Watched.MisplacedSince.reset();
  v1::ShardRow Row;
  Row.set_epoch(Claim.Epoch);
  Row.set_residual_lease_ms(std::chrono::ceil<milliseconds>(Residual).count());
  m_committer.commit({Write{.Key = shardKey(Claim.Shard),
                            .Value = Row.SerializeAsString(),
                            .ExpectedVersion = Claim.Version}},
                     [this, Shard = Claim.Shard](const Result<uint64_t> &) {
                       m_shards[Shard].Writing = false;
                     });
}

BASILCHUTE_NAMESPACE_END
