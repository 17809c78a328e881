/// \file
/// HTTP/1.1 client on libcurl's multi interface.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// One request to send.
struct ClientRequest {
  std::string Method = "GET";
  /// HOST:PORT/PATH without a scheme.
  std::string Address;
  std::vector<HttpHeader> Headers;
  std::string Body;
  milliseconds ConnectTimeout{1000};
  milliseconds Timeout{5000};
  /// Part of Timeout for which the server may hold its response back, as in a
  /// long poll.
  milliseconds ServerWait{0};
  /// If positive, and the request is idempotent: time without the next bytes of
  /// a response, beyond ServerWait, after which the request is sent a second
  /// time on a new connection; at once if its connection is as old as one that
  /// has gone silent. The first complete response is delivered. The first
  /// request goes on, since the server may only be slow.
  milliseconds HedgeAfter{0};
  /// True if the server may receive the request twice without harm. If a kept
  /// connection ends before the response, it is then sent again; any other
  /// request is sent at most once, and such an end gives OutcomeUnknown. GET
  /// and HEAD requests are always idempotent.
  bool IsIdempotent = false;
  /// True to open a new connection for the request. A server may close a kept
  /// one just when the request arrives, which leaves the outcome unknown.
  bool UseNewConnection = false;
  /// True to send the request only on a connection that this client has used
  /// before, so that it reaches the very process that has answered there. If
  /// there is none, the result is Unavailable. Excludes UseNewConnection.
  bool UseKeptConnection = false;
  /// With UseKeptConnection: the local ports of the connections that may be
  /// used; empty for any. Other kept connections to the address are closed if
  /// they are found before one of these.
  std::vector<int> LocalPorts;
};

/// Settings of an HttpClient.
struct HttpClientOptions {
  int Threads = 1;
  size_t MaxBodyBytes = 64 * 1024 * 1024;
  /// Maximum number of connections per thread, busy or idle; above it the one
  /// that has been idle the longest is closed. Zero means half of the process's
  /// limit of descriptors, so that a client of many addresses keeps a
  /// connection to each.
  long MaxConnections = 0;
  /// Maximum number of connections per thread to one address; further requests
  /// wait for one of them. Zero means no limit.
  long MaxConnectionsPerAddress = 0;
  /// Time after which a connection is closed whose peer does not acknowledge
  /// sent bytes or keep-alive probes at the level of TCP. A peer that takes
  /// long to respond acknowledges all the same. Zero means the time-out of the
  /// request that opened the connection.
  milliseconds AckTimeout{0};
  /// Connections that have been idle for longer are not reused.
  std::chrono::seconds MaxIdleTime{20};
};

/// Sends HTTP requests from threads of its own. A request that times out
/// without a byte of a response, or whose hedge is answered first, shows that
/// its connection has gone silent; kept connections to that address that have
/// not answered since are closed instead of used.
class HttpClient {
public:
  /// Called exactly once, on one of the client's threads. The error is
  /// Unavailable (no byte of the request was sent), OutcomeUnknown (it was sent
  /// but no response header was received) or AnswerCut (the response was
  /// truncated, longer than MaxBodyBytes, or had no header that delimits it).
  using Callback = std::function<void(Result<HttpResponse>)>;

  explicit HttpClient(HttpClientOptions Options);
  /// Ends the requests in progress with OutcomeUnknown.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request and calls \p OnDone. Thread-safe; takes no lock.
  void send(ClientRequest Request, Callback OnDone);
  /// Returns the number of connections opened so far. Thread-safe.
  uint64_t openedConnections() const;
  /// Returns how often an idempotent request was sent again, because a kept
  /// connection ended before the response. Thread-safe.
  uint64_t resentRequests() const;
  /// Returns how many requests were sent a second time by HedgeAfter.
  /// Thread-safe.
  uint64_t hedgedRequests() const;
  /// Returns how many kept connections were closed instead of used, because
  /// they had not answered since another one to the same address fell silent.
  /// Thread-safe.
  uint64_t refusedConnections() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
