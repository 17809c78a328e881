#include "libbasilchute/previousruns.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void PreviousRuns::setUnknown(uint64_t Version, TimePoint EndsAt,
                              std::set<std::string> ResolvedBefore) {
  m_unknownVersion = Version;
  m_unknownEndsAt = EndsAt;
  m_resolvedBefore = std::move(ResolvedBefore);
  std::erase_if(m_silent, [&](const std::string &Worker) {
    return m_resolvedBefore.count(Worker) > 0;
  });
}

void PreviousRuns::addKnown(const std::string &Worker,
                            const std::set<TaskName> &Tasks, TimePoint EndsAt) {
  if (Tasks.empty())
    return;
  TimePoint &End = m_knownEnds[Worker];
  End = std::max(End, EndsAt);
  for (const TaskName &Task : Tasks)
    m_workersOf[Task].insert(Worker);
}

void PreviousRuns::addWorker(const std::string &Worker) {
  if (!m_resolvedBefore.count(Worker))
    m_silent.insert(Worker);
}

void PreviousRuns::setPlace(const TaskName &Task, const std::string &Worker) {
  m_places[Task] = Worker;
  if (!Worker.empty() && !m_resolvedBefore.count(Worker) &&
      !m_resolved.count(Worker))
    m_silentPlaces.insert(Worker);
}

void PreviousRuns::resolve(const std::string &Worker) {
  m_resolved.insert(Worker);
  m_silentPlaces.erase(Worker);
  m_silent.erase(Worker);
  m_knownEnds.erase(Worker);
}

void PreviousRuns::setReported(const TaskName &Task) {
  m_workersOf.erase(Task);
  m_reported.insert(Task);
}

bool PreviousRuns::mayRun(const TaskName &Task, uint64_t Version,
                          TimePoint Now) const {
  auto Place = m_places.find(Task);
  bool MayRunUnknown =
      Place == m_places.end()
          ? hasUnknown(Now) && !m_reported.count(Task)
          : hasUnknownPlaced(Now) && m_silentPlaces.count(Place->second);
  if (MayRunUnknown && Version <= m_unknownVersion)
    return true;
  auto It = m_workersOf.find(Task);
  if (It == m_workersOf.end())
    return false;
  return std::any_of(It->second.begin(), It->second.end(),
                     [&](const std::string &Worker) {
                       auto End = m_knownEnds.find(Worker);
                       return End != m_knownEnds.end() && Now <= End->second;
                     });
}

bool PreviousRuns::mayHaveRunsOn(const std::string &Worker,
                                 TimePoint Now) const {
  bool MayHaveUnknown =
      Now <= m_unknownEndsAt &&
      (m_silent.count(Worker) || m_silentPlaces.count(Worker));
  auto Known = m_knownEnds.find(Worker);
  return MayHaveUnknown || (Known != m_knownEnds.end() && Now <= Known->second);
}

bool PreviousRuns::isResolved(TimePoint Now) const {
  return !hasUnknown(Now) && !hasUnknownPlaced(Now) &&
         std::none_of(m_knownEnds.begin(), m_knownEnds.end(),
                      [Now](const auto &End) { return Now <= End.second; });
}

std::vector<std::string> PreviousRuns::workers(TimePoint Now) const {
  std::set<std::string> Out;
  if (hasUnknown(Now))
    Out = m_silent;
  if (hasUnknownPlaced(Now))
    Out.insert(m_silentPlaces.begin(), m_silentPlaces.end());
  for (const auto &[Worker, End] : m_knownEnds)
    if (Now <= End)
      Out.insert(Worker);
  return {Out.begin(), Out.end()};
}

TimePoint PreviousRuns::lastEnd(TimePoint Now) const {
  TimePoint Out =
      hasUnknown(Now) || hasUnknownPlaced(Now) ? m_unknownEndsAt : Now;
  for (const auto &[Worker, End] : m_knownEnds)
    Out = std::max(Out, End);
  return Out;
}

TimePoint PreviousRuns::endsAt(const std::string &Worker) const {
  TimePoint Out =
      m_resolvedBefore.count(Worker) ? TimePoint{} : m_unknownEndsAt;
  auto End = m_knownEnds.find(Worker);
  return End == m_knownEnds.end() ? Out : std::max(Out, End->second);
}

std::map<std::string, PreviousRuns::Known>
PreviousRuns::known(TimePoint Now) const {
  std::map<std::string, Known> Out;
  for (const auto &[Task, Workers] : m_workersOf)
    for (const std::string &Worker : Workers) {
      auto End = m_knownEnds.find(Worker);
      if (End == m_knownEnds.end() || Now > End->second)
        continue;
      Out[Worker].Tasks.insert(Task);
      Out[Worker].EndsAt = End->second;
    }
  if (!hasUnknownPlaced(Now))
    return Out;
  for (const auto &[Task, Worker] : m_places) {
    if (!m_silentPlaces.count(Worker))
      continue;
    Known &Runs = Out[Worker];
    Runs.Tasks.insert(Task);
    Runs.EndsAt = std::max(Runs.EndsAt, m_unknownEndsAt);
  }
  return Out;
}

BASILCHUTE_NAMESPACE_END
