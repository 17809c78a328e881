/// \file
/// Choice of the worker for a fill task.
///
/// Addresses the load in which fill tasks start at once but end late: they get
/// only the processor time that other tasks leave, and workers with the least
/// reserved load are not those that leave the most.
#pragma once

#include "basilchute/pacing.h"

#include <algorithm>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A fill task, as far as its share of processor time depends on it.
struct FillTask {
  /// Millicores that it uses at full pace.
  double Millicores = 0;
  /// Weight in the division of processor time, see fillUrgency(); above zero.
  double Weight = 1;
};

/// Returns the weight of a fill task whose job is expected to end at
/// \p EndOverTarget times its target, from MinFillUrgency to 1. It grows until
/// the job ends at the target: a job that ends sooner loses nothing by some
/// delay, one that ends later loses value with every delay. A job without any
/// value has the weight ValuelessWeight.
double fillUrgency(double EndOverTarget);
constexpr double MinFillUrgency = 0.3;
/// A twentieth, so that these jobs still end while more urgent ones go on.
constexpr double ValuelessWeight = 0.05;

/// Processor time of a worker for fill tasks, in millicores.
class FillRoom {
public:
  FillRoom() = default;
  explicit FillRoom(double Left) : m_left(Left) {}

  /// Adds a fill task that is on the worker.
  void add(const FillTask &Task);
  /// Subtracts what a new task that reserves processors is expected to use.
  void take(double Millicores) { m_left -= Millicores; }
  /// Returns what fill tasks there ask for, with \p Task, over what is left to
  /// them. The tasks run at full pace up to 1. Tasks of jobs without value
  /// count by their weight: they are slowed for the others.
  double demandRatio(const FillTask &Task) const;
  /// The same by weights: the factor by which \p Task is slowed if it is above
  /// 1.
  double weightedRatio(const FillTask &Task) const;
  /// Returns the part of full pace, up to 1, that \p Task would get.
  double shareFor(const FillTask &Task) const {
    return std::min(1.0, 1 / weightedRatio(Task));
  }
  /// Returns the millicores that no fill task there asks for.
  double unused() const;

  /// Returns the millicores that fill tasks can use together, above zero.
  double left() const;

private:
  /// What the tasks can use together, and ask for.
  double m_left = 0;
  double m_asked = 0;
  double m_weighted = 0;
};

/// Settings of the placement of fill tasks.
struct FillPlacementOptions {
  /// Decide by \p FillPlace::Room instead of \p FillPlace::Load.
  bool IsMeasured = false;
  /// A fill task is not placed where the headroom would be lower, ...
  double MinHeadroom = 1.15;
  /// ... where the expected load is this part of the worker's processors, or
  /// more, ...
  double MaxLoad = 1.1;
  /// ... or, if measured, where fill tasks would ask for more than this times
  /// what is left. At this value a run takes half as much time again as with
  /// processors of its own, half of the delay that a target of twice the time
  /// leaves; the other half is for waits and for the step's longest task.
  double MaxDemandRatio = 1.5;
};

/// A worker as the place of a new fill task.
struct FillPlace {
  /// Part of the processors that all tasks are expected to use, without the new
  /// one.
  double Load = 0;
  /// Lowest headroom of the serving tasks, with the new task.
  double Headroom = 0;
  FillRoom Room;
};

/// Returns true if the worker has too little processor time for the task.
bool isFullFor(const FillTask &Task, const FillPlace &Place,
               const FillPlacementOptions &Options);

/// Returns true if \p Task may be placed there.
bool admitsFill(const FillTask &Task, const FillPlace &Place,
                const FillPlacementOptions &Options);

/// Returns the cost of the place in units of a worker's load.
double fillPlaceCost(const FillTask &Task, const FillPlace &Place,
                     const FillPlacementOptions &Options);

/// Returns the part of the worker, at most \p Free, that fill tasks of \p Kind
/// could add until the headroom of \p Serving falls to the minimum.
double fillShareWithin(double Free, const std::vector<ServingLoad> &Serving,
                       TaskKind Kind, const InterferenceModel &Model,
                       const FillPlacementOptions &Options);

BASILCHUTE_NAMESPACE_END
