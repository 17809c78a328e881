/// \file
/// Numbered result codes, and the result type of all operations that may fail.
///
/// This is the only public header that includes a third-party header:
/// Boost.Outcome is the project's standard error type.
#pragma once

#include "basilchute/namespace.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Result of an operation. docs/ERRORS.md explains each code.
enum class ResultCode : uint16_t {
  Ok = 0,
  // 1xx: the request is invalid.
  InvalidArgument = 100,
  NotFound = 101,
  AlreadyExists = 102,
  Conflict = 103,
  TooLarge = 104,
  UnsupportedMediaType = 105,
  UnknownMethod = 106,
  PermissionDenied = 107,
  NeverFits = 108,
  // 2xx: the operation is known to have had no effect.
  NotRun = 200,
  Unavailable = 201,
  Overloaded = 202,
  DeadlineExceeded = 203,
  NotReady = 204,
  // 3xx: the operation may have taken effect.
  OutcomeUnknown = 300,
  AnswerCut = 301,
  // 4xx: an order was refused by a fencing check (epoch, incarnation, age or
  // lease).
  StaleEpoch = 400,
  WrongIncarnation = 401,
  StaleStamp = 402,
  LeaseLapsed = 403,
  // 5xx: errors of this process.
  Internal = 500,
  SettingsInvalid = 501,
  BindFailed = 502,
};

/// Entry of the table of result codes.
struct ResultCodeInfo {
  ResultCode Code;
  /// Name that is used in logs and responses, such as "not_run".
  std::string_view Name;
  /// One-sentence explanation for operators.
  std::string_view Meaning;
};

/// Returns all result codes in numeric order.
const std::vector<ResultCodeInfo> &resultCodes();

/// Returns the name of \p Code, or "unknown" if the table does not contain it.
std::string_view resultCodeName(ResultCode Code);

/// A result code and a message that names the object at fault.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;
  /// Time after which the caller should try again; zero if it is not known.
  std::chrono::seconds RetryAfter{0};
};

/// Either a value or an Error. Accessing the one that is not present is
/// undefined behaviour; check `has_value()` first.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Result of an operation that returns nothing.
using Status = Result<void>;

/// Creates an Error, which converts to a failed Result of any type.
inline Error makeError(ResultCode Code, std::string Message) {
  return Error{.Code = Code, .Message = std::move(Message), .RetryAfter = {}};
}

/// Creates a successful Status.
inline Status okStatus() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

BASILCHUTE_NAMESPACE_END
