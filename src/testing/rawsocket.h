/// \file
/// Plain TCP sockets for tests that control every byte of the stream.
#pragma once

#include "basilchute/namespace.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

/// A TCP client connection.
class RawClient {
public:
  /// Connects to the port of \p Address ("HOST:PORT") on the loopback
  /// interface; throws std::runtime_error on failure.
  explicit RawClient(const std::string &Address);
  ~RawClient();
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Bytes);
  /// Reads until the peer closes the connection or \p IsComplete returns true
  /// for all bytes received so far; returns them.
  std::string
  receive(const std::function<bool(const std::string &)> &IsComplete = {});
  /// Closes the connection; the peer gets a reset if received data is unread.
  void close();

private:
  int m_fd;
};

/// A TCP server that runs its handler in a separate thread per connection.
class RawServer {
public:
  /// \p OnConnection is called with the descriptor of each accepted connection
  /// and the number of the connection, counted from 1. The connection is shut
  /// down when the handler returns. With \p AnyAddress the server listens on
  /// all addresses, so that every loopback address reaches it.
  explicit RawServer(std::function<void(int, int)> OnConnection,
                     bool AnyAddress = false);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  const std::string &address() const { return m_address; }
  /// Number of complete requests that readRequest() returned so far.
  int requests() const { return m_requests; }
  /// Reads one request including a body of Content-Length bytes; returns an
  /// empty string if the peer closed the connection first.
  std::string readRequest(int Fd);
  static void write(int Fd, const std::string &Bytes);

private:
  std::function<void(int, int)> m_onConnection;
  int m_fd;
  std::string m_address;
  std::atomic<int> m_requests{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

BASILCHUTE_NAMESPACE_END
