/// \file
/// HTTP/1.1 client on libcurl's multi interface.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/http.h"

#include <functional>
#include <memory>
#include <string>

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
  /// True if a second sending would do harm. Such a request gets a connection
  /// of its own, because libcurl resends on a kept connection that closes.
  bool NeverResend = false;
};

/// Settings of an HttpClient.
struct HttpClientOptions {
  int Threads = 1;
  size_t MaxBodyBytes = 64 * 1024 * 1024;
  /// Connections of one thread, busy or idle, above which the longest idle one
  /// is closed. Zero stands for half of the process's descriptors, so that a
  /// client of many addresses keeps a connection to each.
  long MaxConnections = 0;
  /// Connections of one thread to one address; more requests wait for one.
  /// Zero sets no limit.
  long MaxConnectionsPerAddress = 0;
  /// Kept connections older than this are not used again.
  std::chrono::seconds MaxIdleTime{20};
};

/// Sends requests from threads of its own.
class HttpClient {
public:
  /// Runs on one of the client's threads, exactly once. Fails with
  /// Unavailable (no byte of the request was sent), OutcomeUnknown, or
  /// AnswerCut (the answer ended early or had no definite end).
  using Done = std::function<void(Result<HttpResponse>)>;

  explicit HttpClient(HttpClientOptions Options);
  /// Fails what is under way with OutcomeUnknown.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request. Safe from any thread, without locks.
  void send(ClientRequest Request, Done Finished);
  /// Connections opened since the start. Safe from any thread.
  uint64_t opened() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
