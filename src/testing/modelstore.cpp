#include "testing/modelstore.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds ReplyTimeout{1500};
constexpr milliseconds FailureDelay{150};
/// Maximum size of a row's value.
constexpr size_t RowBytes = 65536;

Error unavailable() {
  return makeError(ResultCode::Unavailable, "the store is unavailable");
}

} // namespace

bool ModelStore::chance(int Percent) {
  return static_cast<int>(m_random() % 100) < Percent;
}

milliseconds ModelStore::randomDelay(int MinMs, int EndMs) {
  auto Span = static_cast<uint64_t>(EndMs - MinMs);
  return milliseconds(MinMs + static_cast<int>(m_random() % Span));
}

Result<uint64_t> ModelStore::apply(const RowCommit &Commit) {
  for (const RowChange &Change : Commit.Changes)
    if (Change.Value.size() > RowBytes || RefusedKeys.count(Change.Address.Key))
      return makeError(ResultCode::Internal, "the row is refused");
  for (const RowCondition &Condition : Commit.Conditions) {
    auto It = m_rows.find(Condition.Address);
    uint64_t Version = It == m_rows.end() ? 0 : It->second.Version;
    if (Version != Condition.Version)
      return makeError(ResultCode::Conflict, Condition.Address.Key);
  }
  ++m_version;
  std::vector<std::string> Tables;
  for (const RowChange &Change : Commit.Changes) {
    StoredRow Row{.Address = Change.Address,
                  .Value = Change.Value,
                  .Version = m_version,
                  .IsRemoved = Change.IsRemoval};
    m_log.push_back(Row);
    Tables.push_back(Change.Address.Table);
    if (Change.IsRemoval)
      m_rows.erase(Change.Address);
    else
      m_rows[Change.Address] = Row;
  }
  std::vector<std::function<void()>> Callbacks;
  for (auto It = m_waiters.begin(); It != m_waiters.end();) {
    bool HasChanged = std::find(Tables.begin(), Tables.end(),
                                It->second.Table) != Tables.end();
    if (!HasChanged) {
      ++It;
      continue;
    }
    Callbacks.push_back(It->second.Done);
    It = m_waiters.erase(It);
  }
  for (const std::function<void()> &Callback : Callbacks)
    Callback();
  return m_version;
}

RowPage ModelStore::read(const RowRange &Range) const {
  RowPage Out{.Version = m_version};
  RowAddress First{
      .Table = Range.Table, .Partition = Range.Partition, .Key = Range.From};
  for (auto It = m_rows.lower_bound(First); It != m_rows.end(); ++It) {
    const RowAddress &Address = It->first;
    if (Address.Table != Range.Table || Address.Partition != Range.Partition)
      break;
    if (!Range.To.empty() && Address.Key >= Range.To)
      break;
    Out.Rows.push_back(It->second);
  }
  return Out;
}

Result<RowPage> ModelStore::changes(const std::string &Table,
                                    uint64_t Version) const {
  if (Version < m_historyStart)
    return makeError(ResultCode::NotFound,
                     "the changes since the requested version were dropped");
  RowPage Out{.Version = m_version};
  for (const StoredRow &Change : m_log)
    if (Change.Address.Table == Table && Change.Version > Version)
      Out.Rows.push_back(Change);
  return Out;
}

void ModelStore::dropHistory() {
  m_log.clear();
  m_historyStart = m_version + 1;
}

void ModelStore::await(const std::string &Table, uint64_t Version,
                       milliseconds Wait, std::function<void()> Done) {
  Result<RowPage> Known = changes(Table, Version);
  if (!Known.has_value() || !Known.value().Rows.empty()) {
    Done();
    return;
  }
  uint64_t Id = m_nextWaiter++;
  m_waiters[Id] = {.Table = Table, .Done = std::move(Done)};
  m_scheduleAfter(Wait, [this, Id] {
    auto It = m_waiters.find(Id);
    if (It == m_waiters.end())
      return;
    std::function<void()> Callback = std::move(It->second.Done);
    m_waiters.erase(It);
    Callback();
  });
}

void HostRowStore::commit(RowCommit Commit, CommitDone Done) {
  ++Calls;
  bool IsRefusedCommit = IsCommitRefused || (m_store.RefusesCommit &&
                                             m_store.RefusesCommit(Commit));
  if (isUnreachable() || IsRefusedCommit) {
    m_deliver(m_store.Delay, [Done] { Done(unavailable()); });
    return;
  }
  auto ReplyUnknown = [Done] {
    Done(makeError(ResultCode::OutcomeUnknown, "no response"));
  };
  if (m_store.chance(m_store.DelayedCommitPercent)) {
    m_store.scheduleAfter()(m_store.randomDelay(1000, 6000),
                            [this, Commit] { (void)m_store.apply(Commit); });
    m_deliver(ReplyTimeout, ReplyUnknown);
    return;
  }
  bool IsReplyLost = m_store.chance(m_store.LostReplyPercent);
  milliseconds Delay = m_store.CommitDelay.value_or(m_store.Delay);
  m_store.scheduleAfter()(
      Delay, [this, Commit, Done, IsReplyLost, ReplyUnknown] {
        Result<uint64_t> Out = m_store.apply(Commit);
        if (IsReplyLost)
          m_deliver(ReplyTimeout, ReplyUnknown);
        else
          m_deliver(m_store.CommitDelay.value_or(m_store.Delay),
                    [Done, Out] { Done(Out); });
      });
}

void HostRowStore::read(RowRange Range, ReadDone Done) {
  ++Calls;
  if (isUnreachable()) {
    m_deliver(FailureDelay, [Done] { Done(unavailable()); });
    return;
  }
  m_deliver(m_store.Delay, [this, Range, Done] {
    RowPage Page = m_store.read(Range);
    m_deliver(m_store.Delay, [Done, Page] { Done(Page); });
  });
}

void HostRowStore::readChanges(std::string Table, uint64_t Version,
                               milliseconds Wait, ReadDone Done) {
  ++Calls;
  if (isUnreachable()) {
    m_deliver(FailureDelay, [Done] { Done(unavailable()); });
    return;
  }
  m_store.await(Table, Version, Wait, [this, Table, Version, Done] {
    Result<RowPage> Out = m_store.changes(Table, Version);
    m_deliver(m_store.Delay, [Done, Out] { Done(Out); });
  });
}

BASILCHUTE_NAMESPACE_END
