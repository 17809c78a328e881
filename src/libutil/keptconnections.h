/// \file
/// Evidence on the connections that an HTTP client keeps open.
#pragma once

#include "basilchute/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Remembers when each kept connection last answered, and until when the
/// connections to a peer are known to have been sound. A connection may go
/// silent for good without a reset; when one of them has, those to the same
/// peer that have not answered since are suspect. Thread-safe.
class KeptConnections {
public:
  /// \p MaxIdle is the time after which an idle connection is not reused.
  explicit KeptConnections(nanoseconds MaxIdle) : m_maxIdle(MaxIdle) {}

  /// Records a response from \p Peer (HOST:PORT) on the connection from
  /// \p LocalPort.
  void onAnswered(const std::string &Peer, int LocalPort, TimePoint Now);
  /// Records that a connection to \p Peer has received nothing since \p Since
  /// although a response was due.
  void onSilent(const std::string &Peer, TimePoint Since);
  /// Returns true if the connection must not be used: it has not answered since
  /// another one to \p Peer fell silent.
  bool isSuspect(const std::string &Peer, int LocalPort) const;
  /// Returns true if a connection to \p Peer has fallen silent since \p
  /// ProvenAt.
  bool hasFallenSilent(const std::string &Peer, TimePoint ProvenAt) const;
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
  /// When the connection that fell silent last received anything, by peer.
  std::map<std::string, TimePoint> m_silentSince;
  TimePoint m_lastForget{};
};

BASILCHUTE_NAMESPACE_END
