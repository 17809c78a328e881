#include "libbasilchute/modelexchange.h"

#include "libbasilchute/jobrows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time between two writes of the model's row if only a successor reads it, and
/// if the owners of other shards read it as well.
constexpr milliseconds SaveInterval{3000};
constexpr milliseconds SharedSaveInterval{1500};
/// Time that is added to these if only run times have changed, which a
/// successor learns again soon.
constexpr milliseconds RunTimesSaveDelay{3000};
/// Time between two reads of the rows of other owners.
constexpr milliseconds PeerReadInterval{1000};

} // namespace

TaskKind ModelExchange::kindOf(const std::string &Image) {
  auto Next = static_cast<TaskKind>(m_kinds.size());
  return m_kinds.try_emplace(Image, Next).first->second;
}

// Restores the previous owner's slopes. Without them this owner would slow
// harmless fill tasks and not slow harmful ones until it has measured them.
void ModelExchange::restore() {
  RowAddress Address = interferenceAddress(m_options.Shard);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_options.HasLostOwnership() || !Answer.has_value())
      return;
    Self->m_peersVersion = std::max<uint64_t>(Answer.value().Version, 1);
    if (Answer.value().Rows.empty())
      return;
    const StoredRow &Row = Answer.value().Rows.front();
    Self->m_times.restore(decodeRunTimes(Row.Value));
    std::vector<PairSlope> Pairs = Self->decodePairs(Row);
    for (const PairSlope &Pair : Pairs)
      Self->m_model.restore(Pair);
    Self->log("model_read", fmt::format("shard={} pairs={}",
                                        Self->m_options.Shard, Pairs.size()));
  });
}

std::vector<PairSlope> ModelExchange::decodePairs(const StoredRow &Row) {
  std::vector<PairSlope> Out;
  Result<std::vector<ImagePair>> Pairs = decodeInterference(Row.Value);
  if (!Pairs.has_value()) {
    log("bad_row",
        fmt::format("table={} key={} message=\"{}\"", Row.Address.Table,
                    Row.Address.Key, Pairs.error().Message));
    return Out;
  }
  for (const ImagePair &Pair : Pairs.value())
    Out.push_back({.Serving = kindOf(Pair.Serving),
                   .Fill = kindOf(Pair.Fill),
                   .Slope = Pair.Slope,
                   .Variance = Pair.Variance});
  return Out;
}

// Reads the slopes that other owners have measured. An owner measures the
// interference on its own workers only; with a fraction of the workers it alone
// would take much longer to learn the slopes than an owner of the whole fleet.
void ModelExchange::readPeers() {
  TimePoint Now = m_time.now();
  if (isOnlyShard() || m_isReadingPeers || Now < m_nextPeerRead ||
      !m_options.CanSendOrders())
    return;
  m_nextPeerRead = Now + PeerReadInterval;
  if (m_peersVersion == 0) {
    restore();
    return;
  }
  m_isReadingPeers = true;
  m_store.readChanges(InterferenceTable, m_peersVersion, milliseconds(0),
                      [Weak = weak_from_this()](const Result<RowPage> &Answer) {
                        if (auto Self = Weak.lock())
                          Self->onPeerRows(Answer);
                      });
}

void ModelExchange::onPeerRows(const Result<RowPage> &Answer) {
  m_isReadingPeers = false;
  if (!Answer.has_value()) {
    if (Answer.error().Code == ResultCode::NotFound)
      m_peersVersion = 0;
    return;
  }
  m_peersVersion = std::max(m_peersVersion, Answer.value().Version);
  for (const StoredRow &Row : Answer.value().Rows) {
    int Shard = shardOfPartition(Row.Address.Partition);
    if (Shard >= 0 && Shard != m_options.Shard && !Row.IsRemoved)
      m_model.setPeerSlopes(Shard, decodePairs(Row));
  }
}

// Writes the model's row for the successor and for other owners. A missing row
// costs little, so that a failed write is not repeated before the next is due.
void ModelExchange::save() {
  TimePoint Now = m_time.now();
  bool HasRunTimes = m_options.StoresRunTimes && m_times.hasChanged() &&
                     Now >= m_nextSave + RunTimesSaveDelay;
  if (!(m_hasChanged || HasRunTimes) || Now < m_nextSave ||
      !m_options.CanSendOrders())
    return;
  m_nextSave = Now + (isOnlyShard() ? SaveInterval : SharedSaveInterval);
  m_hasChanged = false;
  std::vector<std::string> Images(m_kinds.size());
  for (const auto &[Image, Kind] : m_kinds)
    Images[static_cast<size_t>(Kind)] = Image;
  std::vector<ImagePair> Pairs;
  for (const PairSlope &Pair : m_model.pairs())
    Pairs.push_back({.Serving = Images[static_cast<size_t>(Pair.Serving)],
                     .Fill = Images[static_cast<size_t>(Pair.Fill)],
                     .Slope = Pair.Slope,
                     .Variance = Pair.Variance});
  RowCommit Commit;
  Commit.Conditions.push_back({.Address = shardOwnerAddress(m_options.Shard),
                               .Version = m_options.Epoch});
  std::vector<StoredRunTime> Times;
  if (m_options.StoresRunTimes)
    Times = m_times.stored();
  Commit.Changes.push_back({.Address = interferenceAddress(m_options.Shard),
                            .Value = encodeInterference(Pairs, Times)});
  m_store.commit(std::move(Commit), [Weak = weak_from_this()](
                                        const Result<uint64_t> &Answer) {
    auto Self = Weak.lock();
    if (!Self || Answer.has_value())
      return;
    Self->log("model_not_kept",
              fmt::format("shard={} result={}", Self->m_options.Shard,
                          resultCodeName(Answer.error().Code)));
  });
}

BASILCHUTE_NAMESPACE_END
