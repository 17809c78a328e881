// Small blocking HTTP/1.1 server and client for the stand-ins of the review.
// A thread serves each connection. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace net {

struct Request {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

struct Response {
  int Status = 200;
  std::string Body;
  // The request is never answered; its connection stays silent.
  bool Silent = false;
  // The connection is reset without an answer.
  bool Reset = false;
};

using Handler = std::function<Response(const Request &)>;

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

inline std::string decodePercent(const std::string &Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Out += static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Out += Text[I];
    }
  }
  return Out;
}

// Reads until \p Data holds a whole message. Returns false at the end of the
// connection. \p Head is the length of the head with its blank line.
inline bool readMessage(int Fd, std::string &Data, size_t &Head, size_t &Whole) {
  for (;;) {
    size_t End = Data.find("\r\n\r\n");
    if (End != std::string::npos) {
      Head = End + 4;
      std::string Fields = lower(Data.substr(0, Head));
      size_t At = Fields.find("\r\ncontent-length:");
      size_t Length =
          At == std::string::npos ? 0 : std::stoul(Fields.substr(At + 17));
      Whole = Head + Length;
      if (Data.size() >= Whole)
        return true;
    }
    char Buffer[65536];
    ssize_t Got = recv(Fd, Buffer, sizeof Buffer, 0);
    if (Got <= 0)
      return false;
    Data.append(Buffer, static_cast<size_t>(Got));
  }
}

inline bool writeAll(int Fd, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Got =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Got <= 0)
      return false;
    Sent += static_cast<size_t>(Got);
  }
  return true;
}

inline Request parse(const std::string &Head, std::string Body) {
  Request Out;
  Out.Body = std::move(Body);
  size_t LineEnd = Head.find("\r\n");
  std::string Line = Head.substr(0, LineEnd);
  size_t First = Line.find(' ');
  size_t Second = Line.find(' ', First + 1);
  Out.Method = Line.substr(0, First);
  std::string Target = Line.substr(First + 1, Second - First - 1);
  size_t Mark = Target.find('?');
  Out.Path = decodePercent(Target.substr(0, Mark));
  if (Mark != std::string::npos) {
    std::string Rest = Target.substr(Mark + 1) + "&";
    for (size_t At = 0; At < Rest.size();) {
      size_t End = Rest.find('&', At);
      std::string Pair = Rest.substr(At, End - At);
      size_t Equals = Pair.find('=');
      if (Equals != std::string::npos)
        Out.Query[Pair.substr(0, Equals)] =
            decodePercent(Pair.substr(Equals + 1));
      At = End + 1;
    }
  }
  for (size_t At = LineEnd + 2; At < Head.size();) {
    size_t End = Head.find("\r\n", At);
    std::string Field = Head.substr(At, End - At);
    size_t Colon = Field.find(':');
    if (Colon != std::string::npos) {
      size_t Begin = Field.find_first_not_of(' ', Colon + 1);
      Out.Headers[lower(Field.substr(0, Colon))] =
          Begin == std::string::npos ? "" : Field.substr(Begin);
    }
    At = End + 2;
  }
  return Out;
}

class Server {
public:
  explicit Server(Handler OnRequest) : m_handler(std::move(OnRequest)) {}
  ~Server() { stop(); }

  int port() const { return m_port; }

  // Listens on \p Port, or on a free port if it is zero.
  bool start(int Port = 0) {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<uint16_t>(Port));
    for (int Try = 0; Try < 50; ++Try) {
      if (bind(m_listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) == 0)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (listen(m_listener, 256) != 0)
      return false;
    socklen_t Size = sizeof Address;
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_port = ntohs(Address.sin_port);
    m_isRunning = true;
    m_acceptor = std::thread([this] { acceptLoop(); });
    return true;
  }

  // Closes the listener and resets all connections, as the end of a process
  // does.
  void stop() {
    if (!m_isRunning.exchange(false))
      return;
    m_acceptor.join();
    close(m_listener);
    std::lock_guard Guard(m_lock);
    for (int Fd : m_connections) {
      linger Hard{1, 0};
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
      shutdown(Fd, SHUT_RD);
    }
  }

private:
  void acceptLoop() {
    while (m_isRunning) {
      pollfd Waited{m_listener, POLLIN, 0};
      if (poll(&Waited, 1, 20) <= 0)
        continue;
      int Fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      {
        std::lock_guard Guard(m_lock);
        m_connections.insert(Fd);
      }
      // Servers live until the end of the process.
      std::thread([this, Fd] { serve(Fd); }).detach();
    }
  }

  void serve(int Fd) {
    std::string Data;
    size_t Head = 0;
    size_t Whole = 0;
    while (readMessage(Fd, Data, Head, Whole)) {
      Request Got =
          parse(Data.substr(0, Head), Data.substr(Head, Whole - Head));
      Data.erase(0, Whole);
      Response Reply = m_handler(Got);
      if (Reply.Reset) {
        linger Hard{1, 0};
        setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
        break;
      }
      if (Reply.Silent) {
        // Nothing more is delivered on this connection.
        char Buffer[4096];
        while (recv(Fd, Buffer, sizeof Buffer, 0) > 0)
          ;
        break;
      }
      std::string Bytes = "HTTP/1.1 " + std::to_string(Reply.Status) +
                          " X\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(Reply.Body.size()) + "\r\n\r\n" +
                          Reply.Body;
      if (!m_isRunning || !writeAll(Fd, Bytes))
        break;
    }
    {
      std::lock_guard Guard(m_lock);
      m_connections.erase(Fd);
    }
    close(Fd);
  }

  Handler m_handler;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_isRunning{false};
  std::thread m_acceptor;
  std::mutex m_lock;
  std::set<int> m_connections;
};

// Status 0 means that no answer came.
inline Response call(int Port, const std::string &Method,
                     const std::string &Target, const std::string &Host,
                     const std::string &Body, int TimeoutMs) {
  Response Out{.Status = 0};
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{TimeoutMs / 1000, TimeoutMs % 1000 * 1000};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  std::string Bytes = Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                      "\r\nContent-Type: application/json\r\n"
                      "Timeout-Remaining: " +
                      std::to_string(TimeoutMs) +
                      "\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Data;
  size_t Head = 0;
  size_t Whole = 0;
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
          0 &&
      writeAll(Fd, Bytes) && readMessage(Fd, Data, Head, Whole)) {
    Out.Status = std::stoi(Data.substr(9, 3));
    Out.Body = Data.substr(Head, Whole - Head);
  }
  close(Fd);
  return Out;
}

// Returns a free port for a process that is started next.
inline int freePort() {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  socklen_t Size = sizeof Address;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  close(Fd);
  return ntohs(Address.sin_port);
}

} // namespace net
