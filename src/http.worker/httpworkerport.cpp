#include "http.worker/httpworkerport.h"

#include "http.worker/workercodec.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

Result<WorkerReport> decode(const Result<HttpResponse> &Answer) {
  if (!Answer.has_value())
    return Answer.error();
  v1::WorkerSyncResponse Message;
  if (Answer.value().Status != 200 ||
      !Message.ParseFromString(Answer.value().Body))
    return makeError(
        ResultCode::OutcomeUnknown,
        fmt::format("worker answered status {}", Answer.value().Status));
  return decodeReport(Message);
}

} // namespace

void HttpWorkerPort::sync(const std::string &Address, WorkerSync Request,
                          SyncDone Done) {
  m_client.send({.Method = "POST",
                 .Address = Address + "/sync",
                 .Headers = {{"Content-Type", "application/proto"}},
                 .Body = encodeSync(Request).SerializeAsString(),
                 .ConnectTimeout = m_timeout,
                 .Timeout = m_timeout},
                [this, Done = std::move(Done)](Result<HttpResponse> Answer) {
                  m_loop.post(
                      [Done, Report = decode(Answer)] { Done(Report); });
                });
}

BASILCHUTE_NAMESPACE_END
