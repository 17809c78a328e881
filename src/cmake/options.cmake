# Compiler settings for all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)

set(BASILCHUTE_SANITIZE "" CACHE STRING
    "Sanitizers for all targets, such as address,undefined or thread")
if(BASILCHUTE_SANITIZE)
  add_compile_options(-fsanitize=${BASILCHUTE_SANITIZE} -fno-omit-frame-pointer -g)
  add_link_options(-fsanitize=${BASILCHUTE_SANITIZE})
  # ThreadSanitizer does not support std::atomic_thread_fence, which Boost.Asio
  # uses otherwise.
  add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()

# The tests run with the checks of the standard library, so that an access to an
# empty container ends them. A release build without tests has none of them.
if(BASILCHUTE_TESTS)
  add_compile_definitions(_GLIBCXX_ASSERTIONS)
endif()

# Adds the warning flags and include directories of the project's own code to a
# target.
function(basilchute_target Target)
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic -Werror
                         -Wno-missing-field-initializers
                         # GCC 12 reports a false positive in Boost.Outcome at
                         # -O3.
                         -Wno-maybe-uninitialized)
  target_include_directories(${Target} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include>)
  target_include_directories(${Target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
endfunction()
