// Tests ConnectRouter over real sockets: a malformed body is refused.

#include "libutil/connect.h"

#include "schema/basilchute.pb.h"
#include "testing/rawsocket.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;

namespace {

constexpr const char *StatusMethod = "basilchute.v1.StatusService/Status";

/// Serves one method, which succeeds if its request can be decoded.
struct StatusServer {
  StatusServer() {
    Router.add<v1::StatusRequest, v1::StatusResponse>(
        StatusMethod, [](const v1::StatusRequest &, const auto &OnDone) {
          OnDone(v1::StatusResponse());
        });
    Address = Server.start().value();
  }

  /// Returns the first line of the response.
  std::string post(const char *Type, const std::string &Body) const {
    RawClient Client(Address);
    Client.send(fmt::format("POST /{} HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\nContent-Type: {}\r\n"
                            "Content-Length: {}\r\n\r\n{}",
                            StatusMethod, Type, Body.size(), Body));
    std::string Response = Client.receive();
    return Response.substr(0, Response.find("\r\n"));
  }

  ConnectRouter Router;
  HttpServer Server{{.Listen = "127.0.0.1:0"},
                    [this](const HttpRequest &Request, Responder Reply) {
                      Router.handle(Request, std::move(Reply));
                    }};
  std::string Address;
};

} // namespace

// Guards against an overflow of the stack in a recursive parser.
TEST_CASE("A body with very deep nesting is refused by the router") {
  StatusServer Subject;
  CHECK(Subject.post("application/json", "{}").find("200") !=
        std::string::npos);
  std::string Deep = std::string(100000, '[') + std::string(100000, ']');
  CHECK(Subject.post("application/json", Deep).find("400") !=
        std::string::npos);
  CHECK(Subject.post("application/json", "{\"members\":" + Deep + "}")
            .find("400") != std::string::npos);
  // Nested groups of an unknown field.
  CHECK(Subject.post("application/proto", std::string(100000, '\x0b'))
            .find("400") != std::string::npos);
  CHECK(Subject.post("application/proto", "").find("200") != std::string::npos);
}
