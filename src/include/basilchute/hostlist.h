/// \file
/// Interface to the platform's list of live and leaving hosts, which may be out
/// of date.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/resources.h"
#include "basilchute/result.h"

#include <functional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One worker as listed by the platform. The list does not prove liveness: a
/// listed host may be dead, and a host that is not listed may be alive.
struct Host {
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  std::string Rack;
  Resources Capacity;
  bool IsLeaving = false;
};

/// The listed hosts and the age of the platform's information about them.
struct HostSnapshot {
  std::vector<Host> Hosts;
  milliseconds Age{0};
};

/// Reads the list. Callbacks run under the same rules as those of TableStore.
class HostList {
public:
  using SnapshotDone = std::function<void(Result<HostSnapshot>)>;
  virtual ~HostList() = default;
  /// Fails with Unavailable.
  virtual void snapshot(SnapshotDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
