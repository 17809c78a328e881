/// \file
/// What a shard's owner knows of one worker: its room, its leases and its last
/// report.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/hostlist.h"
#include "basilchute/workerport.h"

#include <map>
#include <set>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// State of the link to one worker.
///
/// Room is held for a task from before its placement is committed until the
/// worker confirmed its end or its lease is surely over.
class WorkerLink {
public:
  /// \p InheritedBound is the point after which no earlier owner's lease can
  /// still run on the worker.
  WorkerLink(Host Info, TimePoint InheritedBound)
      : m_info(std::move(Info)), m_leaseBound(InheritedBound) {}

  const Host &info() const { return m_info; }
  void setInfo(Host Info) { m_info = std::move(Info); }

  /// Keeps room for \p Task; a repeat changes the amount.
  void hold(const std::string &Task, const Resources &Demand, bool IsService);
  /// Replicas of services among the holds.
  size_t serviceHolds() const { return m_serviceHolds.size(); }
  /// Gives the room of \p Task back; no effect if none is held.
  void release(const std::string &Task);
  /// Tasks that room is held for.
  const std::map<std::string, Resources> &holds() const { return m_holds; }
  /// Capacity less all holds; negative where a report showed too much.
  Resources free() const { return m_info.Capacity - m_held; }

  /// Records that a request echoing the last report goes out with \p Lease.
  void noteGrant(nanoseconds Lease, int DriftPermille);
  /// Records a reply; returns true if the worker has a new incarnation.
  bool noteReport(const WorkerReport &Report, TimePoint Now);
  /// Records that the present owner's epoch is installed: from now on no
  /// earlier owner can extend a lease there.
  void noteFenced(TimePoint Now, nanoseconds Lease, int DriftPermille);
  /// Returns true once every lease ever granted on the worker is over.
  bool leasesOver(TimePoint Now) const { return Now >= m_leaseBound; }
  TimePoint leaseBound() const { return m_leaseBound; }

  /// True while the owner's epoch is installed and the last report is fresh.
  bool Reachable = false;
  /// True once the worker confirmed the present owner's epoch.
  bool Fenced = false;
  bool SyncInFlight = false;
  /// True if there is something to tell before the next regular sync.
  bool Urgent = false;
  /// True while the platform lists the worker.
  bool Listed = true;
  bool Cordoned = false;
  /// True if the worker's tasks must move elsewhere.
  bool Draining = false;
  TimePoint NextSyncAt{};
  TimePoint LastReportAt{};
  /// Attempts that no longer concern the worker, to be forgotten there.
  std::set<TaskAttempt> Forget;
  /// Attempts that run there without being placed there.
  std::set<TaskAttempt> Strays;

  const std::string &incarnation() const { return m_incarnation; }
  milliseconds stamp() const { return m_stamp; }

private:
  Host m_info;
  std::map<std::string, Resources> m_holds;
  std::set<std::string> m_serviceHolds;
  Resources m_held;
  std::string m_incarnation;
  milliseconds m_stamp{0};
  TimePoint m_stampReceivedAt{};
  TimePoint m_leaseBound;
};

BASILCHUTE_NAMESPACE_END
