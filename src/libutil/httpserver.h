/// \file
/// HTTP/1.1 server on the listener and threads of Pistache.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/inputbudget.h"
#include "libutil/requestreader.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Sends the response to one request. Thread-safe. A responder that is
/// destroyed without having sent a response sends status 500.
class Responder {
public:
  /// Connection that the response is sent on.
  class Target;

  explicit Responder(std::shared_ptr<Target> Destination)
      : m_target(std::move(Destination)) {}
  ~Responder();
  Responder(Responder &&) = default;
  Responder &operator=(Responder &&) = delete;
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;

  /// Sends \p Response; only the first call has an effect.
  void send(HttpResponse Response);

private:
  std::shared_ptr<Target> m_target;
};

/// Settings of an HttpServer.
struct HttpServerOptions {
  /// HOST:PORT with an IPv4 address as host; port 0 lets the kernel choose.
  std::string Listen;
  int Threads = 2;
  RequestLimits Limits;
  size_t MaxConnections = 4096;
  /// Maximum time from the first byte of a request to its last.
  milliseconds ReceiveTimeout{20000};
  /// Maximum time that a connection may be idle between requests.
  milliseconds IdleTimeout{60000};
  /// Accounts for the input of this server, and of others of the process that
  /// share it. If null, the server has one of its own without limits.
  std::shared_ptr<InputBudget> Budget;
  /// Builds the response to a request that was rejected while being read. If
  /// empty, the response is the reason as plain text.
  std::function<HttpResponse(int Status, const std::string &Reason)> OnRefusal;
};

/// Serves HTTP requests. The responses on a connection keep the order of its
/// requests.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(HttpServerOptions Options, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to listen and returns the bound HOST:PORT. Fails with
  /// InvalidArgument or BindFailed and names the address in the message.
  Result<std::string> start();
  /// Changes the maximum sizes of a head and of a body, in bytes, from the next
  /// request of each connection on.
  void setLimits(size_t MaxHeadBytes, size_t MaxBodyBytes);
  /// From now on, every response closes its connection.
  void drain();
  /// Returns the number of requests that were read and have no response yet.
  size_t pendingRequests() const;
  /// Returns the time since the last request was read.
  nanoseconds idleTime() const;
  /// Returns the number of open connections.
  size_t connections() const;
  /// Stops listening and closes all connections.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
