#include "libbasilchute/leaseevidence.h"

#include "libbasilchute/workerslot.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void LeaseEvidence::onAnswer(const std::string &Worker,
                             milliseconds Incarnation, TimePoint Sent,
                             bool IsSoleOwner) {
  if (IsSoleOwner) {
    m_workers[Worker] = {.Incarnation = Incarnation, .Sent = Sent};
    return;
  }
  auto It = m_workers.find(Worker);
  if (It == m_workers.end())
    return;
  if (It->second.Incarnation == Incarnation)
    It->second.Sent = std::max(It->second.Sent, Sent);
  else
    m_workers.erase(It);
}

bool LeaseEvidence::isSufficient(size_t Counted, TimePoint Now) const {
  auto Accepting = static_cast<size_t>(
      std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &Entry) {
        return Now <= Entry.second.Sent + m_maxAge;
      }));
  return 3 * Accepting > 2 * Counted;
}

// Evidence needs more than two thirds of the counted workers, none of which
// this owner has fenced. Two thirds of silent workers would already be too few
// if this owner knew all workers; the second third allows for those that left
// the list before this host started, or that it does not know yet.
void PreviousLeases::onFenced(size_t Silent, TimePoint Now) {
  if (!m_noEvidenceFrom && m_counted > 0 && 3 * Silent <= m_counted)
    m_noEvidenceFrom = Now;
}

std::optional<TimePoint> PreviousLeases::endAt() const {
  if (!m_noEvidenceFrom)
    return std::nullopt;
  return std::max(m_soleUntil + maxLocalDuration(m_times.Sole),
                  *m_noEvidenceFrom + maxLocalDuration(m_times.MaxEvidenceAge +
                                                       m_times.OnEvidence));
}

BASILCHUTE_NAMESPACE_END
