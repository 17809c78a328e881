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

bool LeaseEvidence::isSufficient(size_t Listed, TimePoint Now) const {
  auto Accepting = static_cast<size_t>(
      std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &Entry) {
        return Now <= Entry.second.Sent + m_maxAge;
      }));
  return 3 * Accepting > 2 * Listed;
}

// Evidence needs more than two thirds of the settled workers. A third of them
// would be enough to rule it out if both owners saw the same workers; the
// second third allows for workers that only the previous owner still counted.
void PreviousLeases::onFenced(size_t Silent, TimePoint Now) {
  if (!m_noEvidenceFrom && m_settled > 0 && 3 * Silent <= m_settled)
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
