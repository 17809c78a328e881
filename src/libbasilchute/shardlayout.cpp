#include "libbasilchute/shardlayout.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds FeedWait{1000};
/// While a fleet registers, workers that come first would all go to the few
/// shards that there are; they wait until the number of shards stands still.
constexpr milliseconds Settling{1500};
constexpr size_t MaxAssignmentsPerCommit = MaxRowsPerCommit / 2;

} // namespace

int shardsFor(size_t Workers, const ShardLayoutOptions &Options) {
  int PerShard = Options.WorkersPerShard;
  int Rounded = (static_cast<int>(Workers) + PerShard / 2) / PerShard;
  return std::clamp(Rounded, Options.LeastShards, Options.MostShards);
}

ShardLayout::ShardLayout(ShardLayoutOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_time(Time),
      m_shards(m_options.LeastShards) {}

void ShardLayout::log(std::string_view Event, std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

int ShardLayout::shardOf(const std::string &Worker) const {
  auto Found = m_assignments.find(Worker);
  return Found == m_assignments.end() ? -1 : Found->second;
}

void ShardLayout::start() {
  readLayout();
  readAssignments("", 0);
}

void ShardLayout::readLayout() {
  RowPlace Place = layoutPlace();
  RowRange Range{.Table = Place.Table, .Part = Place.Part, .From = Place.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Answer.has_value()) {
      Self->readLayout();
      return;
    }
    Self->onRows(Answer.value().Rows);
    Self->m_layoutRead = true;
  });
}

void ShardLayout::readAssignments(const std::string &Key, uint64_t From) {
  m_store.read(
      {.Table = AssignmentTable, .Part = "", .From = Key},
      [Weak = weak_from_this(), Key, From](Result<RowPage> Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (!Answer.has_value()) {
          Self->readAssignments(Key, From);
          return;
        }
        RowPage &Page = Answer.value();
        uint64_t First = From ? From : std::max<uint64_t>(Page.Version, 1);
        Self->onRows(Page.Rows);
        if (Page.HasMore && !Page.Rows.empty()) {
          Self->readAssignments(Page.Rows.back().Place.Key + '\x01', First);
          return;
        }
        Self->m_assignmentsRead = true;
        Self->follow(First);
      });
}

void ShardLayout::follow(uint64_t From) {
  m_store.feed(AssignmentTable, From, FeedWait,
               [Weak = weak_from_this(), From](Result<RowPage> Answer) {
                 auto Self = Weak.lock();
                 if (!Self)
                   return;
                 if (Answer.has_value()) {
                   Self->onRows(Answer.value().Rows);
                   Self->follow(std::max(From, Answer.value().Version));
                   return;
                 }
                 if (Answer.error().Code != ResultCode::NotFound) {
                   Self->follow(From);
                   return;
                 }
                 Self->readLayout();
                 Self->readAssignments("", 0);
               });
}

void ShardLayout::onRows(const std::vector<PlacedRow> &Rows) {
  // A worker's shard may be one that the layout row adds.
  for (const PlacedRow &Row : Rows)
    if (Row.Place == layoutPlace())
      onLayoutRow(Row);
  bool Changed = false;
  for (const PlacedRow &Row : Rows) {
    if (!Row.Place.Part.empty() || Row.Removed || Row.Value.empty())
      continue;
    m_assignments[Row.Place.Key] = std::atoi(Row.Value.c_str());
    Changed = true;
  }
  if (Changed && m_options.OnAssigned)
    m_options.OnAssigned();
}

void ShardLayout::onLayoutRow(const PlacedRow &Row) {
  if (Row.Removed || Row.Version <= m_layoutVersion)
    return;
  Result<int> Shards = decodeLayout(Row.Value);
  if (!Shards.has_value()) {
    log("bad_row",
        fmt::format("table={} key={} message=\"{}\"", Row.Place.Table,
                    Row.Place.Key, Shards.error().Message));
    return;
  }
  m_layoutVersion = Row.Version;
  if (Shards.value() <= m_shards)
    return;
  log("shards_grown",
      fmt::format("shards={} before={}", Shards.value(), m_shards));
  m_shards = Shards.value();
  if (m_options.OnGrown)
    m_options.OnGrown();
}

void ShardLayout::arrange() {
  if (m_writing || !m_layoutRead || !m_assignmentsRead)
    return;
  int Wanted = std::max(shardsFor(m_fleet.size(), m_options), m_shards);
  if (Wanted != m_wanted) {
    m_wanted = Wanted;
    m_wantedSince = m_time.now();
  }
  if (Wanted > m_shards) {
    grow(Wanted);
    return;
  }
  if (m_time.now() < m_wantedSince + Settling)
    return;
  std::map<std::string, std::vector<int64_t>> Capacity;
  std::vector<const WorkerEntry *> Fresh;
  for (const WorkerEntry &Each : m_fleet) {
    std::vector<int64_t> &Of = Capacity[Each.Service];
    Of.resize(static_cast<size_t>(m_shards));
    int Shard = shardOf(Each.Id);
    if (Shard < 0)
      Fresh.push_back(&Each);
    else if (Shard < m_shards)
      Of[static_cast<size_t>(Shard)] += Each.Capacity.Millicores;
  }
  if (!Fresh.empty())
    assign(Fresh, std::move(Capacity));
}

void ShardLayout::grow(int Wanted) {
  RowPlace Place = layoutPlace();
  RowCommit Commit;
  Commit.Conditions.push_back({.Place = Place, .Version = m_layoutVersion});
  Commit.Changes.push_back({.Place = Place, .Value = encodeLayout(Wanted)});
  m_writing = true;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(), Place,
                                     Wanted](const Result<uint64_t> &Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_writing = false;
    if (Answer.has_value())
      Self->onLayoutRow({.Place = Place,
                         .Value = encodeLayout(Wanted),
                         .Version = Answer.value()});
  });
}

void ShardLayout::assign(const std::vector<const WorkerEntry *> &Fresh,
                         std::map<std::string, std::vector<int64_t>> Capacity) {
  RowCommit Commit;
  std::vector<PlacedRow> Rows;
  for (const WorkerEntry *Each : Fresh) {
    if (Rows.size() == MaxAssignmentsPerCommit)
      break;
    std::vector<int64_t> &Of = Capacity[Each->Service];
    auto Least = std::min_element(Of.begin(), Of.end());
    *Least += std::max<int64_t>(Each->Capacity.Millicores, 1);
    RowPlace Place = assignmentPlace(Each->Id);
    std::string Value = fmt::format("{}", Least - Of.begin());
    Commit.Conditions.push_back({.Place = Place, .Version = 0});
    Commit.Changes.push_back({.Place = Place, .Value = Value});
    Rows.push_back({.Place = Place, .Value = Value});
  }
  m_writing = true;
  m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                     Rows](const Result<uint64_t> &Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_writing = false;
    if (Answer.has_value())
      Self->onRows(Rows);
  });
}

BASILCHUTE_NAMESPACE_END
