#include "basilchute/membership.h"

#include "libbasilchute/rows.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// The latest row of a member and since when it has been unchanged.
struct ObservedMember {
  Member Info;
  uint64_t Version = 0;
  /// When this version was first seen, or when the observation restarted after
  /// a gap between scans.
  TimePoint UnchangedSince;
  bool IsDead = false;
  /// True if the row was in the latest scan.
  bool IsPresent = false;
};

/// How long the row of a dead member is kept after the end of its horizon.
constexpr std::chrono::minutes DeadRowRetention{1};

v1::MemberRow encodeMember(const Member &Source, uint64_t Renewals) {
  v1::MemberRow Out;
  Out.set_id(Source.Id);
  Out.set_role(Source.Role == MemberRole::Entry ? v1::MemberRow::ENTRY
                                                : v1::MemberRow::SCHEDULER);
  Out.set_failure_domain(Source.FailureDomain);
  Out.set_peer_address(Source.PeerAddress);
  Out.set_operator_address(Source.OperatorAddress);
  Out.set_grant_horizon_ms(Source.GrantHorizon.count());
  Out.set_draining(Source.IsDraining);
  Out.set_renewals(Renewals);
  Out.set_config_revision(Source.ConfigRevision);
  for (const ShardSummary &Shard : Source.Shards) {
    v1::ShardSummary *Summary = Out.add_shards();
    Summary->set_shard(Shard.Shard);
    *Summary->mutable_free() = toProto(Shard.Free);
    *Summary->mutable_largest_fit() = toProto(Shard.LargestFree);
    Summary->set_waiting(Shard.WaitingTasks);
  }
  return Out;
}

Member decodeMember(const v1::MemberRow &Source) {
  Member Out{.Id = Source.id(),
             .Role = Source.role() == v1::MemberRow::SCHEDULER
                         ? MemberRole::Scheduler
                         : MemberRole::Entry,
             .FailureDomain = Source.failure_domain(),
             .PeerAddress = Source.peer_address(),
             .OperatorAddress = Source.operator_address(),
             .GrantHorizon = milliseconds(Source.grant_horizon_ms()),
             .IsDraining = Source.draining(),
             .ConfigRevision = Source.config_revision()};
  for (const v1::ShardSummary &Summary : Source.shards())
    Out.Shards.push_back({.Shard = Summary.shard(),
                          .Free = fromProto(Summary.free()),
                          .LargestFree = fromProto(Summary.largest_fit()),
                          .WaitingTasks = Summary.waiting()});
  return Out;
}

} // namespace

class Membership::Impl : public std::enable_shared_from_this<Membership::Impl> {
public:
  Impl(MembershipOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_committer(
            {.WriterId = m_options.Self.Id + ".member", .BatchWindow = {}},
            Store, Time) {}

  void tick() {
    TimePoint Now = m_time.now();
    if (!m_isLeaving && !m_isRenewing && Now >= m_renewAt)
      renew(Now);
    if (!m_isScanning && Now >= m_scanAt)
      scan(Now);
    m_committer.tick();
  }

  bool isLeaseValid() const {
    return m_renewedAt &&
           m_time.now() < *m_renewedAt + shorten(m_options.Timeout);
  }

  bool canExtendLeases() const {
    return m_renewedAt &&
           m_time.now() < *m_renewedAt + shorten(m_options.Self.GrantHorizon);
  }

  std::vector<Member> liveMembers() const {
    std::vector<Member> Out;
    for (const auto &[Id, Observed] : m_members) {
      if (Observed.IsDead)
        continue;
      Out.push_back(Observed.Info);
    }
    return Out;
  }

  std::vector<Member> allMembers() const {
    std::vector<Member> Out;
    for (const auto &[Id, Observed] : m_members)
      Out.push_back(Observed.Info);
    return Out;
  }

  bool isLive(const std::string &Id) const {
    auto It = m_members.find(Id);
    return It != m_members.end() && !It->second.IsDead;
  }

  std::optional<TimePoint> grantHorizonEnd(const std::string &Id) const {
    auto It = m_members.find(Id);
    if (It == m_members.end())
      return std::nullopt;
    const ObservedMember &Observed = It->second;
    return Observed.UnchangedSince + lengthen(Observed.Info.GrantHorizon);
  }

  bool hasJoined() const { return m_renewedAt && m_scannedAt; }

  nanoseconds viewAge() const {
    return m_scannedAt ? m_time.now() - *m_scannedAt
                       : nanoseconds(std::chrono::hours(1));
  }

  void publish(uint64_t ConfigRevision, std::vector<ShardSummary> Shards) {
    m_options.Self.ConfigRevision = ConfigRevision;
    m_options.Self.Shards = std::move(Shards);
  }

  void drain() {
    m_options.Self.IsDraining = true;
    m_renewAt = m_time.now();
  }

  void leave(std::function<void()> Done) {
    m_isLeaving = true;
    m_onRemoved = std::move(Done);
    if (!m_isRenewing)
      removeRow();
  }

private:
  /// Returns the time for which the holder of a \p Lease may rely on it:
  /// shorter by the allowance for clock drift.
  nanoseconds shorten(nanoseconds Lease) const {
    return Lease - Lease * m_options.ClockDriftPermille / 1000;
  }

  /// Returns the time after which other processes may treat a \p Lease as
  /// expired: longer by the allowance for clock drift.
  nanoseconds lengthen(nanoseconds Lease) const {
    return Lease + Lease * m_options.ClockDriftPermille / 1000;
  }

  void renew(TimePoint Now) {
    m_isRenewing = true;
    m_renewAt = Now + m_options.RenewInterval;
    std::string Value =
        encodeMember(m_options.Self, ++m_renewals).SerializeAsString();
    // The lease counts from before the first send. If the committer has to
    // retry, this process assumes an earlier end of its lease than others do,
    // which is safe.
    m_committer.commit({Write{.Key = memberKey(m_options.Self.Id),
                              .Value = std::move(Value),
                              .ExpectedVersion = m_ownRowVersion}},
                       [this, Now](Result<uint64_t> Reply) {
                         onRenewed(Now, std::move(Reply));
                       });
  }

  void onRenewed(TimePoint SentAt, Result<uint64_t> Reply) {
    m_isRenewing = false;
    if (Reply.has_value()) {
      m_ownRowVersion = Reply.value();
      m_renewedAt = SentAt;
    } else {
      // Another process considered this one dead and removed its row; create
      // the row again.
      m_ownRowVersion = 0;
      m_renewAt = m_time.now() + m_options.RenewInterval;
    }
    if (m_isLeaving)
      removeRow();
  }

  void removeRow() {
    if (m_ownRowVersion == 0)
      return m_onRemoved();
    m_committer.commit({Write{.Key = memberKey(m_options.Self.Id),
                              .Remove = true,
                              .ExpectedVersion = m_ownRowVersion}},
                       [this](const Result<uint64_t> &) { m_onRemoved(); });
  }

  void scan(TimePoint Now) {
    m_isScanning = true;
    m_scanAt = Now + m_options.ScanInterval;
    m_store.scan(std::string(MemberPrefix),
                 [Weak = weak_from_this(), Now](Result<std::vector<Row>> Rows) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   Self->m_isScanning = false;
                   if (Rows.has_value())
                     Self->onRows(Now, Rows.value());
                 });
  }

  void onRows(TimePoint SentAt, const std::vector<Row> &Rows) {
    // Renewals during a gap between scans are not seen, so the observation of
    // every row restarts after a gap.
    bool HasGap = !m_scannedAt || SentAt - *m_scannedAt > m_options.Timeout / 2;
    m_scannedAt = SentAt;
    for (auto &[Id, Observed] : m_members)
      Observed.IsPresent = false;
    for (const Row &StoredRow : Rows)
      observe(SentAt, StoredRow, HasGap);
    std::erase_if(m_members,
                  [](const auto &Entry) { return !Entry.second.IsPresent; });
  }

  /// Updates the member of row \p StoredRow from a scan sent at \p SentAt.
  void observe(TimePoint SentAt, const Row &StoredRow, bool HasGap) {
    Result<v1::MemberRow> Decoded = decodeRow<v1::MemberRow>(StoredRow);
    if (!Decoded.has_value())
      return;
    ObservedMember &Observed = m_members[Decoded.value().id()];
    Observed.IsPresent = true;
    Observed.Info = decodeMember(Decoded.value());
    if (Observed.Version != StoredRow.Version || HasGap) {
      bool HasChanged = Observed.Version != StoredRow.Version;
      Observed.Version = StoredRow.Version;
      Observed.UnchangedSince = m_time.now();
      Observed.IsDead = Observed.IsDead && !HasChanged;
      return;
    }
    bool IsSelf = Observed.Info.Id == m_options.Self.Id;
    if (!IsSelf && SentAt - Observed.UnchangedSince >= m_options.Timeout)
      Observed.IsDead = true;
    bool CanRemove = SentAt > Observed.UnchangedSince +
                                  lengthen(Observed.Info.GrantHorizon) +
                                  DeadRowRetention;
    if (Observed.IsDead && CanRemove && m_committer.idle())
      m_committer.commit({Write{.Key = StoredRow.Key,
                                .Remove = true,
                                .ExpectedVersion = StoredRow.Version}},
                         [](const Result<uint64_t> &) {});
  }

  MembershipOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  Committer m_committer;
  std::map<std::string, ObservedMember> m_members;
  /// When the last successful renewal was sent.
  std::optional<TimePoint> m_renewedAt;
  /// When the last successful scan was sent.
  std::optional<TimePoint> m_scannedAt;
  TimePoint m_renewAt{};
  TimePoint m_scanAt{};
  /// Version of this process's row; 0 if it has none.
  uint64_t m_ownRowVersion = 0;
  uint64_t m_renewals = 0;
  bool m_isRenewing = false;
  bool m_isScanning = false;
  bool m_isLeaving = false;
  std::function<void()> m_onRemoved;
};

Membership::Membership(MembershipOptions Options, TableStore &Store,
                       const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
Membership::~Membership() = default;
void Membership::tick() { m_impl->tick(); }
bool Membership::isLeaseValid() const { return m_impl->isLeaseValid(); }
bool Membership::canExtendLeases() const { return m_impl->canExtendLeases(); }
std::vector<Member> Membership::liveMembers() const {
  return m_impl->liveMembers();
}
std::vector<Member> Membership::allMembers() const {
  return m_impl->allMembers();
}
bool Membership::isLive(const std::string &Id) const {
  return m_impl->isLive(Id);
}
std::optional<TimePoint>
Membership::grantHorizonEnd(const std::string &Id) const {
  return m_impl->grantHorizonEnd(Id);
}
bool Membership::hasJoined() const { return m_impl->hasJoined(); }
nanoseconds Membership::viewAge() const { return m_impl->viewAge(); }
void Membership::publish(uint64_t ConfigRevision,
                         std::vector<ShardSummary> Shards) {
  m_impl->publish(ConfigRevision, std::move(Shards));
}
void Membership::drain() { m_impl->drain(); }
void Membership::leave(std::function<void()> Done) {
  m_impl->leave(std::move(Done));
}

BASILCHUTE_NAMESPACE_END
