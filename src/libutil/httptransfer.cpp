#include "libutil/httptransfer.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

TimePoint now() { return SystemClock().now(); }

size_t onBody(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *Current = static_cast<Transfer *>(UserData);
  Current->LastReceived = now();
  size_t Bytes = Size * Count;
  if (Current->Response.Body.size() + Bytes > Current->MaxBody) {
    Current->IsTooLarge = true;
    return 0;
  }
  Current->Response.Body.append(Data, Bytes);
  return Bytes;
}

size_t onHeader(char *Data, size_t Size, size_t Count, void *UserData) {
  auto *Current = static_cast<Transfer *>(UserData);
  Current->LastReceived = now();
  std::string_view Line(Data, Size * Count);
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // A status line begins a new response: the headers of a preceding interim
  // response (1xx) are discarded.
  if (Line.starts_with("HTTP/")) {
    Current->Response.Headers.clear();
    Current->HasFraming = false;
    return Size * Count;
  }
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Size * Count;
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  std::string_view Name = Line.substr(0, Colon);
  Current->HasFraming |= equalsNoCase(Name, "content-length") ||
                         equalsNoCase(Name, "transfer-encoding");
  Current->Response.Headers.push_back({std::string(Name), std::string(Value)});
  return Size * Count;
}

// Closes the connection when sent data stays unacknowledged for longer than the
// time-out of the request, however long the connection was idle before.
int onSocket(void *UserData, curl_socket_t Socket, curlsocktype) {
  auto *Current = static_cast<Transfer *>(UserData);
  if (!Current->maySend() || Current->Request.UseKeptConnection)
    return CURL_SOCKOPT_ERROR;
  milliseconds Limit = Current->AckTimeout.count() > 0
                           ? Current->AckTimeout
                           : Current->Request.Timeout;
  auto Timeout = static_cast<unsigned>(Limit.count());
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout, sizeof(Timeout));
  return CURL_SOCKOPT_OK;
}

// Called before each time that libcurl sends the request.
int onConnected(void *UserData, char *, char *, int, int LocalPort) {
  auto *Current = static_cast<Transfer *>(UserData);
  if (!Current->maySend())
    return CURL_PREREQFUNC_ABORT;
  if (!Current->mayUse(LocalPort)) {
    Current->IsRefused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  // libcurl sends the request again after a connection that has just ended.
  TimePoint Now = now();
  if (Current->Sends > 0 && Current->wasGivenUp(Now))
    Current->Kept->onSilent(Current->peer(), Current->silentSince(Now));
  if (Current->Kept->isSuspect(Current->peer(), LocalPort)) {
    Current->IsRefused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++Current->Sends;
  Current->LocalPort = LocalPort;
  Current->SentAt = Now;
  Current->LastReceived = Now;
  Current->LastAnswer = Current->Kept->lastAnswer(Current->peer(), LocalPort);
  // libcurl would take another kept connection to send the request again, which
  // may be reset too, and close it when it is stopped.
  if (!Current->isIdempotent())
    curl_easy_setopt(Current->Easy, CURLOPT_FRESH_CONNECT, 1L);
  return CURL_PREREQFUNC_OK;
}

void prepareBody(Transfer &Current) {
  const ClientRequest &Request = Current.Request;
  curl_easy_setopt(Current.Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Current.Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (Request.Body.empty() && Request.Method == "GET")
    return;
  curl_easy_setopt(Current.Easy, CURLOPT_POSTFIELDS, Request.Body.data());
  curl_easy_setopt(Current.Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Request.Body.size()));
}

void prepareHeaders(Transfer &Current) {
  auto AddLine = [&](const std::string &Line) {
    Current.HeaderLines = curl_slist_append(Current.HeaderLines, Line.c_str());
  };
  bool HasType = false;
  for (const HttpHeader &Header : Current.Request.Headers) {
    HasType |= equalsNoCase(Header.Name, "content-type");
    // libcurl sends a header with an empty value only if it is given as
    // "Name;".
    AddLine(Header.Value.empty() ? Header.Name + ";"
                                 : Header.Name + ": " + Header.Value);
  }
  AddLine("Expect:");
  if (!HasType)
    AddLine("Content-Type:");
  if (!findHeader(Current.Request.Headers, "accept"))
    AddLine("Accept:");
  curl_easy_setopt(Current.Easy, CURLOPT_HTTPHEADER, Current.HeaderLines);
}

} // namespace

void prepareTransfer(Transfer &Current, const HttpClientOptions &Options) {
  Current.Easy = curl_easy_init();
  Current.MaxBody = Options.MaxBodyBytes;
  Current.AckTimeout = Options.AckTimeout;
  Current.Url = "http://" + Current.Request.Address;
  CURL *Easy = Current.Easy;
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Current);
  curl_easy_setopt(Easy, CURLOPT_URL, Current.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  if (Options.AckTimeout.count() > 0) {
    // The shortest that TCP has, in seconds.
    curl_easy_setopt(Easy, CURLOPT_TCP_KEEPIDLE, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_KEEPINTVL, 1L);
  }
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onConnected);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Current);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Current.Request.ConnectTimeout.count()));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Current.Request.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(Options.MaxIdleTime.count()));
  if (Current.Request.UseNewConnection)
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  prepareBody(Current);
  prepareHeaders(Current);
}

namespace {

/// Returns how well the connection of a failed request had been proven, and how
/// much of the response was received.
std::string describeConnection(const Transfer &Failed) {
  std::string Proof =
      Failed.LastAnswer
          ? fmt::format("answered {} ms before",
                        (Failed.SentAt - *Failed.LastAnswer) / milliseconds(1))
          : "new";
  return fmt::format(" (connection: {}; {} bytes of a body, silent for {} ms)",
                     Proof, Failed.Response.Body.size(),
                     (now() - Failed.LastReceived) / milliseconds(1));
}

Error makeFailure(const Transfer &Failed, CURLcode Code) {
  const std::string &Address = Failed.Request.Address;
  if (Failed.IsTooLarge)
    return makeError(ResultCode::AnswerCut,
                     fmt::format("response from \"{}\" is longer than {} bytes",
                                 Address, Failed.MaxBody));
  // libcurl reports why it gave up sending again, not why the connection ended.
  bool HasEndedEarly =
      !Failed.maySend() &&
      (Code == CURLE_ABORTED_BY_CALLBACK || Code == CURLE_COULDNT_CONNECT);
  bool HasNoKept = Failed.Request.UseKeptConnection && Failed.Sends == 0;
  std::string Message =
      fmt::format("request to \"{}\": {}", Address,
                  HasEndedEarly ? "the connection ended before the response"
                  : HasNoKept   ? "no kept connection"
                                : curl_easy_strerror(Code));
  if (Failed.sentBytes() == 0)
    return makeError(ResultCode::Unavailable, Message);
  return makeError(Failed.hasResponse() ? ResultCode::AnswerCut
                                        : ResultCode::OutcomeUnknown,
                   Message + describeConnection(Failed));
}

} // namespace

Result<HttpResponse> transferResult(Transfer &Ended, CURLcode Code) {
  if (Code != CURLE_OK)
    return makeFailure(Ended, Code);
  long Status = 0;
  curl_easy_getinfo(Ended.Easy, CURLINFO_RESPONSE_CODE, &Status);
  Ended.Response.Status = static_cast<int>(Status);
  Ended.Response.LocalPort = Ended.LocalPort;
  bool HasNoBody =
      Ended.Request.Method == "HEAD" || Status == 204 || Status == 304;
  if (!Ended.HasFraming && !HasNoBody)
    return makeError(
        ResultCode::AnswerCut,
        fmt::format("response from \"{}\" has neither Content-Length nor "
                    "Transfer-Encoding",
                    Ended.Request.Address));
  return std::move(Ended.Response);
}

BASILCHUTE_NAMESPACE_END
