#include "basilchute-entry/documents.h"

#include "basilchute/placement.h"
#include "libbasilchute/rows.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr uint32_t MaxReplicas = 1000;
constexpr std::array<std::string_view, 4> Kinds = {"service", "team", "policy",
                                                   "cordon"};

Error fieldError(std::string_view Field, std::string_view Text) {
  return makeError(ResultCode::InvalidArgument,
                   fmt::format("field \"{}\" {}", Field, Text));
}

constexpr std::string_view NameRule =
    "must be 1 to 63 of a-z, 0-9 and '-', not starting with '-'";

Status checkDemand(std::string_view Field, const v1::Resources &Demand) {
  if (Demand.millicores() == 0)
    return fieldError(fmt::format("{}.millicores", Field), "must be above 0");
  if (Demand.memory_mib() == 0)
    return fieldError(fmt::format("{}.memory_mib", Field), "must be above 0");
  return okStatus();
}

Status checkService(const v1::Service &Service) {
  if (!isValidName(Service.name()))
    return fieldError("service.name", NameRule);
  if (!Service.team().empty() && !isValidName(Service.team()))
    return fieldError("service.team", NameRule);
  if (Service.replicas() > MaxReplicas)
    return fieldError("service.replicas",
                      fmt::format("must be at most {}", MaxReplicas));
  return checkDemand("service.demand", Service.demand());
}

Status checkPolicy(const v1::Policy &Policy) {
  if (!isValidName(Policy.name()))
    return fieldError("policy.name", NameRule);
  if (!Policy.placement().empty() && !placementPolicy(Policy.placement()))
    return fieldError("policy.placement", "is not a known placement policy");
  return okStatus();
}

Result<std::string> keyIfValid(std::string_view Kind, const std::string &Name,
                               const Status &Validity) {
  if (!Validity.has_value())
    return Validity.error();
  return fmt::format("{}/{}", Kind, Name);
}

Status checkName(std::string_view Field, const std::string &Name) {
  if (!isValidName(Name))
    return fieldError(Field, NameRule);
  return okStatus();
}

} // namespace

Result<std::string> checkDocument(const v1::Document &Document) {
  switch (Document.body_case()) {
  case v1::Document::kService:
    return keyIfValid("service", Document.service().name(),
                      checkService(Document.service()));
  case v1::Document::kTeam:
    return keyIfValid("team", Document.team().name(),
                      checkName("team.name", Document.team().name()));
  case v1::Document::kPolicy:
    return keyIfValid("policy", Document.policy().name(),
                      checkPolicy(Document.policy()));
  case v1::Document::kCordon:
    return keyIfValid("cordon", Document.cordon().worker(),
                      checkName("cordon.worker", Document.cordon().worker()));
  default:
    return fieldError("documents",
                      "must hold a service, team, policy or cordon");
  }
}

Status checkDeletion(const std::string &Key) {
  size_t Slash = Key.find('/');
  std::string_view Kind = std::string_view(Key).substr(0, Slash);
  bool IsKnownKind = std::find(Kinds.begin(), Kinds.end(), Kind) != Kinds.end();
  if (Slash == std::string::npos || !IsKnownKind ||
      !isValidName(std::string_view(Key).substr(Slash + 1)))
    return fieldError("deletions",
                      fmt::format("\"{}\" is not of the form KIND/NAME", Key));
  return okStatus();
}

Status checkJob(const v1::SubmitJobRequest &Job,
                const std::vector<Host> &Hosts) {
  if (!isValidName(Job.name()))
    return fieldError("name", NameRule);
  if (!Job.team().empty() && !isValidName(Job.team()))
    return fieldError("team", NameRule);
  if (Job.tasks() == 0 || Job.tasks() > MaxTasksPerJob)
    return fieldError("tasks",
                      fmt::format("must be between 1 and {}", MaxTasksPerJob));
  if (Job.work_ms() == 0)
    return fieldError("work_ms", "must be above 0");
  Status DemandValidity = checkDemand("demand", Job.demand());
  if (!DemandValidity.has_value())
    return DemandValidity.error();
  Resources Demand = fromProto(Job.demand());
  bool FitsAnyWorker =
      Hosts.empty() ||
      std::any_of(Hosts.begin(), Hosts.end(), [&](const Host &Worker) {
        return Demand.fits(Worker.Capacity);
      });
  if (!FitsAnyWorker)
    return makeError(
        ResultCode::NeverFits,
        fmt::format("none of {} workers has {} millicores, {} MiB and {} "
                    "accelerators",
                    Hosts.size(), Demand.Millicores, Demand.MemoryMib,
                    Demand.Accelerators));
  return okStatus();
}

BASILCHUTE_NAMESPACE_END
