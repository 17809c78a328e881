/// \file
/// Group commit of conditional writes with safe resolution of lost replies.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/tablestore.h"

#include <memory>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a Committer.
struct CommitterOptions {
  /// Distinguishes this process's write tokens from all others'.
  std::string WriterId;
  /// How long writes are collected before they are sent together.
  milliseconds Window{20};
  /// Writes in one transaction at most.
  size_t MaxWrites = 128;
  /// Pause after the store could not be reached.
  milliseconds RetryPause{300};
  /// Row that every transaction depends on, if any.
  std::optional<Check> Fence;
};

/// Collects conditional writes into few transactions.
///
/// Use it wherever a row must be written exactly once: it repeats a write only
/// after reading the row back, so that a reply lost after the write took effect
/// is reported as the success that it was. One transaction is in flight at a
/// time. Not safe for use by several threads.
class Committer {
public:
  /// Version of the written rows. Fails with Conflict if a row changed, and
  /// with StaleEpoch if the fence row did; nothing was written then.
  using Done = std::function<void(Result<uint64_t>)>;

  Committer(CommitterOptions Options, TableStore &Store, const Clock &Time);
  ~Committer();
  Committer(const Committer &) = delete;
  Committer &operator=(const Committer &) = delete;

  /// Queues \p Writes, which take effect together. Tokens are filled in here.
  void commit(std::vector<Write> Writes, Done Finished);
  /// Sends what is due. Call it every few milliseconds.
  void tick();
  /// Returns true if nothing is queued or in flight.
  bool idle() const;
  /// Transactions sent so far.
  uint64_t transactions() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
