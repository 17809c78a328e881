#include "libbasilchute/fillmoves.h"

#include "libbasilchute/fillplacement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int FullPercent = 100;
/// Progress from which a run's work is extrapolated. Progress is reported in
/// whole percent.
constexpr int MinPercentGained = 5;
/// Time constant of the mean of the usage that workers report.
constexpr std::chrono::duration<double> UsageTime{1.0};
/// The estimate by reservations counts like measurements over this time.
constexpr std::chrono::duration<double> ReservationTime{2.5};
/// Least millicores that a run is assumed to use, so that times are finite.
constexpr double MinUsage = 10;

double seconds(nanoseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void FillRunMeter::onReport(int64_t UsedMillicores, int Percent,
                            bool HasNewCheckpoint, TimePoint Now) {
  auto Used = static_cast<double>(UsedMillicores);
  m_percent = Percent;
  if (!m_firstReport) {
    m_firstReport = Now;
    m_firstPercent = Percent;
    m_usage = Used;
  } else {
    double Elapsed = seconds(Now - m_lastReport);
    m_work += Used * Elapsed;
    m_usage += (Used - m_usage) * (1 - std::exp(-Elapsed / UsageTime.count()));
  }
  m_lastReport = Now;
  if (HasNewCheckpoint)
    m_workAtCheckpoint = m_work;
}

milliseconds FillRunMeter::observedFor() const {
  if (!m_firstReport)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(m_lastReport -
                                                  *m_firstReport);
}

double FillRunMeter::remainingWork(double Estimate) const {
  int Left = std::max(FullPercent - m_percent, 0);
  int Gained = m_percent - m_firstPercent;
  if (Gained < MinPercentGained)
    return Estimate * Left / FullPercent;
  return m_work * Left / Gained;
}

double FillRunMeter::laterUsage(double ByReservations) const {
  double Observed = seconds(observedFor());
  return (ByReservations * ReservationTime.count() + m_work) /
         (ReservationTime.count() + Observed);
}

int FillMoveBudget::available(TimePoint Now) {
  m_available =
      std::min(MovesPerSecond,
               m_available + seconds(Now - m_updatedAt) * MovesPerSecond);
  m_updatedAt = Now;
  return static_cast<int>(m_available);
}

double secondsHere(const FillMoveRun &Run, const FillMoveOptions &Options) {
  double Usage = std::max(Run.Usage, MinUsage);
  double Swing = seconds(Options.SwingTime);
  if (Run.RemainingWork <= Usage * Swing)
    return Run.RemainingWork / Usage;
  return Swing +
         (Run.RemainingWork - Usage * Swing) / std::max(Usage, Run.LaterUsage);
}

double secondsElsewhere(const FillMoveRun &Run, double Share,
                        const FillMoveOptions &Options) {
  return seconds(Options.RestartTime) +
         (Run.RemainingWork + Run.WorkSinceCheckpoint) /
             std::max(Run.Millicores * Share, MinUsage);
}

bool isWorthMoving(const FillMoveRun &Run, double Share,
                   const FillMoveOptions &Options) {
  double Here = secondsHere(Run, Options);
  double Elsewhere = secondsElsewhere(Run, Share, Options);
  return Here >= Elsewhere + seconds(Options.MinGain) &&
         Here >= Elsewhere * Options.MinGainFactor;
}

std::vector<size_t> runsToMove(const std::vector<FillMoveRun> &Runs,
                               const FillMoveOptions &Options) {
  std::map<int, double> StepEnds;
  for (const FillMoveRun &Run : Runs) {
    double &End = StepEnds[Run.Step];
    End = std::max(End, secondsHere(Run, Options));
  }
  // Sort key: the run does not end last in its step, negative weighted gain.
  std::vector<std::tuple<bool, double, size_t>> Ranked;
  for (size_t Index = 0; Index < Runs.size(); ++Index) {
    const FillMoveRun &Run = Runs[Index];
    double Here = secondsHere(Run, Options);
    double StepEnd = StepEnds.at(Run.Step);
    bool MayMove = Run.CanMove && Run.Moves < Options.MaxMoves &&
                   Run.ObservedFor >= Options.MinObserved &&
                   Run.Weight > ValuelessWeight &&
                   Here >= StepEnd * Options.MinPartOfStep &&
                   isWorthMoving(Run, 1, Options);
    if (!MayMove)
      continue;
    double Gain = Here - secondsElsewhere(Run, 1, Options);
    Ranked.emplace_back(Here < StepEnd, -Gain * Run.Weight, Index);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<size_t> Out;
  for (const auto &[IsNotLast, Gain, Index] : Ranked)
    Out.push_back(Index);
  return Out;
}

BASILCHUTE_NAMESPACE_END
