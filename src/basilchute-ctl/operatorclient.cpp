#include "basilchute-ctl/operatorclient.h"

#include <fmt/format.h>
#include <future>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Maps an error code of the Connect protocol to a result code.
ResultCode fromConnectCode(const std::string &Name) {
  if (Name == "invalid_argument")
    return ResultCode::InvalidArgument;
  if (Name == "not_found")
    return ResultCode::NotFound;
  if (Name == "already_exists")
    return ResultCode::AlreadyExists;
  if (Name == "aborted")
    return ResultCode::Conflict;
  if (Name == "permission_denied")
    return ResultCode::PermissionDenied;
  if (Name == "unavailable")
    return ResultCode::Unavailable;
  if (Name == "unknown")
    return ResultCode::OutcomeUnknown;
  return ResultCode::Internal;
}

/// Parses an error of the Connect protocol.
Error parseError(const HttpResponse &Response) {
  google::protobuf::Struct ErrorBody;
  bool IsParsed =
      google::protobuf::util::JsonStringToMessage(Response.Body, &ErrorBody)
          .ok();
  if (!IsParsed)
    return makeError(
        ResultCode::Internal,
        fmt::format("the entry answered with HTTP status {}", Response.Status));
  const auto &Fields = ErrorBody.fields();
  auto Text = [&](const char *Name) {
    auto Field = Fields.find(Name);
    return Field == Fields.end() ? std::string() : Field->second.string_value();
  };
  return makeError(fromConnectCode(Text("code")), Text("message"));
}

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions Options)
    : m_options(std::move(Options)), m_client(HttpClientOptions{}) {}

Result<HttpResponse> OperatorClient::post(const std::string &Entry,
                                          const std::string &Method,
                                          const std::string &Body) {
  ClientRequest Request{.Method = "POST",
                        .Address = Entry + "/basilchute.v1." + Method,
                        .Headers = {{"Content-Type", "application/proto"}},
                        .Body = Body,
                        .Timeout = m_options.Timeout,
                        .UseNewConnection = true};
  if (!m_options.Token.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + m_options.Token});
  std::promise<Result<HttpResponse>> Answer;
  m_client.send(std::move(Request), [&](Result<HttpResponse> Reply) {
    Answer.set_value(std::move(Reply));
  });
  return Answer.get_future().get();
}

Status OperatorClient::callInto(const std::string &Method,
                                const google::protobuf::Message &Request,
                                google::protobuf::Message &Target) {
  std::string Body = Request.SerializeAsString();
  Error LastError =
      makeError(ResultCode::Unavailable, "no entry is configured");
  for (const std::string &Entry : m_options.Entries) {
    Result<HttpResponse> Answer = post(Entry, Method, Body);
    if (!Answer.has_value()) {
      LastError = Answer.error();
      if (LastError.Code == ResultCode::Unavailable)
        continue;
      return LastError;
    }
    if (Answer.value().Status == 200) {
      if (Target.ParseFromString(Answer.value().Body))
        return okStatus();
      return makeError(ResultCode::Internal,
                       "the entry's answer cannot be decoded");
    }
    LastError = parseError(Answer.value());
    if (LastError.Code != ResultCode::Unavailable)
      return LastError;
  }
  return LastError;
}

BASILCHUTE_NAMESPACE_END
