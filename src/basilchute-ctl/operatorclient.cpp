#include "basilchute-ctl/operatorclient.h"

#include <fmt/format.h>
#include <future>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

ResultCode codeOf(const std::string &Name) {
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

/// Reads the error document of the Connect protocol.
Error errorOf(const HttpResponse &From) {
  google::protobuf::Struct Parsed;
  bool Good =
      google::protobuf::util::JsonStringToMessage(From.Body, &Parsed).ok();
  if (!Good)
    return makeError(ResultCode::Internal,
                     fmt::format("the entry answered status {}", From.Status));
  const auto &Fields = Parsed.fields();
  auto Text = [&](const char *Name) {
    auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second.string_value();
  };
  return makeError(codeOf(Text("code")), Text("message"));
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
                        .NeverResend = true};
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
                                google::protobuf::Message &Into) {
  std::string Body = Request.SerializeAsString();
  Error Last = makeError(ResultCode::Unavailable, "no entry is configured");
  for (const std::string &Entry : m_options.Entries) {
    Result<HttpResponse> Answer = post(Entry, Method, Body);
    if (!Answer.has_value()) {
      Last = Answer.error();
      if (Last.Code == ResultCode::Unavailable)
        continue;
      return Last;
    }
    if (Answer.value().Status == 200) {
      if (Into.ParseFromString(Answer.value().Body))
        return okStatus();
      return makeError(ResultCode::Internal, "the answer cannot be decoded");
    }
    Last = errorOf(Answer.value());
    if (Last.Code != ResultCode::Unavailable)
      return Last;
  }
  return Last;
}

BASILCHUTE_NAMESPACE_END
