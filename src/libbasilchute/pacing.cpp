#include "basilchute/pacing.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <numeric>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr int FullPace = 100;
/// Headroom of a task at its target.
constexpr double AtTarget = 1.0;

/// Effect of one fill task at full pace on one serving task's headroom.
double effect(const ServingLoad &On, const FillLoad &Of,
              const InterferenceModel &Model) {
  return Model.slope(On.Kind, Of.Kind) * Of.FullShare;
}

/// Slows \p Fills until \p Hurt keeps its headroom.
void slow(const ServingLoad &Hurt, const std::vector<FillLoad> &Fills,
          const InterferenceModel &Model, const PacingOptions &Options,
          std::vector<int> &Paces) {
  if (Hurt.Over >= Options.StopAfter) {
    std::fill(Paces.begin(), Paces.end(), 0);
    return;
  }
  bool Long = Hurt.Over >= Options.DistrustAfter;
  // Where the task's own load alone takes it over its target, stopping what
  // fills beside it helps nobody.
  bool OwnFault = Hurt.Headroom < AtTarget;
  if (OwnFault && !Long)
    return;
  if (Long) {
    for (size_t Each = 0; Each < Fills.size(); ++Each)
      if (!OwnFault || effect(Hurt, Fills[Each], Model) >= Options.Harmless)
        Paces[Each] = 0;
    return;
  }
  std::vector<size_t> Order;
  double Excess = Options.Floor - Hurt.Headroom;
  for (size_t Each = 0; Each < Fills.size(); ++Each) {
    double Full = effect(Hurt, Fills[Each], Model);
    Excess += Full * Paces[Each] / FullPace;
    if (Full >= Options.Harmless)
      Order.push_back(Each);
  }
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return effect(Hurt, Fills[A], Model) * Fills[B].Weight >
           effect(Hurt, Fills[B], Model) * Fills[A].Weight;
  });
  for (size_t Each : Order) {
    if (Excess <= 0)
      return;
    double Full = effect(Hurt, Fills[Each], Model);
    double Now = Full * Paces[Each] / FullPace;
    double Kept = std::max(0.0, Now - Excess);
    Paces[Each] = static_cast<int>(Kept / Full * FullPace);
    Excess -= Now - Kept;
  }
}

/// Slows all alike until they fit into the room.
void fitInto(double Room, const std::vector<FillLoad> &Fills,
             std::vector<int> &Paces) {
  double Used = 0;
  for (size_t Each = 0; Each < Fills.size(); ++Each)
    Used += Fills[Each].FullShare * Paces[Each] / FullPace;
  if (Used <= Room)
    return;
  double Part = std::max(Room, 0.0) / Used;
  for (int &Each : Paces)
    Each = static_cast<int>(Each * Part);
}

} // namespace

std::vector<int> planPaces(const std::vector<ServingLoad> &Serving,
                           const std::vector<FillLoad> &Fills,
                           const InterferenceModel &Model,
                           const PacingOptions &Options) {
  std::vector<int> Paces(Fills.size(), FullPace);
  for (const ServingLoad &Each : Serving)
    slow(Each, Fills, Model, Options, Paces);
  if (!Serving.empty())
    fitInto(Options.Room, Fills, Paces);
  // A long tail goes down slowly; until it has, nothing is sped up.
  bool IsOver =
      std::any_of(Serving.begin(), Serving.end(), [](const ServingLoad &Each) {
        return Each.Over.count() > 0;
      });
  for (size_t Each = 0; Each < Fills.size(); ++Each) {
    if (IsOver)
      Paces[Each] = std::min(Paces[Each], Fills[Each].Pace);
    int Change = std::abs(Paces[Each] - Fills[Each].Pace);
    bool AtEnd = Paces[Each] == 0 || Paces[Each] == FullPace;
    if (!AtEnd && Change < Options.LeastChange)
      Paces[Each] = Fills[Each].Pace;
  }
  return Paces;
}

double headroomBeside(const std::vector<ServingLoad> &Serving, TaskKind Kind,
                      double Share, const InterferenceModel &Model,
                      const PacingOptions &Options) {
  double Out = std::numeric_limits<double>::max();
  for (const ServingLoad &Each : Serving) {
    double Effect = Model.slope(Each.Kind, Kind) * Share;
    if (Effect >= Options.Harmless)
      Out = std::min(Out, Each.Headroom - Effect);
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
