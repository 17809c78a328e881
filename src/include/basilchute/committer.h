/// \file
/// Group commit of conditional writes; resolves lost replies by reading back.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/tablestore.h"

#include <memory>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of a Committer.
struct CommitterOptions {
  /// Prefix of the write tokens; unique among all writers of the store.
  std::string WriterId;
  /// How long writes are collected before they are sent as one transaction.
  milliseconds BatchWindow{20};
  /// Max writes in one transaction; a larger group is sent by itself.
  size_t MaxWrites = 128;
  /// Wait before writes are sent again after the store was unavailable or the
  /// outcome was unknown.
  milliseconds RetryInterval{300};
  /// Row that must be unchanged for any transaction to take effect, if set.
  std::optional<RowVersionCheck> FenceRow;
};

/// Combines conditional writes into few transactions.
///
/// Use it wherever a row must be written exactly once. If the outcome of a
/// transaction is unknown, the committer reads a written row back before it
/// sends the writes again, and reports success if they took effect although the
/// reply was lost. At most one transaction is in flight. Not thread-safe.
class Committer {
public:
  /// Gets the version of the written rows, or 0 if a read-back found a removed
  /// row absent. Fails with Conflict if a row changed, and with StaleEpoch if
  /// the fence row changed; nothing is written in either case.
  using Done = std::function<void(Result<uint64_t>)>;

  Committer(CommitterOptions Options, TableStore &Store, const Clock &Time);
  ~Committer();
  Committer(const Committer &) = delete;
  Committer &operator=(const Committer &) = delete;

  /// Queues \p Writes, which take effect together, and sets their Writer
  /// tokens.
  void commit(std::vector<Write> Writes, Done OnDone);
  /// Like commit(), but also fails, with Unavailable, if the store certainly
  /// did not apply \p Writes. Use it for a write that rests on observations
  /// that grow old. After an unknown outcome the writes are sent again until
  /// their outcome is known, because the first transaction may still take
  /// effect.
  void commitOnce(std::vector<Write> Writes, Done OnDone);
  /// Sends the queued writes that are due. Call it every few milliseconds.
  void tick();
  /// Returns true if nothing is queued or in flight.
  bool idle() const;
  /// Returns the number of transactions sent so far.
  uint64_t transactions() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
