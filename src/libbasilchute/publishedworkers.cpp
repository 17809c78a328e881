#include "libbasilchute/publishedworkers.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

// Two renewals that are sent at the same time have the same reports.
void PublishedWorkers::onSent(TimePoint Now,
                              const std::map<int, ShardReport> &Reports) {
  m_sent.erase(m_sent.begin(), m_sent.lower_bound(Now - m_maxAge));
  m_sent[Now] = {.Reports = Reports};
}

void PublishedWorkers::onAnswered(TimePoint SentAt, bool HasTakenEffect) {
  auto It = m_sent.find(SentAt);
  if (It == m_sent.end())
    return;
  if (HasTakenEffect)
    It->second.IsAnswered = true;
  else
    m_sent.erase(It);
}

void PublishedWorkers::onCertain(std::optional<TimePoint> SentAt) {
  if (!SentAt)
    return;
  m_hasCertain = true;
  std::erase_if(m_sent, [&](const auto &Entry) {
    return Entry.first < *SentAt && Entry.second.IsAnswered;
  });
}

uint32_t PublishedWorkers::most(int Shard, uint64_t Epoch) const {
  uint32_t Out = 0;
  for (const auto &[SentAt, Sent] : m_sent) {
    auto It = Sent.Reports.find(Shard);
    if (It == Sent.Reports.end() || It->second.Epoch != Epoch)
      return 0;
    Out = std::max(Out, It->second.Workers);
  }
  return m_hasCertain ? Out : 0;
}

BASILCHUTE_NAMESPACE_END
