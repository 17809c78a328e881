/// \file
/// Decides at which share each fill task of a worker may work, so that the
/// tasks that serve beside it keep their tail targets.
#pragma once

#include "basilchute/interference.h"

#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of planPaces.
struct PacingOptions {
  /// Tail over target above which fill tasks are slowed ...
  double SlowAbove = 0.93;
  /// ... until this much is expected ...
  double Aim = 0.78;
  /// ... and up to which they may be sped up again.
  double SpeedUpTo = 0.86;
  /// Above this all fill tasks stop that are not known to be harmless.
  double Emergency = 1.0;
  /// A fill task whose expected effect is smaller than this is harmless.
  double Harmless = 0.015;
};

/// A serving task on the worker.
struct ServingLoad {
  TaskKind Kind = 0;
  /// Tail over target, measured just now.
  double Ratio = 0;
  /// Measurements in a row above the target.
  int Over = 0;
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
/// harm most are slowed first; those that harm least are sped up first.
std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options = {});

/// Returns the worst tail over target that is expected on the worker if a fill
/// task of \p Kind with \p Share of it joins.
double expectedRatio(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                     double Share, const InterferenceModel &Model);

BASILCHUTE_NAMESPACE_END
