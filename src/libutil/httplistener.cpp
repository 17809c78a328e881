#include "libutil/httplistener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/peer.h>
#include <pistache/transport.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Time after which the acceptor sees that the server stops.
constexpr int PollMillis = 50;
/// Pause while no connection may be, or can be, accepted.
constexpr milliseconds FullPause{2};

Error bindError() {
  return makeError(ResultCode::BindFailed,
                   std::generic_category().message(errno));
}

} // namespace

HttpListener::HttpListener(HttpListenerOptions Options,
                           std::shared_ptr<Pistache::Tcp::Handler> Handler)
    : m_options(std::move(Options)), m_handler(std::move(Handler)) {}

HttpListener::~HttpListener() {
  m_isStopping = true;
  if (m_acceptor.joinable()) {
    m_acceptor.join();
    m_reactor.shutdown();
  }
  if (m_fd >= 0)
    ::close(m_fd);
}

Status HttpListener::listen() {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(m_options.Address.Port);
  if (inet_pton(AF_INET, m_options.Address.Host.c_str(), &Address.sin_addr) !=
      1)
    return makeError(ResultCode::BindFailed, "not an IPv4 address");
  m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (m_fd < 0)
    return bindError();
  // Accepted sockets inherit TCP_NODELAY.
  int On = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (::bind(m_fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      ::listen(m_fd, SOMAXCONN) != 0)
    return bindError();
  return okStatus();
}

Result<uint16_t> HttpListener::start() {
  Status Listening = listen();
  if (!Listening.has_value())
    return Listening.error();
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  if (getsockname(m_fd, reinterpret_cast<sockaddr *>(&Bound), &Size) != 0)
    return bindError();
  m_reactor.init(Pistache::Aio::AsyncContext(
      static_cast<size_t>(m_options.Threads), "http"));
  m_transports = m_reactor.addHandler(
      std::make_shared<Pistache::Tcp::Transport>(m_handler));
  m_reactor.run();
  m_acceptor = std::thread([this] { acceptLoop(); });
  return ntohs(Bound.sin_port);
}

void HttpListener::acceptLoop() {
  while (!m_isStopping) {
    if (*m_options.Open >= m_options.MaxOpen) {
      std::this_thread::sleep_for(FullPause);
      continue;
    }
    pollfd Waiting{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (::poll(&Waiting, 1, PollMillis) > 0 && !acceptOne())
      std::this_thread::sleep_for(FullPause);
  }
}

bool HttpListener::acceptOne() {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  int Fd = ::accept4(m_fd, reinterpret_cast<sockaddr *>(&Address), &Size,
                     SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (Fd < 0)
    return false;
  auto Transports = m_reactor.handlers(m_transports);
  auto Transport = std::static_pointer_cast<Pistache::Tcp::Transport>(
      Transports[static_cast<size_t>(Fd) % Transports.size()]);
  ++*m_options.Open;
  // The handler takes this lock for each connection. That orders the end of
  // this thread's reference before the deletion, also for ThreadSanitizer,
  // which does not see the reference count inside Pistache.
  std::lock_guard Guard(*m_options.Lock);
  Transport->handleNewPeer(Pistache::Tcp::Peer::Create(
      Fd, Pistache::Address::fromUnix(reinterpret_cast<sockaddr *>(&Address))));
  return true;
}

BASILCHUTE_NAMESPACE_END
