// The client on real sockets: what is sent how often, and what a failure says.

#include "libutil/httpclient.h"

#include "testing/rawsocket.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const std::string Good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Result<HttpResponse> sendOne(HttpClient &Client, ClientRequest Request) {
  std::promise<Result<HttpResponse>> Answer;
  Client.send(std::move(Request), [&](Result<HttpResponse> Reply) {
    Answer.set_value(std::move(Reply));
  });
  return Answer.get_future().get();
}

/// Answers the first request of every connection and closes on the second.
/// Counts the requests that must not be resent, answered or not.
void answerOnce(RawServer &Server, int Fd, std::atomic<int> &Posts) {
  std::string First = Server.readRequest(Fd);
  Posts += First.starts_with("POST");
  if (First.empty())
    return;
  RawServer::write(Fd, Good);
  Posts += Server.readRequest(Fd).starts_with("POST");
}

} // namespace

TEST_CASE("a request that must not be resent reaches a closing server once") {
  RawServer *Self = nullptr;
  std::atomic<int> Posts{0};
  RawServer Server([&](int Fd, int) { answerOnce(*Self, Fd, Posts); });
  Self = &Server;
  HttpClient Client({});
  for (std::string Body : {"x=1", ""}) {
    // The first exchange leaves a connection that the server then closes on.
    Posts = 0;
    CHECK(sendOne(Client, {.Address = Server.address() + "/"}).has_value());
    Result<HttpResponse> Reply =
        sendOne(Client, {.Method = "POST",
                         .Address = Server.address() + "/",
                         .Body = Body,
                         .NeverResend = true});
    CHECK(Reply.has_value());
    CHECK(Posts == 1);
  }
}

TEST_CASE("an endpoint that closes after reading leaves the outcome open") {
  RawServer *Self = nullptr;
  RawServer Server([&](int Fd, int) { Self->readRequest(Fd); });
  Self = &Server;
  HttpClient Client({});
  Result<HttpResponse> Reply =
      sendOne(Client, {.Method = "POST",
                       .Address = Server.address() + "/",
                       .Body = "order",
                       .NeverResend = true});
  REQUIRE(Reply.has_error());
  CHECK(Reply.error().Code == ResultCode::OutcomeUnknown);
  CHECK(Server.requests() == 1);
}

TEST_CASE("a port that nobody listens on means that nothing was sent") {
  std::string Address;
  {
    RawServer Gone([](int, int) {});
    Address = Gone.address();
  }
  HttpClient Client({});
  Result<HttpResponse> Reply = sendOne(Client, {.Address = Address + "/"});
  REQUIRE(Reply.has_error());
  CHECK(Reply.error().Code == ResultCode::Unavailable);
}

TEST_CASE("an answer that ends early is an error") {
  for (std::string Cut :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno end", "HTTP/1.1 200 OK\r\nContent-Le"}) {
    RawServer *Self = nullptr;
    RawServer Server([&](int Fd, int) {
      Self->readRequest(Fd);
      RawServer::write(Fd, Cut);
    });
    Self = &Server;
    HttpClient Client({});
    Result<HttpResponse> Reply =
        sendOne(Client, {.Address = Server.address() + "/"});
    CAPTURE(Cut);
    CHECK(Reply.has_error());
  }
}

TEST_CASE("trailing bytes on a kept connection are not the next answer") {
  RawServer *Self = nullptr;
  RawServer Server([&](int Fd, int Number) {
    while (!Self->readRequest(Fd).empty())
      RawServer::write(Fd, Number == 1 ? Good + "HTTP/1.1 200 OK\r\n"
                                                "Content-Length: 5\r\n\r\nstray"
                                       : Good);
  });
  Self = &Server;
  HttpClient Client({});
  for (int I = 0; I < 3; ++I) {
    Result<HttpResponse> Reply =
        sendOne(Client, {.Address = Server.address() + "/"});
    REQUIRE(Reply.has_value());
    CHECK(Reply.value().Body == "ok");
  }
}

TEST_CASE("a silent connection is given up and not used again") {
  RawServer *Self = nullptr;
  RawServer Server([&](int Fd, int Number) {
    while (!Self->readRequest(Fd).empty())
      if (Number > 1)
        RawServer::write(Fd, Good);
  });
  Self = &Server;
  HttpClient Client({});
  Result<HttpResponse> Silent =
      sendOne(Client, {.Address = Server.address() + "/", .Timeout = 100ms});
  REQUIRE(Silent.has_error());
  CHECK(Silent.error().Code == ResultCode::OutcomeUnknown);
  CHECK(sendOne(Client, {.Address = Server.address() + "/"}).has_value());
}

// Guards against SHORT by lost connections: a limit of kept connections below
// the number of workers opened one for each order.
TEST_CASE("connections are kept however many addresses are called") {
  constexpr int Addresses = 300;
  RawServer *Self = nullptr;
  RawServer Server(
      [&](int Fd, int) {
        while (!Self->readRequest(Fd).empty())
          RawServer::write(Fd, Good);
      },
      true);
  Self = &Server;
  std::string Port = Server.address().substr(Server.address().find(':'));
  HttpClient Client({});
  for (int Round = 0; Round < 2; ++Round)
    for (int Each = 0; Each < Addresses; ++Each) {
      std::string Address =
          fmt::format("127.0.{}.{}{}/", 1 + Each / 200, 1 + Each % 200, Port);
      CHECK(sendOne(Client, {.Address = Address}).has_value());
    }
  CHECK(Client.opened() == Addresses);
}
