/// \file
/// The library's one namespace, with its interface version inline.
#pragma once

/// Opens the library's namespace.
#define BASILCHUTE_NAMESPACE_BEGIN                                             \
  namespace basilchute {                                                       \
  inline namespace v0_1 {
/// Closes the library's namespace.
#define BASILCHUTE_NAMESPACE_END                                               \
  }                                                                            \
  }
