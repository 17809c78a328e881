#include "libutil/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <pistache/http_defs.h>

BASILCHUTE_NAMESPACE_BEGIN

std::string_view HttpRequest::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

bool equalsNoCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
    return std::tolower(static_cast<unsigned char>(X)) ==
           std::tolower(static_cast<unsigned char>(Y));
  });
}

const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (equalsNoCase(Header.Name, Name))
      return &Header.Value;
  return nullptr;
}

namespace {

constexpr std::array<std::string_view, 9> HopByHop = {"connection",
                                                      "keep-alive",
                                                      "proxy-authenticate",
                                                      "proxy-authorization",
                                                      "proxy-connection",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade"};

std::vector<std::string>
connectionOptions(const std::vector<HttpHeader> &Headers) {
  std::vector<std::string> Options;
  for (const HttpHeader &Header : Headers) {
    if (!equalsNoCase(Header.Name, "connection"))
      continue;
    std::string Name;
    for (char Char : Header.Value + ",") {
      if (Char == ' ' || Char == '\t')
        continue;
      if (Char != ',') {
        Name += Char;
        continue;
      }
      Options.push_back(std::move(Name));
      Name.clear();
    }
  }
  return Options;
}

} // namespace

bool closesConnection(const HttpResponse &Response) {
  const std::string *Value = findHeader(Response.Headers, "connection");
  return Value && equalsNoCase(*Value, "close");
}

void stripHopByHop(std::vector<HttpHeader> &Headers) {
  std::vector<std::string> Options = connectionOptions(Headers);
  std::erase_if(Headers, [&](const HttpHeader &Header) {
    auto HasName = [&](std::string_view Name) {
      return equalsNoCase(Header.Name, Name);
    };
    return HasName("content-length") ||
           std::any_of(HopByHop.begin(), HopByHop.end(), HasName) ||
           std::any_of(Options.begin(), Options.end(), HasName);
  });
}

std::string_view statusPhrase(int Status) {
  // Pistache returns an empty string for unknown status codes.
  const char *Text =
      Pistache::Http::codeString(static_cast<Pistache::Http::Code>(Status));
  return Text && *Text ? Text : "Unknown";
}

BASILCHUTE_NAMESPACE_END
