/// \file
/// How many shards there are, and which workers belong to which.
#pragma once

#include "basilchute/rowstore.h"
#include "basilchute/taskworker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a ShardLayout.
struct ShardLayoutOptions {
  /// Workers that one shard should hold.
  int WorkersPerShard = 160;
  int LeastShards = 1;
  int MostShards = 64;
  /// The number of shards has grown.
  std::function<void()> OnGrown;
  /// The assignment of workers has changed.
  std::function<void()> OnAssigned;
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Returns the number of shards for \p Workers workers.
int shardsFor(size_t Workers, const ShardLayoutOptions &Options);

/// Follows the rows of the layout and of the workers' shards. The number of
/// shards follows the fleet and only grows; a worker keeps its shard for good.
class ShardLayout : public std::enable_shared_from_this<ShardLayout> {
public:
  ShardLayout(ShardLayoutOptions Options, RowStore &Store, const Clock &Time);

  /// Begins to read.
  void start();
  /// All workers of the platform's list.
  void setFleet(const std::vector<WorkerEntry> &Fleet) { m_fleet = Fleet; }
  /// Grows the layout and gives workers without a shard to the shard with the
  /// least capacity. Only one host should call it; the rows' conditions settle
  /// races.
  void arrange();

  int shards() const { return m_shards; }
  /// Shard of \p Worker, or -1 if it has none yet.
  int shardOf(const std::string &Worker) const;

private:
  void readLayout();
  void readAssignments(const std::string &Key, uint64_t From);
  void follow(uint64_t From);
  void onRows(const std::vector<PlacedRow> &Rows);
  void onLayoutRow(const PlacedRow &Row);
  void grow(int Wanted);
  void assign(const std::vector<const WorkerEntry *> &Fresh,
              std::map<std::string, std::vector<int64_t>> Capacity);
  void log(std::string_view Event, std::string_view Fields) const;

  ShardLayoutOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::vector<WorkerEntry> m_fleet;
  /// Number of shards that the fleet asks for, and since when.
  int m_wanted = 0;
  TimePoint m_wantedSince{};
  std::map<std::string, int> m_assignments;
  int m_shards;
  uint64_t m_layoutVersion = 0;
  bool m_layoutRead = false;
  bool m_assignmentsRead = false;
  bool m_writing = false;
};

BASILCHUTE_NAMESPACE_END
