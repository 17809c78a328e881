// Tests HttpClient over real sockets: how often a request is sent, and which
// error a failure returns.

#include "libutil/httpclient.h"

#include "testing/rawsocket.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const std::string OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Result<HttpResponse> sendAndWait(HttpClient &Client, ClientRequest Request) {
  std::promise<Result<HttpResponse>> Response;
  Client.send(std::move(Request), [&](Result<HttpResponse> Received) {
    Response.set_value(std::move(Received));
  });
  return Response.get_future().get();
}

/// Sends as many reads at once as \p Count, so that each one has a connection.
void readTogether(HttpClient &Client, const std::string &Address,
                  size_t Count) {
  std::vector<std::promise<bool>> Answers(Count);
  for (std::promise<bool> &Answer : Answers)
    Client.send({.Address = Address + "/"},
                [&Answer](const Result<HttpResponse> &Response) {
                  Answer.set_value(Response.has_value());
                });
  for (std::promise<bool> &Answer : Answers)
    CHECK(Answer.get_future().get());
}

/// Waits until \p Count reaches \p Target.
void awaitCount(const std::atomic<size_t> &Count, size_t Target) {
  while (Count < Target)
    std::this_thread::sleep_for(1ms);
}

/// Answers each request on its connections until silence(), and from then on
/// only requests on connections that are opened later.
class SilencedServer {
public:
  const std::string &address() const { return m_server.address(); }
  /// Leaves the requests on the present connections without an answer; they
  /// stay open.
  void silence() { m_firstSound = m_connections + 1; }
  /// Returns the number of requests that were left without an answer.
  int unanswered() const { return m_unanswered; }
  /// Answers a request only when \p Count requests have arrived.
  void answerTogether(size_t Count) { m_together = Count; }

private:
  void serve(int Fd, int Number) {
    m_connections = std::max(m_connections.load(), Number);
    while (!m_server.readRequest(Fd).empty()) {
      ++m_requests;
      awaitCount(m_requests, m_together);
      if (Number < m_firstSound)
        ++m_unanswered;
      else
        RawServer::write(Fd, OkResponse);
    }
  }
  std::atomic<int> m_connections{0};
  std::atomic<int> m_firstSound{0};
  std::atomic<int> m_unanswered{0};
  std::atomic<size_t> m_requests{0};
  std::atomic<size_t> m_together{0};
  RawServer m_server{[this](int Fd, int Number) { serve(Fd, Number); }};
};

/// Keeps \p Count connections to \p Server, all of which then fall silent.
void keepSilent(HttpClient &Client, SilencedServer &Server, size_t Count) {
  Server.answerTogether(Count);
  readTogether(Client, Server.address(), Count);
  Server.answerTogether(0);
  Server.silence();
}

void resetConnection(int Fd) {
  linger Abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  sockaddr Unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
  (void)connect(Fd, &Unspecified, sizeof(Unspecified));
}

/// Responds to the first request of a connection and closes it after the second
/// without a response. Adds the POST requests among the two to \p Posts.
void respondOnce(RawServer &Server, int Fd, std::atomic<int> &Posts) {
  std::string First = Server.readRequest(Fd);
  Posts += First.starts_with("POST");
  if (First.empty())
    return;
  RawServer::write(Fd, OkResponse);
  Posts += Server.readRequest(Fd).starts_with("POST");
}

} // namespace

TEST_CASE(
    "a request on a new connection is sent only once if the server closes "
    "kept ones") {
  RawServer *ServerPointer = nullptr;
  std::atomic<int> Posts{0};
  RawServer Server(
      [&](int Fd, int) { respondOnce(*ServerPointer, Fd, Posts); });
  ServerPointer = &Server;
  HttpClient Client({});
  for (std::string Body : {"x=1", ""}) {
    // The GET leaves an idle connection that the server closes when the next
    // request arrives on it.
    Posts = 0;
    CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
    Result<HttpResponse> Response =
        sendAndWait(Client, {.Method = "POST",
                             .Address = Server.address() + "/",
                             .Body = Body,
                             .UseNewConnection = true});
    CHECK(Response.has_value());
    CHECK(Posts == 1);
  }
}

// Guards against a POST that was carried out and is reported with the answer to
// a second copy.
TEST_CASE("a POST is not sent again if its kept connection ends") {
  RawServer *ServerPointer = nullptr;
  std::atomic<int> Posts{0};
  RawServer Server(
      [&](int Fd, int) { respondOnce(*ServerPointer, Fd, Posts); });
  ServerPointer = &Server;
  HttpClient Client({});
  for (std::string Body : {"x=1", ""}) {
    Posts = 0;
    CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
    Result<HttpResponse> Response = sendAndWait(
        Client,
        {.Method = "POST", .Address = Server.address() + "/", .Body = Body});
    REQUIRE(Response.has_error());
    CHECK(Response.error().Code == ResultCode::OutcomeUnknown);
    CHECK(Posts == 1);
  }
  CHECK(Client.resentRequests() == 0);
}

// Guards against outcomes that are reported as unknown although nothing was
// sent: the server resets connections while they are idle.
TEST_CASE("a POST does not use a kept connection that was reset while idle") {
  constexpr size_t Connections = 4;
  RawServer *ServerPointer = nullptr;
  std::atomic<size_t> Reads{0};
  std::atomic<size_t> Answers{0};
  std::atomic<size_t> Resets{0};
  std::atomic<size_t> Posts{0};
  RawServer Server([&](int Fd, int) {
    bool IsPost = ServerPointer->readRequest(Fd).starts_with("POST");
    ++(IsPost ? Posts : Reads);
    if (!IsPost)
      awaitCount(Reads, Connections);
    RawServer::write(Fd, OkResponse);
    if (IsPost)
      return;
    awaitCount(Answers, 1);
    resetConnection(Fd);
    ++Resets;
  });
  ServerPointer = &Server;
  HttpClient Client({});
  readTogether(Client, Server.address(), Connections);
  ++Answers;
  awaitCount(Resets, Connections);
  CHECK(sendAndWait(Client, {.Method = "POST",
                             .Address = Server.address() + "/",
                             .Body = "x=1"})
            .has_value());
  CHECK(Posts == 1);
}

// Guards against a healthy connection that is closed for each one that ends.
TEST_CASE("a kept connection that ends costs no other kept connection") {
  constexpr size_t Connections = 2;
  RawServer *ServerPointer = nullptr;
  std::atomic<size_t> Reads{0};
  RawServer Server([&](int Fd, int) {
    while (ServerPointer->readRequest(Fd).starts_with("GET")) {
      ++Reads;
      awaitCount(Reads, Connections);
      RawServer::write(Fd, OkResponse);
    }
  });
  ServerPointer = &Server;
  HttpClient Client({});
  readTogether(Client, Server.address(), Connections);
  CHECK(sendAndWait(Client, {.Method = "POST",
                             .Address = Server.address() + "/",
                             .Body = "x=1"})
            .has_error());
  CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
  CHECK(Client.openedConnections() == Connections);
}

TEST_CASE("an idempotent POST is sent again if its kept connection ends") {
  RawServer *ServerPointer = nullptr;
  std::atomic<int> Posts{0};
  RawServer Server(
      [&](int Fd, int) { respondOnce(*ServerPointer, Fd, Posts); });
  ServerPointer = &Server;
  HttpClient Client({});
  CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
  CHECK(sendAndWait(Client, {.Method = "POST",
                             .Address = Server.address() + "/",
                             .Body = "x=1",
                             .IsIdempotent = true})
            .has_value());
  CHECK(Posts == 2);
}

TEST_CASE("requests that libcurl sends again are counted") {
  RawServer *ServerPointer = nullptr;
  std::atomic<int> Posts{0};
  RawServer Server(
      [&](int Fd, int) { respondOnce(*ServerPointer, Fd, Posts); });
  ServerPointer = &Server;
  HttpClient Client({});
  for (int I = 0; I < 2; ++I)
    CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
  CHECK(Client.resentRequests() == 1);
}

TEST_CASE("closing after the request was read gives OutcomeUnknown") {
  RawServer *ServerPointer = nullptr;
  RawServer Server([&](int Fd, int) { ServerPointer->readRequest(Fd); });
  ServerPointer = &Server;
  HttpClient Client({});
  Result<HttpResponse> Response =
      sendAndWait(Client, {.Method = "POST",
                           .Address = Server.address() + "/",
                           .Body = "order",
                           .UseNewConnection = true});
  REQUIRE(Response.has_error());
  CHECK(Response.error().Code == ResultCode::OutcomeUnknown);
  CHECK(Server.requests() == 1);
}

TEST_CASE("a refused connection gives Unavailable") {
  std::string Address;
  {
    RawServer Closed([](int, int) {});
    Address = Closed.address();
  }
  HttpClient Client({});
  Result<HttpResponse> Response =
      sendAndWait(Client, {.Address = Address + "/"});
  REQUIRE(Response.has_error());
  CHECK(Response.error().Code == ResultCode::Unavailable);
}

TEST_CASE("a truncated or undelimited response is an error") {
  for (std::string Truncated :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno end", "HTTP/1.1 200 OK\r\nContent-Le"}) {
    RawServer *ServerPointer = nullptr;
    RawServer Server([&](int Fd, int) {
      ServerPointer->readRequest(Fd);
      RawServer::write(Fd, Truncated);
    });
    ServerPointer = &Server;
    HttpClient Client({});
    Result<HttpResponse> Response =
        sendAndWait(Client, {.Address = Server.address() + "/"});
    CAPTURE(Truncated);
    CHECK(Response.has_error());
  }
}

TEST_CASE("surplus bytes on a kept connection are not the next response") {
  RawServer *ServerPointer = nullptr;
  RawServer Server([&](int Fd, int Number) {
    while (!ServerPointer->readRequest(Fd).empty())
      RawServer::write(Fd, Number == 1
                               ? OkResponse + "HTTP/1.1 200 OK\r\n"
                                              "Content-Length: 5\r\n\r\nstray"
                               : OkResponse);
  });
  ServerPointer = &Server;
  HttpClient Client({});
  for (int I = 0; I < 3; ++I) {
    Result<HttpResponse> Response =
        sendAndWait(Client, {.Address = Server.address() + "/"});
    REQUIRE(Response.has_value());
    CHECK(Response.value().Body == "ok");
  }
}

// Guards against one time-out for each kept connection when all of them have
// gone silent without a reset.
TEST_CASE("connections that went silent together cost one time-out") {
  for (std::string Method : {"GET", "POST"}) {
    SilencedServer Server;
    HttpClient Client({});
    keepSilent(Client, Server, 4);
    ClientRequest Request{.Method = Method,
                          .Address = Server.address() + "/",
                          .Body = Method == "POST" ? "x=1" : "",
                          .Timeout = 300ms};
    REQUIRE(sendAndWait(Client, Request).has_error());
    Request.Timeout = 60s;
    CAPTURE(Method);
    CHECK(sendAndWait(Client, Request).has_value());
    CHECK(Server.unanswered() == 1);
  }
}

// Guards against a read that waits for its whole time-out on a connection that
// has gone silent.
TEST_CASE("a late read is answered on a new connection") {
  SilencedServer Server;
  HttpClient Client({});
  keepSilent(Client, Server, 4);
  ClientRequest Request{
      .Address = Server.address() + "/", .Timeout = 60s, .HedgeAfter = 50ms};
  CHECK(sendAndWait(Client, Request).has_value());
  CHECK(Client.hedgedRequests() == 1);
  // The other connections are as old as the one that was silent.
  Request.HedgeAfter = 0ms;
  CHECK(sendAndWait(Client, Request).has_value());
  CHECK(Server.unanswered() == 1);
}

// Guards against a long poll, here of an hour, on a connection as old as one
// that is known to be silent.
TEST_CASE("a long poll is sent again once another connection is silent") {
  SilencedServer Server;
  HttpClient Client({});
  keepSilent(Client, Server, 2);
  std::promise<bool> PollEnd;
  Client.send({.Address = Server.address() + "/poll",
               .Timeout = std::chrono::hours(2),
               .ServerWait = std::chrono::hours(1),
               .HedgeAfter = 50ms},
              [&](const Result<HttpResponse> &Response) {
                PollEnd.set_value(Response.has_value());
              });
  while (Server.unanswered() == 0)
    std::this_thread::sleep_for(1ms);
  CHECK(sendAndWait(Client, {.Address = Server.address() + "/",
                             .Timeout = 60s,
                             .HedgeAfter = 50ms})
            .has_value());
  CHECK(PollEnd.get_future().get());
}

// Guards against sound connections that are closed because a long poll was sent
// again before its response was due.
TEST_CASE("a long poll that is sent again early is no evidence") {
  SilencedServer Server;
  HttpClient Client({});
  keepSilent(Client, Server, 2);
  ClientRequest Request{.Address = Server.address() + "/",
                        .Timeout = std::chrono::hours(2),
                        .ServerWait = std::chrono::hours(1),
                        .HedgeAfter = 50ms};
  std::promise<bool> PollEnd;
  Client.send(Request, [&](const Result<HttpResponse> &Response) {
    PollEnd.set_value(Response.has_value());
  });
  while (Server.unanswered() == 0)
    std::this_thread::sleep_for(1ms);
  Request.ServerWait = 0ms;
  CHECK(sendAndWait(Client, Request).has_value());
  CHECK(PollEnd.get_future().get());
  uint64_t Opened = Client.openedConnections();
  for (int I = 0; I < 3; ++I)
    CHECK(sendAndWait(Client, Request).has_value());
  CHECK(Client.openedConnections() == Opened);
}

// Guards against a slow server whose answers are thrown away.
TEST_CASE("a read that is sent twice gets one answer from a slow server") {
  RawServer *ServerPointer = nullptr;
  RawServer Server([&](int Fd, int) {
    while (!ServerPointer->readRequest(Fd).empty()) {
      std::this_thread::sleep_for(200ms);
      RawServer::write(Fd, OkResponse);
    }
  });
  ServerPointer = &Server;
  HttpClient Client({});
  std::atomic<int> Answers{0};
  for (int I = 0; I < 5; ++I) {
    std::promise<bool> Answer;
    Client.send(
        {.Address = Server.address() + "/", .Timeout = 60s, .HedgeAfter = 50ms},
        [&](const Result<HttpResponse> &Response) {
          ++Answers;
          Answer.set_value(Response.has_value());
        });
    CHECK(Answer.get_future().get());
  }
  CHECK(Answers == 5);
  CHECK(Client.hedgedRequests() == 5);
}

TEST_CASE("a late read is answered although its hedge fails") {
  RawServer *ServerPointer = nullptr;
  RawServer Server([&](int Fd, int Number) {
    if (Number > 1 || ServerPointer->readRequest(Fd).empty())
      return;
    std::this_thread::sleep_for(300ms);
    RawServer::write(Fd, OkResponse);
  });
  ServerPointer = &Server;
  HttpClient Client({});
  CHECK(sendAndWait(Client, {.Address = Server.address() + "/",
                             .Timeout = 60s,
                             .HedgeAfter = 50ms})
            .has_value());
  CHECK(Client.hedgedRequests() == 1);
}

// Guards against a commit that waits for its whole time-out, here an hour, for
// a peer that does not even acknowledge bytes.
TEST_CASE("a peer that takes no bytes is given up before the time-out") {
  std::atomic<bool> IsOver{false};
  RawServer Server([&](int, int) {
    while (!IsOver)
      std::this_thread::sleep_for(1ms);
  });
  HttpClient Client({.AckTimeout = 200ms});
  Result<HttpResponse> Response =
      sendAndWait(Client, {.Method = "POST",
                           .Address = Server.address() + "/",
                           .Body = std::string(32 * 1024 * 1024, 'x'),
                           .Timeout = std::chrono::hours(1)});
  IsOver = true;
  REQUIRE(Response.has_error());
  CHECK(Response.error().Code == ResultCode::OutcomeUnknown);
}

TEST_CASE("a late POST that is not idempotent is not sent again") {
  SilencedServer Server;
  HttpClient Client({});
  keepSilent(Client, Server, 1);
  Result<HttpResponse> Response =
      sendAndWait(Client, {.Method = "POST",
                           .Address = Server.address() + "/",
                           .Body = "x=1",
                           .Timeout = 300ms,
                           .HedgeAfter = 50ms});
  REQUIRE(Response.has_error());
  CHECK(Response.error().Code == ResultCode::OutcomeUnknown);
  CHECK(Client.hedgedRequests() == 0);
  CHECK(Server.unanswered() == 1);
}

// Guards against a callback that is called twice, or never.
TEST_CASE("a client that stops ends a request and its hedge once") {
  SilencedServer Server;
  std::atomic<int> Ends{0};
  {
    HttpClient Client({});
    keepSilent(Client, Server, 1);
    RawServer Mute([](int Fd, int) {
      char Byte = 0;
      while (recv(Fd, &Byte, 1, 0) > 0)
        ;
    });
    Client.send(
        {.Address = Mute.address() + "/", .Timeout = 60s, .HedgeAfter = 20ms},
        [&](const Result<HttpResponse> &Response) {
          CHECK(Response.has_error());
          ++Ends;
        });
    while (Client.hedgedRequests() == 0)
      std::this_thread::sleep_for(1ms);
  }
  CHECK(Ends == 1);
}

TEST_CASE("a connection without a response times out and is not reused") {
  RawServer *ServerPointer = nullptr;
  RawServer Server([&](int Fd, int Number) {
    while (!ServerPointer->readRequest(Fd).empty())
      if (Number > 1)
        RawServer::write(Fd, OkResponse);
  });
  ServerPointer = &Server;
  HttpClient Client({});
  Result<HttpResponse> TimedOut = sendAndWait(
      Client, {.Address = Server.address() + "/", .Timeout = 100ms});
  REQUIRE(TimedOut.has_error());
  CHECK(TimedOut.error().Code == ResultCode::OutcomeUnknown);
  CHECK(sendAndWait(Client, {.Address = Server.address() + "/"}).has_value());
}

// Guards against low throughput from lost connections: with a limit of idle
// connections below the number of workers, every order opened a new connection.
TEST_CASE("connections to 300 addresses are kept and reused") {
  constexpr int Addresses = 300;
  RawServer *ServerPointer = nullptr;
  RawServer Server(
      [&](int Fd, int) {
        while (!ServerPointer->readRequest(Fd).empty())
          RawServer::write(Fd, OkResponse);
      },
      true);
  ServerPointer = &Server;
  std::string Port = Server.address().substr(Server.address().find(':'));
  HttpClient Client({});
  for (int Round = 0; Round < 2; ++Round)
    for (int Index = 0; Index < Addresses; ++Index) {
      std::string Address =
          fmt::format("127.0.{}.{}{}/", 1 + Index / 200, 1 + Index % 200, Port);
      CHECK(sendAndWait(Client, {.Address = Address}).has_value());
    }
  CHECK(Client.openedConnections() == Addresses);
}

// Review. Unavailable means that no byte was sent.
TEST_CASE("an idempotent request that was sent on its one allowed connection "
          "is not reported as never sent") {
  for (size_t Allowed : {0, 1}) {
    constexpr size_t Connections = 2;
    RawServer *ServerPointer = nullptr;
    std::atomic<size_t> Reads{0};
    std::atomic<int> Posts{0};
    RawServer Server([&](int Fd, int) {
      while (true) {
        std::string Request = ServerPointer->readRequest(Fd);
        if (Request.starts_with("POST"))
          ++Posts;
        if (!Request.starts_with("GET"))
          return;
        ++Reads;
        awaitCount(Reads, Connections);
        RawServer::write(Fd, OkResponse);
      }
    });
    ServerPointer = &Server;
    HttpClient Client({});
    std::vector<std::promise<int>> Ports(Connections);
    for (std::promise<int> &Port : Ports)
      Client.send({.Address = Server.address() + "/"},
                  [&Port](const Result<HttpResponse> &Response) {
                    Port.set_value(Response.value().LocalPort);
                  });
    std::vector<int> Known;
    for (std::promise<int> &Port : Ports)
      Known.push_back(Port.get_future().get());
    Result<HttpResponse> Response =
        sendAndWait(Client, {.Method = "POST",
                             .Address = Server.address() + "/",
                             .Body = "x=1",
                             .IsIdempotent = true,
                             .UseKeptConnection = true,
                             .LocalPorts = {Known[Allowed]}});
    REQUIRE(Response.has_error());
    CAPTURE(Response.error().Message);
    CHECK(Posts == 1);
    CHECK(Response.error().Code == ResultCode::OutcomeUnknown);
  }
}
