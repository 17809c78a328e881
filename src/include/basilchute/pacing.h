/// \file
/// Decides at which share each fill task of a worker may work, so that the
/// tasks that serve beside it keep their tail targets.
#pragma once

#include "basilchute/interference.h"

#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of planPaces.
struct PacingOptions {
  /// Headroom that is left to serving tasks; at 1 they are at their target.
  double Floor = 1.1;
  /// A fill task whose expected effect on headroom is smaller is harmless.
  double Harmless = 0.02;
  /// Time above the target after which even harmless fill tasks stop, since the
  /// model is wrong there; those that do harm stop then although the task's own
  /// load seems to be the cause.
  milliseconds DistrustAfter{1200};
  /// Time above the target after which every fill task stops, whatever the
  /// cause seems to be.
  milliseconds StopAfter{2400};
  /// Part of the worker that fill tasks may use together. Beyond it they would
  /// take the processor from the serving tasks, whatever the pair.
  double Room = 1.0;
  /// Smaller changes of pace are not worth an order.
  int LeastChange = 10;
};

/// A serving task on the worker.
struct ServingLoad {
  TaskKind Kind = 0;
  /// Headroom (target over tail) that is expected soon without fill tasks.
  double Headroom = 0;
  /// Time for which all measurements were above the target.
  milliseconds Over{0};
};

/// A fill task on the worker.
struct FillLoad {
  TaskKind Kind = 0;
  /// Share at which it works now, 0 to 100.
  int Pace = 100;
  /// Part of the worker that it uses at full pace.
  double FullShare = 0;
  /// What its progress is worth; of two that harm alike the lesser is slowed.
  double Weight = 1;
};

/// Returns the share for each of \p Fills, 0 to 100, in their order. Those that
/// harm most for their worth are slowed first, and no more than is needed.
std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options = {});

/// Returns the least headroom on the worker if a fill task of \p Kind with \p
/// Share of it joins; serving tasks that it does not harm do not count. A very
/// large number if it harms none.
double headroomBeside(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                      double Share, const InterferenceModel &Model,
                      const PacingOptions &Options = {});

BASILCHUTE_NAMESPACE_END
