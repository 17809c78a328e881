#include "libbasilchute/shardlayout.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FeedWait{1000};
/// The same on an idle host. A feed that has gone silent is noticed later.
constexpr milliseconds IdleFeedWait{10000};
/// Time for which the target number of shards must be stable before workers are
/// assigned. Otherwise the workers that register first, while the fleet starts,
/// would all be assigned to the few shards that exist by then.
constexpr milliseconds SettleTime{1500};
/// Longest time after the first worker for which the first assignment waits for
/// the fleet to stop growing.
constexpr milliseconds MaxStartTime{6000};
constexpr size_t MaxAssignmentsPerCommit = MaxRowsPerCommit / 2;

/// Returns the shard that the value of an assignment row names, or std::nullopt
/// if there can be no such shard.
std::optional<int> parseShard(const std::string &Value, int MaxShards) {
  int Out = 0;
  const char *Last = Value.data() + Value.size();
  auto [End, ErrorCode] = std::from_chars(Value.data(), Last, Out);
  bool IsValid =
      ErrorCode == std::errc() && End == Last && Out >= 0 && Out < MaxShards;
  return IsValid ? std::optional(Out) : std::nullopt;
}

} // namespace

ShardLayout::ShardLayout(ShardLayoutOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_time(Time),
      m_capacities(std::make_shared<LargestCapacities>(
          LargestCapacitiesOptions{.Log = m_options.Log}, Store, Time)),
      m_shards(m_options.Count.MinShards) {}

void ShardLayout::log(std::string_view Event, std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

int ShardLayout::shardOf(const std::string &Worker) const {
  auto It = m_assignments.find(Worker);
  return It == m_assignments.end() ? -1 : It->second;
}

void ShardLayout::start() {
  readLayout();
  readAssignments("", 0);
}

void ShardLayout::readLayout() {
  RowAddress Address = shardCountAddress();
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Reply.has_value()) {
      Self->readLayout();
      return;
    }
    Self->onRows(Reply.value().Rows);
    Self->m_isLayoutRead = true;
  });
}

void ShardLayout::readAssignments(const std::string &Key, uint64_t From) {
  m_store.read({.Table = AssignmentTable, .Partition = "", .From = Key},
               [Weak = weak_from_this(), Key, From](Result<RowPage> Reply) {
                 auto Self = Weak.lock();
                 if (!Self)
                   return;
                 if (!Reply.has_value()) {
                   Self->readAssignments(Key, From);
                   return;
                 }
                 RowPage &Page = Reply.value();
                 uint64_t FeedStart =
                     From ? From : std::max<uint64_t>(Page.Version, 1);
                 Self->onRows(Page.Rows);
                 if (Page.HasMore && !Page.Rows.empty()) {
                   Self->readAssignments(Page.Rows.back().Address.Key + '\x01',
                                         FeedStart);
                   return;
                 }
                 Self->m_areAssignmentsRead = true;
                 Self->readCapacities("", FeedStart);
               });
}

void ShardLayout::readCapacities(const std::string &Key, uint64_t FollowFrom) {
  RowRange Range{
      .Table = AssignmentTable, .Partition = CapacityPartition, .From = Key};
  m_store.read(Range, [Weak = weak_from_this(), Key,
                       FollowFrom](Result<RowPage> Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Reply.has_value()) {
      Self->readCapacities(Key, FollowFrom);
      return;
    }
    const RowPage &Page = Reply.value();
    Self->onRows(Page.Rows);
    if (Page.HasMore && !Page.Rows.empty()) {
      Self->readCapacities(Page.Rows.back().Address.Key + '\x01', FollowFrom);
      return;
    }
    Self->m_capacities->setComplete();
    if (Self->m_options.OnAssigned)
      Self->m_options.OnAssigned();
    Self->followAssignments(FollowFrom);
  });
}

void ShardLayout::followAssignments(uint64_t From) {
  m_store.readChanges(AssignmentTable, From, m_isIdle ? IdleFeedWait : FeedWait,
                      [Weak = weak_from_this(), From](Result<RowPage> Reply) {
                        auto Self = Weak.lock();
                        if (!Self)
                          return;
                        if (Reply.has_value()) {
                          Self->onRows(Reply.value().Rows);
                          Self->followAssignments(
                              std::max(From, Reply.value().Version));
                          return;
                        }
                        if (Reply.error().Code != ResultCode::NotFound) {
                          Self->followAssignments(From);
                          return;
                        }
                        Self->readLayout();
                        Self->readAssignments("", 0);
                      });
}

void ShardLayout::onRows(const std::vector<StoredRow> &Rows) {
  // The layout row comes first, since a worker may be assigned to a shard that
  // this row adds.
  for (const StoredRow &Row : Rows)
    if (Row.Address == shardCountAddress())
      onLayoutRow(Row);
  bool HasChanged = false;
  for (const StoredRow &Row : Rows) {
    HasChanged |= m_capacities->onRow(Row);
    if (!Row.Address.Partition.empty() || Row.IsRemoved)
      continue;
    HasChanged |= onAssignment(Row);
  }
  if (HasChanged && m_options.OnAssigned)
    m_options.OnAssigned();
}

bool ShardLayout::onAssignment(const StoredRow &Row) {
  const std::string &Worker = Row.Address.Key;
  std::optional<int> Shard = parseShard(Row.Value, m_options.Count.MaxShards);
  if (!Shard) {
    // A known assignment holds: it never changes.
    if (m_assignments.count(Worker) || m_refused[Worker] == Row.Version)
      return false;
    m_refused[Worker] = Row.Version;
    log("bad_row",
        fmt::format("table={} key={} message=\"the row does not name "
                    "a shard\"",
                    AssignmentTable, Worker));
    return false;
  }
  m_refused.erase(Worker);
  m_assignments[Worker] = *Shard;
  return true;
}

void ShardLayout::onLayoutRow(const StoredRow &Row) {
  if (Row.IsRemoved || Row.Version <= m_layoutVersion)
    return;
  Result<int> Shards = decodeShardCount(Row.Value);
  m_layoutVersion = Row.Version;
  m_isLayoutRefused =
      !Shards.has_value() || Shards.value() > m_options.Count.MaxShards;
  if (m_isLayoutRefused) {
    log("bad_row", fmt::format("table={} key={} message=\"{}\"",
                               Row.Address.Table, Row.Address.Key,
                               Shards.has_value() ? "too many shards"
                                                  : Shards.error().Message));
    return;
  }
  if (Shards.value() <= m_shards)
    return;
  log("shards_grown",
      fmt::format("shards={} before={}", Shards.value(), m_shards));
  m_shards = Shards.value();
  if (m_options.OnGrown)
    m_options.OnGrown();
}

// Only the first assignment goes by the hosts. Workers stay in their shards, so
// that a shard which is added when hosts are lost would get none of them.
int ShardLayout::targetShards() const {
  std::vector<int> Weights;
  if (m_assignments.empty() && m_options.HostWeights)
    Weights = m_options.HostWeights();
  return std::max(shardCountFor(m_fleet.size(), Weights, m_options.Count),
                  m_shards);
}

void ShardLayout::setFleet(const std::vector<WorkerEntry> &Fleet) {
  if (m_fleet.empty() && !Fleet.empty())
    m_firstWorkerAt = m_time.now();
  if (Fleet.size() > m_fleet.size())
    m_grownAt = m_time.now();
  m_fleet = Fleet;
  m_capacities->setFleet(Fleet);
}

bool ShardLayout::mayMissWorkers() const {
  if (m_fleet.empty() || !m_areAssignmentsRead || !m_capacities->isComplete())
    return true;
  if (m_time.now() > m_firstWorkerAt + LargestCapacities::Retention)
    return false;
  return std::any_of(m_assignments.begin(), m_assignments.end(),
                     [this](const auto &Assigned) {
                       return !m_capacities->isKnown(Assigned.first);
                     });
}

// The workers of a fleet that starts register over several seconds, and the
// number of shards can't be mended later.
bool ShardLayout::isFleetStarting() const {
  TimePoint Now = m_time.now();
  return m_assignments.empty() && Now < m_grownAt + SettleTime &&
         Now < m_firstWorkerAt + MaxStartTime;
}

void ShardLayout::growAndAssign() {
  if (m_isWriting || !m_isLayoutRead || !m_areAssignmentsRead)
    return;
  int TargetShards = targetShards();
  // Assigned workers show how many shards there were.
  if (m_isLayoutRefused)
    for (const auto &[Worker, Shard] : m_assignments)
      TargetShards = std::max(TargetShards, Shard + 1);
  if (TargetShards != m_targetShards) {
    m_targetShards = TargetShards;
    m_targetSince = m_time.now();
  }
  if (isFleetStarting())
    return;
  if (TargetShards > m_shards || m_isLayoutRefused) {
    grow(TargetShards);
    return;
  }
  if (m_time.now() < m_targetSince + SettleTime)
    return;
  std::map<std::string, std::vector<int64_t>> Capacity;
  std::vector<const WorkerEntry *> Unassigned;
  for (const WorkerEntry &Worker : m_fleet) {
    std::vector<int64_t> &ShardCapacity = Capacity[Worker.Service];
    ShardCapacity.resize(static_cast<size_t>(m_shards));
    int Shard = shardOf(Worker.Id);
    if (Shard < 0)
      Unassigned.push_back(&Worker);
    else if (Shard < m_shards)
      ShardCapacity[static_cast<size_t>(Shard)] += Worker.Capacity.Millicores;
  }
  if (!Unassigned.empty())
    assign(Unassigned, std::move(Capacity));
}

void ShardLayout::grow(int TargetShards) {
  RowAddress Address = shardCountAddress();
  RowCommit Commit;
  Commit.Conditions.push_back({.Address = Address, .Version = m_layoutVersion});
  Commit.Changes.push_back(
      {.Address = Address, .Value = encodeShardCount(TargetShards)});
  m_isWriting = true;
  m_store.commit(std::move(Commit),
                 [Weak = weak_from_this(), Address,
                  TargetShards](const Result<uint64_t> &Reply) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   Self->m_isWriting = false;
                   if (Reply.has_value())
                     Self->onLayoutRow({.Address = Address,
                                        .Value = encodeShardCount(TargetShards),
                                        .Version = Reply.value()});
                 });
}

void ShardLayout::assign(const std::vector<const WorkerEntry *> &Unassigned,
                         std::map<std::string, std::vector<int64_t>> Capacity) {
  RowCommit Commit;
  std::vector<StoredRow> Rows;
  for (const WorkerEntry *Worker : Unassigned) {
    if (Rows.size() == MaxAssignmentsPerCommit)
      break;
    std::vector<int64_t> &ShardCapacity = Capacity[Worker->Service];
    auto Smallest =
        std::min_element(ShardCapacity.begin(), ShardCapacity.end());
    *Smallest += std::max<int64_t>(Worker->Capacity.Millicores, 1);
    RowAddress Address = assignmentAddress(Worker->Id);
    std::string Value = fmt::format("{}", Smallest - ShardCapacity.begin());
    auto Refused = m_refused.find(Worker->Id);
    Commit.Conditions.push_back(
        {.Address = Address,
         .Version = Refused == m_refused.end() ? 0 : Refused->second});
    Commit.Changes.push_back({.Address = Address, .Value = Value});
    Rows.push_back({.Address = Address, .Value = Value});
  }
  m_isWriting = true;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                     Rows](const Result<uint64_t> &Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_isWriting = false;
    if (Reply.has_value())
      Self->onRows(Rows);
  });
}

BASILCHUTE_NAMESPACE_END
