#include "libutil/keptconnections.h"

#include <algorithm>

BASILCHUTE_NAMESPACE_BEGIN

void KeptConnections::onAnswered(const std::string &Peer, int LocalPort,
                                 TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_lastAnswers[{Peer, LocalPort}] = Now;
  if (Now >= m_lastForget + m_maxIdle)
    forgetIdle(Now);
}

void KeptConnections::onSilent(const std::string &Peer, TimePoint Since) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  TimePoint &Newest = m_silentSince[Peer];
  Newest = std::max(Newest, Since);
}

bool KeptConnections::isSuspect(const std::string &Peer, int LocalPort) const {
  std::optional<TimePoint> Answered = lastAnswer(Peer, LocalPort);
  return Answered && hasFallenSilent(Peer, *Answered);
}

bool KeptConnections::hasFallenSilent(const std::string &Peer,
                                      TimePoint ProvenAt) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto Silent = m_silentSince.find(Peer);
  return Silent != m_silentSince.end() && ProvenAt <= Silent->second;
}

std::optional<TimePoint> KeptConnections::lastAnswer(const std::string &Peer,
                                                     int LocalPort) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_lastAnswers.find({Peer, LocalPort});
  return It == m_lastAnswers.end() ? std::nullopt : std::optional(It->second);
}

void KeptConnections::forgetIdle(TimePoint Now) {
  m_lastForget = Now;
  auto IsOver = [&](const auto &Record) {
    return Record.second + m_maxIdle < Now;
  };
  std::erase_if(m_lastAnswers, IsOver);
  std::erase_if(m_silentSince, IsOver);
}

BASILCHUTE_NAMESPACE_END
