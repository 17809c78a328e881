#include "libutil/keptconnections.h"

BASILCHUTE_NAMESPACE_BEGIN

void KeptConnections::onAnswered(const std::string &Peer, int LocalPort,
                                 TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_mutex);
  m_lastAnswers[{Peer, LocalPort}] = Now;
  if (Now >= m_lastForget + m_maxIdle)
    forgetIdle(Now);
}

std::optional<TimePoint> KeptConnections::lastAnswer(const std::string &Peer,
                                                     int LocalPort) const {
  std::lock_guard<std::mutex> Lock(m_mutex);
  auto It = m_lastAnswers.find({Peer, LocalPort});
  return It == m_lastAnswers.end() ? std::nullopt : std::optional(It->second);
}

void KeptConnections::forgetIdle(TimePoint Now) {
  m_lastForget = Now;
  std::erase_if(m_lastAnswers, [&](const auto &Record) {
    return Record.second + m_maxIdle < Now;
  });
}

BASILCHUTE_NAMESPACE_END
