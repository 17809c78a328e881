/// \file
/// Claims, keeps and releases shards through their rows in the table store.
#pragma once

#include "basilchute/committer.h"
#include "basilchute/layout.h"
#include "basilchute/membership.h"
#include "libbasilchute/rows.h"
#include "libbasilchute/shardkeeper.h"

#include <functional>
#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an Ownership.
struct OwnershipOptions {
  std::string Self;
  Layout Division;
  /// Horizon assumed of an owner whose member row is gone.
  milliseconds DefaultHorizon{0};
  /// Lease that an owner may grant at the very end of its horizon.
  milliseconds TaskLease{0};
  milliseconds ScanEvery{1000};
  /// How long the first choice may take before others claim.
  milliseconds FirstChoicePatience{3000};
  /// How long another first choice must last before a shard is moved to it.
  milliseconds RebalanceAfter{5000};
  /// Test-only fault: see SchedulerFaults.
  bool IgnoreHorizon = false;
};

/// Decides which shards this process owns.
class Ownership {
public:
  Ownership(OwnershipOptions Options, TableStore &Store, const Clock &Time,
            const Membership &Members);

  /// Called with every claim that took effect.
  std::function<void(const ShardClaim &)> OnClaimed;
  /// Called when another process took a shard that this one owned.
  std::function<void(const std::string &)> OnLost;

  void tick();
  void stopClaiming() { m_claiming = false; }
  /// Returns true if an owned shard should be handed to another process.
  bool shouldRelease(const std::string &Shard) const;
  /// Gives up \p Claim; leases granted under it may run for \p Residual.
  void release(const ShardClaim &Claim, nanoseconds Residual);
  /// Forgets an owned shard whose loss was noticed elsewhere.
  void forget(const std::string &Shard) { m_owned.erase(Shard); }
  /// True while no release or claim is being written.
  bool idle() const { return m_committer.idle(); }

private:
  /// An ownership row and since when it stands so.
  struct WatchedShard {
    v1::ShardRow Row;
    uint64_t Version = 0;
    TimePoint FirstSeen{};
    /// Since when the shard has had no live owner.
    std::optional<TimePoint> OrphanSince;
    /// Since when another process has been first choice.
    std::optional<TimePoint> MisplacedSince;
    bool Writing = false;
  };

  void scan(TimePoint Now);
  void onRows(const std::vector<Row> &Rows);
  void judge(const std::string &Shard, const std::string &FirstChoice);
  void claim(const std::string &Shard);
  void onClaimed(ShardClaim Claim, Result<uint64_t> Reply);
  TimePoint inheritedHorizon(const WatchedShard &Of) const;

  OwnershipOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  const Membership &m_members;
  Committer m_committer;
  std::map<std::string, WatchedShard> m_shards;
  /// Epochs of the shards owned by this process.
  std::map<std::string, uint64_t> m_owned;
  TimePoint m_scanAt{};
  bool m_scanning = false;
  bool m_claiming = true;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

BASILCHUTE_NAMESPACE_END
