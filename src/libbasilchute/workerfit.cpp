#include "libbasilchute/workerfit.h"

BASILCHUTE_NAMESPACE_BEGIN

bool canRunOn(const WorkerEntry &Worker, const JobStep &Step,
              const std::string &Service) {
  return Worker.Service == Service &&
         (Step.RequiredLabel.empty() || Worker.hasLabel(Step.RequiredLabel)) &&
         Worker.canHold(Step);
}

std::optional<size_t> firstUnfitStep(const Job &Value,
                                     const std::string &Service,
                                     const AnyWorker &Workers) {
  for (size_t Index = 0; Index < Value.Steps.size(); ++Index) {
    bool IsKnown = false;
    bool Fits = Workers([&](const WorkerEntry &Worker) {
      IsKnown = IsKnown || Worker.Service == Service;
      return canRunOn(Worker, Value.Steps[Index], Service);
    });
    if (!Fits && IsKnown)
      return Index;
  }
  return std::nullopt;
}

BASILCHUTE_NAMESPACE_END
