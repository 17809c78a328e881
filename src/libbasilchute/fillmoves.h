/// \file
/// Choice of the fill runs that move to another worker.
///
/// Addresses the load in which a few fill runs of a step get little processor
/// time, since the serving or finite tasks on their worker use more than
/// before: a step ends with its last run.
#pragma once

#include "basilchute/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Work and progress of one fill run, from the reports of its worker. Work is
/// in millicores times seconds.
class FillRunMeter {
public:
  void onReport(int64_t UsedMillicores, int Percent, bool HasNewCheckpoint,
                TimePoint Now);
  /// Returns the millicores in use over about the last second.
  double usage() const { return m_usage; }
  /// Returns the time over which the run has been reported.
  milliseconds observedFor() const;
  /// Returns the work that is left, from the work so far and the progress that
  /// it has made. \p Estimate is the estimated work of the whole task, which
  /// counts until there has been enough progress.
  double remainingWork(double Estimate) const;
  /// Returns the millicores that are expected once the load of other tasks has
  /// changed: \p ByReservations, corrected by what the run has used so far. A
  /// run that has starved for long is not expected to recover.
  double laterUsage(double ByReservations) const;
  /// Returns the work that a restart would lose.
  double workSinceCheckpoint() const { return m_work - m_workAtCheckpoint; }

private:
  std::optional<TimePoint> m_firstReport;
  TimePoint m_lastReport{};
  int m_firstPercent = 0;
  int m_percent = 0;
  double m_usage = 0;
  double m_work = 0;
  double m_workAtCheckpoint = 0;
};

/// Settings of the choice.
struct FillMoveOptions {
  /// Time of a restart from a checkpoint: up to 250 ms on the worker, and the
  /// way of the stop order, the completion and the start order.
  milliseconds RestartTime{400};
  /// A run is moved only if it ends elsewhere by this much earlier, ...
  milliseconds MinGain{500};
  /// ... and would take this many times as long here. Usage is reported over
  /// half a second, and the load of serving tasks swings by half: smaller
  /// differences may be gone before the run is restarted.
  double MinGainFactor = 1.5;
  /// After this time the run is expected to get FillMoveRun::LaterUsage: a
  /// quarter of the period in which serving load swings.
  milliseconds SwingTime{2500};
  /// A run is not moved before it was observed for this long: two periods that
  /// a report covers.
  milliseconds MinObserved{1000};
  /// A task that has been moved this often stays: it loses work and time with
  /// each move.
  int MaxMoves = 2;
  /// Only runs are moved that end at this part of the time to the end of their
  /// step, or later. Others do not bring the end of the step forward.
  double MinPartOfStep = 0.8;
};

/// Bounds the moves of a shard.
class FillMoveBudget {
public:
  /// Moves per second: less than a tenth of the fill tasks that a shard of half
  /// of the measured fleet completes.
  static constexpr double MovesPerSecond = 20;

  /// Returns the number of moves that are allowed at \p Now, at most those of
  /// one second.
  int available(TimePoint Now);
  /// Counts a move.
  void spend() { m_available -= 1; }

private:
  double m_available = 0;
  TimePoint m_updatedAt{};
};

/// A fill run on its worker.
struct FillMoveRun {
  /// The same for all runs of one step of one job.
  int Step = 0;
  double Millicores = 0;
  double Weight = 1;
  /// Millicores in use now, and those that are expected after SwingTime.
  double Usage = 0;
  double LaterUsage = 0;
  /// In millicores times seconds.
  double RemainingWork = 0;
  double WorkSinceCheckpoint = 0;
  milliseconds ObservedFor{0};
  int Moves = 0;
  /// False for runs that cannot be moved but belong to the step.
  bool CanMove = true;
};

/// Returns the seconds until the run is expected to end on its worker.
double secondsHere(const FillMoveRun &Run, const FillMoveOptions &Options = {});

/// Returns the seconds until the run is expected to end if it is restarted
/// where it gets \p Share of its full pace.
double secondsElsewhere(const FillMoveRun &Run, double Share,
                        const FillMoveOptions &Options = {});

/// Returns true if the run ends there clearly earlier.
bool isWorthMoving(const FillMoveRun &Run, double Share,
                   const FillMoveOptions &Options = {});

/// Returns the indexes of the runs that a place with enough processor time
/// would help, in the order in which places are to be sought: first those that
/// end last in their step, and of these the ones with the most weighted gain.
std::vector<size_t> runsToMove(const std::vector<FillMoveRun> &Runs,
                               const FillMoveOptions &Options = {});

BASILCHUTE_NAMESPACE_END
