#include "memory.tablestore/memorytables.h"

BASILCHUTE_NAMESPACE_BEGIN

std::vector<Row> MemoryTables::scan(const std::string &Prefix) const {
  std::vector<Row> Out;
  for (auto It = m_rows.lower_bound(Prefix);
       It != m_rows.end() && It->first.starts_with(Prefix); ++It)
    Out.push_back(It->second);
  return Out;
}

std::optional<Row> MemoryTables::get(const std::string &Key) const {
  auto It = m_rows.find(Key);
  if (It == m_rows.end())
    return std::nullopt;
  return It->second;
}

uint64_t MemoryTables::versionOf(const std::string &Key) const {
  auto It = m_rows.find(Key);
  return It == m_rows.end() ? 0 : It->second.Version;
}

Result<uint64_t> MemoryTables::commit(const Transaction &Tx) {
  for (const RowVersionCheck &RowCheck : Tx.Checks)
    if (versionOf(RowCheck.Key) != RowCheck.ExpectedVersion)
      return makeError(ResultCode::Conflict,
                       "row \"" + RowCheck.Key + "\" changed");
  for (const Write &RowWrite : Tx.Writes)
    if (versionOf(RowWrite.Key) != RowWrite.ExpectedVersion)
      return makeError(ResultCode::Conflict,
                       "row \"" + RowWrite.Key + "\" changed");
  uint64_t Version = ++m_lastVersion;
  for (const Write &RowWrite : Tx.Writes) {
    if (RowWrite.Remove)
      m_rows.erase(RowWrite.Key);
    else
      m_rows[RowWrite.Key] = {.Key = RowWrite.Key,
                              .Value = RowWrite.Value,
                              .Version = Version,
                              .WriteToken = RowWrite.WriteToken};
    if (OnWrite)
      OnWrite(RowWrite, Version);
  }
  return Version;
}

BASILCHUTE_NAMESPACE_END
