#include "libutil/connect.h"

#include <google/protobuf/util/json_util.h>
#include <optional>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

namespace json = google::protobuf::util;

enum class Codec { Json, Binary };

std::optional<Codec> findCodec(const HttpRequest &Request) {
  const std::string *Type = findHeader(Request.Headers, "content-type");
  if (!Type)
    return std::nullopt;
  std::string_view MediaType =
      std::string_view(*Type).substr(0, Type->find(';'));
  if (equalsNoCase(MediaType, "application/json"))
    return Codec::Json;
  if (equalsNoCase(MediaType, "application/proto"))
    return Codec::Binary;
  return std::nullopt;
}

bool decode(Codec BodyCodec, const std::string &Body,
            google::protobuf::Message &Message) {
  if (BodyCodec == Codec::Binary)
    return Message.ParseFromString(Body);
  return json::JsonStringToMessage(Body, &Message).ok();
}

HttpResponse encode(Codec BodyCodec, const google::protobuf::Message &Message) {
  HttpResponse Response;
  if (BodyCodec == Codec::Binary) {
    Response.Headers.push_back({"Content-Type", "application/proto"});
    Response.Body = Message.SerializeAsString();
    return Response;
  }
  Response.Headers.push_back({"Content-Type", "application/json"});
  json::JsonPrintOptions Options;
  Options.always_print_primitive_fields = true;
  (void)json::MessageToJsonString(Message, &Response.Body, Options);
  return Response;
}

std::string quoteJson(std::string_view Text) {
  std::string Quoted = "\"";
  for (char Char : Text) {
    if (Char == '"' || Char == '\\')
      Quoted += '\\';
    bool IsControl = static_cast<unsigned char>(Char) < 0x20;
    Quoted += IsControl ? ' ' : Char;
  }
  return Quoted + "\"";
}

/// Error code of the Connect protocol and the HTTP status assigned to it.
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

HttpResponse connectError(const Error &Cause) {
  WireCode Wire = wireCode(Cause.Code);
  std::string Body = "{\"code\":" + quoteJson(Wire.Name) +
                     ",\"message\":" + quoteJson(Cause.Message) + "}";
  return {.Status = Wire.Status,
          .Headers = {{"Content-Type", "application/json"}},
          .Body = std::move(Body)};
}

bool ConnectRouter::handlesPath(const HttpRequest &Request) const {
  return Request.path().starts_with("/basilchute.v1.");
}

void ConnectRouter::handle(const HttpRequest &Request, Responder Reply) const {
  auto MethodIt = m_methods.find(std::string(Request.path().substr(1)));
  if (MethodIt == m_methods.end())
    return Reply.send(connectError(makeError(
        ResultCode::UnknownMethod,
        "method \"" + std::string(Request.path()) + "\" does not exist")));
  if (Request.Method != "POST") {
    HttpResponse Refusal{.Status = 405, .Headers = {{"Allow", "POST"}}};
    return Reply.send(std::move(Refusal));
  }
  std::optional<Codec> BodyCodec = findCodec(Request);
  if (!BodyCodec) {
    // The Connect protocol requires status 415 without a body. Accept-Post
    // lists the supported content types.
    HttpResponse Refusal{
        .Status = 415,
        .Headers = {{"Accept-Post", "application/json, application/proto"}}};
    return Reply.send(std::move(Refusal));
  }
  std::unique_ptr<google::protobuf::Message> Message =
      MethodIt->second.MakeRequest();
  if (!decode(*BodyCodec, Request.Body, *Message))
    return Reply.send(connectError(makeError(
        ResultCode::InvalidArgument,
        "the body is not a valid " + Message->GetDescriptor()->full_name())));
  auto SharedReply = std::make_shared<Responder>(std::move(Reply));
  MethodIt->second.Invoke(
      *Message,
      [SharedReply, ResponseCodec = *BodyCodec](
          const google::protobuf::Message *Response, const Error &Cause) {
        SharedReply->send(Response ? encode(ResponseCodec, *Response)
                                   : connectError(Cause));
      });
}

BASILCHUTE_NAMESPACE_END
