/// \file
/// Requests that reach one process of a peer or none.
#pragma once

#include "basilchute/clock.h"
#include "libutil/eventloop.h"
#include "libutil/httpclient.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// A request for one process of a peer that may be started again at its
/// address.
struct ProcessRequest {
  /// Start of the process since the Unix epoch.
  milliseconds Process{0};
  /// Harmless request, whose response tells which process sent it.
  ClientRequest Probe;
  ClientRequest Request;
};

/// Times of the last probe that a request waited for; zero if it did not.
struct ProbeTimes {
  /// Time for which the request waited, which may be a part of the round trip.
  nanoseconds Waited{0};
  nanoseconds RoundTrip{0};
};

/// Settings of a ProcessClient.
struct ProcessClientOptions {
  /// Maximum number of connections to a peer. Requests wait for one of them.
  size_t MaxConnections = 2;
  /// Returns the start of the process that has sent the response to a probe, or
  /// the error with which the requests that wait for it end.
  std::function<Result<milliseconds>(const HttpResponse &)> Identify;
};

/// Sends requests on connections that are known to lead to the process that
/// they are for. A connection outlives no process, so that a probe that was
/// answered on it identifies the receiver of all later requests.
///
/// A peer that closes each connection after its response gets requests on new
/// ones, right after a probe. Two connections must have ended so, since a
/// process announces the end of its connections before it ends too.
///
/// Used on the event loop only, where the callbacks run too. Requests in
/// progress outlive this object, and end with the HTTP client; the loop must
/// outlive both.
class ProcessClient {
public:
  /// Called exactly once. A request is not sent, and no response awaited, after
  /// its time-out, which includes waiting. Errors are those of HttpClient, in
  /// which Unavailable means that nothing was sent, that of
  /// ProcessClientOptions::Identify, or WrongIncarnation if another process
  /// answers at the address; nothing was sent in the latter two cases.
  using Callback =
      std::function<void(const Result<HttpResponse> &, const ProbeTimes &)>;

  /// \p Http must send nothing else to these peers.
  ProcessClient(ProcessClientOptions Options, HttpClient &Http,
                EventLoop &Loop);
  ~ProcessClient();
  ProcessClient(const ProcessClient &) = delete;
  ProcessClient &operator=(const ProcessClient &) = delete;

  void send(ProcessRequest Request, Callback OnDone);
  /// Returns the number of probes sent so far.
  uint64_t probes() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
