#include "libbasilchute/jobshard_impl.h"

#include <algorithm>
#include <array>

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
    if (!Shares.empty())
      m_models->setChanged();
  }
}

void JobShard::Impl::observeFillRuns(WorkerSlot &Slot) {
  if (!m_options.MeasuredFill)
    return;
  for (auto &[Key, Run] : Slot.Runs)
    if (Run.FullPaceMillicores > 0)
      Run.FillWeight = fillWeightOf(Key.first.Job);
  Slot.observeFillRuns(m_fillPeaks, m_time.now());
}

double JobShard::Impl::fillWeightOf(const std::string &Job) {
  const JobEntry *Entry = find(Job);
  if (!Entry || isFinal(Entry->State))
    return LatenessWeights.back();
  if (m_options.MeasuredFill)
    return fillUrgency(endOverTarget(*Entry));
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
         .Weight = m_options.MeasuredFill ? Run.FillWeight
                                          : fillWeightOf(Key.first.Job)});
    Keys.push_back(Key);
  }
  if (Fills.empty())
    return;
  PacingOptions Options{.MaxTotalShare = MaxLoad - Slot.reservedLoad()};
  if (m_options.MeasuredFill) {
    Options.AvailableShare = Slot.fillRoom(Now).left() / Capacity;
    Options.MaxTotalShare =
        std::max(Options.MaxTotalShare, *Options.AvailableShare * MaxLoad);
  }
  std::vector<int> Paces =
      planPaces(Slot.servingLoads(m_interference, Now, PaceForecastTime), Fills,
                m_interference, Options);
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

BASILCHUTE_NAMESPACE_END
