#include "libutil/httpserver.h"

#include "libutil/address.h"
#include "libutil/httpconnection.h"
#include "libutil/httplistener.h"
#include "libutil/httpresponder.h"

#include <algorithm>
#include <condition_variable>
#include <fmt/format.h>
#include <mutex>
#include <pistache/tcp.h>
#include <pistache/transport.h>
#include <set>
#include <thread>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr const char *ConnectionDataKey = "basilchute";
constexpr milliseconds SweepInterval{500};
constexpr size_t AcceptedAhead = 16;

/// Callbacks of Pistache: input, and connections opened and closed.
class TransportHandler : public Pistache::Tcp::Handler {
public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, TransportHandler)

  explicit TransportHandler(std::shared_ptr<HttpServerState> Server)
      : m_server(std::move(Server)) {}
  // Every transport gets a copy of its own; the base class holds the transport
  // and is therefore default-constructed instead of copied.
  // NOLINTNEXTLINE(bugprone-copy-constructor-init)
  TransportHandler(const TransportHandler &Other) : m_server(Other.m_server) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto New = std::make_shared<HttpConnection>(*m_server, Peer);
    Peer->putData(ConnectionDataKey, New);
    New->open();
    bool IsOneTooMany = false;
    {
      std::lock_guard Guard(m_server->Lock);
      IsOneTooMany =
          m_server->Connections.size() >= m_server->Options.MaxConnections;
      m_server->Connections.insert(New);
    }
    if (IsOneTooMany)
      New->closeFor(CloseReason::Connections);
  }

  void onInput(const char *Buffer, size_t Size,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto Target = connectionOf(Peer);
    // Pistache reads while input arrives, and would write the response only
    // after that.
    if (Target && Target->onInput({Buffer, Size}))
      transport()->flush();
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    --m_server->AcceptedConnections;
    auto Closed = connectionOf(Peer);
    if (!Closed)
      return;
    Closed->onClosed(CloseReason::Caller);
    // Writes queued before the close must leave the queue before the descriptor
    // is released and its number is reused.
    transport()->flush();
    std::lock_guard Guard(m_server->Lock);
    m_server->Connections.erase(Closed);
  }

private:
  static std::shared_ptr<HttpConnection>
  connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
    return std::static_pointer_cast<HttpConnection>(
        Peer->tryGetData(ConnectionDataKey));
  }

  std::shared_ptr<HttpServerState> m_server;
};

} // namespace

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
      : m_state(std::make_shared<HttpServerState>()) {
    m_state->Options = std::move(Options);
    m_state->OnRequest = std::move(OnRequest);
    if (!m_state->Options.Budget)
      m_state->Options.Budget =
          std::make_shared<InputBudget>(InputBudgetOptions{});
    setLimits(m_state->Options.Limits.MaxHeadBytes,
              m_state->Options.Limits.MaxBodyBytes);
  }

  Result<std::string> start() {
    Result<NumericAddress> ListenAddress =
        parseAddress(m_state->Options.Listen);
    if (!ListenAddress.has_value())
      return ListenAddress.error();
    m_listener = std::make_unique<HttpListener>(
        HttpListenerOptions{.Address = ListenAddress.value(),
                            .Threads = m_state->Options.Threads,
                            .MaxOpen = maxOpen(),
                            .Open = &m_state->AcceptedConnections,
                            .Lock = &m_state->Lock},
        std::make_shared<TransportHandler>(m_state));
    Result<uint16_t> Port = m_listener->start();
    if (!Port.has_value()) {
      m_listener.reset();
      return makeError(ResultCode::BindFailed,
                       fmt::format("address \"{}\": {}",
                                   m_state->Options.Listen,
                                   Port.error().Message));
    }
    m_sweeper = std::thread([this] { sweepLoop(); });
    return fmt::format("{}:{}", ListenAddress.value().Host, Port.value());
  }

  void setLimits(size_t MaxHeadBytes, size_t MaxBodyBytes) {
    m_state->MaxHeadBytes = MaxHeadBytes;
    m_state->MaxBodyBytes = MaxBodyBytes;
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
    m_listener.reset();
    // A late response must not dispatch the request after it.
    std::lock_guard Guard(m_state->Lock);
    for (const std::shared_ptr<HttpConnection> &Client : m_state->Connections)
      Client->onClosed(CloseReason::ServerStopped);
    m_state->Connections.clear();
  }

private:
  /// Leaves room for connections that are accepted before one is closed for
  /// them.
  size_t maxOpen() const {
    size_t Limit = m_state->Options.MaxConnections;
    if (size_t Shared = m_state->Options.Budget->maxConnections(); Shared > 0)
      Limit = std::min(Limit, Shared);
    return Limit + AcceptedAhead;
  }

  void sweepLoop() {
    std::unique_lock Guard(m_stopLock);
    while (!m_stopSignal.wait_for(Guard, SweepInterval,
                                  [this] { return m_isStopping; }))
      sweep();
  }

  void sweep() {
    std::set<std::shared_ptr<HttpConnection>> Connections;
    {
      std::lock_guard Guard(m_state->Lock);
      Connections = m_state->Connections;
    }
    TimePoint Now = m_state->Clock.now();
    for (const std::shared_ptr<HttpConnection> &Client : Connections)
      Client->sweep(Now);
  }

  std::shared_ptr<HttpServerState> m_state;
  std::unique_ptr<HttpListener> m_listener;
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
void HttpServer::setLimits(size_t MaxHeadBytes, size_t MaxBodyBytes) {
  m_impl->setLimits(MaxHeadBytes, MaxBodyBytes);
}
void HttpServer::drain() { m_impl->drain(); }
size_t HttpServer::pendingRequests() const { return m_impl->inFlight(); }
nanoseconds HttpServer::idleTime() const { return m_impl->idleTime(); }
size_t HttpServer::connections() const { return m_impl->connections(); }
void HttpServer::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
