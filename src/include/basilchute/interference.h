/// \file
/// Estimates how much fill tasks interfere with the serving tasks on the same
/// worker.
#pragma once

#include "basilchute/clock.h"

#include <memory>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Kind of task: a small number that the user of this header assigns to each
/// image.
using TaskKind = int;

/// Serving tasks that share the load of the same users, as those of one step
/// do: a small number that the user of this header assigns to each group.
using LoadGroup = int;

/// Part of a worker, 0 to 1, that the fill tasks of each kind use.
using FillShares = std::vector<std::pair<TaskKind, double>>;

/// Settings of an InterferenceModel. Variances are those of a Kalman filter;
/// headroom is a ratio without a unit.
struct InterferenceOptions {
  /// Prior mean and variance of a slope: the fall of headroom for a fill task
  /// that uses a whole worker.
  double PriorSlope = 1.5;
  double PriorSlopeVariance = 9.0;
  /// Variance that is added to a slope with each observation, so that old
  /// observations lose weight.
  double SlopeDrift = 0.0005;
  /// Prior mean and variance of the headroom of a group.
  double PriorHeadroom = 2.0;
  double PriorHeadroomVariance = 1.0;
  /// Variance per second that is added to the rate at which a group's headroom
  /// changes.
  double RateDrift = 0.15;
  /// Variance of one measurement, without its rounding error.
  double NoiseVariance = 0.05;
  /// Measurements of headroom are cut off below this: a tail so far above its
  /// target carries no further information.
  double MinHeadroom = 0.3;
};

/// Estimated slope of one pair of kinds.
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
  /// Tail latency and its target; both above zero.
  milliseconds Tail{0};
  milliseconds Target{0};
};

/// A linear model of headroom, which is the target of a serving task over its
/// tail latency. The headroom of a task is that of its group without fill tasks
/// at that time, minus, for each fill task, the slope of the pair of kinds
/// times the part of the worker that the fill task uses. The tail of a queue
/// grows with the inverse of its idle share, so that headroom, but not the
/// tail, is linear in the share that the fill tasks take.
///
/// Slopes are fitted over all groups by a Kalman filter; the headroom of each
/// group is tracked by its level and rate of change. Models that observe
/// different workers exchange their estimates of the slopes, which are combined
/// with inverse-variance weights.
///
/// Not thread-safe.
class InterferenceModel {
public:
  explicit InterferenceModel(InterferenceOptions Options = {});
  ~InterferenceModel();
  InterferenceModel(const InterferenceModel &) = delete;
  InterferenceModel &operator=(const InterferenceModel &) = delete;

  /// Adds one measurement, made at \p Now while fill tasks used \p Shares of
  /// the worker.
  void observe(const ServingSample &Sample, TimePoint Now,
               const FillShares &Shares);
  /// Returns the fall of the headroom of a task of kind \p Serving if fill
  /// tasks of kind \p Fill used the whole worker; never negative.
  double slope(TaskKind Serving, TaskKind Fill) const;
  /// Returns the lowest headroom without fill tasks that is forecast for
  /// \p Group between \p Now and \p Now + \p Ahead.
  double headroom(LoadGroup Group, TimePoint Now, milliseconds Ahead) const;
  /// Returns the headroom that is expected at \p Now while fill tasks use
  /// \p Shares of the worker.
  double expectedHeadroom(TaskKind Kind, LoadGroup Group, TimePoint Now,
                          const FillShares &Shares) const;

  /// Adds the slopes \p Pairs that the model of \p Source has measured, and
  /// replaces those that were added from \p Source before. They are combined
  /// with the measurements of this model.
  void setPeerSlopes(int Source, const std::vector<PairSlope> &Pairs);
  /// Returns all pairs that this model has measured or restored, for a
  /// successor or for other models.
  std::vector<PairSlope> pairs() const;
  /// Takes over a predecessor's estimate of a pair. Ignored if this model
  /// already has an estimate of the pair, or if the variance is not above zero.
  void restore(const PairSlope &Pair);
  /// Removes the state of a group whose tasks have ended.
  void forget(LoadGroup Group);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
