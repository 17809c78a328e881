/// \file
/// Number of shards and assignment of workers to shards.
#pragma once

#include "basilchute/rowstore.h"
#include "basilchute/shardcount.h"
#include "basilchute/taskworker.h"
#include "libbasilchute/largestcapacities.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a ShardLayout.
struct ShardLayoutOptions {
  ShardCountOptions Count;
  /// Returns the weights of the hosts that may own shards.
  std::function<std::vector<int>()> HostWeights;
  /// Called when the number of shards has increased.
  std::function<void()> OnGrown;
  /// Called when the assignment of workers or largestWorkers() has changed.
  std::function<void()> OnAssigned;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Follows the stored number of shards and the stored assignments of workers.
/// The number of shards depends on the size of the fleet and, when the first
/// workers are assigned, on the hosts. It never decreases, and a worker's
/// assignment never changes.
class ShardLayout : public std::enable_shared_from_this<ShardLayout> {
public:
  ShardLayout(ShardLayoutOptions Options, RowStore &Store, const Clock &Time);

  /// Starts reading the rows of the layout.
  void start();
  /// Sets the complete list of the platform's workers.
  void setFleet(const std::vector<WorkerEntry> &Fleet);
  /// Allows changes of the layout to be seen later.
  void setIdle(bool IsIdle) { m_isIdle = IsIdle; }
  /// Increases the number of shards if the fleet has grown, and assigns each
  /// worker without a shard to the shard with the lowest capacity. Only one
  /// host should call this function; concurrent calls by several hosts are
  /// resolved by the commits' conditions.
  void growAndAssign();

  /// Stores capacities of workers that have shrunk, see
  /// LargestCapacities::store().
  void storeCapacities(bool IsManager) { m_capacities->store(IsManager); }

  int shards() const { return m_shards; }
  /// Returns the shard of \p Worker, or -1 if the worker has none yet.
  int shardOf(const std::string &Worker) const;
  /// Returns the listed workers with the largest capacity that each has had;
  /// none before the rows were read.
  std::vector<WorkerEntry> largestWorkers() const {
    return m_capacities->workers();
  }

  /// See LargestCapacities::anyKnown().
  bool
  anyKnownWorker(const std::function<bool(const WorkerEntry &)> &Test) const {
    return m_capacities->anyKnown(Test);
  }
  /// Returns true if workers may come back that this process has never seen:
  /// it has read no list or not all rows, or a worker with a shard was not
  /// listed since, and may have left before.
  bool mayMissWorkers() const;

private:
  int targetShards() const;
  bool isFleetStarting() const;
  void readLayout();
  void readAssignments(const std::string &Key, uint64_t From);
  /// Reads the rows with largest capacities, and then follows all rows.
  void readCapacities(const std::string &Key, uint64_t FollowFrom);
  void followAssignments(uint64_t From);
  void onRows(const std::vector<StoredRow> &Rows);
  /// Returns true if the assignment was taken.
  bool onAssignment(const StoredRow &Row);
  void onLayoutRow(const StoredRow &Row);
  void grow(int TargetShards);
  void assign(const std::vector<const WorkerEntry *> &Unassigned,
              std::map<std::string, std::vector<int64_t>> Capacity);
  void log(std::string_view Event, std::string_view Fields) const;

  ShardLayoutOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::shared_ptr<LargestCapacities> m_capacities;
  std::vector<WorkerEntry> m_fleet;
  /// When the fleet had its first worker, and when it last had more than
  /// before.
  TimePoint m_firstWorkerAt{};
  TimePoint m_grownAt{};
  /// Number of shards for the size of the fleet, and the time since which it
  /// has been this number.
  int m_targetShards = 0;
  TimePoint m_targetSince{};
  std::map<std::string, int> m_assignments;
  /// Versions of assignment rows that name no shard, by worker. They are
  /// written again.
  std::map<std::string, uint64_t> m_refused;
  int m_shards;
  uint64_t m_layoutVersion = 0;
  /// The layout row cannot be used and is written again.
  bool m_isLayoutRefused = false;
  bool m_isLayoutRead = false;
  bool m_areAssignmentsRead = false;
  bool m_isWriting = false;
  bool m_isIdle = false;
};

BASILCHUTE_NAMESPACE_END
