#include "libutil/httpconnection.h"

#include "libutil/httpresponder.h"

#include <fmt/format.h>
#include <pistache/stream.h>
#include <sys/socket.h>
#include <utility>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Input that a caller may still send after its last response. A caller whose
/// connection is reset while it sends may lose the response.
constexpr size_t MaxDiscardedBytes = 64 * 1024;
constexpr milliseconds MaxDiscardTime{2000};

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

/// Frees the memory of \p Text, which an assignment would keep.
void release(std::string &Text) { std::string().swap(Text); }

/// Returns the memory of a complete request.
size_t sizeOf(const HttpRequest &Request) {
  size_t Out = Request.Target.capacity() + Request.Body.capacity() +
               Request.Headers.capacity() * sizeof(HttpHeader);
  for (const HttpHeader &Header : Request.Headers)
    Out += Header.Name.size() + Header.Value.size();
  return Out;
}

} // namespace

RequestLimits HttpServerState::limits() const {
  RequestLimits Out = Options.Limits;
  Out.MaxHeadBytes = MaxHeadBytes;
  Out.MaxBodyBytes = MaxBodyBytes;
  return Out;
}

HttpConnection::HttpConnection(HttpServerState &Server,
                               const std::shared_ptr<Pistache::Tcp::Peer> &Peer)
    : m_server(Server), m_budget(Server.Options.Budget), m_peer(Peer),
      m_fd(Peer->fd()), m_reader(Server.limits()),
      m_waitStart(Server.Clock.now()) {}

void HttpConnection::open() {
  TimePoint Now = m_server.Clock.now();
  bool IsOver = false;
  {
    std::lock_guard Held(m_lock);
    m_account = m_budget->open(weak_from_this(), Now);
    IsOver = report();
  }
  if (IsOver)
    m_budget->enforce(Now);
}

bool HttpConnection::onInput(std::string_view Input) {
  Guard Held(m_lock);
  if (m_isClosed)
    return false;
  takeInput(Input);
  processInput(Held);
  bool IsUnwritten = m_unwrittenBytes > 0;
  finish(Held);
  return IsUnwritten;
}

void HttpConnection::takeInput(std::string_view Input) {
  if (m_isInputEnded || m_shouldClose)
    return discard(Input.size());
  m_input.append(Input);
  // The response may be written, and answered with the next request, before
  // its continuation is attached.
  size_t Limit = m_server.MaxHeadBytes;
  if (m_isAttaching)
    Limit += m_server.MaxBodyBytes;
  if (canRead() || m_input.size() <= Limit)
    return;
  // The response in progress is still written.
  discard(m_input.size());
  release(m_input);
  m_shouldClose = true;
  m_closeReason = CloseReason::ReadAhead;
  if (m_isHandling)
    return;
  endInput(CloseReason::ReadAhead);
  m_discardStart = m_server.Clock.now();
}

void HttpConnection::discard(size_t Bytes) {
  m_discardedBytes += Bytes;
  if (m_discardedBytes > MaxDiscardedBytes)
    shutDown(m_closeReason);
}

void HttpConnection::onClosed(CloseReason Reason) {
  std::lock_guard Held(m_lock);
  if (std::exchange(m_isClosed, true))
    return;
  endInput(m_closeReason == CloseReason::Caller ? Reason : m_closeReason);
  m_budget->close(m_account, m_closeReason);
  // A request in progress stays accounted for until its response.
  if (!m_isHandling)
    m_budget->remove(m_account);
}

void HttpConnection::sendResponse(HttpResponse Response, bool KeepAlive,
                                  bool IsHead) {
  Guard Held(m_lock);
  --m_server.InFlight;
  m_isHandling = false;
  m_inProgressBytes = 0;
  if (m_isClosed) {
    m_budget->remove(m_account);
    return;
  }
  bool ShouldKeep = KeepAlive && !m_shouldClose && !m_server.IsDraining;
  std::string Bytes = encodeHead(Response, ShouldKeep);
  if (!IsHead)
    Bytes += Response.Body;
  m_waitStart = m_server.Clock.now();
  writeResponse(std::move(Bytes), !ShouldKeep);
  processInput(Held);
  finish(Held);
}

void HttpConnection::sweep(TimePoint Now) {
  std::lock_guard Held(m_lock);
  if (m_isClosed || m_isHandling)
    return;
  if (m_discardStart && Now - *m_discardStart > MaxDiscardTime)
    return shutDown(m_closeReason);
  milliseconds Limit = m_reader.isMidRequest() || m_isInputEnded
                           ? m_server.Options.ReceiveTimeout
                           : m_server.Options.IdleTimeout;
  if (Now - m_waitStart > Limit)
    shutDown(CloseReason::Timeout);
}

void HttpConnection::closeFor(CloseReason Reason) {
  std::lock_guard Held(m_lock);
  shutDown(Reason);
}

// Dispatches requests one at a time, so that responses keep the order of the
// requests. A handler that responds before it returns calls this function
// again; the nested call returns at once and the outer loop continues.
void HttpConnection::processInput(Guard &Held) {
  if (std::exchange(m_isProcessing, true))
    return;
  processInputLoop(Held);
  m_isProcessing = false;
  if (m_input.empty())
    release(m_input);
}

void HttpConnection::processInputLoop(Guard &Held) {
  while (canRead() && !m_input.empty()) {
    bool IsNewRequest = !m_reader.isMidRequest();
    if (IsNewRequest) {
      m_reader.setLimits(m_server.limits());
      m_waitStart = m_server.Clock.now();
    }
    size_t Consumed = 0;
    RequestReader::Progress Progress = m_reader.read(m_input, Consumed);
    m_input.erase(0, Consumed);
    if (Progress == RequestReader::Progress::Rejected)
      return reject();
    if (Progress == RequestReader::Progress::NeedMore) {
      if (m_reader.takeExpectContinue())
        write("HTTP/1.1 100 Continue\r\n\r\n");
      continue;
    }
    dispatch(Held);
  }
}

void HttpConnection::dispatch(Guard &Held) {
  HttpRequest Request = m_reader.take();
  m_isHandling = true;
  m_inProgressBytes = sizeOf(Request);
  report();
  ++m_server.InFlight;
  m_server.LastRequestNanos = m_server.Clock.now().time_since_epoch().count();
  Responder Reply(std::make_shared<Responder::Target>(
      m_server.shared_from_this(), shared_from_this(), Request.KeepAlive,
      Request.Method == "HEAD"));
  Held.unlock();
  m_server.OnRequest(std::move(Request), std::move(Reply));
  Held.lock();
}

void HttpConnection::reject() {
  HttpResponse Response{.Status = m_reader.errorStatus(),
                        .Headers = {{"Content-Type", "text/plain"}},
                        .Body = m_reader.errorReason() + "\n"};
  if (m_server.Options.OnRefusal)
    Response = m_server.Options.OnRefusal(m_reader.errorStatus(),
                                          m_reader.errorReason());
  m_budget->countRefusal(m_reader.errorStatus());
  m_closeReason = CloseReason::Refused;
  m_discardStart = m_server.Clock.now();
  size_t Left = m_input.size();
  writeResponse(encodeHead(Response, false) + Response.Body, true);
  discard(Left);
}

// Writes to the peer only under the lock and only while it is open: Pistache
// addresses writes by descriptor number, and the number of a closed connection
// is reused for the next one.
void HttpConnection::write(std::string Bytes) {
  std::shared_ptr<Pistache::Tcp::Peer> Peer = m_peer.lock();
  if (!Peer)
    return;
  size_t Size = Bytes.size();
  Peer->send(Pistache::RawBuffer(std::move(Bytes), Size));
}

void HttpConnection::writeResponse(std::string Bytes, bool CloseAfter) {
  std::shared_ptr<Pistache::Tcp::Peer> Peer = m_peer.lock();
  if (!Peer)
    return;
  m_unwrittenBytes = Bytes.size();
  if (CloseAfter)
    endInput(m_closeReason == CloseReason::Caller ? CloseReason::Finished
                                                  : m_closeReason);
  if (m_closeReason == CloseReason::ReadAhead)
    m_discardStart = m_server.Clock.now();
  size_t Size = Bytes.size();
  m_write.emplace(Peer->send(Pistache::RawBuffer(std::move(Bytes), Size)));
}

// Must be called last: attaches the continuation to a response that was
// written, and lets the budget close connections, neither of which may happen
// under the lock. The continuation may run immediately on this thread.
void HttpConnection::finish(Guard &Held) {
  std::optional<Pistache::Async::Promise<ssize_t>> Sent;
  Sent.swap(m_write);
  bool IsOver = report();
  // Read under the lock: the server may end after this connection has closed.
  TimePoint Now = m_server.Clock.now();
  m_isAttaching |= Sent.has_value();
  Held.unlock();
  if (Sent) {
    Sent->then([Self = shared_from_this()](ssize_t) { Self->onWritten(); },
               [Self = shared_from_this()](const std::exception_ptr &) {
                 Self->onWriteFailed();
               });
    Held.lock();
    m_isAttaching = false;
    Held.unlock();
  }
  if (IsOver)
    m_budget->enforce(Now);
}

void HttpConnection::onWritten() {
  Guard Held(m_lock);
  if (m_isClosed)
    return;
  m_unwrittenBytes = 0;
  if (m_isInputEnded) {
    // Closing the socket while the client still sends would reset the
    // connection, and the client could lose the last response. Therefore only
    // the sending side is shut down here; sweep() closes the connection later.
    ::shutdown(m_fd, SHUT_WR);
  }
  processInput(Held);
  finish(Held);
}

void HttpConnection::onWriteFailed() {
  std::lock_guard Held(m_lock);
  shutDown(CloseReason::Caller);
}

void HttpConnection::endInput(CloseReason Reason) {
  m_isInputEnded = true;
  m_closeReason = Reason;
  release(m_input);
  RequestReader Unused({});
  std::swap(m_reader, Unused);
}

void HttpConnection::shutDown(CloseReason Reason) {
  if (m_isClosed)
    return;
  endInput(Reason);
  m_budget->close(m_account, Reason);
  ::shutdown(m_fd, SHUT_RDWR);
}

bool HttpConnection::report() {
  return m_budget->update(
      m_account,
      {.UnfinishedBytes = allocatedBytes(m_input) + m_reader.bufferedBytes(),
       .InProgressBytes = m_inProgressBytes,
       .UnwrittenBytes = m_unwrittenBytes,
       .IsInProgress = m_isHandling,
       .IsMidRequest = m_reader.isMidRequest(),
       .WaitStart = m_waitStart});
}

BASILCHUTE_NAMESPACE_END
