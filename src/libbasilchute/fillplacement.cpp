#include "libbasilchute/fillplacement.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Cost per unit by which the headroom with the fill task is below
/// LowHeadroom.
constexpr double LowHeadroomCost = 2.0;
constexpr double LowHeadroom = 1.6;
/// A job that ends after this many times its target has no value left.
constexpr double NoValueFactor = 3;
/// Least millicores that are assumed to be left, so that ratios are finite.
constexpr double MinLeft = 50;
/// Upper bound on the cost of a place with little processor time, so that the
/// effect on serving tasks still counts there.
constexpr double MaxRoomCost = 4;

} // namespace

double fillUrgency(double EndOverTarget) {
  if (EndOverTarget >= NoValueFactor)
    return ValuelessWeight;
  return MinFillUrgency +
         (1 - MinFillUrgency) * std::clamp(EndOverTarget, 0.0, 1.0);
}

void FillRoom::add(const FillTask &Task) {
  m_asked +=
      Task.Millicores * (Task.Weight < MinFillUrgency ? Task.Weight : 1.0);
  m_weighted += Task.Millicores * Task.Weight;
}

double FillRoom::left() const { return std::max(m_left, MinLeft); }

double FillRoom::demandRatio(const FillTask &Task) const {
  return (m_asked + Task.Millicores) / left();
}

double FillRoom::weightedRatio(const FillTask &Task) const {
  return (m_weighted / Task.Weight + Task.Millicores) / left();
}

double FillRoom::unused() const { return std::max(0.0, m_left - m_asked); }

bool isFullFor(const FillTask &Task, const FillPlace &Place,
               const FillPlacementOptions &Options) {
  return Options.IsMeasured
             ? Place.Room.demandRatio(Task) > Options.MaxDemandRatio
             : Place.Load >= Options.MaxLoad;
}

bool admitsFill(const FillTask &Task, const FillPlace &Place,
                const FillPlacementOptions &Options) {
  return !isFullFor(Task, Place, Options) &&
         Place.Headroom > Options.MinHeadroom;
}

// Where the task would get its full pace, the place with the most room to spare
// is the cheapest. Elsewhere the cost is the factor by which it is slowed.
double fillPlaceCost(const FillTask &Task, const FillPlace &Place,
                     const FillPlacementOptions &Options) {
  double Cost = Place.Load;
  if (Options.IsMeasured)
    Cost = std::min(MaxRoomCost, Place.Room.weightedRatio(Task));
  return Cost + LowHeadroomCost * std::max(0.0, LowHeadroom - Place.Headroom);
}

double fillShareWithin(double Free, const std::vector<ServingLoad> &Serving,
                       TaskKind Kind, const InterferenceModel &Model,
                       const FillPlacementOptions &Options) {
  double Share = std::max(0.0, Free);
  for (const ServingLoad &Load : Serving) {
    double Slope = Model.slope(Load.Kind, Kind);
    if (Slope > 0)
      Share = std::min(
          Share, std::max(0.0, Load.Headroom - Options.MinHeadroom) / Slope);
  }
  return Share;
}

BASILCHUTE_NAMESPACE_END
