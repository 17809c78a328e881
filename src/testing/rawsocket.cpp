#include "testing/rawsocket.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <fmt/format.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr size_t ReadBufferBytes = 65536;

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Out.sin_port = htons(Port);
  return Out;
}

} // namespace

RawClient::RawClient(const std::string &Address)
    : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
  auto Port = static_cast<uint16_t>(
      std::atoi(Address.c_str() + Address.rfind(':') + 1));
  sockaddr_in Peer = loopback(Port);
  if (connect(m_fd, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) != 0)
    throw std::runtime_error("cannot connect to " + Address);
}

RawClient::~RawClient() { close(); }

void RawClient::close() {
  if (m_fd >= 0)
    ::close(m_fd);
  m_fd = -1;
}

void RawClient::send(const std::string &Bytes) {
  RawServer::write(m_fd, Bytes);
}

std::string
RawClient::receive(const std::function<bool(const std::string &)> &IsComplete) {
  std::string Out;
  std::vector<char> Buffer(ReadBufferBytes);
  while (!IsComplete || !IsComplete(Out)) {
    ssize_t Size = recv(m_fd, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0)
      break;
    Out.append(Buffer.data(), static_cast<size_t>(Size));
  }
  return Out;
}

RawServer::RawServer(std::function<void(int, int)> OnConnection,
                     bool AnyAddress)
    : m_onConnection(std::move(OnConnection)),
      m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Bound = loopback(0);
  if (AnyAddress)
    Bound.sin_addr.s_addr = htonl(INADDR_ANY);
  if (bind(m_fd, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) != 0)
    throw std::runtime_error(
        "cannot bind a TCP port on the loopback interface");
  listen(m_fd, 64);
  socklen_t Size = sizeof(Bound);
  getsockname(m_fd, reinterpret_cast<sockaddr *>(&Bound), &Size);
  m_address = fmt::format("127.0.0.1:{}", ntohs(Bound.sin_port));
  m_thread = std::thread([this] {
    std::vector<std::thread> Threads;
    std::vector<int> Accepted;
    for (int Number = 1; !m_stopping; ++Number) {
      int Fd = accept(m_fd, nullptr, nullptr);
      if (Fd < 0)
        break;
      Accepted.push_back(Fd);
      Threads.emplace_back([this, Fd, Number] {
        m_onConnection(Fd, Number);
        ::shutdown(Fd, SHUT_RDWR);
      });
    }
    for (int Fd : Accepted)
      ::shutdown(Fd, SHUT_RDWR);
    for (std::thread &Thread : Threads)
      Thread.join();
    for (int Fd : Accepted)
      ::close(Fd);
  });
}

RawServer::~RawServer() {
  m_stopping = true;
  ::shutdown(m_fd, SHUT_RDWR);
  m_thread.join();
  ::close(m_fd);
}

std::string RawServer::readRequest(int Fd) {
  std::string Out;
  std::vector<char> Buffer(ReadBufferBytes);
  while (true) {
    size_t HeaderEnd = Out.find("\r\n\r\n");
    if (HeaderEnd != std::string::npos) {
      size_t Length = 0;
      size_t LengthAt = Out.find("Content-Length: ");
      if (LengthAt != std::string::npos && LengthAt < HeaderEnd)
        Length = static_cast<size_t>(std::atoll(Out.c_str() + LengthAt + 16));
      if (Out.size() >= HeaderEnd + 4 + Length) {
        ++m_requests;
        return Out;
      }
    }
    ssize_t Size = recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0)
      return {};
    Out.append(Buffer.data(), static_cast<size_t>(Size));
  }
}

void RawServer::write(int Fd, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Size =
        ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return;
    Sent += static_cast<size_t>(Size);
  }
}

BASILCHUTE_NAMESPACE_END
