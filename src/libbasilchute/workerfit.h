/// \file
/// Which workers can hold the tasks of a step.
#pragma once

#include "basilchute/job.h"
#include "basilchute/taskworker.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns true if \p Worker belongs to \p Service, has the label that \p Step
/// requires, and holds a task of it while nothing else runs there.
bool canRunOn(const WorkerEntry &Worker, const JobStep &Step,
              const std::string &Service);

/// Where a listed worker can hold the tasks of a step.
enum class StepFit { Nowhere, OtherShard, ThisShard };

/// The fit of a step by one list of workers.
struct KnownStepFit {
  /// Number of the list; zero for none.
  uint64_t List = 0;
  StepFit Fit = StepFit::Nowhere;
};

/// Calls its argument for workers until that returns true, and returns whether
/// it did.
using AnyWorker =
    std::function<bool(const std::function<bool(const WorkerEntry &)> &)>;

/// Returns the first step of \p Value that none of the workers of \p Service
/// can hold; std::nullopt if there is none, or no such worker at all.
std::optional<size_t> firstUnfitStep(const Job &Value,
                                     const std::string &Service,
                                     const AnyWorker &Workers);

BASILCHUTE_NAMESPACE_END
