/// \file
/// HTTP requests and responses as used by the server and the client.
#pragma once

#include "basilchute/header.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A complete request. Headers keep their order and duplicates.
struct HttpRequest {
  std::string Method;
  /// Request target as received, including the query.
  std::string Target;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// False if the connection closes after the response.
  bool KeepAlive = true;

  /// Returns the target without its query.
  std::string_view path() const;
};

/// A complete response.
struct HttpResponse {
  int Status = 200;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// In a response that a client has received: the local port of its
  /// connection; zero if not known.
  int LocalPort = 0;
};

/// Returns true if \p A and \p B are equal, ignoring case.
bool equalsNoCase(std::string_view A, std::string_view B);
/// Returns the value of the first header named \p Name, ignoring case, or null.
const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name);
/// Returns true if \p Response announces that its connection closes.
bool closesConnection(const HttpResponse &Response);
/// Removes the headers that apply to a single connection: the standard
/// hop-by-hop headers, those listed in Connection, and the two that delimit the
/// body (Content-Length and Transfer-Encoding).
void stripHopByHop(std::vector<HttpHeader> &Headers);
/// Returns the reason phrase of \p Status, or "Unknown".
std::string_view statusPhrase(int Status);

BASILCHUTE_NAMESPACE_END
