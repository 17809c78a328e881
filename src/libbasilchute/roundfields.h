/// \file
/// Log fields about the rounds in which a shard's owner places tasks.
#pragma once

#include "basilchute/jobshard.h"

#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Reports how the rounds between \p Before and \p Current ended, and the mean
/// round-trip time of a start order. Slow start orders and rounds that end at
/// the limit of starts mean that the owner, not the workers, is the bottleneck.
/// \p StartLimit is that of start orders in flight.
std::string roundFields(const JobShardCounts &Current,
                        const JobShardCounts &Before, size_t StartLimit);

BASILCHUTE_NAMESPACE_END
