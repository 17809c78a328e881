#include "http.worker/httpworkerport.h"

#include "http.worker/workercodec.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

Result<SyncReply> decodeResponse(const Result<HttpResponse> &Response) {
  if (!Response.has_value())
    return Response.error();
  v1::WorkerSyncResponse Message;
  if (Response.value().Status != 200 ||
      !Message.ParseFromString(Response.value().Body))
    return makeError(
        ResultCode::OutcomeUnknown,
        fmt::format("invalid sync response from worker, HTTP status {}",
                    Response.value().Status));
  return decodeSyncReply(Message);
}

} // namespace

void HttpWorkerPort::sync(const std::string &Address, SyncRequest Request,
                          SyncDone Done) {
  m_client.send({.Method = "POST",
                 .Address = Address + "/sync",
                 .Headers = {{"Content-Type", "application/proto"}},
                 .Body = encodeSyncRequest(Request).SerializeAsString(),
                 .ConnectTimeout = m_timeout,
                 .Timeout = m_timeout},
                [this, Done = std::move(Done)](Result<HttpResponse> Response) {
                  m_loop.post([Done, Report = decodeResponse(Response)] {
                    Done(Report);
                  });
                });
}

BASILCHUTE_NAMESPACE_END
