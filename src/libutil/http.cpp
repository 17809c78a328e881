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
  for (const HttpHeader &Each : Headers)
    if (equalsNoCase(Each.Name, Name))
      return &Each.Value;
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

std::vector<std::string> connectionNames(const std::vector<HttpHeader> &From) {
  std::vector<std::string> Out;
  for (const HttpHeader &Each : From) {
    if (!equalsNoCase(Each.Name, "connection"))
      continue;
    std::string Name;
    for (char Next : Each.Value + ",") {
      if (Next == ' ' || Next == '\t')
        continue;
      if (Next != ',') {
        Name += Next;
        continue;
      }
      Out.push_back(std::move(Name));
      Name.clear();
    }
  }
  return Out;
}

} // namespace

void stripHopByHop(std::vector<HttpHeader> &Headers) {
  std::vector<std::string> Named = connectionNames(Headers);
  std::erase_if(Headers, [&](const HttpHeader &Each) {
    auto Is = [&](std::string_view Name) {
      return equalsNoCase(Each.Name, Name);
    };
    return Is("content-length") ||
           std::any_of(HopByHop.begin(), HopByHop.end(), Is) ||
           std::any_of(Named.begin(), Named.end(), Is);
  });
}

std::string_view statusPhrase(int Status) {
  // The library answers with an empty text for codes that it does not know.
  const char *Text =
      Pistache::Http::codeString(static_cast<Pistache::Http::Code>(Status));
  return Text && *Text ? Text : "Unknown";
}

BASILCHUTE_NAMESPACE_END
