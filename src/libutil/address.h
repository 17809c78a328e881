/// \file
/// Numeric HOST:PORT addresses.
#pragma once

#include "basilchute/result.h"

#include <cstdint>
#include <string>
#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// An IPv4 address in dotted-decimal notation and a port.
struct NumericAddress {
  std::string Host;
  uint16_t Port = 0;
};

/// Parses HOST:PORT, where HOST is an IPv4 address in dotted-decimal notation.
/// Fails with InvalidArgument and quotes \p Text in the message.
Result<NumericAddress> parseAddress(std::string_view Text);

BASILCHUTE_NAMESPACE_END
