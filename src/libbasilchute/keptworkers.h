/// \file
/// Workers that are kept free of long-running tasks that never ran. Addresses a
/// load in which long-running tasks reserve 93% of a shard: what is left on
/// each worker, 2 to 9 cores, is too little for most short tasks.
#pragma once

#include "basilchute/namespace.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A usable worker of one service.
struct KeepableWorker {
  std::string Id;
  int64_t CapacityMillicores = 0;
  /// Room beside long-running tasks.
  int64_t RoomMillicores = 0;
};

/// Returns the room for finite tasks of a service whose usable workers have
/// \p CapacityMillicores: enough to be used to 70% by the measured demand, and
/// between 6% and 25% of the capacity.
int64_t roomForFinite(int64_t CapacityMillicores, double DemandMillicores);

/// Chooses the workers of one service of a shard. They have the least
/// long-running reservations, so that few long-running tasks have to end until
/// they are free. A worker stays chosen while it is needed, since long-running
/// tasks would take a worker that is released and block it for long.
///
/// Not thread-safe.
class KeptWorkers {
public:
  /// Chooses workers until their room beside long-running tasks is at least
  /// \p RoomMillicores.
  void update(std::vector<KeepableWorker> Workers, int64_t RoomMillicores);
  void clear() { m_ids.clear(); }
  bool isKept(const std::string &Id) const { return m_ids.count(Id) > 0; }
  const std::set<std::string> &ids() const { return m_ids; }
  /// Room on the chosen workers beside long-running tasks, at the last update.
  int64_t millicores() const { return m_millicores; }

private:
  std::set<std::string> m_ids;
  int64_t m_millicores = 0;
};

BASILCHUTE_NAMESPACE_END
