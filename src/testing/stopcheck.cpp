#include "testing/stopcheck.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

void StopCheck::check(const StopConditions &Conditions, JobOracle &Oracle) {
  TimePoint Now = Conditions.Now;
  m_lastFault = std::max(m_lastFault, Conditions.LastFault);
  for (const std::string &Worker : Conditions.UnlistedWorkers)
    m_unlistedAt[Worker] = Now;
  for (const auto &[Task, Worker] : Oracle.runs()) {
    const ModelJob *Job = Oracle.job(Task.Job);
    if (!Job || Job->CancelledAt == TimePoint{})
      continue;
    TimePoint Since = std::max(Job->CancelledAt, m_lastFault);
    if (auto Unlisted = m_unlistedAt.find(Worker);
        Unlisted != m_unlistedAt.end())
      Since = std::max(Since, Unlisted->second);
    if (Now <= Since + EndTime || !m_reported.insert(Task).second)
      continue;
    Oracle.report(fmt::format(
        "task {}.{}.{} still runs on {} {} ms after its job was cancelled",
        Task.Job, Task.Step, Task.Index, Worker,
        (Now - Job->CancelledAt) / milliseconds(1)));
  }
}

BASILCHUTE_NAMESPACE_END
