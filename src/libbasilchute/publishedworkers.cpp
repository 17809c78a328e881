#include "libbasilchute/publishedworkers.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void PublishedWorkers::onSent(TimePoint Now,
                              const std::map<int, ShardReport> &Reports) {
  m_sent.erase(m_sent.begin(), m_sent.lower_bound(Now - m_maxAge));
  std::map<int, Report> &Sent = m_sent[Now];
  for (const auto &[Shard, Value] : Reports) {
    Report &Out = Sent[Shard];
    // Two renewals may be sent at the same time.
    if (Out.Epoch == Value.Epoch)
      Out.Workers = std::max(Out.Workers, Value.Workers);
    else
      Out = {.Epoch = Value.Epoch, .Workers = Value.Workers};
  }
}

void PublishedWorkers::onCertain(std::optional<TimePoint> SentAt) {
  if (!SentAt)
    return;
  m_certain = SentAt;
  m_sent.erase(m_sent.begin(), m_sent.lower_bound(*SentAt));
}

uint32_t PublishedWorkers::most(int Shard, uint64_t Epoch) const {
  uint32_t Out = 0;
  for (const auto &[SentAt, Reports] : m_sent) {
    auto It = Reports.find(Shard);
    bool HasReport = It != Reports.end() && It->second.Epoch == Epoch;
    if (SentAt == m_certain && !HasReport)
      return 0;
    if (HasReport)
      Out = std::max(Out, It->second.Workers);
  }
  return m_certain && m_sent.count(*m_certain) ? Out : 0;
}

BASILCHUTE_NAMESPACE_END
