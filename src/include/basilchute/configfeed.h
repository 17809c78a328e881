/// \file
/// Reads and changes the configuration: documents under one increasing
/// revision.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/scheduler.h"
#include "basilchute/tablestore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// The configuration at one revision.
struct Configuration {
  uint64_t Revision = 0;
  /// Binary Document messages by KIND/NAME.
  std::map<std::string, std::string> Documents;
  std::vector<ServiceSpec> Services;
  std::vector<WorkerCordon> Cordons;
};

/// A change of several documents that takes effect atomically.
struct ConfigChange {
  /// Revision that the change is based on; 0 accepts any.
  uint64_t BaseRevision = 0;
  /// Binary Document messages by KIND/NAME.
  std::map<std::string, std::string> Documents;
  /// KIND/NAME of documents to remove.
  std::vector<std::string> Deletions;
};

/// Settings of a ConfigFeed.
struct ConfigFeedOptions {
  std::string WriterId;
  milliseconds PollInterval{500};
  /// Age of the last proof of freshness from which new work is refused. A proof
  /// is a confirmation that the present revision is the newest.
  milliseconds MaxProofAge{6000};
};

/// State of the configuration as reported by another process.
struct PeerConfigReport {
  std::string Member;
  uint64_t Revision = 0;
  /// Age of the last proof of that process when it answered.
  milliseconds ProofAge{0};
};

/// Polls the configuration in the table store and writes changes to it.
///
/// The present configuration is replaced only by one with a higher revision.
/// Not thread-safe.
class ConfigFeed {
public:
  ConfigFeed(ConfigFeedOptions Options, TableStore &Store, const Clock &Time);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed &) = delete;
  ConfigFeed &operator=(const ConfigFeed &) = delete;

  /// Called with every newer configuration.
  std::function<void(const Configuration &)> OnChange;

  /// Polls the store when due and expires changes. Call it every few
  /// milliseconds.
  void tick();
  /// Polls the store at the next tick if \p Revision is newer than the present
  /// one.
  void noteNewerRevision(uint64_t Revision);
  /// Records \p Report, the answer of another process to a question sent at
  /// \p AskedAt.
  void recordPeerReport(const PeerConfigReport &Report, TimePoint AskedAt);
  /// Returns true if no accepted change can have been unknown here for longer
  /// than MaxProofAge: either the store or another process proved the present
  /// revision within that time, or each of \p Others reported within that time
  /// that it has the same revision and cannot reach the store either.
  bool isFresh(const std::vector<std::string> &Others) const;
  /// Returns the age of the last proof that the present revision is the newest.
  milliseconds proofAge() const;
  const Configuration &current() const;
  /// Writes \p Change; \p Done gets the new revision. Fails with Conflict,
  /// naming the present revision, with NotFound if a document to delete does
  /// not exist, with Unavailable if the store cannot be reached, and with
  /// OutcomeUnknown if the store does not answer within \p Timeout; the change
  /// may still take effect then.
  void apply(ConfigChange Change, milliseconds Timeout,
             std::function<void(Result<uint64_t>)> Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
