#include "libbasilchute/evacuation.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Bounds the length of a log line.
constexpr size_t MaxNames = 20;

std::string joined(const std::vector<std::string> &Names) {
  std::string Out;
  for (size_t Index = 0; Index < std::min(Names.size(), MaxNames); ++Index)
    Out += (Index > 0 ? "," : "") + Names[Index];
  return Out.empty() ? "-" : Out;
}

std::vector<std::string> without(const std::set<std::string> &All,
                                 const std::set<std::string> &Left) {
  std::vector<std::string> Out;
  std::set_difference(All.begin(), All.end(), Left.begin(), Left.end(),
                      std::back_inserter(Out));
  return Out;
}

} // namespace

size_t markEvacuated(std::vector<WorkerEntry> &Workers,
                     const std::set<std::string> &Domains) {
  size_t Out = 0;
  for (WorkerEntry &Worker : Workers) {
    Worker.IsEvacuated = Domains.contains(Worker.FailureDomain);
    Out += Worker.IsEvacuated ? 1 : 0;
  }
  return Out;
}

std::string evacuationFields(const std::set<std::string> &Old,
                             const std::set<std::string> &New,
                             const std::vector<WorkerEntry> &Workers) {
  std::vector<std::string> Names;
  for (const WorkerEntry &Worker : Workers)
    if (Worker.IsEvacuated)
      Names.push_back(Worker.Id);
  return fmt::format("domains={} added={} ended={} workers={} names={}",
                     joined({New.begin(), New.end()}),
                     joined(without(New, Old)), joined(without(Old, New)),
                     Names.size(), joined(Names));
}

bool fitsOnlyEvacuated(const JobStep &Step, const std::string &Service,
                       const std::vector<const WorkerEntry *> &Workers) {
  bool FitsEvacuated = false;
  for (const WorkerEntry *Worker : Workers) {
    bool CanHold =
        Worker->Service == Service && !Worker->IsDraining &&
        (Step.RequiredLabel.empty() || Worker->hasLabel(Step.RequiredLabel)) &&
        Worker->canHold(Step);
    if (!CanHold)
      continue;
    if (!Worker->IsEvacuated)
      return false;
    FitsEvacuated = true;
  }
  return FitsEvacuated;
}

BASILCHUTE_NAMESPACE_END
