/// \file
/// Whether workers have room for all tasks of a gang at the same time.
#pragma once

#include "basilchute/job.h"
#include "basilchute/taskworker.h"

#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Returns true if a step of \p Value is a gang.
bool hasGang(const Job &Value);

/// Returns the first step of \p Value that is a gang for which those of
/// \p Workers that belong to \p Service have no room even when they are idle;
/// std::nullopt if there is none.
std::optional<size_t> firstUnfitGang(const Job &Value,
                                     const std::string &Service,
                                     const std::vector<WorkerEntry> &Workers);

BASILCHUTE_NAMESPACE_END
