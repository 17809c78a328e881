/// \file
/// Numeric HOST:PORT addresses.
#pragma once

#include "basilchute/result.h"

#include <cstdint>
#include <string>
#include <string_view>

BASILCHUTE_NAMESPACE_BEGIN

/// A host by IP number and a port.
struct NumericAddress {
  std::string Host;
  uint16_t Port = 0;
};

/// Parses HOST:PORT; fails with InvalidArgument naming the text.
Result<NumericAddress> parseAddress(std::string_view Text);

BASILCHUTE_NAMESPACE_END
