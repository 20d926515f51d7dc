# Dependencies, compile options and functions that define the project's targets.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(OpenSSL REQUIRED)
if(NOT BRIARSPREAD_DEPLOYED_ONLY)
  # Debian compiles cpp-httplib with the defines that pkg-config reports. Without
  # them, the headers declare classes with a different layout than the library.
  pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
  pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)
  find_package(Catch2 2 REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()

set(BRIARSPREAD_SANITIZE "" CACHE STRING
    "Sanitizers to build with, for example address,undefined")

add_library(briarspread_options INTERFACE)
target_include_directories(briarspread_options INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_options(briarspread_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wnon-virtual-dtor -Woverloaded-virtual)
# GCC 12 gives false -Wrestrict warnings on std::string assignments (GCC bug
# 105651).
target_compile_options(briarspread_options INTERFACE -Wno-restrict)
target_compile_definitions(briarspread_options INTERFACE
  ASIO_STANDALONE BRIARSPREAD_VERSION="${PROJECT_VERSION}")
target_link_libraries(briarspread_options INTERFACE Threads::Threads)
if(BRIARSPREAD_SANITIZE)
  target_compile_options(briarspread_options INTERFACE
    -fsanitize=${BRIARSPREAD_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(briarspread_options INTERFACE
    -fsanitize=${BRIARSPREAD_SANITIZE})
endif()

# briarspread_library(NAME [DEPS...]): builds all *.cc files of the folder as a
# static library.
function(briarspread_library name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_library(briarspread_${name} STATIC ${sources})
  target_link_libraries(briarspread_${name} PUBLIC briarspread_options ${ARGN})
endfunction()

# briarspread_program(NAME [DEPS...]): builds all *.cc files of the folder as an
# executable.
function(briarspread_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE briarspread_options ${ARGN})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# briarspread_test(NAME [DEPS...]): builds all *.cc files of the folder as a test
# program and registers it with CTest. RC_PARAMS fixes the seed of property tests,
# so that every run checks the same cases.
function(briarspread_test name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE briarspread_options
    briarspread_test_support ${ARGN})
  set_target_properties(${name}_test PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()

# briarspread_subdirectories(): adds each direct subfolder that has a
# CMakeLists.txt.
function(briarspread_subdirectories)
  file(GLOB children CONFIGURE_DEPENDS */CMakeLists.txt)
  foreach(child ${children})
    get_filename_component(folder ${child} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()
