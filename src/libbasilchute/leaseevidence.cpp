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
        return Now <= Entry.second.Sent + m_maxAge && m_isStored(Entry.first);
      }));
  return 3 * Accepting > 2 * Counted;
}

// Evidence needs more than two thirds of the counted workers, none of which
// this owner has fenced: it is ruled out once a third of them is fenced. Twice
// as many are asked for, and few silent ones, since some of the fenced workers
// may have joined too late to be counted, and some that were counted may have
// left the list before this host started.
void PreviousLeases::onFenced(size_t Fenced, size_t Silent, TimePoint Now) {
  bool IsEnough = m_counted == NoReports ||
                  (3 * Silent <= m_counted && 3 * Fenced >= 2 * m_counted);
  if (!m_noEvidenceFrom && m_counted > 0 && IsEnough)
    m_noEvidenceFrom = Now;
}

void PreviousLeases::onUnfenced(size_t Unfenced, TimePoint Now) {
  bool IsEnough = m_counted == NoReports || 3 * Unfenced <= 2 * m_counted;
  if (!m_noEvidenceFrom && m_counted > 0 && IsEnough)
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
