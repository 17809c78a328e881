#include "libbasilchute/renewalrecord.h"

BASILCHUTE_NAMESPACE_BEGIN

void RenewalRecord::add(TimePoint SentAt) {
  m_last = SentAt;
  if (isCertain())
    m_lastCertain = SentAt;
}

void RenewalRecord::onOwnerRead(int Shard, TimePoint SentAt) {
  auto It = m_unverified.find(Shard);
  if (It == m_unverified.end() || SentAt < It->second)
    return;
  m_unverified.erase(It);
  if (isCertain())
    m_lastCertain = m_last;
}

BASILCHUTE_NAMESPACE_END
