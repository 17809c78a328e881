#include "libbasilchute/gangfit.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns how many tasks of \p Step an idle \p Worker takes, at most \p Limit.
int tasksOn(const WorkerEntry &Worker, const JobStep &Step, int Limit) {
  if (Step.MaxPerWorker > 0)
    Limit = std::min(Limit, Step.MaxPerWorker);
  Resources Room = Worker.Capacity;
  int Out = 0;
  for (; Out < Limit && Step.reservation().fits(Room); ++Out)
    Room -= Step.reservation();
  return Out;
}

// All tasks of a step have the same demand, so that taking as many as possible
// on each worker finds room for the most.
bool fitsGang(const JobStep &Step, const std::string &Service,
              const std::vector<WorkerEntry> &Workers) {
  int Left = Step.Count;
  for (const WorkerEntry &Worker : Workers) {
    bool CanRun =
        Worker.Service == Service && Worker.canHold(Step) &&
        (Step.RequiredLabel.empty() || Worker.hasLabel(Step.RequiredLabel));
    if (CanRun)
      Left -= tasksOn(Worker, Step, Left);
    if (Left == 0)
      return true;
  }
  return false;
}

} // namespace

bool hasGang(const Job &Value) {
  return std::any_of(Value.Steps.begin(), Value.Steps.end(),
                     [](const JobStep &Step) { return Step.Gang; });
}

std::optional<size_t> firstUnfitGang(const Job &Value,
                                     const std::string &Service,
                                     const std::vector<WorkerEntry> &Workers) {
  for (size_t Index = 0; Index < Value.Steps.size(); ++Index)
    if (Value.Steps[Index].Gang &&
        !fitsGang(Value.Steps[Index], Service, Workers))
      return Index;
  return std::nullopt;
}

BASILCHUTE_NAMESPACE_END
