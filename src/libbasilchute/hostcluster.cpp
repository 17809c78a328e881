#include "basilchute/hostcluster.h"

#include "basilchute/shardplan.h"
#include "libbasilchute/jobrows.h"
#include "libbasilchute/shardlayout.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <set>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FeedWait{1000};
/// Renewals that may be under way at once, when answers are lost.
constexpr int MostBeats = 4;
/// Allowance between two hosts' views of one renewal.
constexpr milliseconds FenceMargin{400};
/// Readings in a row that must show a row standing still.
constexpr int StillReadings = 3;
/// Readings in a row that must ask for the same hand-over.
constexpr int SteadyPlans = 2;

/// Another host, as its row shows it.
struct SeenHost {
  HostRecord Record;
  uint64_t Version = 0;
  /// When the row was last seen to change.
  TimePoint ChangedAt{};
  /// Readings since then.
  int Still = 0;
};

/// A shard's owner row.
struct SeenShard {
  std::string Owner;
  uint64_t Version = 0;
  bool Known = false;
  /// This host has been told that it owns the shard, with this epoch.
  uint64_t HeldEpoch = 0;
  bool Writing = false;
  int WantedElsewhere = 0;
};

} // namespace

class HostCluster::Impl
    : public std::enable_shared_from_this<HostCluster::Impl> {
public:
  Impl(HostClusterOptions Options, RowStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

  void start() {
    m_layout = std::make_shared<ShardLayout>(layoutOptions(), m_store, m_time);
    m_shards.resize(static_cast<size_t>(m_layout->shards()));
    followShards(0);
    m_layout->start();
    tick();
  }

  void tick() {
    TimePoint Now = m_time.now();
    if (m_beating < MostBeats && Now >= m_nextBeat)
      beat();
    if (!m_polling && Now >= m_nextPoll)
      readHosts("");
    arrange();
  }

  void leave() {
    m_leaving = true;
    beat();
    act();
  }

  void removeSelf() {
    RowCommit Commit;
    Commit.Changes.push_back(
        {.Place = hostPlace(m_options.HostId), .Remove = true});
    m_store.commit(std::move(Commit), [](const Result<uint64_t> &) {});
  }

  void doubt(int Shard) { readShard(Shard); }

  void setFleet(const std::vector<WorkerEntry> &Fleet) {
    if (!m_layout)
      return;
    m_layout->setFleet(Fleet);
    arrange();
  }

  bool mayAct() const {
    return m_renewed && m_time.now() < *m_renewed + m_options.Horizon;
  }

  bool mayBegin(uint64_t RowVersion) const {
    return RowVersion <= m_sureVersion || mayFence();
  }

  bool mayFence() const {
    return m_renewed && m_time.now() < *m_renewed + fenceAge() &&
           m_unverified.empty();
  }

  int shards() const { return static_cast<int>(m_shards.size()); }

  int shardOf(const std::string &Worker) const {
    return m_layout ? m_layout->shardOf(Worker) : -1;
  }

  const ShardReport *report(int Shard) const {
    if (Shard < 0 || Shard >= shards())
      return nullptr;
    const SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    auto Owner = m_hosts.find(Row.Owner);
    if (Owner == m_hosts.end() || !isAlive(Owner->second))
      return nullptr;
    auto Found = Owner->second.Record.Shards.find(Shard);
    bool Present = Found != Owner->second.Record.Shards.end() &&
                   Found->second.Epoch == Row.Version;
    return Present ? &Found->second : nullptr;
  }

  int owned() const {
    return static_cast<int>(
        std::count_if(m_shards.begin(), m_shards.end(),
                      [](const SeenShard &S) { return S.HeldEpoch != 0; }));
  }

private:
  ShardLayoutOptions layoutOptions() {
    return {.WorkersPerShard = m_options.WorkersPerShard,
            .LeastShards = m_options.LeastShards,
            .MostShards = m_options.MostShards,
            .OnGrown = [this] { onGrown(); },
            .OnAssigned = m_options.OnAssigned,
            .Log = m_options.Log};
  }

  void onGrown() {
    int Before = shards();
    m_shards.resize(static_cast<size_t>(m_layout->shards()));
    for (int Shard = Before; Shard < shards(); ++Shard)
      readShard(Shard);
  }

  void log(std::string_view Event, std::string_view Fields) const {
    if (m_options.Log)
      m_options.Log(Event, Fields);
  }

  void beat() {
    TimePoint Now = m_time.now();
    m_nextBeat = Now + m_options.BeatEvery;
    ++m_beating;
    HostRecord Record{
        .Weight = m_options.Weight, .Beat = ++m_beat, .Leaving = m_leaving};
    if (m_options.Report)
      Record.Shards = m_options.Report();
    RowCommit Commit;
    Commit.Changes.push_back(
        {.Place = hostPlace(m_options.HostId), .Value = encodeHost(Record)});
    m_store.commit(std::move(Commit),
                   [Weak = weak_from_this(), Now](const Result<uint64_t> &Ok) {
                     auto Self = Weak.lock();
                     if (!Self)
                       return;
                     --Self->m_beating;
                     if (Ok.has_value())
                       Self->onRenewed(Now, Ok.value());
                   });
  }

  // A renewal says nothing about the shards: after a gap in which another host
  // could take them, their rows are read again.
  void onRenewed(TimePoint Sent, uint64_t Version) {
    if (m_renewed && Sent <= *m_renewed)
      return;
    bool First = !m_renewed;
    nanoseconds Gap = First ? nanoseconds(0) : Sent - *m_renewed;
    m_renewed = Sent;
    if (First || Gap <= fenceAge()) {
      if (m_unverified.empty())
        m_sureVersion = std::max(m_sureVersion, Version);
      return;
    }
    log("renewed_after_gap", fmt::format("gap_ms={}", Gap / milliseconds(1)));
    for (int Shard = 0; Shard < shards(); ++Shard) {
      if (m_shards[static_cast<size_t>(Shard)].HeldEpoch == 0)
        continue;
      if (Gap > m_options.Horizon)
        disown(Shard);
      m_unverified.insert(Shard);
      readShard(Shard);
    }
  }

  nanoseconds fenceAge() const { return m_options.Timeout - FenceMargin; }

  void readHosts(const std::string &From) {
    m_polling = true;
    m_nextPoll = m_time.now() + m_options.BeatEvery;
    if (From.empty())
      m_present.clear();
    m_store.read({.Table = HostTable, .Part = "", .From = From},
                 [Weak = weak_from_this()](Result<RowPage> Answer) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (!Answer.has_value()) {
                     Self->m_polling = false;
                     return;
                   }
                   for (const PlacedRow &Row : Answer.value().Rows)
                     Self->onHostRow(Row);
                   if (Answer.value().HasMore && !Answer.value().Rows.empty()) {
                     Self->readHosts(Answer.value().Rows.back().Place.Key +
                                     '\x01');
                     return;
                   }
                   Self->m_polling = false;
                   Self->onHostsRead();
                 });
  }

  void onHostRow(const PlacedRow &Row) {
    const std::string &Id = Row.Place.Key;
    m_present.insert(Id);
    Result<HostRecord> Record = decodeHost(Row.Value);
    if (!Record.has_value()) {
      log("bad_row", fmt::format("table={} key={} message=\"{}\"", HostTable,
                                 Id, Record.error().Message));
      return;
    }
    SeenHost &Host = m_hosts[Id];
    if (Host.Version == Row.Version)
      return;
    bool New = Host.Version == 0;
    Host.Record = Record.value();
    Host.Version = Row.Version;
    Host.ChangedAt = m_time.now();
    Host.Still = 0;
    if (New)
      log("host_seen",
          fmt::format("host={} weight={}", Id, Host.Record.Weight));
  }

  void onHostsRead() {
    TimePoint Now = m_time.now();
    // Nobody can renew while the store is away: after a gap in the readings
    // all rows get their time anew.
    bool Gap = Now > m_lastRead + m_options.BeatEvery * 2;
    m_lastRead = Now;
    for (auto Each = m_hosts.begin(); Each != m_hosts.end();) {
      SeenHost &Host = Each->second;
      if (!m_present.count(Each->first)) {
        Each = m_hosts.erase(Each);
        continue;
      }
      if (Gap) {
        Host.ChangedAt = Now;
        Host.Still = 0;
      }
      ++Host.Still;
      ++Each;
    }
    if (m_readings == 0)
      removeFormerSelves();
    ++m_readings;
    act();
  }

  // Earlier processes of this host are dead for certain; without their rows the
  // others need not wait to see it.
  void removeFormerSelves() {
    for (auto Each = m_hosts.begin(); Each != m_hosts.end();) {
      const std::string &Id = Each->first;
      if (Id == m_options.HostId ||
          !Id.starts_with(m_options.HostName + HostIdSeparator)) {
        ++Each;
        continue;
      }
      log("former_self_removed", fmt::format("host={}", Id));
      RowCommit Commit;
      Commit.Changes.push_back({.Place = hostPlace(Id), .Remove = true});
      m_store.commit(std::move(Commit), [](const Result<uint64_t> &) {});
      Each = m_hosts.erase(Each);
    }
  }

  bool isAlive(const SeenHost &Host) const {
    return m_time.now() < Host.ChangedAt + m_options.Timeout ||
           Host.Still < StillReadings;
  }

  std::vector<PlanHost> plannable() const {
    std::vector<PlanHost> Out;
    for (const auto &[Id, Host] : m_hosts)
      if (isAlive(Host) && !Host.Record.Leaving &&
          !(m_leaving && Id == m_options.HostId))
        Out.push_back({.Id = Id, .Weight = Host.Record.Weight});
    return Out;
  }

  void act() {
    if (m_readings < StillReadings && !m_leaving)
      return;
    std::vector<std::string> Owners;
    for (const SeenShard &Each : m_shards)
      Owners.push_back(Each.Owner);
    std::vector<std::string> Plan = planShards(plannable(), Owners);
    if (Plan.empty())
      return;
    for (size_t Shard = 0; Shard < m_shards.size(); ++Shard)
      actOn(static_cast<int>(Shard), Plan[Shard]);
  }

  void actOn(int Shard, const std::string &Target) {
    SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    if (!Row.Known || Row.Writing)
      return;
    bool Mine = Row.Owner == m_options.HostId;
    if (!Mine && Target == m_options.HostId && Row.Owner != Target) {
      // A live owner hands over by itself.
      auto Present = m_hosts.find(Row.Owner);
      if (Present != m_hosts.end() && isAlive(Present->second) &&
          !Present->second.Record.Leaving)
        return;
      writeOwner(Shard, m_options.HostId);
      return;
    }
    if (!Mine || Target == m_options.HostId) {
      Row.WantedElsewhere = 0;
      return;
    }
    if (++Row.WantedElsewhere < SteadyPlans && !m_leaving)
      return;
    disown(Shard);
    writeOwner(Shard, Target);
  }

  void disown(int Shard) {
    SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    if (Row.HeldEpoch == 0)
      return;
    Row.HeldEpoch = 0;
    log("shard_released", fmt::format("shard={}", Shard));
    if (m_options.OnDisowned)
      m_options.OnDisowned(Shard);
  }

  void writeOwner(int Shard, const std::string &Owner) {
    SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.Writing = true;
    log("shard_claim", fmt::format("shard={} from={} to={}", Shard,
                                   Row.Owner.empty() ? "-" : Row.Owner, Owner));
    RowPlace Place = shardOwnerPlace(Shard);
    RowCommit Commit;
    Commit.Conditions.push_back({.Place = Place, .Version = Row.Version});
    Commit.Changes.push_back(
        {.Place = Place, .Value = encodeShardOwner(Owner)});
    m_store.commit(std::move(Commit), [Weak = weak_from_this(), Shard,
                                       Owner](const Result<uint64_t> &Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Self->m_shards[static_cast<size_t>(Shard)].Writing = false;
      if (Answer.has_value())
        Self->onOwner(Shard, Owner, Answer.value());
      else
        Self->readShard(Shard);
    });
  }

  void onOwner(int Shard, const std::string &Owner, uint64_t Version) {
    SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.Known = true;
    if (Version < Row.Version)
      return;
    Row.Owner = Owner;
    Row.Version = Version;
    if (Row.HeldEpoch != 0 && Row.HeldEpoch != Version)
      disown(Shard);
    bool Mine = Owner == m_options.HostId && !m_leaving;
    if (!Mine || Row.HeldEpoch != 0)
      return;
    Row.HeldEpoch = Version;
    log("shard_owned", fmt::format("shard={} epoch={}", Shard, Version));
    if (m_options.OnOwned)
      m_options.OnOwned(Shard, Version);
  }

  void readShard(int Shard) {
    RowPlace Place = shardOwnerPlace(Shard);
    m_store.read({.Table = Place.Table, .Part = Place.Part},
                 [Weak = weak_from_this(), Shard](Result<RowPage> Answer) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (!Answer.has_value()) {
                     Self->readShard(Shard);
                     return;
                   }
                   Self->onShardRead(Shard, Answer.value());
                 });
  }

  void onShardRead(int Shard, const RowPage &Page) {
    SeenShard &Row = m_shards[static_cast<size_t>(Shard)];
    Row.Known = true;
    m_unverified.erase(Shard);
    for (const PlacedRow &Each : Page.Rows)
      onShardRow(Each);
  }

  void onShardRow(const PlacedRow &Row) {
    int Shard = shardOfPart(Row.Place.Part);
    if (Shard < 0 || Shard >= shards() || Row.Removed)
      return;
    Result<std::string> Owner = decodeShardOwner(Row.Value);
    if (!Owner.has_value()) {
      log("bad_row", fmt::format("table={} part={} message=\"{}\"", ShardTable,
                                 Row.Place.Part, Owner.error().Message));
      return;
    }
    onOwner(Shard, Owner.value(), Row.Version);
  }

  // Version zero asks for a reading of all shards first.
  void followShards(uint64_t From) {
    if (From == 0) {
      m_store.read({.Table = ShardTable, .Part = shardPart(0)},
                   [Weak = weak_from_this()](Result<RowPage> Answer) {
                     auto Self = Weak.lock();
                     if (!Self)
                       return;
                     if (!Answer.has_value()) {
                       Self->followShards(0);
                       return;
                     }
                     for (int Each = 0; Each < Self->shards(); ++Each)
                       Self->readShard(Each);
                     Self->followShards(
                         std::max<uint64_t>(Answer.value().Version, 1));
                   });
      return;
    }
    m_store.feed(ShardTable, From, FeedWait,
                 [Weak = weak_from_this(), From](Result<RowPage> Answer) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Answer.has_value()) {
                     for (const PlacedRow &Row : Answer.value().Rows)
                       Self->onShardRow(Row);
                     Self->followShards(std::max(From, Answer.value().Version));
                     return;
                   }
                   bool Gone = Answer.error().Code == ResultCode::NotFound;
                   Self->followShards(Gone ? 0 : From);
                 });
  }

  // The first live host arranges the shards for all.
  void arrange() {
    bool First = !m_hosts.empty() && !m_leaving;
    for (const auto &[Id, Host] : m_hosts) {
      if (!isAlive(Host) || Host.Record.Leaving)
        continue;
      First = Id == m_options.HostId;
      break;
    }
    if (First && m_readings >= 2)
      m_layout->arrange();
  }

  HostClusterOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::map<std::string, SeenHost> m_hosts;
  std::set<std::string> m_present;
  std::vector<SeenShard> m_shards;
  /// Owned shards whose rows must be read before a worker is fenced.
  std::set<int> m_unverified;
  std::shared_ptr<ShardLayout> m_layout;
  std::optional<TimePoint> m_renewed;
  /// Version of the last renewal by which this host surely owned its shards.
  uint64_t m_sureVersion = 0;
  uint64_t m_beat = 0;
  TimePoint m_nextBeat{};
  TimePoint m_nextPoll{};
  TimePoint m_lastRead{};
  int m_readings = 0;
  /// Renewals under way.
  int m_beating = 0;
  bool m_polling = false;
  bool m_leaving = false;
};

HostCluster::HostCluster(HostClusterOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {}
HostCluster::~HostCluster() = default;
void HostCluster::start() { m_impl->start(); }
void HostCluster::tick() { m_impl->tick(); }
void HostCluster::leave() { m_impl->leave(); }
void HostCluster::removeSelf() { m_impl->removeSelf(); }
void HostCluster::doubt(int Shard) { m_impl->doubt(Shard); }
void HostCluster::setFleet(const std::vector<WorkerEntry> &Fleet) {
  m_impl->setFleet(Fleet);
}
bool HostCluster::mayAct() const { return m_impl->mayAct(); }
bool HostCluster::mayBegin(uint64_t RowVersion) const {
  return m_impl->mayBegin(RowVersion);
}
bool HostCluster::mayFence() const { return m_impl->mayFence(); }
int HostCluster::shards() const { return m_impl->shards(); }
int HostCluster::shardOf(const std::string &Worker) const {
  return m_impl->shardOf(Worker);
}
const ShardReport *HostCluster::report(int Shard) const {
  return m_impl->report(Shard);
}
int HostCluster::owned() const { return m_impl->owned(); }

BASILCHUTE_NAMESPACE_END
