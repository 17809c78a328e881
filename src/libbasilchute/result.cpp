#include "basilchute/result.h"

BASILCHUTE_NAMESPACE_BEGIN

const std::vector<ResultCodeInfo> &resultCodes() {
  static const std::vector<ResultCodeInfo> Table = {
      {ResultCode::Ok, "ok", "The operation took effect."},
      {ResultCode::InvalidArgument, "invalid_argument",
       "The request is malformed; the message names the field."},
      {ResultCode::NotFound, "not_found", "The named thing does not exist."},
      {ResultCode::AlreadyExists, "already_exists",
       "Another thing of that name exists."},
      {ResultCode::Conflict, "conflict",
       "A row or the configuration changed since it was read."},
      {ResultCode::TooLarge, "too_large", "A size limit was exceeded."},
      {ResultCode::UnsupportedMediaType, "unsupported_media_type",
       "The body is neither JSON nor binary protobuf."},
      {ResultCode::UnknownMethod, "unknown_method",
       "No remote procedure of that name exists."},
      {ResultCode::PermissionDenied, "permission_denied",
       "The operator's token is missing or wrong."},
      {ResultCode::NeverFits, "never_fits",
       "No worker is large enough for the demand."},
      {ResultCode::NotRun, "not_run",
       "The request certainly did not run and may be sent again."},
      {ResultCode::Unavailable, "unavailable",
       "The other side could not be reached; nothing was done."},
      {ResultCode::Overloaded, "overloaded",
       "Queues are full; the request did not run."},
      {ResultCode::DeadlineExceeded, "deadline_exceeded",
       "The deadline passed before the request was sent; it did not run."},
      {ResultCode::NotReady, "not_ready",
       "The process takes no new work now; the request did not run."},
      {ResultCode::OutcomeUnknown, "outcome_unknown",
       "The request may have run; no answer arrived."},
      {ResultCode::AnswerCut, "answer_cut",
       "The endpoint closed within its answer; the request may have run."},
      {ResultCode::StaleEpoch, "stale_epoch",
       "An order came from a former owner of the shard."},
      {ResultCode::WrongIncarnation, "wrong_incarnation",
       "The worker restarted since the order's report."},
      {ResultCode::StaleStamp, "stale_stamp",
       "The order answers a report that is too old."},
      {ResultCode::LeaseLapsed, "lease_lapsed",
       "The lease behind the operation is over."},
      {ResultCode::Internal, "internal", "A fault of this process."},
      {ResultCode::SettingsInvalid, "settings_invalid",
       "The settings have errors; each is listed."},
      {ResultCode::BindFailed, "bind_failed",
       "A listening address could not be taken."},
  };
  return Table;
}

std::string_view resultCodeName(ResultCode Code) {
  for (const ResultCodeInfo &Info : resultCodes())
    if (Info.Code == Code)
      return Info.Name;
  return "unknown";
}

BASILCHUTE_NAMESPACE_END
