#include "libbasilchute/workerrecord.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void WorkerRecord::reserve(const std::string &Task, const Resources &Demand,
                           bool IsService) {
  release(Task);
  if (IsService)
    m_reservedReplicas.insert(Task);
  m_reservations[Task] = Demand;
  m_reserved += Demand;
}

void WorkerRecord::release(const std::string &Task) {
  auto It = m_reservations.find(Task);
  if (It == m_reservations.end())
    return;
  m_reserved -= It->second;
  m_reservations.erase(It);
  m_reservedReplicas.erase(Task);
}

void WorkerRecord::recordGrant(nanoseconds Lease, int DriftPermille) {
  // The worker counts the lease from the time of the stamp, which is before the
  // stamp was received here, so the recorded end is not too early.
  nanoseconds MaxLease = Lease + Lease * DriftPermille / 1000;
  m_latestLeaseEnd = std::max(m_latestLeaseEnd, m_stampReceivedAt + MaxLease);
}

void WorkerRecord::recordEpochInstalled(TimePoint Now, nanoseconds Lease,
                                        int DriftPermille) {
  IsEpochInstalled = true;
  m_latestLeaseEnd = Now + Lease + Lease * DriftPermille / 1000;
}

bool WorkerRecord::recordReport(const SyncReply &Report, TimePoint Now) {
  bool HasRestarted =
      !m_incarnation.empty() && m_incarnation != Report.Incarnation;
  m_incarnation = Report.Incarnation;
  m_stamp = Report.Stamp;
  m_stampReceivedAt = Now;
  LastReportAt = Now;
  return HasRestarted;
}

BASILCHUTE_NAMESPACE_END
