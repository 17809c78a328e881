/// \file
/// Plans the pace of each fill task on a worker so that the serving tasks on
/// the same worker keep their tail-latency targets.
#pragma once

#include "basilchute/interference.h"

#include <optional>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of planPaces().
struct PacingOptions {
  /// Headroom that is left to serving tasks. At 1 their tail equals the target.
  double MinHeadroom = 1.1;
  /// A fill task that is expected to lower headroom by less than this is called
  /// harmless.
  double NegligibleEffect = 0.02;
  /// Time above the target after which the forecast is distrusted. If the
  /// serving task's own load seems to be the cause, only the fill tasks that
  /// interfere with it are stopped; otherwise the model is wrong, and harmless
  /// fill tasks are stopped as well.
  milliseconds DistrustAfter{1200};
  /// Time above the target after which every fill task is stopped, whatever
  /// the cause seems to be.
  milliseconds StopAllAfter{2400};
  /// Part of the worker that fill tasks may use together. Beyond it they take
  /// processor time from the serving tasks, even if no pair of kinds
  /// interferes.
  double MaxTotalShare = 1.0;
  /// Part of the worker that fill tasks can use together according to
  /// measurements. If they ask for more, those with less weight are slowed, so
  /// that the others get more of it. Without a value weights have no effect on
  /// the division of processor time.
  std::optional<double> AvailableShare;
  /// Paces by weight are multiples of this many percent, so that few changes
  /// are ordered.
  int WeightedPaceStep = 20;
  /// Smaller changes of pace do not justify an order to the worker.
  int MinPaceChange = 10;
};

/// A serving task on the worker.
struct ServingLoad {
  TaskKind Kind = 0;
  /// Headroom (target over tail) that is forecast without fill tasks.
  double Headroom = 0;
  /// Time for which all measurements have been above the target.
  milliseconds TimeOverTarget{0};
};

/// A fill task on the worker.
struct FillLoad {
  TaskKind Kind = 0;
  /// Pace that is set now, 0 to 100 percent.
  int Pace = 100;
  /// Part of the worker that the task uses at full pace.
  double FullShare = 0;
  /// Value of the task's progress. Of two tasks with the same interference the
  /// one with less value is slowed first.
  double Weight = 1;
};

/// Returns the pace for each of \p Fills, 0 to 100 percent, in their order.
/// Tasks with the most interference for their weight are slowed first, and no
/// more than is needed.
std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options = {});

/// Returns the lowest headroom on the worker if a fill task of \p Kind that
/// uses \p Share of it is added. Serving tasks for which the fill task is
/// harmless are left out; the maximum double is returned if that leaves none.
double headroomWithFill(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                        double Share, const InterferenceModel &Model,
                        const PacingOptions &Options = {});

BASILCHUTE_NAMESPACE_END
