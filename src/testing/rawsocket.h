/// \file
/// Plain sockets for tests that must control every byte.
#pragma once

#include "basilchute/namespace.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

/// A client connection.
class RawClient {
public:
  /// Connects to HOST:PORT.
  explicit RawClient(const std::string &Address);
  ~RawClient();
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Bytes);
  /// Reads until the other side closes or \p Enough holds for all bytes.
  std::string
  receive(const std::function<bool(const std::string &)> &Enough = {});
  /// Closes at once, with a reset if answers are unread.
  void close();

private:
  int m_fd;
};

/// A server whose handler gets every accepted descriptor in a thread.
class RawServer {
public:
  /// \p OnConnection gets the descriptor and its number from 1, and may read
  /// and write it; it is closed afterwards. With \p AnyAddress the server is
  /// reached at every loopback address.
  explicit RawServer(std::function<void(int, int)> OnConnection,
                     bool AnyAddress = false);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  const std::string &address() const { return m_address; }
  /// Whole requests that readRequest() returned so far.
  int requests() const { return m_requests; }
  /// Reads one request with a Content-Length body; empty if the other side
  /// closed.
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
