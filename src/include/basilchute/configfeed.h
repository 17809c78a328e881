/// \file
/// The configuration: documents under one increasing revision.
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

/// A change that takes effect as a whole.
struct ConfigChange {
  /// Revision that it was made on; 0 accepts any.
  uint64_t BaseRevision = 0;
  /// Binary Document messages by KIND/NAME.
  std::map<std::string, std::string> Documents;
  /// KIND/NAME of documents to remove.
  std::vector<std::string> Deletions;
};

/// Settings of a ConfigFeed.
struct ConfigFeedOptions {
  std::string WriterId;
  milliseconds PollEvery{500};
  /// Age of the last proof of freshness at which new work is refused.
  milliseconds FreshFor{6000};
};

/// What another process said of its configuration.
struct ConfigWitness {
  std::string Member;
  uint64_t Revision = 0;
  /// Age of that process's last proof, when it answered.
  milliseconds Age{0};
};

/// Follows the configuration and changes it.
///
/// Only a higher revision ever replaces the present one. Not safe for use by
/// several threads.
class ConfigFeed {
public:
  ConfigFeed(ConfigFeedOptions Options, TableStore &Store, const Clock &Time);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed &) = delete;
  ConfigFeed &operator=(const ConfigFeed &) = delete;

  /// Called with every newer configuration.
  std::function<void(const Configuration &)> OnChange;

  void tick();
  /// Reads the head at the next tick if \p Revision is newer than the present.
  void hint(uint64_t Revision);
  /// Takes what another process answered to a question sent at \p AskedAt.
  void noteWitness(const ConfigWitness &From, TimePoint AskedAt);
  /// Returns true if no accepted change can be unknown here for longer than the
  /// limit: the store or a fresh enough process confirmed the revision, or
  /// every one of \p Others answered within the limit and none of them reaches
  /// the store either.
  bool fresh(const std::vector<std::string> &Others) const;
  /// Age of the last proof that the present revision is the newest.
  milliseconds proofAge() const;
  const Configuration &current() const;
  /// Writes \p Change; \p Done gets the new revision. Fails with Conflict
  /// naming the newer revision, with NotFound for a deletion of nothing, with
  /// Unavailable if the store was not reached, and with OutcomeUnknown if it
  /// does not answer in \p Limit; then the change may still take effect.
  void apply(ConfigChange Change, milliseconds Limit,
             std::function<void(Result<uint64_t>)> Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
