/// \file
/// Rates at which a shard finishes work, and at which long-running tasks
/// arrive. Addresses backlogs whose duration the admission of jobs must know.
#pragma once

#include "basilchute/clock.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Moving means over about 10 s, of arrivals over about 3 s.
///
/// Not thread-safe. Work is in millicores times seconds by the submitters'
/// estimates, as that of waiting tasks, so that errors of the estimates have no
/// effect on their ratio.
class WorkRates {
public:
  /// Records that a task of a short or a fill job has ended.
  void addFinished(double Work, bool IsFill) {
    (IsFill ? m_fill : m_short).Work += Work;
  }
  /// Records that a long-running job has arrived.
  void addLongRunning(double Millicores) { m_longRunning.Work += Millicores; }
  /// Must be called several times a second, with whether short and fill tasks
  /// wait or run more slowly than they could.
  void update(TimePoint Now, bool DoShortTasksWait, bool HasFillWork);

  /// Returns the work of short tasks finished per second while some waited;
  /// zero unless they have waited for the last 3 s. Before, the work that
  /// arrives limits the rate, or the first tasks have not ended.
  double finishedPerSecond() const;
  /// The same for fill tasks, while there was any.
  double finishedFillPerSecond() const;
  /// Returns the millicores of long-running tasks that arrive per second.
  double longRunningArrivals() const { return m_longRunning.mean(); }

private:
  struct Rate {
    /// Sums in which older work and time count less.
    double Work = 0;
    double Seconds = 0;
    /// Time for which the rate is known without a break.
    double SecondsKnown = 0;

    void advance(double Elapsed, double Decay, bool IsKnown);
    double mean() const;
  };

  TimePoint m_updatedAt{};
  bool m_didShortTasksWait = false;
  bool m_hadFillWork = false;
  Rate m_short;
  Rate m_fill;
  Rate m_longRunning;
};

BASILCHUTE_NAMESPACE_END
