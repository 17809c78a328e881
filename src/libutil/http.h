/// \file
/// HTTP messages as the server and the client exchange them with the rest.
#pragma once

#include "basilchute/header.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A whole request. Headers keep their order and duplicates.
struct HttpRequest {
  std::string Method;
  /// Target as sent, with its query.
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// False if the connection closes after the answer.
  bool KeepAlive = true;

  /// Returns the target without its query.
  std::string_view path() const;
};

/// A whole response.
struct HttpResponse {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Returns true if \p A and \p B are equal but for case.
bool equalsNoCase(std::string_view A, std::string_view B);
/// Returns the first header called \p Name, or null.
const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name);
/// Removes headers that concern one connection only: the standard hop-by-hop
/// ones, those that Connection names, and the two that frame the body.
void stripHopByHop(std::vector<HttpHeader> &Headers);
/// Returns the reason phrase of \p Status, or "Unknown".
std::string_view statusPhrase(int Status);

BASILCHUTE_NAMESPACE_END
