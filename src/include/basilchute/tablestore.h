/// \file
/// Port to the platform's transactional table service.
#pragma once

#include "basilchute/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One stored row. Versions grow over the whole store with every commit.
struct Row {
  std::string Key;
  std::string Value;
  uint64_t Version = 0;
  /// Token of the write that made this version.
  std::string Writer;
};

/// One conditional write: it takes effect only if the row's version is still
/// `ExpectedVersion`, where 0 stands for an absent row.
struct Write {
  std::string Key;
  std::string Value;
  bool Remove = false;
  uint64_t ExpectedVersion = 0;
  /// Unique for this write, so that a read-back can recognise it.
  std::string Writer;
};

/// A row that a transaction depends on without writing it.
struct Check {
  std::string Key;
  uint64_t ExpectedVersion = 0;
};

/// Writes that take effect together or not at all.
struct Transaction {
  std::vector<Write> Writes;
  std::vector<Check> Checks;
};

/// Transactional rows under string keys.
///
/// Use one instance per process. Calls return at once; the callback runs later
/// on the thread that drives the caller's core, exactly once, and never from
/// inside the call.
class TableStore {
public:
  /// Rows in key order.
  using ScanDone = std::function<void(Result<std::vector<Row>>)>;
  /// Version that all written rows got. Fails with Conflict (nothing written,
  /// the message names the key), Unavailable (nothing written) or
  /// OutcomeUnknown.
  using CommitDone = std::function<void(Result<uint64_t>)>;

  /// The row, or none if it is absent.
  using GetDone = std::function<void(Result<std::optional<Row>>)>;

  virtual ~TableStore() = default;
  /// Reads the row \p Key.
  virtual void get(const std::string &Key, GetDone Done) = 0;
  /// Reads all rows whose key starts with \p Prefix, as one snapshot.
  virtual void scan(const std::string &Prefix, ScanDone Done) = 0;
  /// Applies \p Tx if every condition holds.
  virtual void commit(Transaction Tx, CommitDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
