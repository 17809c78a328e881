/// \file
/// HTTP/1.1 server on Pistache's listener and threads.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/requestreader.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Answers one request, from any thread. If it is destroyed unused, the caller
/// gets status 500.
class Responder {
public:
  class Target;

  explicit Responder(std::shared_ptr<Target> To) : m_target(std::move(To)) {}
  ~Responder();
  Responder(Responder &&) = default;
  Responder &operator=(Responder &&) = delete;
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;

  /// Sends \p Answer; only the first call has an effect.
  void send(HttpResponse Answer);

private:
  std::shared_ptr<Target> m_target;
};

/// Settings of an HttpServer.
struct HttpServerOptions {
  /// HOST:PORT with a numeric host; port 0 lets the kernel choose.
  std::string Listen;
  int Threads = 2;
  RequestLimits Limits;
  size_t MaxConnections = 4096;
  /// Longest time that a request may take to arrive.
  milliseconds ReceiveTimeout{20000};
  /// Longest time that a connection may wait for its next request.
  milliseconds IdleTimeout{60000};
  /// Makes the answer to a request that was refused while it was read; none
  /// answers with plain text.
  std::function<HttpResponse(int Status, const std::string &Reason)> OnRefusal;
};

/// Serves requests; one connection's requests are answered in order.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(HttpServerOptions Options, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens; returns HOST:PORT, or BindFailed naming the address.
  Result<std::string> start();
  /// From now on every answer closes its connection.
  void drain();
  /// Requests that were read and are not answered yet.
  size_t inFlight() const;
  /// Time since the last request was read.
  nanoseconds quietFor() const;
  /// Open connections.
  size_t connections() const;
  /// Stops listening and closes all connections.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
