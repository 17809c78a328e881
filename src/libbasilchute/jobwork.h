/// \file
/// How long a job takes and how much it works, by the submitter's estimates.
#pragma once

#include "basilchute/job.h"

#include <functional>

BASILCHUTE_NAMESPACE_BEGIN

/// Time that the longest chain of \p Steps takes; steps that do not \p Count
/// take none.
milliseconds longestChain(
    const std::vector<JobStep> &Steps,
    const std::function<bool(size_t)> &Count = [](size_t) { return true; });

/// Millicores times seconds of one task of \p Step.
double taskWork(const JobStep &Step);

BASILCHUTE_NAMESPACE_END
