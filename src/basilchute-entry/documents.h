/// \file
/// Validation of configuration documents and submitted jobs.
#pragma once

#include "basilchute/hostlist.h"
#include "basilchute/result.h"
#include "schema/basilchute.pb.h"

#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Validates \p Document and returns its key KIND/NAME. Fails with
/// InvalidArgument and a message that names the invalid field.
Result<std::string> checkDocument(const v1::Document &Document);
/// Validates the key KIND/NAME of a document to delete. Fails with
/// InvalidArgument.
Status checkDeletion(const std::string &Key);
/// Validates a submitted job. Fails with InvalidArgument and a message that
/// names the invalid field, or with NeverFits if the demand of one task exceeds
/// the capacity of every worker of \p Hosts. If \p Hosts is empty, the capacity
/// is not checked.
Status checkJob(const v1::SubmitJobRequest &Job,
                const std::vector<Host> &Hosts);

/// Maximum number of tasks of one job.
inline constexpr uint32_t MaxTasksPerJob = 2000;

BASILCHUTE_NAMESPACE_END
