/// \file
/// Port to a transactional store of rows in tables and parts, with change
/// feeds.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Place of one row. Transactions keep to one part.
struct RowPlace {
  std::string Table;
  std::string Part;
  std::string Key;

  auto operator<=>(const RowPlace &) const = default;
};

/// One row as it was read.
struct PlacedRow {
  RowPlace Place;
  std::string Value;
  /// Number of the transaction that wrote it.
  uint64_t Version = 0;
  /// Only in a feed: the row was removed.
  bool Removed = false;
};

/// Rows of one reading.
struct RowPage {
  std::vector<PlacedRow> Rows;
  /// More rows follow the last one.
  bool HasMore = false;
  /// Newest transaction that the reading saw.
  uint64_t Version = 0;
};

/// A row of a transaction.
struct RowChange {
  RowPlace Place;
  std::string Value;
  bool Remove = false;
};

/// A condition: the row must have this version; zero means that it is absent.
struct RowCondition {
  RowPlace Place;
  uint64_t Version = 0;
};

/// Changes that take effect together, if all conditions hold. At most
/// `MaxRowsPerCommit` entries, all in one part.
struct RowCommit {
  std::vector<RowCondition> Conditions;
  std::vector<RowChange> Changes;
};

/// Most entries of one RowCommit, conditions included.
constexpr size_t MaxRowsPerCommit = 100;

/// Rows of one part with keys from `From` up to and without `To`; an empty
/// `To` has no end.
struct RowRange {
  std::string Table;
  std::string Part;
  std::string From;
  std::string To;
};

/// Transactional rows. Calls return at once; the callback runs later on the
/// caller's loop, exactly once.
class RowStore {
public:
  /// Version of the commit. Fails with Conflict (a condition does not hold),
  /// Unavailable or Overloaded (nothing was done), or OutcomeUnknown (it may
  /// take effect, even later, if its conditions still hold then).
  using CommitDone = std::function<void(Result<uint64_t>)>;
  /// Fails with Unavailable.
  using ReadDone = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;
  virtual void commit(RowCommit Commit, CommitDone Done) = 0;
  /// Reads one page of \p Range as of a single moment.
  virtual void read(RowRange Range, ReadDone Done) = 0;
  /// Returns the rows of \p Table that changed after \p Version, as soon as
  /// there is one, or none after \p Wait. Fails with NotFound if that history
  /// was dropped; the reader must read the table anew.
  virtual void feed(std::string Table, uint64_t Version, milliseconds Wait,
                    ReadDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
