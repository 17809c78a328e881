/// \file
/// Encoding of the progress of jobs, as part of several rows.
#pragma once

#include "libbasilchute/jobrows.h"
#include "schema/jobs.pb.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Never zero, so that no encoded row is empty.
inline constexpr int RowFormat = 1;

Error badRow(const char *Kind);
/// Returns the time of \p Millis, brought into the bounds zero and \p Max.
milliseconds boundedTime(int64_t Millis, milliseconds Max);

void storeProgress(const JobProgress &Value, v1::StoredProgress &Out);
bool isStateValid(const v1::StoredProgress &From);
JobProgress loadProgress(const v1::StoredProgress &From);

BASILCHUTE_NAMESPACE_END
