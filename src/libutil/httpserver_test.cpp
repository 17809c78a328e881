// The server on real sockets: every request gets its own whole answer.

#include "libutil/httpserver.h"

#include "libutil/eventloop.h"
#include "testing/rawsocket.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <mutex>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A server that answers every request with its target and body.
struct EchoServer {
  explicit EchoServer(HttpServerOptions Options = {})
      : Server(withAddress(std::move(Options)),
               [](const HttpRequest &Request, Responder Answer) {
                 Answer.send({.Body = Request.Target + "|" + Request.Body});
               }) {
    Address = Server.start().value();
  }

  static HttpServerOptions withAddress(HttpServerOptions Options) {
    Options.Listen = "127.0.0.1:0";
    return Options;
  }

  HttpServer Server;
  std::string Address;
};

size_t countOf(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("an answer without a Connection header keeps the connection open") {
  EchoServer Echo;
  RawClient Client(Echo.Address);
  for (int I = 0; I < 3; ++I) {
    Client.send(fmt::format("GET /{} HTTP/1.1\r\nHost: x\r\n\r\n", I));
    std::string Wanted = fmt::format("/{}|", I);
    std::string Got = Client.receive(
        [&](const std::string &Bytes) { return Bytes.ends_with(Wanted); });
    CHECK(countOf(Got, "HTTP/1.1 200 OK") == 1);
    CHECK(countOf(Got, "Connection: keep-alive") == 1);
  }
}

TEST_CASE("pipelined requests are all answered, in their order") {
  EchoServer Echo;
  RawClient Client(Echo.Address);
  std::string Bytes;
  for (int I = 0; I < 50; ++I)
    Bytes += fmt::format("POST /{} HTTP/1.1\r\nHost: x\r\n"
                         "Content-Length: 4\r\n\r\nb{:03}",
                         I, I);
  Bytes += "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  Client.send(Bytes);
  std::string Got = Client.receive();
  size_t At = 0;
  for (int I = 0; I < 50; ++I) {
    size_t Next = Got.find(fmt::format("/{}|b{:03}", I, I), At);
    REQUIRE(Next != std::string::npos);
    At = Next;
  }
  CHECK(Got.ends_with("/last|"));
  CHECK(countOf(Got, "HTTP/1.1 200 OK") == 51);
}

TEST_CASE("a refused request gets a clear status and the connection closes") {
  EchoServer Echo;
  RawClient Client(Echo.Address);
  Client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\nabc"
              "GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string Got = Client.receive();
  CHECK(Got.starts_with("HTTP/1.1 400 "));
  CHECK(countOf(Got, "HTTP/1.1") == 1);
  CHECK(countOf(Got, "Connection: close") == 1);
}

TEST_CASE("a sender that waits for 100 Continue is told to go on") {
  EchoServer Echo;
  RawClient Client(Echo.Address);
  Client.send("POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\nConnection: close\r\n\r\n");
  std::string Interim = Client.receive([](const std::string &Bytes) {
    return Bytes.find("\r\n\r\n") != std::string::npos;
  });
  CHECK(Interim == "HTTP/1.1 100 Continue\r\n\r\n");
  Client.send("ok");
  CHECK(Client.receive().ends_with("/c|ok"));
}

TEST_CASE("five megabytes come back byte for byte") {
  EchoServer Echo({.Limits = {.MaxBodyBytes = 6 * 1024 * 1024}});
  std::string Body;
  for (size_t I = 0; Body.size() < 5 * 1024 * 1024; ++I)
    Body += fmt::format("{},", I);
  RawClient Client(Echo.Address);
  Client.send(fmt::format("POST /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                          "Content-Length: {}\r\n\r\n",
                          Body.size()));
  Client.send(Body);
  std::string Got = Client.receive();
  CHECK(Got.substr(Got.find("\r\n\r\n") + 4) == "/b|" + Body);
}

TEST_CASE("a late answer never reaches the connection that follows") {
  // Answers are held until their callers are gone and others are connected,
  // which gives the new connections the old descriptors.
  EventLoop Loop;
  std::mutex Lock;
  std::vector<Responder> Held;
  HttpServer Server({.Listen = "127.0.0.1:0", .Threads = 2},
                    [&](const HttpRequest &Request, Responder Answer) {
                      if (Request.Target != "/held")
                        return Answer.send({.Body = "own"});
                      std::lock_guard Guard(Lock);
                      Held.push_back(std::move(Answer));
                    });
  std::string Address = Server.start().value();
  constexpr int Rounds = 40;
  for (int I = 0; I < Rounds; ++I) {
    {
      RawClient Gone(Address);
      Gone.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
      while (Server.inFlight() == 0)
        std::this_thread::yield();
    }
    RawClient Next(Address);
    {
      std::lock_guard Guard(Lock);
      for (Responder &Each : Held)
        Each.send({.Body = "stray"});
      Held.clear();
    }
    Next.send("GET /own HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string Got = Next.receive();
    CHECK(Got.ends_with("own"));
    CHECK(countOf(Got, "stray") == 0);
    while (Server.inFlight() != 0)
      std::this_thread::yield();
  }
}

TEST_CASE("while draining every answer closes its connection") {
  EchoServer Echo;
  RawClient Client(Echo.Address);
  Echo.Server.drain();
  Client.send("GET /d HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string Got = Client.receive();
  CHECK(countOf(Got, "Connection: close") == 1);
  CHECK(Got.ends_with("/d|"));
}

TEST_CASE("a slow sender is cut off") {
  EchoServer Echo({.ReceiveTimeout = 100ms});
  RawClient Client(Echo.Address);
  Client.send("GET / HTTP/1.1\r\nHost:");
  CHECK(Client.receive().empty());
}

TEST_CASE("connections beyond the limit are closed") {
  EchoServer Echo({.MaxConnections = 1});
  RawClient First(Echo.Address);
  First.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  First.receive([](const std::string &Bytes) { return Bytes.ends_with("|"); });
  RawClient Second(Echo.Address);
  CHECK(Second.receive().empty());
}
