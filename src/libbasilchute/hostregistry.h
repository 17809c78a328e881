/// \file
/// Which hosts are alive, by their rows in the store.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/rowstore.h"
#include "basilchute/shardplan.h"
#include "libbasilchute/jobrows.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a HostRegistry.
struct HostRegistryOptions {
  /// Name of this host, on which only one process runs.
  std::string HostName;
  /// HostName with a suffix that is unique for each start of the process.
  std::string HostId;
  /// Interval between two reads of the rows while this host must hear of dead
  /// hosts soon, and between two renewals of a host that owns shards.
  milliseconds ReadInterval{500};
  /// Interval between two reads otherwise.
  milliseconds IdleReadInterval{1000};
  /// A host whose row has not changed for this long is considered dead. Hosts
  /// that renew their rows less often than each ReadInterval get as much more.
  milliseconds Timeout{1700};
  /// Called after each complete read.
  std::function<void()> OnRead;
  /// Receives one line for each decision: event and key=value fields.
  std::function<void(std::string_view, std::string_view)> Log;
};

/// Reads the rows of all hosts again and again, and observes which of them
/// change.
///
/// Not thread-safe. Must be owned by a std::shared_ptr.
class HostRegistry : public std::enable_shared_from_this<HostRegistry> {
public:
  /// Number of consecutive reads in which a row must be unchanged before its
  /// host is considered dead.
  static constexpr int MinUnchangedReads = 3;

  HostRegistry(HostRegistryOptions Options, RowStore &Store, const Clock &Time);

  /// Reads the rows if the next read is due. \p IsIdle allows the longer
  /// interval, unless the row of an owner was unchanged in the last read.
  void tick(bool IsIdle = false);
  /// Returns the number of complete reads.
  int reads() const { return m_reads; }
  /// Returns the row of the live host \p Id, or null if there is none.
  const HostRecord *findLive(const std::string &Id) const;
  /// Returns true if no host has a row.
  bool isEmpty() const { return m_hosts.empty(); }
  /// Returns all live hosts, in the order of their ids.
  std::vector<PlanHost> liveHosts() const;
  /// Returns the least memory for jobs, of \p Own and of all hosts with a row,
  /// where zero is no limit. Hosts that are down may come back.
  size_t leastJobBytes(size_t Own) const;
  /// Returns the version of the row of host \p Id as last read, zero if there
  /// was none.
  uint64_t rowVersion(const std::string &Id) const;
  /// Returns a time before which the host \p Id sent every renewal of its row
  /// that had taken effect by the last read; none if it has no valid row.
  std::optional<TimePoint> lastChange(const std::string &Id) const;
  /// Returns true if every host whose row may have changed since \p Since
  /// bounds its leases, see HostRecord::BoundsLeases.
  bool haveBoundedLeases(TimePoint Since) const;
  /// Returns true if every other host whose row may have changed or was removed
  /// since \p Since has HostRecord::HasStoredEvidence.
  bool haveStoredEvidence(TimePoint Since) const;
  /// Returns the smallest number of workers in any report on \p Shard by
  /// another host whose row may have changed or was removed since \p Since; the
  /// largest value if there is none, zero if one has no number.
  uint32_t fewestWorkers(int Shard, TimePoint Since) const;

private:
  /// A host as read from its row.
  struct ObservedHost {
    HostRecord Record;
    uint64_t Version = 0;
    /// Time at which the row was last seen to change.
    TimePoint ChangedAt{};
    /// Number of reads since then.
    int UnchangedReads = 0;
    /// Number of reads that showed this row unchanged and the row of this host
    /// renewed, and the time of the first. A slow store would have kept both
    /// from changing.
    int OutpacedReads = 0;
    TimePoint OutpacedSince{};
  };

  void read(const std::string &From);
  void onRow(const StoredRow &Row);
  void onRead();
  void observe(ObservedHost &Host, bool HadGap, bool IsOwnRenewed);
  bool isOutpaced(const ObservedHost &Host) const;
  milliseconds timeoutOf(const ObservedHost &Host) const;
  void remove(const std::string &Id);
  void removeFormerProcesses();
  bool isAlive(const ObservedHost &Host) const;
  bool isAnyOwnerSilent() const;
  void log(std::string_view Event, std::string_view Fields) const;

  HostRegistryOptions m_options;
  RowStore &m_store;
  const Clock &m_time;
  std::map<std::string, ObservedHost> m_hosts;
  /// Hosts whose rows were removed lately, as they were before; their ChangedAt
  /// is the time of the removal.
  std::map<std::string, ObservedHost> m_removed;
  /// Ids found so far in the current read.
  std::set<std::string> m_present;
  /// Version of the last row of each host that was refused and logged.
  std::map<std::string, uint64_t> m_refused;
  /// When the last read was sent, and when it was complete.
  TimePoint m_lastSent{};
  TimePoint m_lastRead{};
  /// Time between the last two reads.
  nanoseconds m_lastGap{0};
  /// Intervals after which the next read is due, and the last one was.
  milliseconds m_interval{0};
  milliseconds m_lastInterval{0};
  bool m_isReading = false;
  int m_reads = 0;
  /// Version of this host's own row in the last read.
  uint64_t m_ownVersion = 0;
};

BASILCHUTE_NAMESPACE_END
