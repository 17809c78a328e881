#include "basilchute/result.h"

BASILCHUTE_NAMESPACE_BEGIN

const std::vector<ResultCodeInfo> &resultCodes() {
  static const std::vector<ResultCodeInfo> Table = {
      {ResultCode::Ok, "ok", "The operation took effect."},
      {ResultCode::InvalidArgument, "invalid_argument",
       "The request is malformed; the message names the field."},
      {ResultCode::NotFound, "not_found", "The named object does not exist."},
      {ResultCode::AlreadyExists, "already_exists",
       "Another object of that name exists."},
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
       "No worker, or for a gang no shard, is large enough for the demand."},
      {ResultCode::NotRun, "not_run",
       "The request did not run and can safely be retried."},
      {ResultCode::Unavailable, "unavailable",
       "The peer could not be reached; the request had no effect."},
      {ResultCode::Overloaded, "overloaded",
       "Queues are full; the request did not run."},
      {ResultCode::DeadlineExceeded, "deadline_exceeded",
       "The deadline passed before the request was sent; it did not run."},
      {ResultCode::NotReady, "not_ready",
       "The process does not accept new work at present; the request did not "
       "run."},
      {ResultCode::OutcomeUnknown, "outcome_unknown",
       "The request may have run; no answer arrived."},
      {ResultCode::AnswerCut, "answer_cut",
       "The endpoint closed the connection in the middle of its response; the "
       "request may have run."},
      {ResultCode::StaleEpoch, "stale_epoch",
       "The order came from a previous owner of the shard."},
      {ResultCode::WrongIncarnation, "wrong_incarnation",
       "The worker has restarted since the report on which the order is "
       "based."},
      {ResultCode::StaleStamp, "stale_stamp",
       "The order is based on a report that is too old."},
      {ResultCode::LeaseLapsed, "lease_lapsed",
       "The lease that the operation depends on has expired."},
      {ResultCode::Internal, "internal", "An internal error of this process."},
      {ResultCode::SettingsInvalid, "settings_invalid",
       "The settings have errors; each is listed."},
      {ResultCode::BindFailed, "bind_failed",
       "A listening address could not be bound."},
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
