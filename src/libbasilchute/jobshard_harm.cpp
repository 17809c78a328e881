#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// What progress is worth while a job can end in time, once it is late, and
/// once it is worth nothing.
constexpr std::array<double, 3> LatenessWeights = {1.0, 0.3, 0.05};

/// Paces of one worker are not planned anew sooner.
constexpr milliseconds PacePause{200};
/// Time until a change of pace shows in the measurements and can be mended.
constexpr milliseconds PaceAhead{400};
/// Part of a worker that all its tasks may use together.
constexpr double MostLoad = 1.1;
/// Time between two rows of what was learned, for the successor alone and for
/// other owners too.
constexpr milliseconds KeepModelEvery{3000};
constexpr milliseconds ShareModelEvery{1500};
/// Time between two readings of what other owners learned.
constexpr milliseconds FollowModelsEvery{1000};

} // namespace

void JobShard::Impl::learn(WorkerSlot &At) {
  FillShares Shares = At.fillShares();
  for (const auto &[Key, Run] : At.Held) {
    if (Run.TailTarget.count() == 0 || Run.Percent < 100 ||
        Run.Phase == RunPhase::Stopping)
      continue;
    m_harm.observe({.Kind = Run.Kind,
                    .Group = Run.Group,
                    .Tail = milliseconds(Run.Usage),
                    .Target = Run.TailTarget},
                   m_time.now(), Shares);
    m_learned |= !Shares.empty();
  }
}

double JobShard::Impl::weightOf(const std::string &Job) {
  const JobEntry *Of = find(Job);
  if (!Of || isFinal(Of->State))
    return LatenessWeights.back();
  return LatenessWeights[static_cast<size_t>(latenessOf(*Of))];
}

void JobShard::Impl::pace(WorkerSlot &At) {
  TimePoint Now = m_time.now();
  if (Now < At.PaceChanged + PacePause)
    return;
  std::vector<FillLoad> Fills;
  std::vector<RunKey> Keys;
  auto Capacity = static_cast<double>(At.Entry.Capacity.Millicores);
  for (const auto &[Key, Run] : At.Held) {
    if (Run.FillMillicores == 0 || Run.Phase != RunPhase::Running)
      continue;
    Fills.push_back(
        {.Kind = Run.Kind,
         .Pace = Run.Pace,
         .FullShare = static_cast<double>(Run.FillMillicores) / Capacity,
         .Weight = weightOf(Key.first.Job)});
    Keys.push_back(Key);
  }
  if (Fills.empty())
    return;
  std::vector<int> Paces =
      planPaces(At.serving(m_harm, Now, PaceAhead), Fills, m_harm,
                {.Room = MostLoad - At.reservedLoad()});
  for (size_t Each = 0; Each < Keys.size(); ++Each) {
    if (Paces[Each] == Fills[Each].Pace)
      continue;
    At.PaceChanged = Now;
    sendPace(At, Keys[Each], Paces[Each]);
  }
}

void JobShard::Impl::sendPace(WorkerSlot &At, const RunKey &Key, int Percent) {
  if (!mayAct())
    return;
  At.Held.at(Key).Pace = Percent;
  At.Held.at(Key).PacedAt = m_time.now();
  ++m_counts.Paces;
  m_workers.pace(
      At.Entry,
      {.Task = Key.first,
       .Run = Key.second,
       .Percent = Percent,
       .Epoch = m_options.Epoch},
      [Weak = weak_from_this(), Id = At.Entry.Id, Key](const Status &Answer) {
        auto Self = Weak.lock();
        if (!Self || Answer.has_value())
          return;
        // What the run works at is unknown; it is told anew.
        auto Slot = Self->m_slots.find(Id);
        if (Slot == Self->m_slots.end())
          return;
        auto Found = Slot->second.Held.find(Key);
        if (Found != Slot->second.Held.end())
          Found->second.Pace = 100;
      });
}

// The successor of this owner would else slow harmless fill tasks and let
// harmful ones go until it has measured them by itself.
void JobShard::Impl::readModel() {
  RowPlace Place = interferencePlace(m_options.Shard);
  RowRange Range{.Table = Place.Table, .Part = Place.Part, .From = Place.Key};
  m_store.read(Range, [Weak = weak_from_this()](Result<RowPage> Answer) {
    auto Self = Weak.lock();
    if (!Self || Self->m_lost || !Answer.has_value())
      return;
    Self->m_modelsFrom = std::max<uint64_t>(Answer.value().Version, 1);
    if (Answer.value().Rows.empty())
      return;
    std::vector<PairSlope> Pairs = Self->pairsIn(Answer.value().Rows.front());
    for (const PairSlope &Each : Pairs)
      Self->m_harm.restore(Each);
    Self->log("model_read", fmt::format("shard={} pairs={}",
                                        Self->m_options.Shard, Pairs.size()));
  });
}

std::vector<PairSlope> JobShard::Impl::pairsIn(const PlacedRow &Row) {
  std::vector<PairSlope> Out;
  Result<std::vector<ImagePair>> Pairs = decodeInterference(Row.Value);
  if (!Pairs.has_value()) {
    log("bad_row",
        fmt::format("table={} key={} message=\"{}\"", Row.Place.Table,
                    Row.Place.Key, Pairs.error().Message));
    return Out;
  }
  for (const ImagePair &Each : Pairs.value())
    Out.push_back({.Serving = kindOf(Each.Serving),
                   .Fill = kindOf(Each.Fill),
                   .Slope = Each.Slope,
                   .Variance = Each.Variance});
  return Out;
}

// An owner sees the harm on its own workers only. Each alone would need as long
// to learn it as one owner of the whole fleet needs for all.
void JobShard::Impl::followModels() {
  TimePoint Now = m_time.now();
  bool Alone = !m_options.Shards || m_options.Shards() < 2;
  if (Alone || m_readingModels || Now < m_nextModels || !mayAct())
    return;
  m_nextModels = Now + FollowModelsEvery;
  if (m_modelsFrom == 0) {
    readModel();
    return;
  }
  m_readingModels = true;
  m_store.feed(InterferenceTable, m_modelsFrom, milliseconds(0),
               [Weak = weak_from_this()](const Result<RowPage> &Answer) {
                 if (auto Self = Weak.lock())
                   Self->onModels(Answer);
               });
}

void JobShard::Impl::onModels(const Result<RowPage> &Answer) {
  m_readingModels = false;
  if (!Answer.has_value()) {
    if (Answer.error().Code == ResultCode::NotFound)
      m_modelsFrom = 0;
    return;
  }
  m_modelsFrom = std::max(m_modelsFrom, Answer.value().Version);
  for (const PlacedRow &Row : Answer.value().Rows) {
    int Shard = shardOfPart(Row.Place.Part);
    if (Shard >= 0 && Shard != m_options.Shard && !Row.Removed)
      m_harm.learnFrom(Shard, pairsIn(Row));
  }
}

// Losing one of these rows costs little, so that a failed write is not tried
// again before the next is due.
void JobShard::Impl::keepModel() {
  TimePoint Now = m_time.now();
  if (!m_learned || Now < m_nextModel || !mayAct())
    return;
  bool Alone = !m_options.Shards || m_options.Shards() < 2;
  m_nextModel = Now + (Alone ? KeepModelEvery : ShareModelEvery);
  m_learned = false;
  std::vector<std::string> Images(m_kinds.size());
  for (const auto &[Image, Kind] : m_kinds)
    Images[static_cast<size_t>(Kind)] = Image;
  std::vector<ImagePair> Pairs;
  for (const PairSlope &Each : m_harm.pairs())
    Pairs.push_back({.Serving = Images[static_cast<size_t>(Each.Serving)],
                     .Fill = Images[static_cast<size_t>(Each.Fill)],
                     .Slope = Each.Slope,
                     .Variance = Each.Variance});
  RowCommit Commit;
  Commit.Conditions.push_back(
      {.Place = shardOwnerPlace(m_options.Shard), .Version = m_options.Epoch});
  Commit.Changes.push_back({.Place = interferencePlace(m_options.Shard),
                            .Value = encodeInterference(Pairs)});
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
