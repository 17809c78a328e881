/// \file
/// What the outgoing owner of a shard tells the new owner, in rows that are
/// written in one transaction with the owner row.
#pragma once

#include "basilchute/job.h"
#include "basilchute/result.h"
#include "basilchute/rowstore.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Runs that may be left when the outgoing owner has stopped sending orders.
/// All times count from the handover.
struct HandoverRecord {
  /// Tasks that may run on one worker, or whose completion there is not stored.
  struct Runs {
    std::set<TaskName> Tasks;
    /// Time after which all of them have ended, unless the new owner extends
    /// their leases.
    milliseconds Remaining{0};
    /// Those of the tasks that have not been seen to last. If another
    /// incarnation of the worker is found, it crashed under one of them.
    std::set<TaskName> Unseen;
    /// The same of tasks that have been seen to last for a short time, with the
    /// longest time that the run can have lasted.
    std::map<TaskName, milliseconds> Young;
    /// Incarnation of the worker; zero if it is not known.
    milliseconds Incarnation{0};
  };

  std::map<std::string, Runs> Workers;
  /// Time for which tasks of jobs that were accepted at a version up to
  /// UnknownVersion may run on any worker that is not in ResolvedWorkers,
  /// because an owner before the outgoing one left without a record. Zero if
  /// all runs are known.
  milliseconds UnknownRemaining{0};
  uint64_t UnknownVersion = 0;
  std::set<std::string> ResolvedWorkers;
  /// Workers on which such tasks may run, as far as the outgoing owner knows
  /// them. The new owner may never have seen them in the list of workers.
  std::set<std::string> SilentWorkers;
};

/// Returns the values of the rows that hold \p Record, or no rows if they would
/// exceed the limits of one commit.
std::vector<std::string> encodeHandover(const HandoverRecord &Record);
/// Fails with InvalidArgument if \p Rows are not the complete rows of a record.
Result<HandoverRecord> decodeHandover(const std::vector<std::string> &Rows);
/// Returns the address of row number \p Index of the record for \p Shard.
RowAddress handoverAddress(int Shard, size_t Index);
inline constexpr const char *HandoverTable = "handover";

BASILCHUTE_NAMESPACE_END
