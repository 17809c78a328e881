#include "libutil/connect.h"

#include <google/protobuf/util/json_util.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace json = google::protobuf::util;

enum class Codec { Json, Binary };

std::optional<Codec> codecOf(const HttpRequest &Request) {
  const std::string *Type = findHeader(Request.Headers, "content-type");
  if (!Type)
    return std::nullopt;
  std::string_view Media = std::string_view(*Type).substr(0, Type->find(';'));
  if (equalsNoCase(Media, "application/json"))
    return Codec::Json;
  if (equalsNoCase(Media, "application/proto"))
    return Codec::Binary;
  return std::nullopt;
}

bool decode(Codec As, const std::string &Body,
            google::protobuf::Message &Into) {
  if (As == Codec::Binary)
    return Into.ParseFromString(Body);
  return json::JsonStringToMessage(Body, &Into).ok();
}

HttpResponse encode(Codec As, const google::protobuf::Message &From) {
  HttpResponse Out;
  if (As == Codec::Binary) {
    Out.Headers.push_back({"Content-Type", "application/proto"});
    Out.Body = From.SerializeAsString();
    return Out;
  }
  Out.Headers.push_back({"Content-Type", "application/json"});
  json::JsonPrintOptions Options;
  Options.always_print_primitive_fields = true;
  (void)json::MessageToJsonString(From, &Out.Body, Options);
  return Out;
}

std::string quoteJson(std::string_view Text) {
  std::string Out = "\"";
  for (char Each : Text) {
    if (Each == '"' || Each == '\\')
      Out += '\\';
    bool Control = static_cast<unsigned char>(Each) < 0x20;
    Out += Control ? ' ' : Each;
  }
  return Out + "\"";
}

/// Codes of the protocol with their HTTP status.
struct WireCode {
  std::string_view Name;
  int Status;
};

WireCode wireCode(ResultCode Code) {
  switch (Code) {
  case ResultCode::InvalidArgument:
  case ResultCode::NeverFits:
    return {"invalid_argument", 400};
  case ResultCode::NotFound:
    return {"not_found", 404};
  case ResultCode::AlreadyExists:
    return {"already_exists", 409};
  case ResultCode::Conflict:
    return {"aborted", 409};
  case ResultCode::TooLarge:
  case ResultCode::Overloaded:
    return {"resource_exhausted", 429};
  case ResultCode::UnknownMethod:
    return {"unimplemented", 501};
  case ResultCode::PermissionDenied:
    return {"permission_denied", 403};
  case ResultCode::Unavailable:
  case ResultCode::NotReady:
  case ResultCode::NotRun:
    return {"unavailable", 503};
  case ResultCode::DeadlineExceeded:
    return {"deadline_exceeded", 504};
  case ResultCode::OutcomeUnknown:
    return {"unknown", 500};
  default:
    return {"internal", 500};
  }
}

} // namespace

std::string_view connectCode(ResultCode Code) { return wireCode(Code).Name; }
int connectStatus(ResultCode Code) { return wireCode(Code).Status; }

HttpResponse connectError(const Error &Fault) {
  WireCode Wire = wireCode(Fault.Code);
  std::string Body = "{\"code\":" + quoteJson(Wire.Name) +
                     ",\"message\":" + quoteJson(Fault.Message) + "}";
  return {.Status = Wire.Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(Body)};
}

bool ConnectRouter::serves(const HttpRequest &Request) const {
  return Request.path().starts_with("/basilchute.v1.");
}

void ConnectRouter::handle(const HttpRequest &Request, Responder Answer) const {
  auto Found = m_methods.find(std::string(Request.path().substr(1)));
  if (Found == m_methods.end())
    return Answer.send(connectError(makeError(
        ResultCode::UnknownMethod,
        "method \"" + std::string(Request.path()) + "\" does not exist")));
  if (Request.Method != "POST") {
    HttpResponse Refusal{.Status = 405, .Headers = {{"Allow", "POST"}}};
    return Answer.send(std::move(Refusal));
  }
  std::optional<Codec> As = codecOf(Request);
  if (!As) {
    // The protocol asks for a bare 415 and names the codecs that it knows.
    HttpResponse Refusal{
        .Status = 415,
        .Headers = {{"Accept-Post", "application/json, application/proto"}}};
    return Answer.send(std::move(Refusal));
  }
  std::unique_ptr<google::protobuf::Message> Body = Found->second.MakeRequest();
  if (!decode(*As, Request.Body, *Body))
    return Answer.send(connectError(makeError(
        ResultCode::InvalidArgument,
        "the body is not a valid " + Body->GetDescriptor()->full_name())));
  auto Shared = std::make_shared<Responder>(std::move(Answer));
  Found->second.Call(
      *Body, [Shared, Codec = *As](const google::protobuf::Message *Reply,
                                   const Error &Fault) {
        Shared->send(Reply ? encode(Codec, *Reply) : connectError(Fault));
      });
}

BASILCHUTE_NAMESPACE_END
