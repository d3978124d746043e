# Asio finds out whether std::aligned_alloc exists only where a standard header
# comes before its own. Units that differ in this allocate with one function
# and release with another.
add_compile_definitions(ASIO_HAS_STD_ALIGNED_ALLOC=1)

find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(restinio REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
if(NOT DEFINED CASSIAKEEL_TESTS OR CASSIAKEEL_TESTS)
  find_package(Catch2 2 REQUIRED)
  find_package(trompeloeil REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()
find_package(tl-expected REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
# The CMake package of Cap'n Proto asks for libatomic, which this platform does
# not need; pkg-config names only the libraries themselves.
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp kj)
pkg_check_modules(CAPNP_RPC REQUIRED IMPORTED_TARGET capnp-rpc kj-async)
find_library(LIBCSV_LIBRARY NAMES csv REQUIRED)
