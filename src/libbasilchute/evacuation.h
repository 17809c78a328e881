/// \file
/// Workers of failure domains that the operator evacuates.
///
/// Addresses the load of an evacuation under way: nothing is started on a part
/// of the fleet for tens of seconds, work that fits elsewhere goes there, and
/// work that fits only there waits until the domain is back.
#pragma once

#include "basilchute/taskworker.h"

#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Marks the workers of \p Domains as evacuated, and all others as not.
/// Returns the number of workers that are evacuated.
size_t markEvacuated(std::vector<WorkerEntry> &Workers,
                     const std::set<std::string> &Domains);

/// Returns the key=value fields of the log line that tells of a change of the
/// evacuated domains from \p Old to \p New. \p Workers are marked. The names of
/// at most 20 domains and workers are listed.
std::string evacuationFields(const std::set<std::string> &Old,
                             const std::set<std::string> &New,
                             const std::vector<WorkerEntry> &Workers);

/// Returns true if workers of \p Service can hold a task of \p Step when they
/// are idle, and all of these are evacuated. Draining workers do not count.
bool fitsOnlyEvacuated(const JobStep &Step, const std::string &Service,
                       const std::vector<const WorkerEntry *> &Workers);

BASILCHUTE_NAMESPACE_END
