/// \file
/// Membership of the system's processes through rows in the table store.
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

/// What a process does for the system.
enum class MemberRole { Entry, Scheduler };

/// Free room of one shard, published by its owner.
struct ShardSummary {
  std::string Shard;
  Resources Free;
  Resources LargestFit;
  uint32_t Waiting = 0;
};

/// One process as others see it.
struct Member {
  std::string Id;
  MemberRole Role = MemberRole::Entry;
  std::string FailureDomain;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// How long past a renewal the process may extend leases by itself.
  milliseconds GrantHorizon{0};
  bool Draining = false;
  uint64_t ConfigRevision = 0;
  std::vector<ShardSummary> Shards;
};

/// Settings of a Membership.
struct MembershipOptions {
  Member Self;
  milliseconds RenewEvery{1500};
  /// A row that was watched unchanged for this long belongs to a dead process.
  milliseconds Timeout{5000};
  milliseconds ScanEvery{1000};
  /// Allowance for the difference of clock rates, in parts per thousand.
  int ClockDriftPermille = 5;
};

/// Keeps this process's member row alive and judges the others' rows.
///
/// Only durations on the local clock count: a row's lease starts when this
/// process first saw its present version, and a process is judged dead only
/// after it was watched without a gap for the whole timeout, so that a store
/// outage condemns nobody. Not safe for use by several threads.
class Membership {
public:
  Membership(MembershipOptions Options, TableStore &Store, const Clock &Time);
  ~Membership();
  Membership(const Membership &) = delete;
  Membership &operator=(const Membership &) = delete;

  /// Renews and scans when due. Call it every few milliseconds.
  void tick();
  /// Returns true while this process's own lease is surely valid.
  bool leaseValid() const;
  /// Returns true while the process may extend leases of what already runs.
  bool mayExtendGrants() const;
  /// Processes that were not judged dead, this one included, by id.
  std::vector<Member> live() const;
  /// All processes that have a row, dead ones included, by id.
  std::vector<Member> known() const;
  /// Returns true if \p Id is neither dead nor unknown.
  bool isLive(const std::string &Id) const;
  /// Point after which \p Id surely extends no lease by itself, or none if its
  /// row is gone.
  std::optional<TimePoint> grantHorizonEnd(const std::string &Id) const;
  /// Returns true after the first scan and renewal succeeded.
  bool joined() const;
  /// Time since the last successful scan was sent.
  nanoseconds viewAge() const;
  /// Changes what the next renewal publishes of this process.
  void publish(uint64_t ConfigRevision, std::vector<ShardSummary> Shards);
  /// Marks this process as draining and renews at once.
  void drain();
  /// Removes the row; \p Done runs when that is settled.
  void leave(std::function<void()> Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
