/// \file
/// Interface to a transactional row store with change feeds. Rows are organised
/// in tables, and each table in partitions.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Address of one row. A transaction is limited to one partition.
struct RowAddress {
  std::string Table;
  std::string Partition;
  std::string Key;

  auto operator<=>(const RowAddress &) const = default;
};

/// A row as read from the store, with its address.
struct StoredRow {
  RowAddress Address;
  std::string Value;
  /// Number of the transaction that wrote the row.
  uint64_t Version = 0;
  /// Whether the row was removed; only set in a feed.
  bool IsRemoved = false;
};

/// Rows returned by one read.
struct RowPage {
  std::vector<StoredRow> Rows;
  /// Whether the range has more rows after the last one of this page.
  bool HasMore = false;
  /// Number of the newest transaction that is visible to the read.
  uint64_t Version = 0;
};

/// A write or removal of one row within a transaction.
struct RowChange {
  RowAddress Address;
  std::string Value;
  bool IsRemoval = false;
};

/// Requires the row to have this version, or to be absent if the version is
/// zero.
struct RowCondition {
  RowAddress Address;
  uint64_t Version = 0;
};

/// A transaction: all changes take effect together if all conditions hold.
/// Contains at most `MaxRowsPerCommit` entries, all of them in one partition.
struct RowCommit {
  std::vector<RowCondition> Conditions;
  std::vector<RowChange> Changes;
};

/// Maximum number of entries in one RowCommit, including conditions.
constexpr size_t MaxRowsPerCommit = 100;
/// Maximum size of one row's value, in bytes.
constexpr size_t MaxRowBytes = 48000;
/// Maximum size of all values in one RowCommit, in bytes.
constexpr size_t MaxCommitBytes = 700000;

/// Rows of one partition with keys in the half-open range from `From` to `To`.
/// An empty `To` means no upper bound.
struct RowRange {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string To;
};

/// Transactional row store. Calls do not block; the callback runs later,
/// exactly once, on the caller's event loop.
class RowStore {
public:
  /// Receives the version of the commit. Fails with Conflict (a condition does
  /// not hold), Unavailable or Overloaded (nothing was changed), or
  /// OutcomeUnknown (the commit may take effect, possibly later if its
  /// conditions still hold then).
  using CommitDone = std::function<void(Result<uint64_t>)>;
  /// Receives the rows that were read. Fails with Unavailable.
  using ReadDone = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;
  /// Applies \p Commit as one transaction.
  virtual void commit(RowCommit Commit, CommitDone Done) = 0;
  /// Reads one page of \p Range from a consistent snapshot.
  virtual void read(RowRange Range, ReadDone Done) = 0;
  /// Waits until rows of \p Table have changed after \p Version and returns
  /// them, or returns no rows after \p Wait. Fails with NotFound if the history
  /// since \p Version was dropped; the caller must then read the table again.
  virtual void readChanges(std::string Table, uint64_t Version,
                           milliseconds Wait, ReadDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
