#include "libbasilchute/evacuation.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

WorkerEntry worker(const std::string &Id, const std::string &Domain) {
  return {.Id = Id,
          .Service = "s",
          .FailureDomain = Domain,
          .Capacity = {.Millicores = 4000, .MemoryMib = 1000}};
}

} // namespace

// Guards against a mark that outlasts its evacuation, and against one on
// workers that name no failure domain.
TEST_CASE("Exactly the workers of evacuated domains are marked") {
  std::vector<WorkerEntry> Workers{worker("a", "x"), worker("b", "y"),
                                   worker("c", ""), worker("d", "x")};
  CHECK(markEvacuated(Workers, {"x"}) == 2);
  CHECK_FALSE(Workers[0].takesTasks());
  CHECK(Workers[1].takesTasks());
  CHECK(Workers[2].takesTasks());
  CHECK(markEvacuated(Workers, {"y"}) == 1);
  CHECK(Workers[0].takesTasks());
  CHECK_FALSE(Workers[1].takesTasks());
}

// Guards against log lines as long as the fleet.
TEST_CASE("The log line of a change names few workers") {
  std::vector<WorkerEntry> Workers;
  for (int Number = 0; Number < 500; ++Number)
    Workers.push_back(worker("worker-" + std::to_string(Number), "x"));
  markEvacuated(Workers, {"x"});
  std::string Fields = evacuationFields({"y"}, {"x"}, Workers);
  CHECK(Fields.starts_with("domains=x added=x ended=y workers=500 names="));
  CHECK(Fields.size() < 400);
}

// Guards against a wait for room that is reported as a wait for a domain.
TEST_CASE("A step fits only evacuated workers if no other can hold it") {
  WorkerEntry Evacuated = worker("a", "x");
  Evacuated.IsEvacuated = true;
  WorkerEntry Other = worker("b", "y");
  JobStep Step{.Count = 1, .Demand = {.Millicores = 4000, .MemoryMib = 10}};
  CHECK(fitsOnlyEvacuated(Step, "s", {&Evacuated}));
  CHECK_FALSE(fitsOnlyEvacuated(Step, "s", {&Evacuated, &Other}));
  CHECK_FALSE(fitsOnlyEvacuated(Step, "other", {&Evacuated}));
  Other.Capacity.Millicores = 2000;
  CHECK(fitsOnlyEvacuated(Step, "s", {&Evacuated, &Other}));
  Other = worker("b", "y");
  Other.IsDraining = true;
  CHECK(fitsOnlyEvacuated(Step, "s", {&Evacuated, &Other}));
  Step.Demand.Millicores = 5000;
  CHECK_FALSE(fitsOnlyEvacuated(Step, "s", {&Evacuated, &Other}));
}
