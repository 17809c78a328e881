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

constexpr size_t ReadBytes = 65536;

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
  sockaddr_in To = loopback(Port);
  if (connect(m_fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
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
RawClient::receive(const std::function<bool(const std::string &)> &Enough) {
  std::string Out;
  std::vector<char> Buffer(ReadBytes);
  while (!Enough || !Enough(Out)) {
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
  sockaddr_in At = loopback(0);
  if (AnyAddress)
    At.sin_addr.s_addr = htonl(INADDR_ANY);
  if (bind(m_fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0)
    throw std::runtime_error("cannot bind a loopback port");
  listen(m_fd, 64);
  socklen_t Size = sizeof(At);
  getsockname(m_fd, reinterpret_cast<sockaddr *>(&At), &Size);
  m_address = fmt::format("127.0.0.1:{}", ntohs(At.sin_port));
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
    for (std::thread &Each : Threads)
      Each.join();
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
  std::vector<char> Buffer(ReadBytes);
  while (true) {
    size_t Head = Out.find("\r\n\r\n");
    if (Head != std::string::npos) {
      size_t Length = 0;
      size_t Found = Out.find("Content-Length: ");
      if (Found != std::string::npos && Found < Head)
        Length = static_cast<size_t>(std::atoll(Out.c_str() + Found + 16));
      if (Out.size() >= Head + 4 + Length) {
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
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Size =
        ::send(Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Size <= 0)
      return;
    Done += static_cast<size_t>(Size);
  }
}

BASILCHUTE_NAMESPACE_END
