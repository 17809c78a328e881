/// \file
/// Duration and work of a job, by the submitter's estimates.
#pragma once

#include "basilchute/job.h"

#include <functional>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns the duration of the critical path through \p Steps. Steps for whose
/// index \p Count returns false take no time.
milliseconds criticalPath(
    const std::vector<JobStep> &Steps,
    const std::function<bool(size_t)> &Count = [](size_t) { return true; });

/// Returns the work of one task of \p Step, in millicores times seconds.
double taskWork(const JobStep &Step);

BASILCHUTE_NAMESPACE_END
