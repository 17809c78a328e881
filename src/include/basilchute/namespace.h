/// \file
/// The library's namespace, which contains an inline namespace for the version
/// of the interface.
#pragma once

/// Opens the library's namespace.
#define BASILCHUTE_NAMESPACE_BEGIN                                             \
  namespace basilchute {                                                       \
  inline namespace v0_1 {
/// Closes the library's namespace.
#define BASILCHUTE_NAMESPACE_END                                               \
  }                                                                            \
  }
