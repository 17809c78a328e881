#include "basilchute/hostcluster.h"

#include "basilchute/shardplan.h"
#include "libbasilchute/hostregistry.h"
#include "libbasilchute/jobrows.h"
#include "libbasilchute/observedshard.h"
#include "libbasilchute/publishedworkers.h"
#include "libbasilchute/renewalrecord.h"
#include "libbasilchute/shardlayout.h"
#include "libbasilchute/standby.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FeedWait{1000};
/// The same on an idle host. A feed that has gone silent is noticed later.
constexpr milliseconds IdleFeedWait{5000};
/// Maximum number of concurrent renewals; there can be several if replies are
/// lost.
constexpr int MaxConcurrentRenewals = 4;
/// Allowance for the difference between the times at which two hosts see one
/// renewal.
constexpr milliseconds FenceMargin{400};
/// Upper bound on the difference between two hosts' clocks over the time for
/// which a host is a sole owner after a renewal.
constexpr milliseconds ClockRateMargin{40};
/// Allowance for clock rates in the time for which a row must be unchanged
/// before another host claims the shard.
constexpr milliseconds ClaimMargin{100};
/// Longest time after which a commit without an answer is expected to take
/// effect.
constexpr milliseconds MaxCommitDelay{6000};
/// Number of consecutive plans that must ask for a handover before the shard is
/// handed over.
constexpr int MinHandoverPlans = 2;
/// Delay before a handover that failed, or whose outcome is unknown, is
/// repeated.
constexpr milliseconds HandoverRetryDelay{150};

} // namespace

class HostCluster::Impl
    : public std::enable_shared_from_this<HostCluster::Impl> {
public:
  Impl(HostClusterOptions Options, RowStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_hosts(std::make_shared<HostRegistry>(registryOptions(), Store, Time)),
        m_renewals(m_options.Timeout - ClaimMargin),
        m_published(m_options.Horizon + MaxCommitDelay) {}

  void start() {
    m_layout = std::make_shared<ShardLayout>(layoutOptions(), m_store, m_time);
    m_shards.resize(static_cast<size_t>(m_layout->shards()));
    followShardRows(0);
    m_layout->start();
    tick();
  }

  void tick() {
    m_isIdle = findIdle();
    m_layout->setIdle(m_isIdle);
    bool IsDue = m_lastRenewal == TimePoint{} ||
                 m_time.now() >= m_lastRenewal + renewInterval();
    if (m_renewalsInFlight < MaxConcurrentRenewals && IsDue && !m_isRemovingRow)
      renew();
    m_hosts->tick(m_isIdle);
    updateLayout();
    if (m_isLeaving)
      applyPlan();
    repeatHandovers();
  }

  void leave() {
    m_isLeaving = true;
    renew();
    applyPlan();
  }

  // The row is removed last, so that no other host claims a shard before the
  // record of its runs is written.
  void removeOwnRow() {
    m_isRemovingRow = true;
    for (int Shard = 0; Shard < shards(); ++Shard) {
      ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
      if (Row.OwnedEpoch != 0 && !Row.IsWriting && isSoleOwner())
        handOver(Shard, "");
    }
    removeRowIfIdle();
  }

  void removeRowIfIdle() {
    bool IsWriting =
        std::any_of(m_shards.begin(), m_shards.end(),
                    [](const ObservedShard &Row) { return Row.IsWriting; });
    if (!m_isRemovingRow || IsWriting)
      return;
    RowCommit Commit;
    Commit.Changes.push_back(
        {.Address = hostAddress(m_options.HostId), .IsRemoval = true});
    m_store.commit(std::move(Commit), [](const Result<uint64_t> &) {});
  }

  void recheckOwner(int Shard) { readOwnerRow(Shard); }

  void setFleet(const std::vector<WorkerEntry> &Fleet) {
    if (!m_layout)
      return;
    m_layout->setFleet(Fleet);
    updateLayout();
  }

  bool canSendOrders() const {
    return m_renewals.isYoungerThan(m_options.Horizon, m_time.now());
  }

  bool canAnswer() const {
    return m_renewals.isYoungerThan(m_options.AnswerHorizon, m_time.now());
  }

  TimePoint previousSoleUntil(int Shard) const {
    const ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    return std::min(Row.PreviousSoleUntil.value_or(m_time.now()), m_time.now());
  }

  uint32_t previousWorkers(int Shard) const {
    return m_shards[static_cast<size_t>(Shard)].PreviousWorkers;
  }

  bool havePreviousStoredEvidence() const {
    return m_hosts->haveStoredEvidence(leaseHorizon());
  }

  uint32_t publishedWorkers(int Shard) const {
    return m_published.most(Shard,
                            m_shards[static_cast<size_t>(Shard)].OwnedEpoch);
  }

  bool wasOwnerAt(uint64_t RowVersion) const {
    return RowVersion <= m_verifiedVersion || isSoleOwner();
  }

  bool isSoleOwner() const {
    return m_renewals.isCertain() &&
           m_renewals.isYoungerThan(maxSafeAge(), m_time.now());
  }

  int shards() const { return static_cast<int>(m_shards.size()); }

  int shardOf(const std::string &Worker) const {
    return m_layout ? m_layout->shardOf(Worker) : -1;
  }

  std::vector<WorkerEntry> largestWorkers() const {
    return m_layout ? m_layout->largestWorkers() : std::vector<WorkerEntry>();
  }

  const ShardLayout *layout() const { return m_layout.get(); }

  const ShardReport *report(int Shard) const {
    if (Shard < 0 || Shard >= shards())
      return nullptr;
    const ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    const HostRecord *Owner = m_hosts->findLive(Row.Owner);
    if (!Owner)
      return nullptr;
    auto It = Owner->Shards.find(Shard);
    bool HasReport =
        It != Owner->Shards.end() && It->second.Epoch == Row.Version;
    return HasReport ? &It->second : nullptr;
  }

  uint64_t reportNumber(int Shard) const {
    if (!report(Shard))
      return 0;
    return m_hosts->rowVersion(m_shards[static_cast<size_t>(Shard)].Owner);
  }

  size_t liveHosts() const { return m_hosts->liveHosts().size(); }
  size_t leastJobBytes() const {
    return m_hosts->leastJobBytes(m_options.MaxJobBytes);
  }

  int owned() const {
    return static_cast<int>(std::count_if(
        m_shards.begin(), m_shards.end(),
        [](const ObservedShard &Shard) { return Shard.OwnedEpoch != 0; }));
  }

  bool isIdle() const { return m_isIdle; }

private:
  ShardLayoutOptions layoutOptions() {
    return {.Count = m_options.ShardCount,
            .HostWeights = [this] { return hostWeights(); },
            .OnGrown = [this] { onGrown(); },
            .OnAssigned = m_options.OnAssigned,
            .Log = m_options.Log};
  }

  HostRegistryOptions registryOptions() {
    return {.HostName = m_options.HostName,
            .HostId = m_options.HostId,
            .ReadInterval = m_options.RenewInterval,
            .Timeout = m_options.Timeout,
            .OnRead = [this] { onHostsRead(); },
            .Log = m_options.Log};
  }

  void onGrown() {
    int OldCount = shards();
    m_shards.resize(static_cast<size_t>(m_layout->shards()));
    for (int Shard = OldCount; Shard < shards(); ++Shard)
      readOwnerRow(Shard);
  }

  void log(std::string_view Event, std::string_view Fields) const {
    if (m_options.Log)
      m_options.Log(Event, Fields);
  }

  bool findIdle() const {
    bool IsInvolved = std::any_of(
        m_shards.begin(), m_shards.end(), [this](const ObservedShard &Shard) {
          return Shard.OwnedEpoch != 0 || Shard.IsWriting || !Shard.IsKnown ||
                 Shard.Owner.empty() || Shard.Owner == m_options.HostId;
        });
    return !IsInvolved && !m_isLeaving && !m_isLayoutManager && !m_isStandby &&
           m_renewalCount >= SettledRenewals;
  }

  milliseconds renewInterval() const {
    return m_isIdle ? m_options.IdleRenewInterval : m_options.RenewInterval;
  }

  void renew() {
    TimePoint Now = m_time.now();
    // The count also rises with the time that an idle host leaves out.
    auto Intervals = static_cast<uint64_t>(m_lastRenewal == TimePoint{}
                                               ? 0
                                               : (Now - m_lastRenewal) /
                                                     m_options.RenewInterval);
    m_renewalCount += std::max<uint64_t>(Intervals, 1);
    m_lastRenewal = Now;
    ++m_renewalsInFlight;
    HostRecord Record{.Weight = m_options.Weight,
                      .RenewalCount = m_renewalCount,
                      .RenewInterval = renewInterval(),
                      .IsLeaving = m_isLeaving,
                      .BoundsLeases = m_options.CanSpanPartitions,
                      .HasStoredEvidence = true,
                      .MaxJobBytes = m_options.MaxJobBytes};
    if (m_options.Report)
      Record.Shards = m_options.Report();
    m_published.onSent(Now, Record.Shards);
    RowCommit Commit;
    Commit.Changes.push_back({.Address = hostAddress(m_options.HostId),
                              .Value = encodeHost(Record)});
    m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                       Now](const Result<uint64_t> &Reply) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      --Self->m_renewalsInFlight;
      if (Reply.has_value() || Reply.error().Code != ResultCode::OutcomeUnknown)
        Self->m_published.onAnswered(Now, Reply.has_value());
      if (Reply.has_value())
        Self->onRenewed(Now, Reply.value());
    });
  }

  // After a gap in which another host may have claimed shards, their owner rows
  // are read again.
  void onRenewed(TimePoint SentAt, uint64_t Version) {
    if (!m_renewals.isNewer(SentAt))
      return;
    nanoseconds Gap = m_renewals.sinceLast(SentAt);
    if (m_renewals.hasGap(m_time.now()))
      verifyShards(Gap);
    else if (m_renewals.isCertain())
      m_verifiedVersion = std::max(m_verifiedVersion, Version);
    m_renewals.add(SentAt);
    m_published.onCertain(m_renewals.lastCertain());
  }

  void verifyShards(nanoseconds Gap) {
    if (owned() == 0)
      return;
    log("renewed_after_gap", fmt::format("gap_ms={}", Gap / milliseconds(1)));
    for (int Shard = 0; Shard < shards(); ++Shard) {
      if (m_shards[static_cast<size_t>(Shard)].OwnedEpoch == 0)
        continue;
      if (Gap > m_options.Horizon)
        release(Shard);
      m_renewals.setUnverified(Shard, m_time.now());
      readOwnerRow(Shard);
    }
  }

  // Time since the last renewal within which no other host can have considered
  // this host dead.
  nanoseconds maxSafeAge() const { return m_options.Timeout - FenceMargin; }

  // Returns a time from which neither the host in the owner row nor one before
  // it was a sole owner any more. A host is a sole owner for maxSafeAge() after
  // the sending of a renewal; owners before it were none when its row was
  // written.
  std::optional<TimePoint> soleUntil(const ObservedShard &Row) const {
    std::optional<TimePoint> Renewed = m_hosts->lastChange(Row.Owner);
    if (!Renewed || !m_options.CanSpanPartitions)
      return std::nullopt;
    return std::max(Row.SeenAt, *Renewed + maxSafeAge() + ClockRateMargin);
  }

  // An owner whose row has not changed since then gives no leases any more.
  TimePoint leaseHorizon() const {
    return m_time.now() - m_options.Horizon - m_options.Timeout;
  }

  // Hosts of earlier versions may give longer leases, without evidence.
  uint32_t fewestWorkers(int Shard) const {
    TimePoint Since = leaseHorizon();
    if (!m_hosts->haveBoundedLeases(Since))
      return 0;
    return m_hosts->fewestWorkers(Shard, Since);
  }

  std::vector<PlanHost> planHosts() const {
    std::vector<PlanHost> Out = m_hosts->liveHosts();
    for (PlanHost &Host : Out)
      Host.IsLeaving |= m_isLeaving && Host.Id == m_options.HostId;
    return Out;
  }

  std::vector<int> hostWeights() const {
    std::vector<int> Out;
    for (const PlanHost &Host : planHosts())
      if (!Host.IsLeaving)
        Out.push_back(Host.Weight);
    return Out;
  }

  void onHostsRead() {
    std::set<std::string> Standbys = chooseStandbys(planHosts(), owners());
    m_isStandby = Standbys.contains(m_options.HostId);
    applyPlan();
  }

  std::vector<std::string> owners() const {
    std::vector<std::string> Out;
    for (const ObservedShard &Shard : m_shards)
      Out.push_back(Shard.Owner);
    return Out;
  }

  void applyPlan() {
    if (m_hosts->reads() < HostRegistry::MinUnchangedReads && !m_isLeaving)
      return;
    std::vector<std::string> Plan = planShards(planHosts(), owners());
    if (Plan.empty())
      return;
    for (size_t Shard = 0; Shard < m_shards.size(); ++Shard)
      applyPlanTo(static_cast<int>(Shard), Plan[Shard]);
  }

  void applyPlanTo(int Shard, const std::string &Target) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    if (!Row.IsKnown || Row.IsWriting)
      return;
    bool IsOwn = Row.Owner == m_options.HostId;
    if (!IsOwn && Target == m_options.HostId && Row.Owner != Target) {
      // A live owner hands the shard over itself, also while it is leaving.
      if (m_hosts->findLive(Row.Owner))
        return;
      writeOwner(Shard, m_options.HostId);
      return;
    }
    if (!IsOwn || Target == m_options.HostId) {
      Row.HandoverPlans = 0;
      return;
    }
    if (++Row.HandoverPlans < MinHandoverPlans && !m_isLeaving)
      return;
    if (Row.OwnedEpoch == 0)
      writeOwner(Shard, Target);
    else if (!Row.IsHandingOver && isSoleOwner())
      handOver(Shard, Target);
  }

  // While the outcome of a handover is unknown, no orders are sent: the new
  // owner relies on the record. The commit is repeated until it succeeds or
  // conflicts.
  void repeatHandovers() {
    for (int Shard = 0; Shard < shards(); ++Shard) {
      const ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
      if (Row.OwnedEpoch != 0 && Row.IsHandoverUncertain && !Row.IsWriting)
        handOver(Shard, std::string(Row.HandoverTarget));
    }
  }

  void handOver(int Shard, const std::string &Target) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    if (m_time.now() < Row.NextHandover)
      return;
    std::optional<std::vector<RowChange>> Record = std::vector<RowChange>();
    if (m_options.OnHandover)
      Record = m_options.OnHandover(Shard);
    if (!Record)
      return;
    Row.IsHandingOver = true;
    Row.HandoverTarget = Target;
    Row.NextHandover = m_time.now() + HandoverRetryDelay;
    writeOwner(Shard, Target, std::move(*Record));
  }

  void onHandoverFailed(int Shard, ResultCode Code) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.NextHandover = m_time.now() + HandoverRetryDelay;
    bool IsNotDone =
        Code != ResultCode::OutcomeUnknown && Code != ResultCode::Conflict;
    if (!IsNotDone)
      Row.IsHandoverUncertain = true;
    log("handover_failed",
        fmt::format("shard={} to={} result={} repeats={}", Shard,
                    Row.HandoverTarget, resultCodeName(Code),
                    Row.IsHandoverUncertain));
    if (Row.IsHandoverUncertain)
      return;
    Row.IsHandingOver = false;
    if (m_options.OnHandoverFailed)
      m_options.OnHandoverFailed(Shard);
  }

  void release(int Shard) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    if (Row.OwnedEpoch == 0)
      return;
    Row.OwnedEpoch = 0;
    Row.IsHandingOver = false;
    Row.IsHandoverUncertain = false;
    log("shard_released", fmt::format("shard={}", Shard));
    if (m_options.OnReleased)
      m_options.OnReleased(Shard);
  }

  void writeOwner(int Shard, const std::string &Owner,
                  std::vector<RowChange> Record = {}) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.IsWriting = true;
    Row.IsClaiming = Owner == m_options.HostId;
    log("shard_claim", fmt::format("shard={} from={} to={}", Shard,
                                   Row.Owner.empty() ? "-" : Row.Owner, Owner));
    RowAddress Address = shardOwnerAddress(Shard);
    uint64_t ReleaseVersion = Row.Owner.empty() ? Row.Version : 0;
    RowCommit Commit;
    Commit.Conditions.push_back({.Address = Address, .Version = Row.Version});
    std::optional<TimePoint> SoleUntil;
    uint32_t PreviousWorkers = 0;
    // The owner may have renewed its row since it was read, and then counts as
    // the sole owner.
    if (Row.IsClaiming && !Row.Owner.empty() && Row.Owner != Owner &&
        m_options.CanSpanPartitions) {
      Commit.Conditions.push_back({.Address = hostAddress(Row.Owner),
                                   .Version = m_hosts->rowVersion(Row.Owner)});
      SoleUntil = soleUntil(Row);
      PreviousWorkers = fewestWorkers(Shard);
    }
    Commit.Changes.push_back(
        {.Address = Address, .Value = encodeShardOwner(Owner)});
    std::move(Record.begin(), Record.end(), std::back_inserter(Commit.Changes));
    m_store.commit(
        std::move(Commit),
        [Weak = weak_from_this(), Shard, Owner, ReleaseVersion, SoleUntil,
         PreviousWorkers](const Result<uint64_t> &Reply) {
          auto Self = Weak.lock();
          if (!Self)
            return;
          ObservedShard &Row = Self->m_shards[static_cast<size_t>(Shard)];
          Row.IsWriting = false;
          Row.IsClaiming = false;
          if (Reply.has_value()) {
            Row.PreviousSoleUntil = SoleUntil;
            Row.PreviousWorkers = PreviousWorkers;
            Self->applyOwner(Shard, Owner, Reply.value(), ReleaseVersion);
            Row.PreviousSoleUntil.reset();
            Row.PreviousWorkers = 0;
            Self->removeRowIfIdle();
            return;
          }
          if (Row.IsHandingOver)
            Self->onHandoverFailed(Shard, Reply.error().Code);
          Self->removeRowIfIdle();
          Self->readOwnerRow(Shard);
        });
  }

  void applyOwner(int Shard, const std::string &Owner, uint64_t Version,
                  uint64_t ReleaseVersion = 0) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.IsKnown = true;
    if (Version < Row.Version)
      return;
    Row.Owner = Owner;
    if (Version != Row.Version)
      Row.SeenAt = m_time.now();
    Row.Version = Version;
    if (Row.OwnedEpoch != 0 && Row.OwnedEpoch != Version)
      release(Shard);
    // A leaving host takes a shard over too, since only an owner that has read
    // its predecessor's record can pass it on.
    if (Owner != m_options.HostId || Row.OwnedEpoch != 0)
      return;
    Row.OwnedEpoch = Version;
    log("shard_owned", fmt::format("shard={} epoch={}", Shard, Version));
    if (m_options.OnAcquired)
      m_options.OnAcquired(Shard, Version, ReleaseVersion);
  }

  void readOwnerRow(int Shard) {
    RowAddress Address = shardOwnerAddress(Shard);
    m_store.read({.Table = Address.Table, .Partition = Address.Partition},
                 [Weak = weak_from_this(), Shard,
                  SentAt = m_time.now()](Result<RowPage> Reply) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (!Reply.has_value()) {
                     Self->readOwnerRow(Shard);
                     return;
                   }
                   Self->onOwnerRowRead(Shard, SentAt, Reply.value());
                 });
  }

  void onOwnerRowRead(int Shard, TimePoint SentAt, const RowPage &Page) {
    ObservedShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.IsKnown = true;
    for (const StoredRow &OwnerRow : Page.Rows)
      onOwnerRow(OwnerRow);
    m_renewals.onOwnerRead(Shard, SentAt);
    m_published.onCertain(m_renewals.lastCertain());
  }

  void onOwnerRow(const StoredRow &Row) {
    int Shard = shardOfPartition(Row.Address.Partition);
    if (Shard < 0 || Shard >= shards() || Row.IsRemoved)
      return;
    Result<std::string> Owner = decodeShardOwner(Row.Value);
    if (!Owner.has_value()) {
      log("bad_row", fmt::format("table={} part={} message=\"{}\"", ShardTable,
                                 Row.Address.Partition, Owner.error().Message));
      return;
    }
    // Only the reply to this host's claim tells which version it replaced.
    const ObservedShard &Known = m_shards[static_cast<size_t>(Shard)];
    if (Known.IsClaiming && Owner.value() == m_options.HostId)
      return;
    applyOwner(Shard, Owner.value(), Row.Version);
  }

  // Follows the changes of owner rows after version \p From. If \p From is
  // zero, all owner rows are read first.
  void followShardRows(uint64_t From) {
    if (From == 0) {
      m_store.read({.Table = ShardTable, .Partition = shardPartition(0)},
                   [Weak = weak_from_this()](Result<RowPage> Reply) {
                     auto Self = Weak.lock();
                     if (!Self)
                       return;
                     if (!Reply.has_value()) {
                       Self->followShardRows(0);
                       return;
                     }
                     for (int Shard = 0; Shard < Self->shards(); ++Shard)
                       Self->readOwnerRow(Shard);
                     Self->followShardRows(
                         std::max<uint64_t>(Reply.value().Version, 1));
                   });
      return;
    }
    m_store.readChanges(
        ShardTable, From, m_isIdle ? IdleFeedWait : FeedWait,
        [Weak = weak_from_this(), From](Result<RowPage> Reply) {
          auto Self = Weak.lock();
          if (!Self)
            return;
          if (Reply.has_value()) {
            for (const StoredRow &Row : Reply.value().Rows)
              Self->onOwnerRow(Row);
            Self->followShardRows(std::max(From, Reply.value().Version));
            return;
          }
          bool WasHistoryDropped = Reply.error().Code == ResultCode::NotFound;
          Self->followShardRows(WasHistoryDropped ? 0 : From);
        });
  }

  // The first live host, by id, manages the layout for all hosts.
  void updateLayout() {
    std::vector<PlanHost> Hosts = m_hosts->liveHosts();
    auto First =
        std::find_if(Hosts.begin(), Hosts.end(),
                     [](const PlanHost &Host) { return !Host.IsLeaving; });
    bool IsFirst = First == Hosts.end() ? !m_hosts->isEmpty() && !m_isLeaving
                                        : First->Id == m_options.HostId;
    m_isLayoutManager = IsFirst;
    if (IsFirst && m_hosts->reads() >= 2)
      m_layout->growAndAssign();
    m_layout->storeCapacities(IsFirst);
  }

  HostClusterOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::shared_ptr<HostRegistry> m_hosts;
  std::vector<ObservedShard> m_shards;
  std::shared_ptr<ShardLayout> m_layout;
  RenewalRecord m_renewals;
  PublishedWorkers m_published;
  /// Version of the last renewal at which this host certainly owned its shards.
  uint64_t m_verifiedVersion = 0;
  /// Age of this process in renewal intervals; changes the row with each
  /// renewal.
  uint64_t m_renewalCount = 0;
  TimePoint m_lastRenewal{};
  bool m_isIdle = false;
  bool m_isLayoutManager = false;
  bool m_isStandby = false;
  int m_renewalsInFlight = 0;
  bool m_isLeaving = false;
  bool m_isRemovingRow = false;
};

HostCluster::HostCluster(HostClusterOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
HostCluster::~HostCluster() = default;
void HostCluster::start() { m_impl->start(); }
void HostCluster::tick() { m_impl->tick(); }
void HostCluster::leave() { m_impl->leave(); }
void HostCluster::removeOwnRow() { m_impl->removeOwnRow(); }
void HostCluster::recheckOwner(int Shard) { m_impl->recheckOwner(Shard); }
void HostCluster::setFleet(const std::vector<WorkerEntry> &Fleet) {
  m_impl->setFleet(Fleet);
}
bool HostCluster::canSendOrders() const { return m_impl->canSendOrders(); }
bool HostCluster::canAnswer() const { return m_impl->canAnswer(); }
TimePoint HostCluster::previousSoleUntil(int Shard) const {
  return m_impl->previousSoleUntil(Shard);
}
bool HostCluster::havePreviousStoredEvidence() const {
  return m_impl->havePreviousStoredEvidence();
}
uint32_t HostCluster::previousWorkers(int Shard) const {
  return m_impl->previousWorkers(Shard);
}
uint32_t HostCluster::publishedWorkers(int Shard) const {
  return m_impl->publishedWorkers(Shard);
}
bool HostCluster::wasOwnerAt(uint64_t RowVersion) const {
  return m_impl->wasOwnerAt(RowVersion);
}
bool HostCluster::isSoleOwner() const { return m_impl->isSoleOwner(); }
int HostCluster::shards() const { return m_impl->shards(); }
int HostCluster::shardOf(const std::string &Worker) const {
  return m_impl->shardOf(Worker);
}
std::vector<WorkerEntry> HostCluster::largestWorkers() const {
  return m_impl->largestWorkers();
}
const ShardLayout *HostCluster::layout() const { return m_impl->layout(); }
const ShardReport *HostCluster::report(int Shard) const {
  return m_impl->report(Shard);
}
uint64_t HostCluster::reportNumber(int Shard) const {
  return m_impl->reportNumber(Shard);
}
size_t HostCluster::liveHosts() const { return m_impl->liveHosts(); }
size_t HostCluster::leastJobBytes() const { return m_impl->leastJobBytes(); }
int HostCluster::owned() const { return m_impl->owned(); }
bool HostCluster::isIdle() const { return m_impl->isIdle(); }

BASILCHUTE_NAMESPACE_END
