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
  auto Found = m_rows.find(Key);
  if (Found == m_rows.end())
    return std::nullopt;
  return Found->second;
}

uint64_t MemoryTables::versionOf(const std::string &Key) const {
  auto Found = m_rows.find(Key);
  return Found == m_rows.end() ? 0 : Found->second.Version;
}

Result<uint64_t> MemoryTables::commit(const Transaction &Tx) {
  for (const Check &Each : Tx.Checks)
    if (versionOf(Each.Key) != Each.ExpectedVersion)
      return makeError(ResultCode::Conflict,
                       "row \"" + Each.Key + "\" changed");
  for (const Write &Each : Tx.Writes)
    if (versionOf(Each.Key) != Each.ExpectedVersion)
      return makeError(ResultCode::Conflict,
                       "row \"" + Each.Key + "\" changed");
  uint64_t Version = ++m_lastVersion;
  for (const Write &Each : Tx.Writes) {
    if (Each.Remove)
      m_rows.erase(Each.Key);
    else
      m_rows[Each.Key] = {.Key = Each.Key,
                          .Value = Each.Value,
                          .Version = Version,
                          .Writer = Each.Writer};
    if (OnWrite)
      OnWrite(Each, Version);
  }
  return Version;
}

BASILCHUTE_NAMESPACE_END
