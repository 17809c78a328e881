/// \file
/// Numbered result codes and the result type of every fallible operation.
///
/// This is the one public header that includes a third-party header:
/// Boost.Outcome is the error type of the house style.
#pragma once

#include "basilchute/namespace.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// Outcome of an operation. docs/ERRORS.md explains each number.
enum class ResultCode : uint16_t {
  Ok = 0,
  // 1xx: the request itself is at fault.
  InvalidArgument = 100,
  NotFound = 101,
  AlreadyExists = 102,
  Conflict = 103,
  TooLarge = 104,
  UnsupportedMediaType = 105,
  UnknownMethod = 106,
  PermissionDenied = 107,
  NeverFits = 108,
  // 2xx: the operation certainly had no effect.
  NotRun = 200,
  Unavailable = 201,
  Overloaded = 202,
  DeadlineExceeded = 203,
  NotReady = 204,
  // 3xx: the operation may have had its effect.
  OutcomeUnknown = 300,
  AnswerCut = 301,
  // 4xx: an order was refused by its fence.
  StaleEpoch = 400,
  WrongIncarnation = 401,
  StaleStamp = 402,
  LeaseLapsed = 403,
  // 5xx: faults of this process.
  Internal = 500,
  SettingsInvalid = 501,
  BindFailed = 502,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode Code;
  /// Name as it stands in logs and answers, such as "not_run".
  std::string_view Name;
  /// One sentence for operators.
  std::string_view Meaning;
};

/// Returns every result code in numeric order.
const std::vector<ResultCodeInfo> &resultCodes();

/// Returns the name of \p Code, or "unknown" for a number out of the table.
std::string_view resultCodeName(ResultCode Code);

/// A result code with a text that names the thing at fault.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;
};

/// Either a value or an Error. Reading the side that is not there is a
/// programming fault and undefined; ask `has_value()` first.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Result of an operation that returns nothing.
using Status = Result<void>;

/// Makes the error side of any Result.
inline Error makeError(ResultCode Code, std::string Message) {
  return Error{.Code = Code, .Message = std::move(Message)};
}

/// Makes the value side of a Status.
inline Status okStatus() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

BASILCHUTE_NAMESPACE_END
