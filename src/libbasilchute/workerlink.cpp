#include "libbasilchute/workerlink.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void WorkerLink::hold(const std::string &Task, const Resources &Demand,
                      bool IsService) {
  release(Task);
  if (IsService)
    m_serviceHolds.insert(Task);
  m_holds[Task] = Demand;
  m_held += Demand;
}

void WorkerLink::release(const std::string &Task) {
  auto Found = m_holds.find(Task);
  if (Found == m_holds.end())
    return;
  m_held -= Found->second;
  m_holds.erase(Found);
  m_serviceHolds.erase(Task);
}

void WorkerLink::noteGrant(nanoseconds Lease, int DriftPermille) {
  // The worker counts the lease from the stamp, which is older than its
  // arrival here.
  nanoseconds Longest = Lease + Lease * DriftPermille / 1000;
  m_leaseBound = std::max(m_leaseBound, m_stampReceivedAt + Longest);
}

void WorkerLink::noteFenced(TimePoint Now, nanoseconds Lease,
                            int DriftPermille) {
  Fenced = true;
  m_leaseBound = Now + Lease + Lease * DriftPermille / 1000;
}

bool WorkerLink::noteReport(const WorkerReport &Report, TimePoint Now) {
  bool Restarted =
      !m_incarnation.empty() && m_incarnation != Report.Incarnation;
  m_incarnation = Report.Incarnation;
  m_stamp = Report.Stamp;
  m_stampReceivedAt = Now;
  LastReportAt = Now;
  return Restarted;
}

BASILCHUTE_NAMESPACE_END
