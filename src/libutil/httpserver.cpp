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

constexpr const char *ConnectionData = "basilchute";
constexpr milliseconds SweepEvery{500};

class Connection;

/// State shared by all connections of one server.
struct ServerState {
  HttpServerOptions Options;
  HttpServer::Handler OnRequest;
  SystemClock Time;
  std::atomic<bool> Draining{false};
  std::atomic<size_t> InFlight{0};
  std::atomic<int64_t> LastRequestNanos{0};
  std::mutex Lock;
  std::set<std::shared_ptr<Connection>> Connections;
};

std::string encodeHead(const HttpResponse &Answer, bool KeepAlive) {
  std::string Out = fmt::format("HTTP/1.1 {} {}\r\n", Answer.Status,
                                statusPhrase(Answer.Status));
  for (const HttpHeader &Each : Answer.Headers)
    Out += fmt::format("{}: {}\r\n", Each.Name, Each.Value);
  bool Bodiless = Answer.Status == 204 || Answer.Status == 304;
  if (!Bodiless)
    Out += fmt::format("Content-Length: {}\r\n", Answer.Body.size());
  Out += KeepAlive ? "Connection: keep-alive\r\n\r\n"
                   : "Connection: close\r\n\r\n";
  return Out;
}

/// One connection. Input is handled on its transport's thread; answers come
/// from any thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(ServerState &Server, std::shared_ptr<Pistache::Tcp::Peer> Peer)
      : m_server(Server), m_peer(Peer), m_fd(Peer->fd()),
        m_reader(Server.Options.Limits), m_since(Server.Time.now()) {}

  void onInput(std::string_view Input) {
    std::unique_lock Guard(m_lock);
    m_input.append(Input);
    size_t Limit = m_server.Options.Limits.MaxBodyBytes +
                   m_server.Options.Limits.MaxHeadBytes;
    if (m_busy && m_input.size() > Limit)
      m_closeAfter = true;
    pump(Guard);
    watchLastWrite(Guard);
  }

  void onClosed() {
    std::lock_guard Guard(m_lock);
    m_closed = true;
  }

  /// Called once for each request, by its responder.
  void answer(HttpResponse Answer, bool KeepAlive, bool Head) {
    std::unique_lock Guard(m_lock);
    --m_server.InFlight;
    if (m_closed)
      return;
    bool Keep = KeepAlive && !m_closeAfter && !m_server.Draining;
    std::string Wire = encodeHead(Answer, Keep);
    if (!Head)
      Wire += Answer.Body;
    m_busy = false;
    m_since = m_server.Time.now();
    write(std::move(Wire), !Keep);
    pump(Guard);
    watchLastWrite(Guard);
  }

  /// Closes the connection if it waited too long for bytes.
  void sweep(TimePoint Now) {
    std::lock_guard Guard(m_lock);
    if (m_closed || m_busy)
      return;
    milliseconds Limit = m_reader.midRequest() || m_refused
                             ? m_server.Options.ReceiveTimeout
                             : m_server.Options.IdleTimeout;
    if (Now - m_since > Limit)
      ::shutdown(m_fd, SHUT_RDWR);
  }

  void close() {
    std::lock_guard Guard(m_lock);
    if (!m_closed)
      ::shutdown(m_fd, SHUT_RDWR);
  }

private:
  // Requests are handed out one at a time, so that answers keep their order.
  // An answer given from inside the handler returns to the loop here.
  void pump(std::unique_lock<std::mutex> &Guard) {
    if (std::exchange(m_pumping, true))
      return;
    pumpAll(Guard);
    m_pumping = false;
  }

  void pumpAll(std::unique_lock<std::mutex> &Guard) {
    while (!m_busy && !m_closed && !m_refused && !m_input.empty()) {
      bool Fresh = !m_reader.midRequest();
      size_t Used = 0;
      RequestReader::Progress Progress = m_reader.read(m_input, Used);
      m_input.erase(0, Used);
      if (Fresh)
        m_since = m_server.Time.now();
      if (Progress == RequestReader::Progress::Bad)
        return refuse();
      if (Progress == RequestReader::Progress::More) {
        if (m_reader.takeContinue())
          write("HTTP/1.1 100 Continue\r\n\r\n", false);
        continue;
      }
      dispatch(Guard);
    }
  }

  void dispatch(std::unique_lock<std::mutex> &Guard);

  void refuse() {
    m_refused = true;
    HttpResponse Answer{.Status = m_reader.badStatus(),
                        .Headers = {{"Content-Type", "text/plain"}},
                        .Body = m_reader.badReason() + "\n"};
    if (m_server.Options.OnRefusal)
      Answer = m_server.Options.OnRefusal(m_reader.badStatus(),
                                          m_reader.badReason());
    write(encodeHead(Answer, false) + Answer.Body, true);
  }

  // The peer is written to only under the lock and only while it is open:
  // the library addresses writes by descriptor number, which a closed
  // connection gives to the next one.
  void write(std::string Wire, bool CloseAfter) {
    std::shared_ptr<Pistache::Tcp::Peer> Peer = m_peer.lock();
    if (!Peer)
      return;
    size_t Size = Wire.size();
    auto Sent = Peer->send(Pistache::RawBuffer(std::move(Wire), Size));
    if (!CloseAfter)
      return;
    m_refused = true;
    m_lastWrite.emplace(std::move(Sent));
  }

  // The continuation may run at once, on this thread, so the lock must not be
  // held while it is attached. Call this last.
  void watchLastWrite(std::unique_lock<std::mutex> &Guard) {
    if (!m_lastWrite)
      return;
    Pistache::Async::Promise<ssize_t> Sent = std::move(*m_lastWrite);
    m_lastWrite.reset();
    Guard.unlock();
    Sent.then([Self = shared_from_this()](ssize_t) { Self->finishSending(); },
              Pistache::Async::IgnoreException);
  }

  // Input still under way after the last answer would reset the connection and
  // with it the answer, so only the sending side closes; the sweep does the
  // rest.
  void finishSending() {
    std::lock_guard Guard(m_lock);
    if (!m_closed)
      ::shutdown(m_fd, SHUT_WR);
  }

  ServerState &m_server;
  std::weak_ptr<Pistache::Tcp::Peer> m_peer;
  int m_fd;
  std::mutex m_lock;
  RequestReader m_reader;
  std::string m_input;
  TimePoint m_since;
  /// The write after which the connection closes.
  std::optional<Pistache::Async::Promise<ssize_t>> m_lastWrite;
  bool m_pumping = false;
  bool m_busy = false;
  bool m_closed = false;
  bool m_closeAfter = false;
  /// True once nothing more will be read.
  bool m_refused = false;
};

/// Pistache's view of the server: bytes in, connections opened and closed.
class TransportHandler : public Pistache::Tcp::Handler {
public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, TransportHandler)

  explicit TransportHandler(std::shared_ptr<ServerState> Server)
      : m_server(std::move(Server)) {}
  // Each transport gets a copy; the base must start anew with it.
  // NOLINTNEXTLINE(bugprone-copy-constructor-init)
  TransportHandler(const TransportHandler &Other) : m_server(Other.m_server) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto Fresh = std::make_shared<Connection>(*m_server, Peer);
    Peer->putData(ConnectionData, Fresh);
    std::lock_guard Guard(m_server->Lock);
    if (m_server->Connections.size() >= m_server->Options.MaxConnections)
      Fresh->close();
    m_server->Connections.insert(std::move(Fresh));
  }

  void onInput(const char *Buffer, size_t Size,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    if (auto Found = of(Peer))
      Found->onInput({Buffer, Size});
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    auto Found = of(Peer);
    if (!Found)
      return;
    Found->onClosed();
    // Writes queued before the close must not outlive the descriptor.
    transport()->flush();
    std::lock_guard Guard(m_server->Lock);
    m_server->Connections.erase(Found);
  }

private:
  static std::shared_ptr<Connection>
  of(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
    return std::static_pointer_cast<Connection>(
        Peer->tryGetData(ConnectionData));
  }

  std::shared_ptr<ServerState> m_server;
};

} // namespace

/// Where one answer goes.
class Responder::Target {
public:
  Target(std::shared_ptr<Connection> To, bool KeepAlive, bool Head)
      : m_to(std::move(To)), m_keepAlive(KeepAlive), m_head(Head) {}

  void send(HttpResponse Answer) {
    if (!m_used.exchange(true))
      m_to->answer(std::move(Answer), m_keepAlive, m_head);
  }

private:
  std::shared_ptr<Connection> m_to;
  bool m_keepAlive;
  bool m_head;
  std::atomic<bool> m_used{false};
};

void Connection::dispatch(std::unique_lock<std::mutex> &Guard) {
  HttpRequest Request = m_reader.take();
  m_busy = true;
  ++m_server.InFlight;
  m_server.LastRequestNanos = m_server.Time.now().time_since_epoch().count();
  Responder Answer(std::make_shared<Responder::Target>(
      shared_from_this(), Request.KeepAlive, Request.Method == "HEAD"));
  Guard.unlock();
  m_server.OnRequest(std::move(Request), std::move(Answer));
  Guard.lock();
}

Responder::~Responder() {
  if (m_target)
    m_target->send({.Status = 500, .Body = "no answer was made\n"});
}

void Responder::send(HttpResponse Answer) { m_target->send(std::move(Answer)); }

class HttpServer::Impl {
public:
  Impl(HttpServerOptions Options, Handler OnRequest)
      : m_state(std::make_shared<ServerState>()) {
    m_state->Options = std::move(Options);
    m_state->OnRequest = std::move(OnRequest);
  }

  Result<std::string> start() {
    Result<NumericAddress> Where = parseAddress(m_state->Options.Listen);
    if (!Where.has_value())
      return Where.error();
    try {
      Pistache::Address Address(Where.value().Host,
                                Pistache::Port(Where.value().Port));
      m_listener = std::make_unique<Pistache::Tcp::Listener>(Address);
      m_listener->init(static_cast<size_t>(m_state->Options.Threads),
                       Pistache::Flags<Pistache::Tcp::Options>(
                           Pistache::Tcp::Options::ReuseAddr) |
                           Pistache::Tcp::Options::NoDelay,
                       "http");
      m_listener->setHandler(std::make_shared<TransportHandler>(m_state));
      m_listener->bind();
      m_listener->runThreaded();
    } catch (const std::exception &Fault) {
      return makeError(ResultCode::BindFailed,
                       fmt::format("address \"{}\": {}",
                                   m_state->Options.Listen, Fault.what()));
    }
    m_sweeper = std::thread([this] { sweepLoop(); });
    return fmt::format("{}:{}", Where.value().Host,
                       static_cast<uint16_t>(m_listener->getPort()));
  }

  void drain() { m_state->Draining = true; }
  size_t inFlight() const { return m_state->InFlight; }

  nanoseconds quietFor() const {
    return m_state->Time.now() -
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
      m_stopping = true;
    }
    m_stopSignal.notify_all();
    m_sweeper.join();
    m_listener->shutdown();
    m_listener.reset();
  }

private:
  void sweepLoop() {
    std::unique_lock Guard(m_stopLock);
    while (!m_stopSignal.wait_for(Guard, SweepEvery,
                                  [this] { return m_stopping; }))
      sweep();
  }

  void sweep() {
    std::set<std::shared_ptr<Connection>> Open;
    {
      std::lock_guard Guard(m_state->Lock);
      Open = m_state->Connections;
    }
    TimePoint Now = m_state->Time.now();
    for (const std::shared_ptr<Connection> &Each : Open)
      Each->sweep(Now);
  }

  std::shared_ptr<ServerState> m_state;
  std::unique_ptr<Pistache::Tcp::Listener> m_listener;
  std::thread m_sweeper;
  std::mutex m_stopLock;
  std::condition_variable m_stopSignal;
  bool m_stopping = false;
};

HttpServer::HttpServer(HttpServerOptions Options, Handler OnRequest)
    : m_impl(std::make_unique<Impl>(std::move(Options), std::move(OnRequest))) {
}
HttpServer::~HttpServer() { stop(); }
Result<std::string> HttpServer::start() { return m_impl->start(); }
void HttpServer::drain() { m_impl->drain(); }
size_t HttpServer::inFlight() const { return m_impl->inFlight(); }
nanoseconds HttpServer::quietFor() const { return m_impl->quietFor(); }
size_t HttpServer::connections() const { return m_impl->connections(); }
void HttpServer::stop() { m_impl->stop(); }

BASILCHUTE_NAMESPACE_END
