/// \file
/// One header line of an HTTP message.
#pragma once

#include "basilchute/namespace.h"

#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// One header line. Names are compared without regard to case.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

BASILCHUTE_NAMESPACE_END
