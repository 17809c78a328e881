/// \file
/// Evidence on the connections that an HTTP client keeps open.
#pragma once

#include "basilchute/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Remembers when each kept connection last answered. Thread-safe.
class KeptConnections {
public:
  /// \p MaxIdle is the time after which an idle connection is not reused.
  explicit KeptConnections(nanoseconds MaxIdle) : m_maxIdle(MaxIdle) {}

  /// Records a response from \p Peer (HOST:PORT) on the connection from
  /// \p LocalPort.
  void onAnswered(const std::string &Peer, int LocalPort, TimePoint Now);
  /// Returns when the connection last answered; std::nullopt if it is new.
  std::optional<TimePoint> lastAnswer(const std::string &Peer,
                                      int LocalPort) const;

private:
  /// Drops the records of connections that cannot be reused any more.
  void forgetIdle(TimePoint Now);

  nanoseconds m_maxIdle;
  mutable std::mutex m_mutex;
  /// Time of the last response, by peer and local port.
  std::map<std::pair<std::string, int>, TimePoint> m_lastAnswers;
  TimePoint m_lastForget{};
};

BASILCHUTE_NAMESPACE_END
