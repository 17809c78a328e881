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

constexpr size_t MaxEvents = 64;

unsigned epollEvents(int Events) {
  unsigned Flags = 0;
  if (Events & CURL_POLL_IN)
    Flags |= EPOLLIN;
  if (Events & CURL_POLL_OUT)
    Flags |= EPOLLOUT;
  return Flags;
}

int curlEvents(unsigned Events) {
  int Flags = 0;
  if (Events & EPOLLIN)
    Flags |= CURL_CSELECT_IN;
  if (Events & EPOLLOUT)
    Flags |= CURL_CSELECT_OUT;
  if (Events & (EPOLLERR | EPOLLHUP))
    Flags |= CURL_CSELECT_ERR;
  return Flags;
}

} // namespace

CurlPoller::CurlPoller(CURLM *Multi)
    : m_multi(Multi), m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (m_epoll < 0 || m_wakeFd < 0)
    throw std::runtime_error(fmt::format(
        "cannot create the epoll and event descriptors: errno {}", errno));
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = m_wakeFd;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeFd, &Event);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlPoller::~CurlPoller() {
  ::close(m_wakeFd);
  ::close(m_epoll);
}

int CurlPoller::onSocket(CURL *, curl_socket_t Socket, int Events,
                         void *UserData, void *SocketData) {
  auto *Poller = static_cast<CurlPoller *>(UserData);
  if (Events == CURL_POLL_REMOVE) {
    epoll_ctl(Poller->m_epoll, EPOLL_CTL_DEL, Socket, nullptr);
    curl_multi_assign(Poller->m_multi, Socket, nullptr);
    return 0;
  }
  epoll_event Event{};
  Event.events = epollEvents(Events);
  Event.data.fd = Socket;
  // epoll removes a descriptor when it is closed, so that one which was closed
  // and reopened since must be added again.
  bool IsModified = SocketData && epoll_ctl(Poller->m_epoll, EPOLL_CTL_MOD,
                                            Socket, &Event) == 0;
  if (!IsModified)
    epoll_ctl(Poller->m_epoll, EPOLL_CTL_ADD, Socket, &Event);
  curl_multi_assign(Poller->m_multi, Socket, Poller);
  return 0;
}

int CurlPoller::onTimer(CURLM *, long Millis, void *UserData) {
  auto *Poller = static_cast<CurlPoller *>(UserData);
  if (Millis < 0)
    Poller->m_timerExpiry.reset();
  else
    Poller->m_timerExpiry = Poller->m_clock.now() + milliseconds(Millis);
  return 0;
}

void CurlPoller::wake() {
  if (m_isWakePending.exchange(true))
    return;
  uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = ::write(m_wakeFd, &One, sizeof(One));
}

void CurlPoller::clearWakeEvent() {
  uint64_t Count = 0;
  [[maybe_unused]] ssize_t Read = ::read(m_wakeFd, &Count, sizeof(Count));
  m_isWakePending = false;
}

int CurlPoller::waitMillis(milliseconds MaxWait) const {
  if (!m_timerExpiry)
    return static_cast<int>(MaxWait.count());
  nanoseconds Remaining =
      std::max(nanoseconds(0), *m_timerExpiry - m_clock.now());
  // Rounded up, so that the timer has expired when the wait ends.
  auto Millis = std::chrono::ceil<milliseconds>(Remaining);
  return static_cast<int>(std::min(Millis, MaxWait).count());
}

void CurlPoller::handleEvent(int Fd, unsigned Events) {
  if (Fd == m_wakeFd) {
    clearWakeEvent();
    return;
  }
  int Running = 0;
  curl_multi_socket_action(m_multi, Fd, curlEvents(Events), &Running);
}

void CurlPoller::poll(milliseconds MaxWait) {
  std::array<epoll_event, MaxEvents> Ready;
  int Count = epoll_wait(m_epoll, Ready.data(), static_cast<int>(MaxEvents),
                         waitMillis(MaxWait));
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Ready[static_cast<size_t>(Index)];
    handleEvent(Event.data.fd, Event.events);
  }
  if (!m_timerExpiry || m_clock.now() < *m_timerExpiry)
    return;
  m_timerExpiry.reset();
  int Running = 0;
  curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &Running);
}

BASILCHUTE_NAMESPACE_END
