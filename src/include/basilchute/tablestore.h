/// \file
/// Interface to the platform's transactional table service.
#pragma once

#include "basilchute/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One stored row. Versions increase with every commit, across the whole store.
struct Row {
  std::string Key;
  std::string Value;
  uint64_t Version = 0;
  /// Token of the write that created this version.
  std::string WriteToken;
};

/// A conditional write. It takes effect only if the row's version is still
/// `ExpectedVersion`, where 0 stands for an absent row.
struct Write {
  std::string Key;
  std::string Value;
  bool Remove = false;
  uint64_t ExpectedVersion = 0;
  /// Unique token of this write, by which the writer recognises its own write
  /// when it reads the row back.
  std::string WriteToken;
};

/// A condition on a row that a transaction depends on without writing the row.
struct RowVersionCheck {
  std::string Key;
  uint64_t ExpectedVersion = 0;
};

/// Writes that are applied atomically if all conditions hold.
struct Transaction {
  std::vector<Write> Writes;
  std::vector<RowVersionCheck> Checks;
};

/// Transactional store of rows with string keys.
///
/// Use one instance per process. Calls return immediately; the callback runs
/// later on the thread that drives the caller's core, exactly once, and never
/// from inside the call.
class TableStore {
public:
  /// Receives the rows in key order.
  using ScanDone = std::function<void(Result<std::vector<Row>>)>;
  /// Receives the new version of all written rows. Fails with Conflict (nothing
  /// was written; the message names the key), Unavailable (nothing was written)
  /// or OutcomeUnknown.
  using CommitDone = std::function<void(Result<uint64_t>)>;

  /// Receives the row, or none if the row is absent.
  using GetDone = std::function<void(Result<std::optional<Row>>)>;

  virtual ~TableStore() = default;
  /// Reads the row \p Key.
  virtual void get(const std::string &Key, GetDone Done) = 0;
  /// Reads a consistent snapshot of all rows whose key starts with \p Prefix.
  virtual void scan(const std::string &Prefix, ScanDone Done) = 0;
  /// Applies \p Tx if all its conditions hold.
  virtual void commit(Transaction Tx, CommitDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
