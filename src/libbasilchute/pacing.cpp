#include "basilchute/pacing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <numeric>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int FullPace = 100;
/// Headroom of a serving task whose tail equals its target.
constexpr double HeadroomAtTarget = 1.0;

/// Fill tasks may ask for this much more than is available, so that a worker
/// whose estimate is too low is used whole, and shows it.
constexpr double AvailableMargin = 1.25;
/// Least pace by weight, so that every run makes some progress.
constexpr int MinWeightedPace = 5;

/// Returns the fall of \p Load's headroom caused by \p Fill at full pace.
double fullEffect(const ServingLoad &Load, const FillLoad &Fill,
                  const InterferenceModel &Model) {
  return Model.slope(Load.Kind, Fill.Kind) * Fill.FullShare;
}

/// Lowers the paces of \p Fills until \p Load keeps its minimum headroom.
void slowFor(const ServingLoad &Load, const std::vector<FillLoad> &Fills,
             const InterferenceModel &Model, const PacingOptions &Options,
             std::vector<int> &Paces) {
  if (Load.TimeOverTarget >= Options.StopAllAfter) {
    std::fill(Paces.begin(), Paces.end(), 0);
    return;
  }
  bool IsDistrusted = Load.TimeOverTarget >= Options.DistrustAfter;
  // If the task's own load alone takes its tail above the target, stopping the
  // fill tasks does not bring the tail back.
  bool IsOwnLoad = Load.Headroom < HeadroomAtTarget;
  if (IsOwnLoad && !IsDistrusted)
    return;
  if (IsDistrusted) {
    for (size_t Fill = 0; Fill < Fills.size(); ++Fill)
      if (!IsOwnLoad ||
          fullEffect(Load, Fills[Fill], Model) >= Options.NegligibleEffect)
        Paces[Fill] = 0;
    return;
  }
  std::vector<size_t> Order;
  double Shortfall = Options.MinHeadroom - Load.Headroom;
  for (size_t Fill = 0; Fill < Fills.size(); ++Fill) {
    double AtFullPace = fullEffect(Load, Fills[Fill], Model);
    Shortfall += AtFullPace * Paces[Fill] / FullPace;
    if (AtFullPace >= Options.NegligibleEffect)
      Order.push_back(Fill);
  }
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return fullEffect(Load, Fills[A], Model) * Fills[B].Weight >
           fullEffect(Load, Fills[B], Model) * Fills[A].Weight;
  });
  for (size_t Fill : Order) {
    if (Shortfall <= 0)
      return;
    double AtFullPace = fullEffect(Load, Fills[Fill], Model);
    double Current = AtFullPace * Paces[Fill] / FullPace;
    double Allowed = std::max(0.0, Current - Shortfall);
    Paces[Fill] = static_cast<int>(Allowed / AtFullPace * FullPace);
    Shortfall -= Current - Allowed;
  }
}

/// Lowers all paces by the same factor until the fill tasks together use at
/// most \p MaxTotalShare of the worker.
void limitTotalShare(double MaxTotalShare, const std::vector<FillLoad> &Fills,
                     std::vector<int> &Paces) {
  double Used = 0;
  for (size_t Fill = 0; Fill < Fills.size(); ++Fill)
    Used += Fills[Fill].FullShare * Paces[Fill] / FullPace;
  if (Used <= MaxTotalShare)
    return;
  double Factor = std::max(MaxTotalShare, 0.0) / Used;
  for (int &Pace : Paces)
    Pace = static_cast<int>(Pace * Factor);
}

double shareAt(const FillLoad &Fill, int Pace) {
  return Fill.FullShare * Pace / FullPace;
}

/// Returns the share per full share and weight up to which each task may use
/// the worker so that the tasks together use \p Available of it. Infinite if
/// they use less.
double levelFor(double Available, const std::vector<FillLoad> &Fills,
                const std::vector<int> &Paces) {
  std::vector<size_t> Order(Fills.size());
  std::iota(Order.begin(), Order.end(), 0);
  double Weighted = 0;
  for (const FillLoad &Fill : Fills)
    Weighted += Fill.FullShare * Fill.Weight;
  // The tasks that reach their own limit at the lowest level come first.
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Paces[A] * Fills[B].Weight < Paces[B] * Fills[A].Weight;
  });
  for (size_t Fill : Order) {
    const FillLoad &Load = Fills[Fill];
    double Limit = Paces[Fill] / (FullPace * Load.Weight);
    if (Weighted > 0 && Limit * Weighted >= Available)
      return std::max(Available, 0.0) / Weighted;
    Available -= shareAt(Load, Paces[Fill]);
    Weighted -= Load.FullShare * Load.Weight;
  }
  return std::numeric_limits<double>::infinity();
}

/// Lowers the paces of tasks with less weight if the tasks together ask for
/// more than is available. The task with the most weight is not slowed, since
/// the worker divides what is left itself.
void divideByWeight(const PacingOptions &Options,
                    const std::vector<FillLoad> &Fills,
                    std::vector<int> &Paces) {
  double Available = *Options.AvailableShare * AvailableMargin;
  double Level = levelFor(Available, Fills, Paces);
  if (std::isinf(Level))
    return;
  double MaxWeight = 0;
  for (const FillLoad &Fill : Fills)
    MaxWeight = std::max(MaxWeight, Fill.Weight);
  Level = std::max(Level, 1 / MaxWeight);
  for (size_t Fill = 0; Fill < Fills.size(); ++Fill) {
    double Steps = std::round(Level * Fills[Fill].Weight * FullPace /
                              Options.WeightedPaceStep);
    int Pace = std::max(MinWeightedPace,
                        static_cast<int>(Steps) * Options.WeightedPaceStep);
    Paces[Fill] = std::min(Paces[Fill], Pace);
  }
}

} // namespace

std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options) {
  std::vector<int> Paces(Fills.size(), FullPace);
  for (const ServingLoad &Load : Serving)
    slowFor(Load, Fills, Model, Options, Paces);
  if (Options.AvailableShare)
    divideByWeight(Options, Fills, Paces);
  if (!Serving.empty())
    limitTotalShare(Options.MaxTotalShare, Fills, Paces);
  // A tail above its target falls slowly while the backlog is worked off; no
  // fill task is sped up until the tail is below the target.
  bool IsOverTarget =
      std::any_of(Serving.begin(), Serving.end(), [](const ServingLoad &Load) {
        return Load.TimeOverTarget.count() > 0;
      });
  for (size_t Fill = 0; Fill < Fills.size(); ++Fill) {
    if (IsOverTarget)
      Paces[Fill] = std::min(Paces[Fill], Fills[Fill].Pace);
    int Change = std::abs(Paces[Fill] - Fills[Fill].Pace);
    bool IsStopOrFull = Paces[Fill] == 0 || Paces[Fill] == FullPace;
    if (!IsStopOrFull && Change < Options.MinPaceChange)
      Paces[Fill] = Fills[Fill].Pace;
  }
  return Paces;
}

double headroomWithFill(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                        double Share, const InterferenceModel &Model,
                        const PacingOptions &Options) {
  double Lowest = std::numeric_limits<double>::max();
  for (const ServingLoad &Load : Serving) {
    double Effect = Model.slope(Load.Kind, Kind) * Share;
    if (Effect >= Options.NegligibleEffect)
      Lowest = std::min(Lowest, Load.Headroom - Effect);
  }
  return Lowest;
}

BASILCHUTE_NAMESPACE_END
