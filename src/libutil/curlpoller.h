/// \file
/// Waits for the sockets of a libcurl multi handle.
#pragma once

#include "basilchute/clock.h"

#include <atomic>
#include <curl/curl.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Drives a multi handle by epoll. The handle's own poll looks at every
/// transfer each time one of them moves, which with a long poll to each of
/// hundreds of workers costs more than the transfers.
///
/// Used by one thread; only wake() is safe from others.
class CurlPoller {
public:
  /// Takes over the socket and timer callbacks of \p Multi.
  explicit CurlPoller(CURLM *Multi);
  ~CurlPoller();
  CurlPoller(const CurlPoller &) = delete;
  CurlPoller &operator=(const CurlPoller &) = delete;

  /// Waits for at most \p Most until a socket is ready, a timer is due, or
  /// wake() was called, and lets libcurl act.
  void poll(milliseconds Most);
  /// Ends the present or the next wait.
  void wake();

private:
  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *User,
                      void *Known);
  static int onTimer(CURLM *Multi, long Millis, void *User);
  int waitMillis(milliseconds Most) const;
  void act(int Fd, unsigned Events);
  void drainWakes();

  CURLM *m_multi;
  SystemClock m_time;
  int m_epoll;
  int m_wakeFd;
  /// A wake is under way that the poller has not seen.
  std::atomic<bool> m_woken{false};
  /// When libcurl wants to act without a socket.
  std::optional<TimePoint> m_due;
};

BASILCHUTE_NAMESPACE_END
