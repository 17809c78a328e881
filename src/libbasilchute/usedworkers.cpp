#include "libbasilchute/usedworkers.h"

#include "libbasilchute/handover.h"
#include "libbasilchute/jobrows.h"
#include "schema/jobs.pb.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds RetryDelay{150};
/// Minimum time between a commit and one that only removes names, so that
/// workers that leave one after the other share a commit.
constexpr milliseconds RemovalDelay{1000};
/// Bytes that the encoding needs for a name beside the name itself.
constexpr size_t NameOverhead = 4;

} // namespace

RowAddress usedWorkersAddress(int Shard) {
  return {.Table = HandoverTable,
          .Partition = shardPartition(Shard),
          .Key = "workers"};
}

std::string encodeUsedWorkers(const std::set<std::string> &Names) {
  v1::StoredUsedWorkers Out;
  for (const std::string &Name : Names)
    Out.add_workers(Name);
  return Out.SerializeAsString();
}

Result<std::set<std::string>> decodeUsedWorkers(const std::string &Bytes) {
  v1::StoredUsedWorkers From;
  if (!From.ParseFromString(Bytes))
    return makeError(ResultCode::InvalidArgument,
                     "the row is not a list of workers");
  return std::set<std::string>(From.workers().begin(), From.workers().end());
}

UsedWorkers::UsedWorkers(UsedWorkersOptions Options, RowStore &Store,
                         const Clock &Time)
    : m_options(std::move(Options)), m_store(Store), m_time(Time) {}

void UsedWorkers::log(std::string_view Event, std::string_view Fields) const {
  if (m_options.Log)
    m_options.Log(Event, Fields);
}

void UsedWorkers::restore(const StoredRow &Row) {
  m_version = Row.Version;
  m_names.clear();
  Result<std::set<std::string>> Names = decodeUsedWorkers(Row.Value);
  m_isReadable = Names.has_value();
  if (Names.has_value())
    m_names = std::move(Names.value());
  else
    log("bad_row",
        fmt::format("table={} part={} message=\"{}\"", Row.Address.Table,
                    Row.Address.Partition, Names.error().Message));
}

// Names that are stored come first: there may be runs on these workers.
std::set<std::string>
UsedWorkers::namesThatFit(const std::set<std::string> &Needed) {
  std::set<std::string> Out;
  size_t Bytes = 0;
  for (bool IsStoredPass : {true, false})
    for (const std::string &Name : Needed) {
      bool IsOther = (m_names.count(Name) > 0) != IsStoredPass;
      if (IsOther || Bytes + Name.size() + NameOverhead > MaxRowBytes)
        continue;
      Bytes += Name.size() + NameOverhead;
      Out.insert(Name);
    }
  if (Out.size() < Needed.size() && !m_isFullLogged) {
    m_isFullLogged = true;
    log("used_workers_full",
        fmt::format("shard={} workers={} left_out={}", m_options.Shard,
                    Out.size(), Needed.size() - Out.size()));
  }
  return Out;
}

void UsedWorkers::update(const std::set<std::string> &Needed) {
  TimePoint Now = m_time.now();
  if (m_isWriting || Now < m_notBefore)
    return;
  if (m_mustRead) {
    readAgain();
    return;
  }
  std::set<std::string> Wanted = namesThatFit(Needed);
  bool IsAnyMissing =
      std::any_of(Wanted.begin(), Wanted.end(),
                  [this](const std::string &Name) { return !isStored(Name); });
  bool IsRemovalDue = Now >= m_lastWrite + RemovalDelay && Wanted != m_names;
  if (!IsAnyMissing && !IsRemovalDue)
    return;
  RowAddress Address = usedWorkersAddress(m_options.Shard);
  RowCommit Commit;
  Commit.Conditions = {{.Address = shardOwnerAddress(m_options.Shard),
                        .Version = m_options.Epoch},
                       {.Address = Address, .Version = m_version}};
  Commit.Changes.push_back(
      {.Address = Address, .Value = encodeUsedWorkers(Wanted)});
  // Until the outcome is known the row may have the old names or the new ones.
  std::set_symmetric_difference(m_names.begin(), m_names.end(), Wanted.begin(),
                                Wanted.end(),
                                std::inserter(m_uncertain, m_uncertain.end()));
  m_names.insert(Wanted.begin(), Wanted.end());
  m_isWriting = true;
  m_lastWrite = Now;
  if (m_options.OnChanged)
    m_options.OnChanged();
  m_store.commit(std::move(Commit), [Weak = weak_from_this(),
                                     Wanted](const Result<uint64_t> &Reply) {
    if (auto Self = Weak.lock())
      Self->onCommitted(Wanted, Reply);
  });
}

void UsedWorkers::onCommitted(const std::set<std::string> &Sent,
                              const Result<uint64_t> &Reply) {
  if (Reply.has_value()) {
    m_names = Sent;
    m_uncertain.clear();
    m_version = Reply.value();
    m_isWriting = false;
    if (m_options.OnChanged)
      m_options.OnChanged();
    return;
  }
  ResultCode Code = Reply.error().Code;
  m_isWriting = false;
  m_notBefore = m_time.now() + RetryDelay;
  m_isOwnerInDoubt = Code == ResultCode::Conflict;
  m_mustRead = m_isOwnerInDoubt || Code == ResultCode::OutcomeUnknown;
  log("used_workers_not_stored",
      fmt::format("shard={} workers={} result={} message=\"{}\"",
                  m_options.Shard, Sent.size(), resultCodeName(Code),
                  Reply.error().Message));
  if (m_mustRead)
    readAgain();
}

// A conflict has one of two causes: another host has taken over the shard, or
// an earlier commit of this owner took effect although its answer was lost. A
// commit with an unknown outcome may still take effect while the row has the
// version that it replaces.
void UsedWorkers::readAgain() {
  RowAddress Address = usedWorkersAddress(m_options.Shard);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key,
                 .To = Address.Key + '\x01'};
  m_isWriting = true;
  m_store.read(Range, [Weak = weak_from_this()](const Result<RowPage> &Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_isWriting = false;
    if (Reply.has_value())
      Self->onReadAgain(Reply.value());
    else
      Self->m_notBefore = Self->m_time.now() + RetryDelay;
  });
}

void UsedWorkers::onReadAgain(const RowPage &Page) {
  m_mustRead = false;
  StoredRow Row{.Address = usedWorkersAddress(m_options.Shard)};
  if (!Page.Rows.empty())
    Row = Page.Rows.front();
  if (Row.Version != m_version) {
    restore(Row);
    m_uncertain.clear();
    if (m_options.OnChanged)
      m_options.OnChanged();
  } else if (m_isOwnerInDoubt && m_options.OnOwnerChanged) {
    m_options.OnOwnerChanged();
  }
}

BASILCHUTE_NAMESPACE_END
