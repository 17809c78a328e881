/// \file
/// Waits for the sockets of a libcurl multi handle.
#pragma once

#include "basilchute/clock.h"

#include <atomic>
#include <curl/curl.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

/// Drives a curl multi handle with epoll. curl_multi_poll() scans all transfers
/// whenever one of them makes progress; with a long poll open to each of
/// hundreds of workers, that costs more than the transfers themselves.
///
/// Must be used by one thread; only wake() is thread-safe.
class CurlPoller {
public:
  /// Installs the socket and timer callbacks of \p Multi.
  explicit CurlPoller(CURLM *Multi);
  ~CurlPoller();
  CurlPoller(const CurlPoller &) = delete;
  CurlPoller &operator=(const CurlPoller &) = delete;

  /// Waits for at most \p MaxWait until a socket is ready, a timer expires or
  /// wake() is called, and notifies libcurl of these events.
  void poll(milliseconds MaxWait);
  /// Ends the current poll(), or the next one if none is in progress.
  void wake();

private:
  static int onSocket(CURL *Easy, curl_socket_t Socket, int Events,
                      void *UserData, void *SocketData);
  static int onTimer(CURLM *Multi, long Millis, void *UserData);
  int waitMillis(milliseconds MaxWait) const;
  void handleEvent(int Fd, unsigned Events);
  void clearWakeEvent();

  CURLM *m_multi;
  SystemClock m_clock;
  int m_epoll;
  int m_wakeFd;
  /// Set by wake(), cleared when the poller reads the event.
  std::atomic<bool> m_isWakePending{false};
  /// Expiry of the timer that libcurl has set.
  std::optional<TimePoint> m_timerExpiry;
};

BASILCHUTE_NAMESPACE_END
