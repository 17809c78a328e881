#include "libbasilchute/ownership.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

Ownership::Ownership(OwnershipOptions Options, TableStore &Store,
                     const Clock &Time, const Membership &Members)
    : m_options(std::move(Options)), m_store(Store), m_time(Time),
      m_members(Members),
      m_committer({.WriterId = m_options.Self + ".own", .BatchWindow = {}},
                  Store, Time) {}

void Ownership::tick() {
  TimePoint Now = m_time.now();
  m_committer.tick();
  if (!m_isScanning && Now >= m_nextScan)
    scan(Now);
}

void Ownership::scan(TimePoint Now) {
  m_isScanning = true;
  m_nextScan = Now + m_options.ScanInterval;
  m_store.scan(std::string(ShardPrefix),
               [this, Alive = std::weak_ptr<int>(m_alive)](
                   Result<std::vector<Row>> Rows) {
                 if (Alive.expired())
                   return;
                 m_isScanning = false;
                 if (Rows.has_value())
                   onRows(Rows.value());
               });
}

void Ownership::onRows(const std::vector<Row> &Rows) {
  TimePoint Now = m_time.now();
  // During a gap the first choice may have died unnoticed.
  if (m_scannedAt && Now - *m_scannedAt > m_options.RebalanceDelay)
    for (auto &[Shard, ShardState] : m_shards)
      ShardState.MisplacedSince.reset();
  m_scannedAt = Now;
  for (const Row &ShardRow : Rows) {
    std::string Shard = ShardRow.Key.substr(ShardPrefix.size());
    ObservedShard &ShardState = m_shards[Shard];
    if (ShardRow.Version <= ShardState.Version)
      continue;
    Result<v1::ShardRow> Decoded = decodeRow<v1::ShardRow>(ShardRow);
    if (!Decoded.has_value())
      continue;
    ShardState.Row = Decoded.value();
    ShardState.Version = ShardRow.Version;
    ShardState.FirstSeen = Now;
    ShardState.OrphanSince.reset();
    auto Released = m_released.find(Shard);
    if (Released != m_released.end() &&
        ShardState.Row.epoch() > Released->second) {
      m_released.erase(Released);
      OnHandedOver(Shard);
    }
    auto Owned = m_owned.find(Shard);
    bool IsLost =
        Owned != m_owned.end() && ShardState.Row.epoch() > Owned->second;
    if (!IsLost)
      continue;
    m_owned.erase(Owned);
    OnLost(Shard);
  }
  if (!m_members.hasJoined())
    return;
  std::vector<Member> Candidates;
  for (const Member &Process : m_members.liveMembers())
    if (Process.Role == MemberRole::Scheduler && !Process.IsDraining)
      Candidates.push_back(Process);
  for (const auto &[Shard, FirstChoice] :
       assignShards(m_options.Partitioning, Candidates))
    evaluate(Shard, FirstChoice);
}

void Ownership::evaluate(const std::string &Shard,
                         const std::string &FirstChoice) {
  TimePoint Now = m_time.now();
  ObservedShard &ShardState = m_shards[Shard];
  bool IsFirstChoice = FirstChoice == m_options.Self;
  if (m_owned.contains(Shard)) {
    if (IsFirstChoice)
      ShardState.MisplacedSince.reset();
    else if (!ShardState.MisplacedSince)
      ShardState.MisplacedSince = Now;
    return;
  }
  const std::string &Owner = ShardState.Row.owner();
  bool IsOrphan =
      Owner.empty() || Owner == m_options.Self || !m_members.isLive(Owner);
  if (!IsOrphan) {
    ShardState.OrphanSince.reset();
    return;
  }
  if (!ShardState.OrphanSince)
    ShardState.OrphanSince = Now;
  bool IsOverdue = Now - *ShardState.OrphanSince > m_options.FirstChoiceTimeout;
  if (m_canClaim && !ShardState.IsWriting && (IsFirstChoice || IsOverdue) &&
      m_members.isLeaseValid())
    claim(Shard);
}

TimePoint Ownership::inheritedLeaseEnd(const ObservedShard &ShardState) const {
  TimePoint Now = m_time.now();
  if (ShardState.Version == 0 || m_options.IgnoreHorizon)
    return Now;
  TimePoint Residual =
      ShardState.FirstSeen + milliseconds(ShardState.Row.residual_lease_ms());
  TimePoint Inherited =
      ShardState.FirstSeen + milliseconds(ShardState.Row.previous_horizon_ms());
  TimePoint Bound = std::max(Residual, Inherited);
  if (ShardState.Row.owner().empty())
    return Bound;
  TimePoint OwnerHorizon = m_members.grantHorizonEnd(ShardState.Row.owner())
                               .value_or(Now + m_options.DefaultHorizon);
  return std::max(Bound, OwnerHorizon + m_options.TaskLease);
}

void Ownership::claim(const std::string &Shard) {
  ObservedShard &ShardState = m_shards[Shard];
  ShardState.IsWriting = true;
  ShardClaim Claim{.Shard = Shard,
                   .Epoch = ShardState.Row.epoch() + 1,
                   .InheritedLeaseEnd = inheritedLeaseEnd(ShardState),
                   .IsFirst = ShardState.Version == 0};
  auto Remaining =
      std::chrono::ceil<milliseconds>(Claim.InheritedLeaseEnd - m_time.now());
  v1::ShardRow Row;
  Row.set_owner(m_options.Self);
  Row.set_epoch(Claim.Epoch);
  Row.set_previous_owner(ShardState.Row.owner());
  Row.set_previous_horizon_ms(std::max<int64_t>(Remaining.count(), 0));
  m_committer.commitOnce(
      {Write{.Key = shardKey(Shard),
             .Value = Row.SerializeAsString(),
             .ExpectedVersion = ShardState.Version}},
      [this, Claim, DecidedAt = m_time.now()](const Result<uint64_t> &Reply) {
        onClaimed(Claim, DecidedAt, Reply);
      });
}

void Ownership::onClaimed(ShardClaim Claim, TimePoint DecidedAt,
                          const Result<uint64_t> &Reply) {
  m_shards[Claim.Shard].IsWriting = false;
  if (!Reply.has_value())
    return;
  // The previous owner may have renewed its row since the decision.
  TimePoint Now = m_time.now();
  if (Now - DecidedAt > m_options.FirstChoiceTimeout &&
      !m_options.IgnoreHorizon)
    Claim.InheritedLeaseEnd =
        std::max(Claim.InheritedLeaseEnd,
                 Now + m_options.DefaultHorizon + m_options.TaskLease);
  Claim.Version = Reply.value();
  m_owned[Claim.Shard] = Claim.Epoch;
  m_released.erase(Claim.Shard);
  m_shards[Claim.Shard].MisplacedSince.reset();
  OnClaimed(Claim);
}

bool Ownership::shouldRelease(const std::string &Shard) const {
  auto It = m_shards.find(Shard);
  if (It == m_shards.end() || !It->second.MisplacedSince || !m_scannedAt)
    return false;
  // Nobody can claim a released shard while the store is unavailable.
  bool IsStoreAnswering =
      m_time.now() - *m_scannedAt <= m_options.ScanInterval * 3 / 2;
  return IsStoreAnswering &&
         m_time.now() - *It->second.MisplacedSince > m_options.RebalanceDelay;
}

void Ownership::release(const ShardClaim &Claim, nanoseconds Residual) {
  m_shards[Claim.Shard].IsWriting = true;
  v1::ShardRow Row;
  Row.set_epoch(Claim.Epoch);
  Row.set_residual_lease_ms(std::chrono::ceil<milliseconds>(Residual).count());
  m_committer.commitOnce({Write{.Key = shardKey(Claim.Shard),
                                .Value = Row.SerializeAsString(),
                                .ExpectedVersion = Claim.Version}},
                         [this, Claim](const Result<uint64_t> &Reply) {
                           onReleaseWritten(Claim, Reply);
                         });
}

void Ownership::onReleaseWritten(const ShardClaim &Claim,
                                 const Result<uint64_t> &Reply) {
  ObservedShard &ShardState = m_shards[Claim.Shard];
  ShardState.IsWriting = false;
  ShardState.MisplacedSince.reset();
  if (!Reply.has_value()) {
    OnReleaseFailed(Claim, Reply.error());
    return;
  }
  auto Owned = m_owned.find(Claim.Shard);
  if (Owned == m_owned.end() || Owned->second != Claim.Epoch)
    return;
  m_owned.erase(Owned);
  m_released[Claim.Shard] = Claim.Epoch;
  OnReleased(Claim);
}

BASILCHUTE_NAMESPACE_END
