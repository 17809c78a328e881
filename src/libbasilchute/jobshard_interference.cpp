#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Weight of the progress of a job that can end in time, that is late, and that
/// is too late to have any value.
constexpr std::array<double, 3> LatenessWeights = {1.0, 0.3, 0.05};

/// Minimum time between two changes of pace on one worker.
constexpr milliseconds MinPaceInterval{200};
/// Time until a change of pace shows in the measurements and can be corrected.
constexpr milliseconds PaceForecastTime{400};
/// Part of a worker that all its tasks may use together when paces are planned.
constexpr double MaxLoad = 1.1;
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

void JobShard::Impl::observeInterference(WorkerSlot &Slot) {
  FillShares Shares = Slot.measuredFillShares();
  for (const auto &[Key, Run] : Slot.Runs) {
    if (Run.TailTarget.count() == 0 || Run.Percent < 100 ||
        Run.Phase == RunPhase::Stopping)
      continue;
    m_interference.observe({.Kind = Run.Kind,
                            .Group = Run.Group,
                            .Tail = milliseconds(Run.Usage),
                            .Target = Run.TailTarget},
                           m_time.now(), Shares);
    m_hasUnsavedModel |= !Shares.empty();
  }
}

double JobShard::Impl::fillWeightOf(const std::string &Job) {
  const JobEntry *Entry = find(Job);
  if (!Entry || isFinal(Entry->State))
    return LatenessWeights.back();
  return LatenessWeights[static_cast<size_t>(latenessOf(*Entry))];
}

void JobShard::Impl::updatePaces(WorkerSlot &Slot) {
  TimePoint Now = m_time.now();
  if (Now < Slot.PaceChangedAt + MinPaceInterval)
    return;
  std::vector<FillLoad> Fills;
  std::vector<RunKey> Keys;
  double Capacity = Slot.millicores();
  for (const auto &[Key, Run] : Slot.Runs) {
    if (Run.FullPaceMillicores == 0 || Run.Phase != RunPhase::Running)
      continue;
    Fills.push_back(
        {.Kind = Run.Kind,
         .Pace = Run.Pace,
         .FullShare = static_cast<double>(Run.FullPaceMillicores) / Capacity,
         .Weight = fillWeightOf(Key.first.Job)});
    Keys.push_back(Key);
  }
  if (Fills.empty())
    return;
  std::vector<int> Paces = planPaces(
      Slot.servingLoads(m_interference, Now, PaceForecastTime), Fills,
      m_interference, {.MaxTotalShare = MaxLoad - Slot.reservedLoad()});
  for (size_t Fill = 0; Fill < Keys.size(); ++Fill) {
    if (Paces[Fill] == Fills[Fill].Pace)
      continue;
    Slot.PaceChangedAt = Now;
    sendPace(Slot, Keys[Fill], Paces[Fill]);
  }
}

void JobShard::Impl::sendPace(WorkerSlot &Slot, const RunKey &Key,
                              int Percent) {
  if (!canSendOrders())
    return;
  Slot.Runs.at(Key).Pace = Percent;
  Slot.Runs.at(Key).PacedAt = m_time.now();
  ++m_counts.PaceOrders;
  m_workers.pace(
      Slot.Entry,
      {.Task = Key.first,
       .Run = Key.second,
       .Incarnation = Slot.Incarnation,
       .Percent = Percent,
       .Epoch = m_options.Epoch},
      [Weak = weak_from_this(), Id = Slot.Entry.Id, Key](const Status &Answer) {
        auto Self = Weak.lock();
        if (!Self || Answer.has_value())
          return;
        // The run's pace is unknown now. Full pace is assumed, so that a lower
        // pace is ordered again.
        auto WorkerIt = Self->m_slots.find(Id);
        if (WorkerIt == Self->m_slots.end())
          return;
        auto RunIt = WorkerIt->second.Runs.find(Key);
        if (RunIt != WorkerIt->second.Runs.end())
          RunIt->second.Pace = 100;
      });
}

// Restores the previous owner's slopes. Without them this owner would slow
// harmless fill tasks and not slow harmful ones until it has measured them.
void JobShard::Impl::restoreModel() {
  RowAddress Address = interferenceAddress(m_options.Shard);
  RowRange Range{.Table = Address.Table,
                 .Partition = Address.Partition,
                 .From = Address.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_hasLostOwnership || !Answer.has_value())
      return;
    Self->m_peerModelsVersion = std::max<uint64_t>(Answer.value().Version, 1);
    if (Answer.value().Rows.empty())
      return;
    const StoredRow &Row = Answer.value().Rows.front();
    Self->m_plan.Times.restore(decodeRunTimes(Row.Value));
    std::vector<PairSlope> Pairs = Self->decodePairs(Row);
    for (const PairSlope &Pair : Pairs)
      Self->m_interference.restore(Pair);
    Self->log("model_read", fmt::format("shard={} pairs={}",
                                        Self->m_options.Shard, Pairs.size()));
  });
}

std::vector<PairSlope> JobShard::Impl::decodePairs(const StoredRow &Row) {
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
void JobShard::Impl::readPeerModels() {
  TimePoint Now = m_time.now();
  bool IsOnlyShard = !m_options.ShardCount || m_options.ShardCount() < 2;
  if (IsOnlyShard || m_isReadingPeerModels || Now < m_nextPeerModelRead ||
      !canSendOrders())
    return;
  m_nextPeerModelRead = Now + PeerReadInterval;
  if (m_peerModelsVersion == 0) {
    restoreModel();
    return;
  }
  m_isReadingPeerModels = true;
  m_store.readChanges(InterferenceTable, m_peerModelsVersion, milliseconds(0),
                      [Weak = weak_from_this()](const Result<RowPage> &Answer) {
                        if (auto Self = Weak.lock())
                          Self->onPeerModels(Answer);
                      });
}

void JobShard::Impl::onPeerModels(const Result<RowPage> &Answer) {
  m_isReadingPeerModels = false;
  if (!Answer.has_value()) {
    if (Answer.error().Code == ResultCode::NotFound)
      m_peerModelsVersion = 0;
    return;
  }
  m_peerModelsVersion = std::max(m_peerModelsVersion, Answer.value().Version);
  for (const StoredRow &Row : Answer.value().Rows) {
    int Shard = shardOfPartition(Row.Address.Partition);
    if (Shard >= 0 && Shard != m_options.Shard && !Row.IsRemoved)
      m_interference.setPeerSlopes(Shard, decodePairs(Row));
  }
}

// Writes the model's row for the successor and for other owners. A missing row
// costs little, so that a failed write is not repeated before the next is due.
void JobShard::Impl::saveModel() {
  TimePoint Now = m_time.now();
  bool HasRunTimes = m_plan.isOn() && m_plan.Times.hasChanged() &&
                     Now >= m_nextModelSave + RunTimesSaveDelay;
  if (!(m_hasUnsavedModel || HasRunTimes) || Now < m_nextModelSave ||
      !canSendOrders())
    return;
  bool IsOnlyShard = !m_options.ShardCount || m_options.ShardCount() < 2;
  m_nextModelSave = Now + (IsOnlyShard ? SaveInterval : SharedSaveInterval);
  m_hasUnsavedModel = false;
  std::vector<std::string> Images(m_kinds.size());
  for (const auto &[Image, Kind] : m_kinds)
    Images[static_cast<size_t>(Kind)] = Image;
  std::vector<ImagePair> Pairs;
  for (const PairSlope &Pair : m_interference.pairs())
    Pairs.push_back({.Serving = Images[static_cast<size_t>(Pair.Serving)],
                     .Fill = Images[static_cast<size_t>(Pair.Fill)],
                     .Slope = Pair.Slope,
                     .Variance = Pair.Variance});
  RowCommit Commit;
  Commit.Conditions.push_back({.Address = shardOwnerAddress(m_options.Shard),
                               .Version = m_options.Epoch});
  Commit.Changes.push_back(
      {.Address = interferenceAddress(m_options.Shard),
       .Value = encodeInterference(Pairs, m_plan.isOn()
                                              ? m_plan.Times.stored()
                                              : std::vector<StoredRunTime>())});
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
