/// \file
/// Header field of an HTTP message.
#pragma once

#include "basilchute/namespace.h"

#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// An HTTP header field. Field names are compared case-insensitively.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

BASILCHUTE_NAMESPACE_END
