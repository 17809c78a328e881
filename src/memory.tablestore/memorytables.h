/// \file
/// In-memory implementation of the table service's transaction semantics,
/// without transport or fault injection.
#pragma once

#include "basilchute/tablestore.h"

#include <functional>
#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Rows of the table service, held in memory. Not thread-safe.
class MemoryTables {
public:
  /// Called after each write of a transaction has been applied.
  std::function<void(const Write &, uint64_t Version)> OnWrite;

  std::vector<Row> scan(const std::string &Prefix) const;
  std::optional<Row> get(const std::string &Key) const;
  /// Applies \p Tx and returns the new version. Fails with Conflict, naming the
  /// first row whose version is not the expected one.
  Result<uint64_t> commit(const Transaction &Tx);

private:
  uint64_t versionOf(const std::string &Key) const;

  std::map<std::string, Row> m_rows;
  uint64_t m_lastVersion = 0;
};

BASILCHUTE_NAMESPACE_END
