#include "basilchute/pacing.h"

#include <algorithm>
#include <numeric>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int FullPace = 100;
/// Measurements above the target after which even harmless fill tasks stop:
/// the model is wrong there.
constexpr int DistrustAfter = 3;

/// Effect of one fill task at full pace on one serving task.
double effect(const ServingLoad &On, const FillLoad &Of,
              const InterferenceModel &Model) {
  return Model.slope(On.Kind, Of.Kind) * Of.FullShare;
}

void slow(const ServingLoad &Hurt, const std::vector<FillLoad> &Fills,
          const InterferenceModel &Model, const PacingOptions &Options,
          std::vector<int> &Paces) {
  std::vector<size_t> Order(Fills.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return effect(Hurt, Fills[A], Model) * Fills[B].Weight >
           effect(Hurt, Fills[B], Model) * Fills[A].Weight;
  });
  bool All = Hurt.Over >= DistrustAfter;
  // Where the task's own load alone takes it over its target, stopping what
  // fills beside it helps nobody.
  double Effect = 0;
  for (size_t Each = 0; Each < Fills.size(); ++Each)
    Effect += effect(Hurt, Fills[Each], Model) * Paces[Each] / FullPace;
  if (!All && Hurt.Ratio - Effect > Options.Emergency)
    return;
  double Excess = Hurt.Ratio - Options.Aim;
  for (size_t Each : Order) {
    double Full = effect(Hurt, Fills[Each], Model);
    if (!All && Excess <= 0)
      return;
    if (!All && Full < Options.Harmless)
      continue;
    double Now = Full * Paces[Each] / FullPace;
    bool Stop = All || Hurt.Ratio > Options.Emergency || Now <= Excess;
    int Kept = Stop ? 0 : static_cast<int>((Now - Excess) / Full * FullPace);
    Kept = std::min(Kept, Paces[Each]);
    Excess -= Now - Full * Kept / FullPace;
    Paces[Each] = Kept;
  }
}

/// Returns how much of \p Fill's missing pace every serving task bears.
double bearable(const std::vector<ServingLoad> &Serving,
                const std::vector<double> &Expected, const FillLoad &Fill,
                const InterferenceModel &Model, const PacingOptions &Options) {
  double Out = FullPace - Fill.Pace;
  for (size_t Each = 0; Each < Serving.size(); ++Each) {
    double Full = effect(Serving[Each], Fill, Model);
    if (Full < Options.Harmless)
      continue;
    double Left = Options.SpeedUpTo - Expected[Each];
    Out = std::min(Out, std::max(0.0, Left) / Full * FullPace);
  }
  return Out;
}

void speedUp(const std::vector<ServingLoad> &Serving,
             const std::vector<FillLoad> &Fills, const InterferenceModel &Model,
             const PacingOptions &Options, std::vector<int> &Paces) {
  std::vector<double> Expected;
  for (const ServingLoad &Each : Serving)
    Expected.push_back(Each.Ratio);
  std::vector<size_t> Order;
  std::vector<double> Worst(Fills.size(), 0);
  for (size_t Each = 0; Each < Fills.size(); ++Each) {
    if (Fills[Each].Pace >= FullPace)
      continue;
    Order.push_back(Each);
    for (const ServingLoad &On : Serving)
      Worst[Each] = std::max(Worst[Each], effect(On, Fills[Each], Model));
  }
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Worst[A] * Fills[B].Weight < Worst[B] * Fills[A].Weight;
  });
  for (size_t Each : Order) {
    double More = bearable(Serving, Expected, Fills[Each], Model, Options);
    Paces[Each] = Fills[Each].Pace + static_cast<int>(More);
    for (size_t On = 0; On < Serving.size(); ++On)
      Expected[On] += effect(Serving[On], Fills[Each], Model) * More / FullPace;
  }
}

} // namespace

std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options) {
  std::vector<int> Paces;
  for (const FillLoad &Each : Fills)
    Paces.push_back(Each.Pace);
  bool Hurt = false;
  for (const ServingLoad &Each : Serving) {
    if (Each.Ratio <= Options.SlowAbove)
      continue;
    Hurt = true;
    slow(Each, Fills, Model, Options, Paces);
  }
  if (!Hurt)
    speedUp(Serving, Fills, Model, Options, Paces);
  return Paces;
}

double expectedRatio(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                     double Share, const InterferenceModel &Model) {
  double Out = 0;
  for (const ServingLoad &Each : Serving)
    Out = std::max(Out, Each.Ratio + Model.slope(Each.Kind, Kind) * Share);
  return Out;
}

BASILCHUTE_NAMESPACE_END
