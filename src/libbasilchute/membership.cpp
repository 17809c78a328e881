#include "basilchute/membership.h"

#include "libbasilchute/rows.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// A member row together with how long it was watched.
struct WatchedMember {
  Member Info;
  uint64_t Version = 0;
  /// When this version was first seen, or watching began anew after a gap.
  TimePoint WatchedSince;
  bool Dead = false;
  bool Present = false;
};

/// How long a dead member's row is kept past its horizon.
constexpr std::chrono::minutes RemoveAfter{1};

v1::MemberRow encodeMember(const Member &From, uint64_t Renewals) {
  v1::MemberRow Out;
  Out.set_id(From.Id);
  Out.set_role(From.Role == MemberRole::Entry ? v1::MemberRow::ENTRY
                                              : v1::MemberRow::SCHEDULER);
  Out.set_failure_domain(From.FailureDomain);
  Out.set_peer_address(From.PeerAddress);
  Out.set_operator_address(From.OperatorAddress);
  Out.set_grant_horizon_ms(From.GrantHorizon.count());
  Out.set_draining(From.Draining);
  Out.set_renewals(Renewals);
  Out.set_config_revision(From.ConfigRevision);
  for (const ShardSummary &Each : From.Shards) {
    v1::ShardSummary *Summary = Out.add_shards();
    Summary->set_shard(Each.Shard);
    *Summary->mutable_free() = toProto(Each.Free);
    *Summary->mutable_largest_fit() = toProto(Each.LargestFit);
    Summary->set_waiting(Each.Waiting);
  }
  return Out;
}

Member decodeMember(const v1::MemberRow &From) {
  Member Out{.Id = From.id(),
             .Role = From.role() == v1::MemberRow::SCHEDULER
                         ? MemberRole::Scheduler
                         : MemberRole::Entry,
             .FailureDomain = From.failure_domain(),
             .PeerAddress = From.peer_address(),
             .OperatorAddress = From.operator_address(),
             .GrantHorizon = milliseconds(From.grant_horizon_ms()),
             .Draining = From.draining(),
             .ConfigRevision = From.config_revision()};
  for (const v1::ShardSummary &Each : From.shards())
    Out.Shards.push_back({.Shard = Each.shard(),
                          .Free = fromProto(Each.free()),
                          .LargestFit = fromProto(Each.largest_fit()),
                          .Waiting = Each.waiting()});
  return Out;
}

} // namespace

class Membership::Impl : public std::enable_shared_from_this<Membership::Impl> {
public:
  Impl(MembershipOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_committer({.WriterId = m_options.Self.Id + ".member", .Window = {}},
                    Store, Time) {}

  void tick() {
    TimePoint Now = m_time.now();
    if (!m_left && !m_renewing && Now >= m_renewAt)
      renew(Now);
    if (!m_scanning && Now >= m_scanAt)
      scan(Now);
    m_committer.tick();
  }

  bool leaseValid() const {
    return m_renewedAt &&
           m_time.now() < *m_renewedAt + shorten(m_options.Timeout);
  }

  bool mayExtendGrants() const {
    return m_renewedAt &&
           m_time.now() < *m_renewedAt + shorten(m_options.Self.GrantHorizon);
  }

  std::vector<Member> live() const {
    std::vector<Member> Out;
    for (const auto &[Id, Each] : m_members) {
      if (Each.Dead)
        continue;
      Out.push_back(Each.Info);
    }
    return Out;
  }

  std::vector<Member> known() const {
    std::vector<Member> Out;
    for (const auto &[Id, Each] : m_members)
      Out.push_back(Each.Info);
    return Out;
  }

  bool isLive(const std::string &Id) const {
    auto Found = m_members.find(Id);
    return Found != m_members.end() && !Found->second.Dead;
  }

  std::optional<TimePoint> grantHorizonEnd(const std::string &Id) const {
    auto Found = m_members.find(Id);
    if (Found == m_members.end())
      return std::nullopt;
    const WatchedMember &Each = Found->second;
    return Each.WatchedSince + lengthen(Each.Info.GrantHorizon);
  }

  bool joined() const { return m_renewedAt && m_lastScan; }

  nanoseconds viewAge() const {
    return m_lastScan ? m_time.now() - *m_lastScan
                      : nanoseconds(std::chrono::hours(1));
  }

  void publish(uint64_t ConfigRevision, std::vector<ShardSummary> Shards) {
    m_options.Self.ConfigRevision = ConfigRevision;
    m_options.Self.Shards = std::move(Shards);
  }

  void drain() {
    m_options.Self.Draining = true;
    m_renewAt = m_time.now();
  }

  void leave(std::function<void()> Done) {
    m_left = true;
    m_onLeft = std::move(Done);
    if (!m_renewing)
      removeRow();
  }

private:
  /// A holder's own view of a lease is shorter by the drift allowance.
  nanoseconds shorten(nanoseconds Lease) const {
    return Lease - Lease * m_options.ClockDriftPermille / 1000;
  }

  /// A taker's view of a lease is longer by the drift allowance.
  nanoseconds lengthen(nanoseconds Lease) const {
    return Lease + Lease * m_options.ClockDriftPermille / 1000;
  }

  void renew(TimePoint Now) {
    m_renewing = true;
    m_renewAt = Now + m_options.RenewEvery;
    std::string Value =
        encodeMember(m_options.Self, ++m_renewals).SerializeAsString();
    // The lease counts from before the first send, which a retry only makes
    // shorter than it is.
    m_committer.commit({Write{.Key = memberKey(m_options.Self.Id),
                              .Value = std::move(Value),
                              .ExpectedVersion = m_ownVersion}},
                       [this, Now](Result<uint64_t> Reply) {
                         onRenewed(Now, std::move(Reply));
                       });
  }

  void onRenewed(TimePoint SentAt, Result<uint64_t> Reply) {
    m_renewing = false;
    if (Reply.has_value()) {
      m_ownVersion = Reply.value();
      m_renewedAt = SentAt;
    } else {
      // Another process removed the row as dead; join anew.
      m_ownVersion = 0;
      m_renewAt = m_time.now() + m_options.RenewEvery;
    }
    if (m_left)
      removeRow();
  }

  void removeRow() {
    if (m_ownVersion == 0)
      return m_onLeft();
    m_committer.commit({Write{.Key = memberKey(m_options.Self.Id),
                              .Remove = true,
                              .ExpectedVersion = m_ownVersion}},
                       [this](const Result<uint64_t> &) { m_onLeft(); });
  }

  void scan(TimePoint Now) {
    m_scanning = true;
    m_scanAt = Now + m_options.ScanEvery;
    m_store.scan(std::string(MemberPrefix),
                 [Self = weak_from_this(), Now](Result<std::vector<Row>> Rows) {
                   auto Live = Self.lock();
                   if (!Live)
                     return;
                   Live->m_scanning = false;
                   if (Rows.has_value())
                     Live->onRows(Now, Rows.value());
                 });
  }

  void onRows(TimePoint SentAt, const std::vector<Row> &Rows) {
    // After a gap nothing is known of the time between, so watching restarts.
    bool Gap = !m_lastScan || SentAt - *m_lastScan > m_options.Timeout / 2;
    m_lastScan = SentAt;
    for (auto &[Id, Each] : m_members)
      Each.Present = false;
    for (const Row &Each : Rows)
      observe(SentAt, Each, Gap);
    std::erase_if(m_members,
                  [](const auto &Entry) { return !Entry.second.Present; });
  }

  void observe(TimePoint SentAt, const Row &Seen, bool Gap) {
    Result<v1::MemberRow> Decoded = decodeRow<v1::MemberRow>(Seen);
    if (!Decoded.has_value())
      return;
    WatchedMember &Entry = m_members[Decoded.value().id()];
    Entry.Present = true;
    Entry.Info = decodeMember(Decoded.value());
    if (Entry.Version != Seen.Version || Gap) {
      bool Changed = Entry.Version != Seen.Version;
      Entry.Version = Seen.Version;
      Entry.WatchedSince = m_time.now();
      Entry.Dead = Entry.Dead && !Changed;
      return;
    }
    bool Self = Entry.Info.Id == m_options.Self.Id;
    if (!Self && SentAt - Entry.WatchedSince >= m_options.Timeout)
      Entry.Dead = true;
    bool Over = SentAt > Entry.WatchedSince +
                             lengthen(Entry.Info.GrantHorizon) + RemoveAfter;
    if (Entry.Dead && Over && m_committer.idle())
      m_committer.commit({Write{.Key = Seen.Key,
                                .Remove = true,
                                .ExpectedVersion = Seen.Version}},
                         [](const Result<uint64_t> &) {});
  }

  MembershipOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  Committer m_committer;
  std::map<std::string, WatchedMember> m_members;
  std::optional<TimePoint> m_renewedAt;
  std::optional<TimePoint> m_lastScan;
  TimePoint m_renewAt{};
  TimePoint m_scanAt{};
  uint64_t m_ownVersion = 0;
  uint64_t m_renewals = 0;
  bool m_renewing = false;
  bool m_scanning = false;
  bool m_left = false;
  std::function<void()> m_onLeft;
};

Membership::Membership(MembershipOptions Options, TableStore &Store,
                       const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
Membership::~Membership() = default;
void Membership::tick() { m_impl->tick(); }
bool Membership::leaseValid() const { return m_impl->leaseValid(); }
bool Membership::mayExtendGrants() const { return m_impl->mayExtendGrants(); }
std::vector<Member> Membership::live() const { return m_impl->live(); }
std::vector<Member> Membership::known() const { return m_impl->known(); }
bool Membership::isLive(const std::string &Id) const {
  return m_impl->isLive(Id);
}
std::optional<TimePoint>
Membership::grantHorizonEnd(const std::string &Id) const {
  return m_impl->grantHorizonEnd(Id);
}
bool Membership::joined() const { return m_impl->joined(); }
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
