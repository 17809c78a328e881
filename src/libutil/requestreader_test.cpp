// Tests RequestReader: which requests are parsed and which are rejected because
// of their framing.

#include "libutil/requestreader.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;

namespace {

using Progress = RequestReader::Progress;

constexpr RequestLimits SmallLimits{
    .MaxHeadBytes = 512, .MaxHeaders = 8, .MaxBodyBytes = 64};

/// Parses \p Input in pieces of \p PieceSize bytes until the request is
/// complete or rejected. Sets \p Total to the number of bytes consumed.
Progress readAll(RequestReader &Reader, std::string_view Input,
                 size_t PieceSize, size_t &Total) {
  Total = 0;
  while (Total < Input.size()) {
    size_t Consumed = 0;
    Progress Result = Reader.read(Input.substr(Total, PieceSize), Consumed);
    Total += Consumed;
    if (Result != Progress::NeedMore)
      return Result;
  }
  return Progress::NeedMore;
}

int statusOf(std::string_view Input) {
  RequestReader Reader(SmallLimits);
  size_t Total = 0;
  Progress Result = readAll(Reader, Input, Input.size(), Total);
  return Result == Progress::Rejected ? Reader.errorStatus() : 0;
}

} // namespace

TEST_CASE("a request is parsed the same however its bytes are divided") {
  std::string Input = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n"
                      "X-A: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\nT: 1\r\n\r\n"
                      "GET / HTTP/1.1\r\n";
  size_t FirstSize = Input.find("GET");
  for (size_t PieceSize = 1; PieceSize <= Input.size(); ++PieceSize) {
    RequestReader Reader(SmallLimits);
    size_t Total = 0;
    REQUIRE(readAll(Reader, Input, PieceSize, Total) == Progress::Done);
    CHECK(Total == FirstSize);
    HttpRequest Request = Reader.take();
    CHECK(Request.Method == "POST");
    CHECK(Request.path() == "/a");
    CHECK(Request.Body == "hello world");
    CHECK(Request.Headers.size() == 4);
    CHECK(Request.KeepAlive);
  }
}

TEST_CASE("two requests in one segment are parsed one after the other") {
  std::string One =
      "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
  std::string Two = "GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  RequestReader Reader(SmallLimits);
  size_t Consumed = 0;
  REQUIRE(Reader.read(One + Two, Consumed) == Progress::Done);
  CHECK(Consumed == One.size());
  CHECK(Reader.take().Body == "abc");
  REQUIRE(Reader.read(Two, Consumed) == Progress::Done);
  HttpRequest Second = Reader.take();
  CHECK(Second.Target == "/2");
  CHECK_FALSE(Second.KeepAlive);
}

TEST_CASE("ambiguous or malformed framing is rejected") {
  auto WithHead = [](std::string_view Lines) {
    return fmt::format("POST / HTTP/1.1\r\nHost: x\r\n{}\r\n", Lines);
  };
  CHECK(statusOf(WithHead("Content-Length: 3\r\nContent-Length: 5\r\n")) ==
        400);
  CHECK(statusOf(WithHead("Content-Length: 3\r\nContent-Length: 3\r\n")) ==
        400);
  CHECK(statusOf(WithHead("Content-Length: 3x\r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: -3\r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: +3\r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: \r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: 3, 3\r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: 99999999999999999999\r\n")) == 400);
  CHECK(statusOf(WithHead("Content-Length: 65\r\n")) == 413);
  CHECK(statusOf(WithHead("Content-Length: 3\r\n"
                          "Transfer-Encoding: chunked\r\n")) == 400);
  CHECK(statusOf(WithHead("Transfer-Encoding: gzip, chunked\r\n")) == 501);
  CHECK(statusOf(WithHead("Transfer-Encoding: chunked\r\n"
                          "Transfer-Encoding: chunked\r\n")) == 400);
  CHECK(statusOf(WithHead("no colon here\r\n")) == 400);
  CHECK(statusOf(WithHead("Space : 1\r\n")) == 400);
  CHECK(statusOf(WithHead(" folded: 1\r\n")) == 400);
  CHECK(statusOf(WithHead("A: 1\nB: 2\r\n")) == 400);
  CHECK(statusOf(WithHead(std::string_view("A: \0\r\n", 6))) == 400);
  CHECK(statusOf(WithHead("Host: y\r\n")) == 400);
  CHECK(statusOf("GET / HTTP/1.1\r\n\r\n") == 400);
  CHECK(statusOf("GET  / HTTP/1.1\r\nHost: x\r\n\r\n") == 400);
  CHECK(statusOf("GET /a b HTTP/1.1\r\nHost: x\r\n\r\n") == 400);
  CHECK(statusOf("GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n") == 400);
  CHECK(statusOf("GET / HTTP/2.0\r\nHost: x\r\n\r\n") == 505);
  CHECK(statusOf("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        501);
  CHECK(statusOf("\x16\x03\x01\r\n\r\n") == 400);
}

TEST_CASE("malformed or too large chunks are rejected") {
  auto Chunked = [](std::string_view Body) {
    return fmt::format("POST / HTTP/1.1\r\nHost: x\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n{}",
                       Body);
  };
  CHECK(statusOf(Chunked("x\r\n")) == 400);
  CHECK(statusOf(Chunked("-1\r\n")) == 400);
  CHECK(statusOf(Chunked("3\r\nabcd\r\n")) == 400);
  CHECK(statusOf(Chunked("3\nabc\r\n")) == 400);
  CHECK(statusOf(Chunked("ffffffffffffffff\r\n")) == 413);
  CHECK(statusOf(Chunked("20\r\n" + std::string(32, 'a') + "\r\n21\r\n")) ==
        413);
}

TEST_CASE("heads beyond the limits are rejected") {
  CHECK(statusOf("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(600, 'a')) ==
        431);
  std::string Many = "GET / HTTP/1.1\r\nHost: x\r\n";
  for (int I = 0; I < 8; ++I)
    Many += fmt::format("A{}: 1\r\n", I);
  CHECK(statusOf(Many + "\r\n") == 431);
}

TEST_CASE("hop-by-hop headers are stripped") {
  std::vector<HttpHeader> Headers = {{"Connection", "close, X-Own"},
                                     {"X-Own", "1"},
                                     {"Keep-Alive", "5"},
                                     {"Content-Length", "3"},
                                     {"Transfer-Encoding", "x"},
                                     {"Cookie", "a"},
                                     {"Cookie", "b"}};
  stripHopByHop(Headers);
  REQUIRE(Headers.size() == 2);
  CHECK(Headers[0].Value == "a");
  CHECK(Headers[1].Value == "b");
}
