/// \file
/// Largest capacity that each worker has had.
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

/// Settings of LargestCapacities.
struct LargestCapacitiesOptions {
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Keeps the largest capacity that each worker has had, since a worker that has
/// shrunk may grow again. Stored for each worker that has shrunk, so that a
/// process that starts later knows it too.
class LargestCapacities
    : public std::enable_shared_from_this<LargestCapacities> {
public:
  LargestCapacities(LargestCapacitiesOptions Options, RowStore &Store,
                    const Clock &Time);

  /// Sets the complete list of the platform's workers.
  void setFleet(const std::vector<WorkerEntry> &Fleet);
  /// Returns true if a largest capacity may have changed. \p Row may be any row
  /// of AssignmentTable.
  bool onRow(const StoredRow &Row);
  /// Called once all rows that were there have been passed to onRow().
  void setComplete() { m_isComplete = true; }
  /// Returns the listed workers with their largest capacities; none before
  /// setComplete(), since the workers may be larger than this process knows. A
  /// worker that never had any capacity may have been of any size.
  std::vector<WorkerEntry> workers() const;
  /// Returns true if \p Test holds for any worker that is listed or has left
  /// the list within Retention, with its largest capacity.
  bool anyKnown(const std::function<bool(const WorkerEntry &)> &Test) const;
  /// Returns true if the worker is one of these.
  bool isKnown(const std::string &Worker) const {
    return m_workers.count(Worker) > 0;
  }
  bool isComplete() const { return m_isComplete; }
  /// A worker that left the list longer ago does not come back as it was.
  static constexpr milliseconds Retention{600000};
  /// Stores what is missing, and removes rows of workers that have left. Must
  /// be called regularly. \p IsManager is true on one host; others store what
  /// this one has left out for some time, since only they may know it.
  void store(bool IsManager);

private:
  struct KnownWorker {
    WorkerEntry Largest;
    /// Capacity with which the worker is listed.
    Resources Current;
    /// When the worker left the list.
    TimePoint LeftAt{};
    /// Since when the largest capacity has not been stored.
    TimePoint MissingSince{};
    bool IsListed = false;
  };
  struct StoredCapacity {
    Resources Capacity;
    std::string Labels;
    uint64_t Version = 0;
    /// Last time at which the worker may have been listed.
    TimePoint UsedAt{};
  };

  static WorkerEntry largest(const KnownWorker &Worker);
  void enlarge(KnownWorker &Worker) const;
  bool isMissing(const KnownWorker &Worker) const;
  bool isOutdated(const std::string &Id, const StoredCapacity &Stored) const;
  void onStored(const std::vector<StoredRow> &Rows,
                const Result<uint64_t> &Reply);
  void log(std::string_view Event, std::string_view Fields) const;

  LargestCapacitiesOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  /// Workers that are listed or left the list recently.
  std::map<std::string, KnownWorker> m_workers;
  std::map<std::string, StoredCapacity> m_stored;
  TimePoint m_notBefore{};
  bool m_isComplete = false;
  bool m_isWriting = false;
};

BASILCHUTE_NAMESPACE_END
