/// \file
/// Claims and releases shards through their rows in the table store.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/layout.h"
#include "basilchute/membership.h"
#include "libbasilchute/rows.h"
#include "libbasilchute/shardmanager.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an Ownership.
struct OwnershipOptions {
  /// Id of this process.
  std::string Self;
  /// Division of the workers into shards.
  Layout Partitioning;
  /// Horizon assumed for an owner without a membership row.
  milliseconds DefaultHorizon{0};
  /// Longest task lease, which an owner may grant until the end of its horizon.
  milliseconds TaskLease{0};
  /// Interval between two scans of the shard rows.
  milliseconds ScanInterval{1000};
  /// Time after which other processes claim a shard without an owner if the
  /// first choice has not claimed the shard.
  milliseconds FirstChoiceTimeout{3000};
  /// Time for which another process must have been first choice before an owned
  /// shard is released to that process.
  milliseconds RebalanceDelay{5000};
  /// Test-only fault, see SchedulerFaults.
  bool IgnoreHorizon = false;
};

/// Decides which shards this process owns.
class Ownership {
public:
  Ownership(OwnershipOptions Options, TableStore &Store, const Clock &Time,
            const Membership &Members);

  /// Called after each successful claim.
  std::function<void(const ShardClaim &)> OnClaimed;
  /// Called when another process has claimed a shard that this process owned.
  std::function<void(const std::string &)> OnLost;
  /// Called when the release of a shard has taken effect, and then when another
  /// process has claimed the shard.
  std::function<void(const ShardClaim &)> OnReleased;
  std::function<void(const std::string &)> OnHandedOver;
  /// Called when a release certainly did not take effect: with Unavailable if
  /// this process still owns the shard, with Conflict if another one claimed
  /// it.
  std::function<void(const ShardClaim &, const Error &)> OnReleaseFailed;

  /// Runs the periodic work that has become due.
  void tick();
  void stopClaiming() { m_canClaim = false; }
  /// Returns true if an owned shard should be handed to another process, and
  /// the store answers.
  bool shouldRelease(const std::string &Shard) const;
  /// Releases the shard of \p Claim; calls OnReleased or OnReleaseFailed once
  /// the outcome is known. Unless the release fails, leases granted under the
  /// claim must not be valid for longer than \p Residual from now.
  void release(const ShardClaim &Claim, nanoseconds Residual);
  /// Removes \p Shard from the owned shards, after its loss was detected
  /// outside this class.
  void forget(const std::string &Shard) {
    m_owned.erase(Shard);
    m_released.erase(Shard);
  }
  /// Returns true if this process released \p Shard and nobody is known to have
  /// claimed it.
  bool isReleased(const std::string &Shard) const {
    return m_released.contains(Shard);
  }
  /// Returns true if no release or claim is being written.
  bool idle() const { return m_committer.idle(); }

private:
  /// A shard's ownership row and its evaluation by this process.
  struct ObservedShard {
    v1::ShardRow Row;
    uint64_t Version = 0;
    /// Time at which this version of the row was first read.
    TimePoint FirstSeen{};
    /// Time since which the shard has had no live owner.
    std::optional<TimePoint> OrphanSince;
    /// Time since which another process has been first choice for a shard owned
    /// by this process.
    std::optional<TimePoint> MisplacedSince;
    bool IsWriting = false;
  };

  void scan(TimePoint Now);
  void onRows(const std::vector<Row> &Rows);
  void evaluate(const std::string &Shard, const std::string &FirstChoice);
  void claim(const std::string &Shard);
  void onClaimed(ShardClaim Claim, TimePoint DecidedAt,
                 const Result<uint64_t> &Reply);
  void onReleaseWritten(const ShardClaim &Claim, const Result<uint64_t> &Reply);
  /// Returns the time until which leases granted by earlier owners may be
  /// valid.
  TimePoint inheritedLeaseEnd(const ObservedShard &ShardState) const;

  OwnershipOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  const Membership &m_members;
  Committer m_committer;
  std::map<std::string, ObservedShard> m_shards;
  /// Epochs of the shards that this process owns.
  std::map<std::string, uint64_t> m_owned;
  /// Epochs of the shards that this process released and nobody has claimed.
  std::map<std::string, uint64_t> m_released;
  TimePoint m_nextScan{};
  /// Time of the last reply to a scan.
  std::optional<TimePoint> m_scannedAt;
  bool m_isScanning = false;
  bool m_canClaim = true;
  /// Expires with this object, so that pending scans do not use it afterwards.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

BASILCHUTE_NAMESPACE_END
