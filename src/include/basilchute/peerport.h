/// \file
/// Port to the system's other processes.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <functional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Calls between processes. Requests and answers are messages of the schema in
/// their binary form. Callbacks run as those of TableStore do.
class PeerPort {
public:
  /// Fails with Unavailable (not delivered) or OutcomeUnknown.
  using CallDone = std::function<void(Result<std::string>)>;

  virtual ~PeerPort() = default;
  /// Sends \p Request to the process at \p Address.
  virtual void call(const std::string &Address, std::string Request,
                    milliseconds Timeout, CallDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
