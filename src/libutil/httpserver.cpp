#include "libutil/httpserver.h"

#include "libutil/address.h"

#include <atomic>
#include <condition_variable>
#include <fmt/format.h>
#include <mutex>
#include <optional>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/tcp.h>
#include <pistache/transport.h>
#include <set>
#include <sys/socket.h>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr const char *ConnectionDataKey = "basilchute";
constexpr milliseconds SweepInterval{500};

class Connection;

/// State shared by all connections of one server. A responder keeps it alive,
/// and may be used after the server has ended.
struct ServerState : std::enable_shared_from_this<ServerState> {
  HttpServerOptions Options;
  HttpServer::Handler OnRequest;
  SystemClock Clock;
  std::atomic<bool> IsDraining{false};
  std::atomic<size_t> InFlight{0};
  std::atomic<int64_t> LastRequestNanos{0};
  std::mutex Lock;
  std::set<std::shared_ptr<Connection>> Connections;
};

std::string encodeHead(const HttpResponse &Response, bool KeepAlive) {
  std::string Head = fmt::format("HTTP/1.1 {} {}\r\n", Response.Status,
                                 statusPhrase(Response.Status));
  for (const HttpHeader &Header : Response.Headers)
    Head += fmt::format("{}: {}\r\n", Header.Name, Header.Value);
  bool HasNoBody = Response.Status == 204 || Response.Status == 304;
  if (!HasNoBody)
    Head += fmt::format("Content-Length: {}\r\n", Response.Body.size());
  Head += KeepAlive ? "Connection: keep-alive\r\n\r\n"
                    : "Connection: close\r\n\r\n";
  return Head;
}

/// A client connection. Input is handled on the thread of its Pistache
/// transport; responses may come from any thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(ServerState &Server, std::shared_ptr<Pistache::Tcp::Peer> Peer)
      : m_server(Server), m_peer(Peer), m_fd(Peer->fd()),
        m_reader(Server.Options.Limits), m_waitStart(Server.Clock.now()) {}

  void onInput(std::string_view Input) {
    std::unique_lock Guard(m_lock);
    m_input.append(Input);
    size_t Limit = m_server.Options.Limits.MaxBodyBytes +
                   m_server.Options.Limits.MaxHeadBytes;
    if (m_isHandling && m_input.size() > Limit)
      m_shouldClose = true;
    processInput(Guard);
    shutDownAfterLastWrite(Guard);
  }

  void onClosed() {
    std::lock_guard Guard(m_lock);
    m_isClosed = true;
  }

  /// Sends the response to the request in progress. Called once per request, by
  /// its responder.
  void sendResponse(HttpResponse Response, bool KeepAlive, bool IsHead) {
    std::unique_lock Guard(m_lock);
    --m_server.InFlight;
    if (m_isClosed)
      return;
    bool ShouldKeep = KeepAlive && !m_shouldClose && !m_server.IsDraining;
    std::string Bytes = encodeHead(Response, ShouldKeep);
    if (!IsHead)
      Bytes += Response.Body;
    m_isHandling = false;
    m_waitStart = m_server.Clock.now();
    write(std::move(Bytes), !ShouldKeep);
    processInput(Guard);
    shutDownAfterLastWrite(Guard);
  }

  /// Closes the connection if it has waited for input for longer than its
  /// time-out.
  void sweep(TimePoint Now) {
    std::lock_guard Guard(m_lock);
    if (m_isClosed || m_isHandling)
      return;
    milliseconds Limit = m_reader.isMidRequest() || m_isInputEnded
                             ? m_server.Options.ReceiveTimeout
                             : m_server.Options.IdleTimeout;
    if (Now - m_waitStart > Limit)
      ::shutdown(m_fd, SHUT_RDWR);
  }

  void close() {
    std::lock_guard Guard(m_lock);
    if (!m_isClosed)
      ::shutdown(m_fd, SHUT_RDWR);
  }

private:
  // Dispatches requests one at a time, so that responses keep the order of the
  // requests. A handler that responds before it returns calls this function
  // again; the nested call returns at once and the outer loop continues.
  void processInput(std::unique_lock<std::mutex> &Guard) {
    if (std::exchange(m_isProcessing, true))
      return;
    processInputLoop(Guard);
    m_isProcessing = false;
  }

  void processInputLoop(std::unique_lock<std::mutex> &Guard) {
    while (!m_isHandling && !m_isClosed && !m_isInputEnded &&
           !m_input.empty()) {
      bool IsNewRequest = !m_reader.isMidRequest();
      size_t Consumed = 0;
      RequestReader::Progress Progress = m_reader.read(m_input, Consumed);
      m_input.erase(0, Consumed);
      if (IsNewRequest)
        m_waitStart = m_server.Clock.now();
      if (Progress == RequestReader::Progress::Rejected)
        return reject();
      if (Progress == RequestReader::Progress::NeedMore) {
        if (m_reader.takeExpectContinue())
          write("HTTP/1.1 100 Continue\r\n\r\n", false);
        continue;
      }
      dispatch(Guard);
    }
  }

  void dispatch(std::unique_lock<std::mutex> &Guard);

  void reject() {
    m_isInputEnded = true;
    HttpResponse Response{.Status = m_reader.errorStatus(),
                          .Headers = {{"Content-Type", "text/plain"}},
                          .Body = m_reader.errorReason() + "\n"};
    if (m_server.Options.OnRefusal)
      Response = m_server.Options.OnRefusal(m_reader.errorStatus(),
                                            m_reader.errorReason());
    write(encodeHead(Response, false) + Response.Body, true);
  }

  // Writes to the peer only under the lock and only while it is open: Pistache
  // addresses writes by descriptor number, and the number of a closed
  // connection is reused for the next one.
  void write(std::string Bytes, bool CloseAfter) {
    std::shared_ptr<Pistache::Tcp::Peer> Peer = m_peer.lock();
    if (!Peer)
      return;
    size_t Size = Bytes.size();
    auto Sent = Peer->send(Pistache::RawBuffer(std::move(Bytes), Size));
    if (!CloseAfter)
      return;
    m_isInputEnded = true;
    m_lastWrite.emplace(std::move(Sent));
  }

  // Attaches the shutdown to the last write. The continuation may run
  // immediately on this thread, so the lock is released first. Must be called
  // last.
  void shutDownAfterLastWrite(std::unique_lock<std::mutex> &Guard) {
    if (!m_lastWrite)
      return;
    Pistache::Async::Promise<ssize_t> Sent = std::move(*m_lastWrite);
    m_lastWrite.reset();
    Guard.unlock();
    Sent.then([Self = shared_from_this()](ssize_t) { Self->shutDownSending(); },
              Pistache::Async::IgnoreException);
  }

  // Closing the socket while the client still sends would reset the connection,
  // and the client could lose the last response. Therefore only the sending
  // side is shut down here; sweep() closes the connection later.
  void shutDownSending() {
    std::lock_guard Guard(m_lock);
    if (!m_isClosed)
      ::shutdown(m_fd, SHUT_WR);
  }

  ServerState &m_server;
  std::weak_ptr<Pistache::Tcp::Peer> m_peer;
  int m_fd;
  std::mutex m_lock;
  RequestReader m_reader;
  std::string m_input;
  /// Start of the time that sweep() compares with the time-outs.
  TimePoint m_waitStart;
  /// Result of the write after which the connection closes.
  std::optional<Pistache::Async::Promise<ssize_t>> m_lastWrite;
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

/// Callbacks of Pistache: input, and connections opened and closed.
class TransportHandler : public Pistache::Tcp::Handler {
public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, TransportHandler)

  explicit TransportHandler(std::shared_ptr<ServerState> Server)
      : m_server(std::move(Server)) {}
  // Every transport gets a copy of its own; the base class holds the transport
  // and is therefore default-constructed instead of copied.
  // NOLINTNEXTLINE(bugprone-copy-constructor-init)
  TransportHandler(const TransportHandler &Other) : m_server(Other.m_server) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto New = std::make_shared<Connection>(*m_server, Peer);
    Peer->putData(ConnectionDataKey, New);
    std::lock_guard Guard(m_server->Lock);
    if (m_server->Connections.size() >= m_server->Options.MaxConnections)
      New->close();
    m_server->Connections.insert(std::move(New));
  }

  void onInput(const char *Buffer, size_t Size,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    if (auto Target = connectionOf(Peer))
      Target->onInput({Buffer, Size});
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto Closed = connectionOf(Peer);
    if (!Closed)
      return;
    Closed->onClosed();
    // Writes queued before the close must leave the queue before the descriptor
    // is released and its number is reused.
    transport()->flush();
    std::lock_guard Guard(m_server->Lock);
    m_server->Connections.erase(Closed);
  }

private:
  static std::shared_ptr<Connection>
  connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
    return std::static_pointer_cast<Connection>(
        Peer->tryGetData(ConnectionDataKey));
  }

  std::shared_ptr<ServerState> m_server;
};

} // namespace

/// Connection and form of the response to one request.
class Responder::Target {
public:
  Target(std::shared_ptr<ServerState> Server,
         std::shared_ptr<Connection> Destination, bool KeepAlive, bool IsHead)
      : m_server(std::move(Server)), m_connection(std::move(Destination)),
        m_keepAlive(KeepAlive), m_isHead(IsHead) {}

  void send(HttpResponse Response) {
    if (!m_isUsed.exchange(true))
      m_connection->sendResponse(std::move(Response), m_keepAlive, m_isHead);
  }

private:
  /// The connection refers to it.
  std::shared_ptr<ServerState> m_server;
  std::shared_ptr<Connection> m_connection;
  bool m_keepAlive;
  bool m_isHead;
  std::atomic<bool> m_isUsed{false};
};

void Connection::dispatch(std::unique_lock<std::mutex> &Guard) {
  HttpRequest Request = m_reader.take();
  m_isHandling = true;
  ++m_server.InFlight;
  m_server.LastRequestNanos = m_server.Clock.now().time_since_epoch().count();
  Responder Reply(std::make_shared<Responder::Target>(
      m_server.shared_from_this(), shared_from_this(), Request.KeepAlive,
      Request.Method == "HEAD"));
  Guard.unlock();
  m_server.OnRequest(std::move(Request), std::move(Reply));
  Guard.lock();
}

Responder::~Responder() {
  if (m_target)
    m_target->send(
        {.Status = 500, .Body = "the request handler sent no response\n"});
}

void Responder::send(HttpResponse Response) {
  m_target->send(std::move(Response));
}

class HttpServer::Impl {
public:
  Impl(HttpServerOptions Options, Handler OnRequest)
      : m_state(std::make_shared<ServerState>()) {
    m_state->Options = std::move(Options);
    m_state->OnRequest = std::move(OnRequest);
  }

  Result<std::string> start() {
    Result<NumericAddress> ListenAddress =
        parseAddress(m_state->Options.Listen);
    if (!ListenAddress.has_value())
      return ListenAddress.error();
    try {
      Pistache::Address Address(ListenAddress.value().Host,
                                Pistache::Port(ListenAddress.value().Port));
      m_listener = std::make_unique<Pistache::Tcp::Listener>(Address);
      m_listener->init(static_cast<size_t>(m_state->Options.Threads),
                       Pistache::Flags<Pistache::Tcp::Options>(
                           Pistache::Tcp::Options::ReuseAddr) |
                           Pistache::Tcp::Options::NoDelay,
                       "http");
      m_listener->setHandler(std::make_shared<TransportHandler>(m_state));
      m_listener->bind();
      m_listener->runThreaded();
    } catch (const std::exception &Failure) {
      return makeError(ResultCode::BindFailed,
                       fmt::format("address \"{}\": {}",
                                   m_state->Options.Listen, Failure.what()));
    }
    m_sweeper = std::thread([this] { sweepLoop(); });
    return fmt::format("{}:{}", ListenAddress.value().Host,
                       static_cast<uint16_t>(m_listener->getPort()));
  }

  void drain() { m_state->IsDraining = true; }
  size_t inFlight() const { return m_state->InFlight; }

  nanoseconds idleTime() const {
    return m_state->Clock.now() -
           TimePoint(nanoseconds(m_state->LastRequestNanos.load()));
  }

  size_t connections() const {
    std::lock_guard Guard(m_state->Lock);
    return m_state->Connections.size();
  }

  void stop() {
    if (!m_listener)
      return;
    {
      std::lock_guard Guard(m_stopLock);
      m_isStopping = true;
    }
    m_stopSignal.notify_all();
    m_sweeper.join();
    m_listener->shutdown();
    m_listener.reset();
    // A late response must not dispatch the request after it.
    std::lock_guard Guard(m_state->Lock);
    for (const std::shared_ptr<Connection> &Client : m_state->Connections)
      Client->onClosed();
    m_state->Connections.clear();
  }

private:
  void sweepLoop() {
    std::unique_lock Guard(m_stopLock);
    while (!m_stopSignal.wait_for(Guard, SweepInterval,
                                  [this] { return m_isStopping; }))
      sweep();
  }

  void sweep() {
    std::set<std::shared_ptr<Connection>> Connections;
    {
      std::lock_guard Guard(m_state->Lock);
      Connections = m_state->Connections;
    }
    TimePoint Now = m_state->Clock.now();
    for (const std::shared_ptr<Connection> &Client : Connections)
      Client->sweep(Now);
  }

  std::shared_ptr<ServerState> m_state;
  std::unique_ptr<Pistache::Tcp::Listener> m_listener;
  std::thread m_sweeper;
  std::mutex m_stopLock;
  std::condition_variable m_stopSignal;
  bool m_isStopping = false;
};

HttpServer::HttpServer(HttpServerOptions Options, Handler OnRequest)
    : m_impl(std::make_unique<Impl>(std::move(Options), std::move(OnRequest))) {
}
HttpServer::~HttpServer() { stop(); }
Result<std::string> HttpServer::start() { return m_impl->start(); }
void HttpServer::drain() { m_impl->drain(); }
size_t HttpServer::pendingRequests() const { return m_impl->inFlight(); }
nanoseconds HttpServer::idleTime() const { return m_impl->idleTime(); }
size_t HttpServer::connections() const { return m_impl->connections(); }
void HttpServer::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
