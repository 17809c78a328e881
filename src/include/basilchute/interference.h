/// \file
/// Learns how much tasks that fill a worker disturb the tasks that serve on it.
#pragma once

#include "basilchute/clock.h"

#include <memory>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Kind of task, a small number that the caller gives to each image.
using TaskKind = int;

/// Serving tasks that share their users' load, as those of one step do; a small
/// number that the caller gives to each.
using LoadGroup = int;

/// Part of a worker, 0 to 1, that the fill tasks of each kind use.
using FillShares = std::vector<std::pair<TaskKind, double>>;

/// Settings of an InterferenceModel. Variances are those of the fit's usual
/// form; headroom has no unit.
struct InterferenceOptions {
  /// Fall of headroom for a fill task on a whole worker that is assumed before
  /// anything was measured, and the variance of that guess.
  double PriorSlope = 1.5;
  double SlopeVariance = 9.0;
  /// Variance that a slope gains with each observation, so that old ones fade.
  double SlopeDrift = 0.0005;
  /// Headroom of a group that was never measured, and its variance.
  double PriorHeadroom = 2.0;
  double HeadroomVariance = 1.0;
  /// Variance that the rate at which a group's headroom changes gains in a
  /// second.
  double RateDrift = 0.15;
  /// Variance of one measurement beside its rounding.
  double Noise = 0.05;
  /// A tail this far above its target says only that it is far above.
  double LeastHeadroom = 0.3;
};

/// What is known of one pair of kinds.
struct PairSlope {
  TaskKind Serving = 0;
  TaskKind Fill = 0;
  double Slope = 0;
  double Variance = 0;
};

/// One measurement of a serving task.
struct ServingSample {
  TaskKind Kind = 0;
  LoadGroup Group = 0;
  /// Tail latency, and the bound on it; both above zero.
  milliseconds Tail{0};
  milliseconds Target{0};
};

/// A linear model of headroom, the target of a serving task over its tail
/// latency: what its group has at that time without fill tasks, less a slope
/// for each pair of kinds times the part of the worker that the fill task uses.
/// A queue's tail grows as one over its idle share, which is why headroom and
/// not the tail is linear in what takes that share away.
///
/// Slopes are fitted over all groups by a Kalman filter; the headroom of each
/// group is followed by level and rate. Models that see different workers share
/// what they learned of the slopes; each weighs in by its certainty.
///
/// Not safe for several threads.
class InterferenceModel {
public:
  explicit InterferenceModel(InterferenceOptions Options = {});
  ~InterferenceModel();
  InterferenceModel(const InterferenceModel &) = delete;
  InterferenceModel &operator=(const InterferenceModel &) = delete;

  /// Takes one measurement, made at \p Now while fill tasks used \p Shares of
  /// the worker.
  void observe(const ServingSample &Sample, TimePoint Now,
               const FillShares &Shares);
  /// Returns the fall of \p Serving's headroom if \p Fill used the whole
  /// worker; never negative.
  double slope(TaskKind Serving, TaskKind Fill) const;
  /// Returns the least headroom that \p Group is expected to have without fill
  /// tasks from \p Now for \p Ahead.
  double headroom(LoadGroup Group, TimePoint Now, milliseconds Ahead) const;
  /// Returns the headroom that is expected at \p Now beside \p Shares.
  double expected(TaskKind Kind, LoadGroup Group, TimePoint Now,
                  const FillShares &Shares) const;

  /// Takes what the model \p Source has measured, in place of what was taken
  /// from it before. It counts beside what is measured here.
  void learnFrom(int Source, const std::vector<PairSlope> &Known);
  /// Returns all pairs that were measured here, for a successor or for other
  /// models.
  std::vector<PairSlope> pairs() const;
  /// Takes over what a predecessor knew of a pair; ignored for one that was
  /// measured here, or if its variance is not above zero.
  void restore(const PairSlope &Known);
  /// Forgets the load of a group whose tasks have ended.
  void forget(LoadGroup Group);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
