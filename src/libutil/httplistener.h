/// \file
/// Accepts connections for the threads of Pistache.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"
#include "libutil/address.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <pistache/reactor.h>
#include <pistache/tcp.h>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an HttpListener.
struct HttpListenerOptions {
  NumericAddress Address;
  int Threads = 1;
  /// Maximum number of accepted connections whose descriptors are open. At the
  /// limit, further ones wait in the kernel.
  size_t MaxOpen = 0;
  /// Their number. The listener increases it; the handler must decrease it when
  /// a connection has ended.
  std::atomic<size_t> *Open = nullptr;
  /// Held while a connection is handed over; the handler must take it once for
  /// each connection.
  std::mutex *Lock = nullptr;
};

/// A listening socket and the Pistache threads that serve its connections.
/// Pistache's own listener accepts without a limit, also while its threads have
/// no time to close what they have: a burst of connections would take all
/// descriptors of the process.
class HttpListener {
public:
  HttpListener(HttpListenerOptions Options,
               std::shared_ptr<Pistache::Tcp::Handler> Handler);
  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// Starts to listen and returns the bound port. Fails with BindFailed and the
  /// reason.
  Result<uint16_t> start();

private:
  Status listen();
  void acceptLoop();
  /// Returns false if there is no connection to accept, or no descriptor.
  bool acceptOne();

  HttpListenerOptions m_options;
  std::shared_ptr<Pistache::Tcp::Handler> m_handler;
  Pistache::Aio::Reactor m_reactor;
  Pistache::Aio::Reactor::Key m_transports;
  int m_fd = -1;
  std::atomic<bool> m_isStopping{false};
  std::thread m_acceptor;
};

BASILCHUTE_NAMESPACE_END
