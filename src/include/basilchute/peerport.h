/// \file
/// Port for calls to the system's other processes.
#pragma once

#include "basilchute/clock.h"
#include "basilchute/result.h"

#include <functional>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Calls between processes of the system. Requests and answers are serialised
/// protobuf messages of the schema. Callbacks follow the same rules as those of
/// TableStore.
class PeerPort {
public:
  /// Gets the serialised answer. Fails with Unavailable (the request was not
  /// delivered) or OutcomeUnknown.
  using CallDone = std::function<void(Result<std::string>)>;

  virtual ~PeerPort() = default;
  /// Sends \p Request to the process at \p Address.
  virtual void call(const std::string &Address, std::string Request,
                    milliseconds Timeout, CallDone Done) = 0;
};

BASILCHUTE_NAMESPACE_END
