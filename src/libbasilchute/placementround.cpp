#include "libbasilchute/placementround.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Headroom assumed for a serving task that has not started.
constexpr double InitialHeadroom = 2.0;

} // namespace

void PlacementCandidate::take(const JobStep &Step, TaskKind Kind,
                              const InterferenceModel &Model,
                              TimePoint LateEnd) {
  double Share = static_cast<double>(Step.Demand.Millicores) /
                 static_cast<double>(Slot->Entry.Capacity.Millicores);
  Room -= Step.reservation();
  Later.Free -= Step.reservation();
  if (Step.LongRunning)
    Later.Eventual -= Step.reservation();
  if (Reservation)
    Reservation->take(Step.reservation(), LateEnd);
  Load += Step.LongRunning ? Share / 2 : Share;
  if (Step.TailTarget.count() > 0)
    Serving.push_back({.Kind = Kind, .Headroom = InitialHeadroom});
  if (Step.IsFill)
    addFillShare(Kind, Share, Model);
  else
    Fill.take(millicores() * (Step.LongRunning ? Share / 2 : Share));
}

void PlacementCandidate::keep(const Resources &Demand) {
  Later.Free -= Demand;
  Later.Eventual -= Demand;
  Resources Left = Room - Demand;
  Room.Millicores =
      std::min(Room.Millicores, std::max<int64_t>(Left.Millicores, 0));
  Room.MemoryMib = Left.MemoryMib;
  Room.Accelerators =
      std::min(Room.Accelerators, std::max<int64_t>(Left.Accelerators, 0));
}

void keepForRestarts(std::vector<PlacementCandidate> &Candidates,
                     const RestartDemand &Restarts) {
  if (Restarts.Millicores == 0 || Restarts.Smallest.Millicores <= 0)
    return;
  std::vector<PlacementCandidate *> Fitting;
  for (PlacementCandidate &Candidate : Candidates)
    if (Restarts.Smallest.fits(Candidate.Later.Eventual))
      Fitting.push_back(&Candidate);
  std::sort(Fitting.begin(), Fitting.end(), [](const auto *A, const auto *B) {
    return A->Later.Eventual.Millicores > B->Later.Eventual.Millicores;
  });
  int64_t Kept = 0;
  for (PlacementCandidate *Candidate : Fitting) {
    if (Kept >= Restarts.Millicores)
      return;
    Candidate->IsKeptForRestarts = true;
    Kept += Candidate->Later.Eventual.Millicores;
  }
}

int64_t fillCapacity(const std::vector<PlacementCandidate> &Candidates,
                     TaskKind Kind, const InterferenceModel &Model,
                     const FillPlacementOptions &Options) {
  double Out = 0;
  for (const PlacementCandidate &Candidate : Candidates) {
    double Free = Options.IsMeasured
                      ? Candidate.Fill.unused() / Candidate.millicores()
                      : Options.MaxLoad - Candidate.Load;
    Out += Candidate.millicores() *
           fillShareWithin(Free, Candidate.Serving, Kind, Model, Options);
  }
  return static_cast<int64_t>(Out);
}

BASILCHUTE_NAMESPACE_END
