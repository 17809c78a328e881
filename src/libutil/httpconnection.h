/// \file
/// A connection of an HttpServer, from its first byte to its close.
#pragma once

#include "libutil/httpserver.h"
#include "libutil/inputbudget.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <pistache/async.h>
#include <pistache/peer.h>
#include <set>

BASILCHUTE_NAMESPACE_BEGIN

class HttpConnection;

/// State shared by all connections of one server. A responder keeps it alive,
/// and may be used after the server has ended.
struct HttpServerState : std::enable_shared_from_this<HttpServerState> {
  HttpServerOptions Options;
  HttpServer::Handler OnRequest;
  SystemClock Clock;
  std::atomic<size_t> MaxHeadBytes{0};
  std::atomic<size_t> MaxBodyBytes{0};
  /// Number of accepted connections whose descriptors are open.
  std::atomic<size_t> AcceptedConnections{0};
  std::atomic<bool> IsDraining{false};
  std::atomic<size_t> InFlight{0};
  std::atomic<int64_t> LastRequestNanos{0};
  /// Never taken while the lock of a connection is held.
  std::mutex Lock;
  std::set<std::shared_ptr<HttpConnection>> Connections;

  RequestLimits limits() const;
};

/// A client connection. Input is handled on the thread of its Pistache
/// transport; responses and the ends of writes may come from any thread. Its
/// lock may be held while the budget's lock is taken, never the reverse.
class HttpConnection : public InputHolder,
                       public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(HttpServerState &Server,
                 const std::shared_ptr<Pistache::Tcp::Peer> &Peer);

  /// Adds the connection to the budget, which may close others, or this one.
  void open();
  /// Returns true if a response waits to be written.
  bool onInput(std::string_view Input);
  void onClosed(CloseReason Reason);
  /// Sends the response to the request in progress. Called once per request, by
  /// its responder.
  void sendResponse(HttpResponse Response, bool KeepAlive, bool IsHead);
  /// Closes the connection if it has waited for its caller for longer than its
  /// time-out.
  void sweep(TimePoint Now);
  void closeFor(CloseReason Reason) override;

private:
  using Guard = std::unique_lock<std::mutex>;

  bool canRead() const {
    return !m_isHandling && m_unwrittenBytes == 0 && !m_isClosed &&
           !m_isInputEnded;
  }
  void takeInput(std::string_view Input);
  void discard(size_t Bytes);
  void processInput(Guard &Held);
  void processInputLoop(Guard &Held);
  void dispatch(Guard &Held);
  void reject();
  void write(std::string Bytes);
  void writeResponse(std::string Bytes, bool CloseAfter);
  void finish(Guard &Held);
  void onWritten();
  void onWriteFailed();
  /// Drops buffered input and reads no more.
  void endInput(CloseReason Reason);
  void shutDown(CloseReason Reason);
  /// Tells the budget what is held; returns true if a limit is exceeded.
  bool report();

  HttpServerState &m_server;
  std::shared_ptr<InputBudget> m_budget;
  std::weak_ptr<Pistache::Tcp::Peer> m_peer;
  int m_fd;
  InputBudget::Id m_account = 0;
  std::mutex m_lock;
  RequestReader m_reader;
  std::string m_input;
  /// Start of the time that sweep() compares with the time-outs.
  TimePoint m_waitStart;
  /// Set once all that is left is to discard input until the caller closes.
  std::optional<TimePoint> m_discardStart;
  size_t m_discardedBytes = 0;
  /// Size of the request in progress.
  size_t m_inProgressBytes = 0;
  /// Size of the response that is being written.
  size_t m_unwrittenBytes = 0;
  /// Result of a write whose continuation is not attached yet.
  std::optional<Pistache::Async::Promise<ssize_t>> m_write;
  /// True while a continuation is being attached, without the lock.
  bool m_isAttaching = false;
  /// Reason to be counted when the connection closes.
  CloseReason m_closeReason = CloseReason::Caller;
  /// True while processInput() runs.
  bool m_isProcessing = false;
  /// True from the dispatch of a request until its response.
  bool m_isHandling = false;
  bool m_isClosed = false;
  /// True if the connection closes after the response in progress.
  bool m_shouldClose = false;
  /// True once no further input is processed.
  bool m_isInputEnded = false;
};

BASILCHUTE_NAMESPACE_END
