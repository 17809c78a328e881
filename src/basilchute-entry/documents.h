/// \file
/// Checks and names of configuration documents and jobs.
#pragma once

#include "basilchute/hostlist.h"
#include "basilchute/result.h"
#include "schema/basilchute.pb.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns KIND/NAME of \p Document; fails with InvalidArgument naming the
/// field at fault.
Result<std::string> checkDocument(const v1::Document &Document);
/// Checks a deletion of the form KIND/NAME.
Status checkDeletion(const std::string &Name);
/// Checks a job; fails with InvalidArgument naming the field, or with NeverFits
/// if no worker of \p Hosts is large enough.
Status checkJob(const v1::SubmitJobRequest &Job,
                const std::vector<Host> &Hosts);

/// Tasks of one job at most.
inline constexpr uint32_t MaxTasksPerJob = 2000;

BASILCHUTE_NAMESPACE_END
