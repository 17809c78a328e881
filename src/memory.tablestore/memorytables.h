/// \file
/// Transactional tables in memory: the plain rules of the table service,
/// without transport or faults.
#pragma once

#include "basilchute/tablestore.h"

#include <functional>
#include <map>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Rows in memory. Not safe for use by several threads.
class MemoryTables {
public:
  /// Called with every write that took effect, after it did.
  std::function<void(const Write &, uint64_t Version)> OnWrite;

  std::vector<Row> scan(const std::string &Prefix) const;
  std::optional<Row> get(const std::string &Key) const;
  /// Applies \p Tx; fails with Conflict naming the first row that differs.
  Result<uint64_t> commit(const Transaction &Tx);

private:
  uint64_t versionOf(const std::string &Key) const;

  std::map<std::string, Row> m_rows;
  uint64_t m_lastVersion = 0;
};

BASILCHUTE_NAMESPACE_END
