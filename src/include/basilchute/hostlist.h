/// \file
/// Port to the platform's lagging list of live and leaving hosts.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/resources.h"
#include "basilchute/result.h"

#include <functional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One worker as the platform lists it. Being listed proves nothing: a listed
/// host may be dead and a missing one alive.
struct Host {
  std::string Worker;
  std::string Address;
  std::string FailureDomain;
  std::string Rack;
  Resources Capacity;
  bool Leaving = false;
};

/// Hosts with the age of the platform's knowledge.
struct HostSnapshot {
  std::vector<Host> Hosts;
  milliseconds Age{0};
};

/// Reads the list. Callbacks run as those of TableStore do.
class HostList {
public:
  using SnapshotDone = std::function<void(Result<HostSnapshot>)>;
  virtual ~HostList() = default;
  /// Fails with Unavailable.
  virtual void snapshot(SnapshotDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
