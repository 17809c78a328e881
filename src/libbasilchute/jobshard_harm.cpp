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
/// Time between two rows of what was learned.
constexpr milliseconds KeepModelEvery{3000};

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
    if (!Self || Self->m_lost || !Answer.has_value() ||
        Answer.value().Rows.empty())
      return;
    const PlacedRow &Row = Answer.value().Rows.front();
    Result<std::vector<ImagePair>> Pairs = decodeInterference(Row.Value);
    if (!Pairs.has_value()) {
      Self->log("bad_row",
                fmt::format("table={} key={} message=\"{}\"", Row.Place.Table,
                            Row.Place.Key, Pairs.error().Message));
      return;
    }
    for (const ImagePair &Each : Pairs.value())
      Self->m_harm.restore({.Serving = Self->kindOf(Each.Serving),
                            .Fill = Self->kindOf(Each.Fill),
                            .Slope = Each.Slope,
                            .Variance = Each.Variance});
    Self->log("model_read",
              fmt::format("shard={} pairs={}", Self->m_options.Shard,
                          Pairs.value().size()));
  });
}

// Losing one of these rows costs little, so that a failed write is not tried
// again before the next is due.
void JobShard::Impl::keepModel() {
  TimePoint Now = m_time.now();
  if (!m_learned || Now < m_nextModel || !mayAct())
    return;
  m_nextModel = Now + KeepModelEvery;
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
