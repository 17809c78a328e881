#include "libbasilchute/placementround.h"

BASILCHUTE_NAMESPACE_BEGIN

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
