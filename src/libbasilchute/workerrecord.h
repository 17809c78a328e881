/// \file
/// State that a shard's owner keeps of one worker: reserved resources, leases
/// and the last report.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/hostlist.h"
#include "basilchute/workerport.h"

#include <map>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// State of one worker as its shard's owner knows it.
///
/// The resources of a task are reserved from before its placement is committed
/// until a report of the worker shows that the attempt does not run there, or
/// until all leases on the worker have certainly expired.
class WorkerRecord {
public:
  /// \p InheritedLeaseEnd is the time at which every lease granted by an
  /// earlier owner has expired on the worker.
  WorkerRecord(Host Info, TimePoint InheritedLeaseEnd)
      : m_info(std::move(Info)), m_latestLeaseEnd(InheritedLeaseEnd) {}

  const Host &info() const { return m_info; }
  void setInfo(Host Info) { m_info = std::move(Info); }

  /// Reserves \p Demand for \p Task, replacing an earlier reservation.
  void reserve(const std::string &Task, const Resources &Demand,
               bool IsService);
  /// Returns the number of reservations for service replicas.
  size_t reservedReplicas() const { return m_reservedReplicas.size(); }
  /// Removes the reservation of \p Task, if there is one.
  void release(const std::string &Task);
  /// Returns the reserved resources by task.
  const std::map<std::string, Resources> &reservations() const {
    return m_reservations;
  }
  /// Returns the capacity minus all reservations; negative where the worker
  /// reported more tasks than fit.
  Resources free() const { return m_info.Capacity - m_reserved; }

  /// Records that a request that echoes the last report and grants \p Lease is
  /// about to be sent.
  void recordGrant(nanoseconds Lease, int DriftPermille);
  /// Records a report; returns true if the worker has a new incarnation.
  bool recordReport(const SyncReply &Report, TimePoint Now);
  /// Records that the current owner's epoch is installed on the worker: from
  /// now on no earlier owner can extend a lease there.
  void recordEpochInstalled(TimePoint Now, nanoseconds Lease,
                            int DriftPermille);
  /// Returns true once every lease that was ever granted on the worker has
  /// expired.
  bool haveLeasesExpired(TimePoint Now) const {
    return Now >= m_latestLeaseEnd;
  }
  /// Returns the time by which every lease granted so far has expired.
  TimePoint latestLeaseEnd() const { return m_latestLeaseEnd; }

  /// True while the worker's last report is recent enough.
  bool IsReachable = false;
  /// True once the worker confirmed the current owner's epoch.
  bool IsEpochInstalled = false;
  bool IsSyncInFlight = false;
  /// True if a sync should be sent without waiting for the next regular one.
  bool ShouldSyncNow = false;
  /// True while the platform lists the worker.
  bool IsListed = true;
  /// True if no new tasks may be placed on the worker.
  bool IsCordoned = false;
  /// True if the worker's tasks must move to other workers.
  bool IsDraining = false;
  TimePoint NextSyncAt{};
  TimePoint LastReportAt{};
  /// Attempts in a final state that are not placed on the worker according to
  /// the rows; the next sync sends Forget orders for them.
  std::set<TaskAttempt> AttemptsToForget;
  /// Running attempts that are not placed on the worker according to the rows;
  /// the next sync sends Stop orders for them.
  std::set<TaskAttempt> UnplacedAttempts;

  const std::string &incarnation() const { return m_incarnation; }
  milliseconds stamp() const { return m_stamp; }

private:
  Host m_info;
  std::map<std::string, Resources> m_reservations;
  std::set<std::string> m_reservedReplicas;
  /// Sum of all reservations.
  Resources m_reserved;
  std::string m_incarnation;
  milliseconds m_stamp{0};
  TimePoint m_stampReceivedAt{};
  TimePoint m_latestLeaseEnd;
};

BASILCHUTE_NAMESPACE_END
