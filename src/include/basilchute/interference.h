/// \file
/// Learns how much tasks that fill a worker disturb the tasks that serve on it.
#pragma once

#include "basilchute/namespace.h"

#include <memory>
#include <utility>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Kind of task, a small number that the caller gives to each image.
using TaskKind = int;

/// Part of a worker, 0 to 1, that the fill tasks of each kind use.
using FillShares = std::vector<std::pair<TaskKind, double>>;

/// Settings of an InterferenceModel.
struct InterferenceOptions {
  /// Rise of tail over target for a fill task on a whole worker, assumed before
  /// anything was measured.
  double PriorSlope = 1.5;
  /// Weight of the past at each observation; below 1 so that old ones fade.
  double Forgetting = 0.9985;
  /// Observations above this count as this: a queue that runs over says little
  /// about slopes.
  double HighestRatio = 3.0;
};

/// A linear model for each kind of serving task: its tail latency over its
/// target, as a base plus a slope for each kind of fill task times the share of
/// the worker that it uses. Fitted by recursive least squares.
///
/// Not safe for several threads.
class InterferenceModel {
public:
  explicit InterferenceModel(InterferenceOptions Options = {});
  ~InterferenceModel();
  InterferenceModel(const InterferenceModel &) = delete;
  InterferenceModel &operator=(const InterferenceModel &) = delete;

  /// Takes one measurement: \p Ratio is tail over target of a task of kind
  /// \p Serving while fill tasks used \p Shares of its worker.
  void observe(TaskKind Serving, double Ratio, const FillShares &Shares);
  /// Returns the rise of the ratio of \p Serving if \p Fill used the whole
  /// worker; never negative.
  double slope(TaskKind Serving, TaskKind Fill) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
