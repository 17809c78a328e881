/// \file
/// Membership of the system's processes, kept as rows in the table store.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/committer.h"
#include "basilchute/resources.h"
#include "basilchute/tablestore.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Role of a process in the system.
enum class MemberRole { Entry, Scheduler };

/// Free resources and waiting tasks of one shard, published by its owner.
struct ShardSummary {
  std::string Shard;
  Resources Free;
  Resources LargestFree;
  uint32_t WaitingTasks = 0;
};

/// One process as described by its membership row.
struct Member {
  std::string Id;
  MemberRole Role = MemberRole::Entry;
  std::string FailureDomain;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// How long after its last renewal the process may extend the leases of
  /// running tasks.
  milliseconds GrantHorizon{0};
  bool IsDraining = false;
  uint64_t ConfigRevision = 0;
  std::vector<ShardSummary> Shards;
};

/// Settings of a Membership.
struct MembershipOptions {
  Member Self;
  milliseconds RenewInterval{1500};
  /// A process is considered dead once its row was observed unchanged for this
  /// long.
  milliseconds Timeout{5000};
  milliseconds ScanInterval{1000};
  /// Allowance for the difference of clock rates, in parts per thousand.
  int ClockDriftPermille = 5;
};

/// Renews this process's membership row and detects dead processes by their
/// rows.
///
/// Only durations on the local clock count: a row's lease starts when this
/// process first sees the row's present version. A process is considered dead
/// only after its row was observed without a gap for the whole timeout, so that
/// an outage of the store makes no process look dead. Not thread-safe.
class Membership {
public:
  Membership(MembershipOptions Options, TableStore &Store, const Clock &Time);
  ~Membership();
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;

  /// Renews the own row and scans all rows when due. Call it every few
  /// milliseconds.
  void tick();
  /// Returns true while this process's own lease is valid on every process's
  /// clock, within the drift allowance.
  bool isLeaseValid() const;
  /// Returns true while this process may extend the leases of tasks that
  /// already run: until its horizon after the last renewal.
  bool canExtendLeases() const;
  /// Returns the processes that are not considered dead, including this one,
  /// ordered by id.
  std::vector<Member> liveMembers() const;
  /// Returns all processes that have a row, including dead ones, ordered by id.
  std::vector<Member> allMembers() const;
  /// Returns true if \p Id has a row and is not considered dead.
  bool isLive(const std::string &Id) const;
  /// Returns the end of the horizon of \p Id, after which that process extends
  /// no lease, or nullopt if it has no row.
  std::optional<TimePoint> grantHorizonEnd(const std::string &Id) const;
  /// Returns true once a scan and a renewal have succeeded.
  bool hasJoined() const;
  /// Returns the time since the last successful scan was sent, or one hour if
  /// there was none.
  nanoseconds viewAge() const;
  /// Sets what the next renewal publishes about this process.
  void publish(uint64_t ConfigRevision, std::vector<ShardSummary> Shards);
  /// Marks this process as draining and renews its row at the next tick.
  void drain();
  /// Removes the row of this process and stops renewing it; calls \p Done when
  /// the removal succeeded or failed.
  void leave(std::function<void()> Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
