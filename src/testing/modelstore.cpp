#include "testing/modelstore.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds AnswerTimeout{1500};
constexpr milliseconds FailurePause{150};

Error unavailable() {
  return makeError(ResultCode::Unavailable, "the store is unavailable");
}

} // namespace

bool ModelStore::chance(int Percent) {
  return static_cast<int>(m_random() % 100) < Percent;
}

milliseconds ModelStore::between(int Least, int Most) {
  auto Span = static_cast<uint64_t>(Most - Least);
  return milliseconds(Least + static_cast<int>(m_random() % Span));
}

Result<uint64_t> ModelStore::apply(const RowCommit &Commit) {
  for (const RowCondition &Each : Commit.Conditions) {
    auto Found = m_rows.find(Each.Place);
    uint64_t Present = Found == m_rows.end() ? 0 : Found->second.Version;
    if (Present != Each.Version)
      return makeError(ResultCode::Conflict, Each.Place.Key);
  }
  ++m_version;
  std::vector<std::string> Tables;
  for (const RowChange &Each : Commit.Changes) {
    PlacedRow Row{.Place = Each.Place,
                  .Value = Each.Value,
                  .Version = m_version,
                  .Removed = Each.Remove};
    m_log.push_back(Row);
    Tables.push_back(Each.Place.Table);
    if (Each.Remove)
      m_rows.erase(Each.Place);
    else
      m_rows[Each.Place] = Row;
  }
  std::vector<std::function<void()>> Awake;
  for (auto Each = m_waiters.begin(); Each != m_waiters.end();) {
    bool Changed = std::find(Tables.begin(), Tables.end(),
                             Each->second.Table) != Tables.end();
    if (!Changed) {
      ++Each;
      continue;
    }
    Awake.push_back(Each->second.Done);
    Each = m_waiters.erase(Each);
  }
  for (const std::function<void()> &Each : Awake)
    Each();
  return m_version;
}

RowPage ModelStore::read(const RowRange &Range) const {
  RowPage Out{.Version = m_version};
  RowPlace First{.Table = Range.Table, .Part = Range.Part, .Key = Range.From};
  for (auto Each = m_rows.lower_bound(First); Each != m_rows.end(); ++Each) {
    const RowPlace &Place = Each->first;
    if (Place.Table != Range.Table || Place.Part != Range.Part)
      break;
    if (!Range.To.empty() && Place.Key >= Range.To)
      break;
    Out.Rows.push_back(Each->second);
  }
  return Out;
}

Result<RowPage> ModelStore::changes(const std::string &Table,
                                    uint64_t Version) const {
  if (Version < m_dropped)
    return makeError(ResultCode::NotFound, "that history was dropped");
  RowPage Out{.Version = m_version};
  for (const PlacedRow &Each : m_log)
    if (Each.Place.Table == Table && Each.Version > Version)
      Out.Rows.push_back(Each);
  return Out;
}

void ModelStore::dropHistory() {
  m_log.clear();
  m_dropped = m_version + 1;
}

void ModelStore::await(const std::string &Table, uint64_t Version,
                       milliseconds Wait, std::function<void()> Done) {
  Result<RowPage> Now = changes(Table, Version);
  if (!Now.has_value() || !Now.value().Rows.empty()) {
    Done();
    return;
  }
  uint64_t Id = m_nextWaiter++;
  m_waiters[Id] = {.Table = Table, .Done = std::move(Done)};
  m_later(Wait, [this, Id] {
    auto Found = m_waiters.find(Id);
    if (Found == m_waiters.end())
      return;
    std::function<void()> Late = std::move(Found->second.Done);
    m_waiters.erase(Found);
    Late();
  });
}

void HostRowStore::commit(RowCommit Commit, CommitDone Done) {
  if (fails()) {
    m_deliver(m_store.Delay, [Done] { Done(unavailable()); });
    return;
  }
  auto Unknown = [Done] {
    Done(makeError(ResultCode::OutcomeUnknown, "no answer"));
  };
  if (m_store.chance(m_store.LatePercent)) {
    m_store.later()(m_store.between(1000, 6000),
                    [this, Commit] { (void)m_store.apply(Commit); });
    m_deliver(AnswerTimeout, Unknown);
    return;
  }
  bool Lost = m_store.chance(m_store.LostPercent);
  m_store.later()(m_store.Delay, [this, Commit, Done, Lost, Unknown] {
    Result<uint64_t> Out = m_store.apply(Commit);
    if (Lost)
      m_deliver(AnswerTimeout, Unknown);
    else
      m_deliver(m_store.Delay, [Done, Out] { Done(Out); });
  });
}

void HostRowStore::read(RowRange Range, ReadDone Done) {
  if (fails()) {
    m_deliver(FailurePause, [Done] { Done(unavailable()); });
    return;
  }
  m_deliver(m_store.Delay, [this, Range, Done] {
    RowPage Page = m_store.read(Range);
    m_deliver(m_store.Delay, [Done, Page] { Done(Page); });
  });
}

void HostRowStore::feed(std::string Table, uint64_t Version, milliseconds Wait,
                        ReadDone Done) {
  if (fails()) {
    m_deliver(FailurePause, [Done] { Done(unavailable()); });
    return;
  }
  m_store.await(Table, Version, Wait, [this, Table, Version, Done] {
    Result<RowPage> Out = m_store.changes(Table, Version);
    m_deliver(m_store.Delay, [Done, Out] { Done(Out); });
  });
}

BASILCHUTE_NAMESPACE_END
