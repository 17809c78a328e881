#include "libutil/curlpoller.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t MostEvents = 64;

unsigned epollEvents(int What) {
  unsigned Out = 0;
  if (What & CURL_POLL_IN)
    Out |= EPOLLIN;
  if (What & CURL_POLL_OUT)
    Out |= EPOLLOUT;
  return Out;
}

int curlEvents(unsigned Events) {
  int Out = 0;
  if (Events & EPOLLIN)
    Out |= CURL_CSELECT_IN;
  if (Events & EPOLLOUT)
    Out |= CURL_CSELECT_OUT;
  if (Events & (EPOLLERR | EPOLLHUP))
    Out |= CURL_CSELECT_ERR;
  return Out;
}

} // namespace

CurlPoller::CurlPoller(CURLM *Multi)
    : m_multi(Multi), m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (m_epoll < 0 || m_wakeFd < 0)
    throw std::runtime_error(fmt::format(
        "cannot open the descriptors of a poller: errno {}", errno));
  epoll_event Wanted{};
  Wanted.events = EPOLLIN;
  Wanted.data.fd = m_wakeFd;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeFd, &Wanted);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlPoller::~CurlPoller() {
  ::close(m_wakeFd);
  ::close(m_epoll);
}

int CurlPoller::onSocket(CURL *, curl_socket_t Socket, int What, void *User,
                         void *Known) {
  auto *Self = static_cast<CurlPoller *>(User);
  if (What == CURL_POLL_REMOVE) {
    epoll_ctl(Self->m_epoll, EPOLL_CTL_DEL, Socket, nullptr);
    curl_multi_assign(Self->m_multi, Socket, nullptr);
    return 0;
  }
  epoll_event Wanted{};
  Wanted.events = epollEvents(What);
  Wanted.data.fd = Socket;
  // A descriptor that was closed and opened again is a new one for epoll.
  bool Changed =
      Known && epoll_ctl(Self->m_epoll, EPOLL_CTL_MOD, Socket, &Wanted) == 0;
  if (!Changed)
    epoll_ctl(Self->m_epoll, EPOLL_CTL_ADD, Socket, &Wanted);
  curl_multi_assign(Self->m_multi, Socket, Self);
  return 0;
}

int CurlPoller::onTimer(CURLM *, long Millis, void *User) {
  auto *Self = static_cast<CurlPoller *>(User);
  if (Millis < 0)
    Self->m_due.reset();
  else
    Self->m_due = Self->m_time.now() + milliseconds(Millis);
  return 0;
}

void CurlPoller::wake() {
  if (m_woken.exchange(true))
    return;
  uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = ::write(m_wakeFd, &One, sizeof(One));
}

void CurlPoller::drainWakes() {
  uint64_t Count = 0;
  [[maybe_unused]] ssize_t Read = ::read(m_wakeFd, &Count, sizeof(Count));
  m_woken = false;
}

int CurlPoller::waitMillis(milliseconds Most) const {
  if (!m_due)
    return static_cast<int>(Most.count());
  nanoseconds Left = std::max(nanoseconds(0), *m_due - m_time.now());
  // Rounded up, so that the timer is due when the wait ends.
  auto Millis = std::chrono::ceil<milliseconds>(Left);
  return static_cast<int>(std::min(Millis, Most).count());
}

void CurlPoller::act(int Fd, unsigned Events) {
  if (Fd == m_wakeFd) {
    drainWakes();
    return;
  }
  int Running = 0;
  curl_multi_socket_action(m_multi, Fd, curlEvents(Events), &Running);
}

void CurlPoller::poll(milliseconds Most) {
  std::array<epoll_event, MostEvents> Ready;
  int Count = epoll_wait(m_epoll, Ready.data(), static_cast<int>(MostEvents),
                         waitMillis(Most));
  for (int Each = 0; Each < Count; ++Each) {
    const epoll_event &Event = Ready[static_cast<size_t>(Each)];
    act(Event.data.fd, Event.events);
  }
  if (!m_due || m_time.now() < *m_due)
    return;
  m_due.reset();
  int Running = 0;
  curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &Running);
}

BASILCHUTE_NAMESPACE_END
