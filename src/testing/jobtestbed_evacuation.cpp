// Evacuations of failure domains.

#include "testing/jobtestbed.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

std::set<std::string> JobTestBed::evacuated() const {
  std::set<std::string> Out;
  for (const auto &[Domain, Since] : m_evacuatedSince)
    Out.insert(Domain);
  return Out;
}

void JobTestBed::evacuate(const std::string &Domain) {
  m_evacuatedSince.emplace(Domain, now());
  ++m_evacuationChanges;
}

void JobTestBed::endEvacuation(const std::string &Domain) {
  m_evacuatedSince.erase(Domain);
  ++m_evacuationChanges;
}

int JobTestBed::startsIn(const std::string &Domain) const {
  auto It = m_startsByDomain.find(Domain);
  return It == m_startsByDomain.end() ? 0 : It->second;
}

void JobTestBed::updateEvacuated(int Index) {
  TestJobHost &Target = host(Index);
  bool IsNew = m_options.HasEvacuations && Target.Process && !Target.IsPaused &&
               Target.SentEvacuations < m_evacuationChanges;
  if (IsNew)
    readEvacuated(Index);
}

void JobTestBed::readEvacuated(int Index) {
  TestJobHost &Target = host(Index);
  if (Store.IsDown || Target.Store->IsRefused)
    return;
  Target.SentEvacuations = m_evacuationChanges;
  deliver(Index, 2 * Store.Delay + m_options.EvacuationDelay,
          [this, Index, Change = m_evacuationChanges, Domains = evacuated(),
           AsOf = now()] {
            TestJobHost &Reader = host(Index);
            if (Change > Reader.KnownEvacuations)
              Reader.Process->setEvacuated(Domains);
            Reader.KnownEvacuations = std::max(Reader.KnownEvacuations, Change);
            Reader.Process->setEvacuatedTime(AsOf);
          });
}

void JobTestBed::onStart(const WorkerEntry &Worker, const TaskName &Task) {
  ++m_startsByDomain[Worker.FailureDomain];
  auto Since = m_evacuatedSince.find(Worker.FailureDomain);
  if (Since == m_evacuatedSince.end() ||
      now() <= Since->second + EvacuationTime)
    return;
  Oracle.report(fmt::format(
      "{} step {} index {} starts on {} of {}, evacuated for {} ms", Task.Job,
      Task.Step, Task.Index, Worker.Id, Worker.FailureDomain,
      (now() - Since->second) / milliseconds(1)));
}

BASILCHUTE_NAMESPACE_END
