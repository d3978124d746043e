# cassiakeel_library(name SOURCES a.cc ... DEPENDS target ...)
#
# Adds the library cassiakeel_<name> with the alias cassiakeel::<name>.
function(cassiakeel_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target cassiakeel_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(cassiakeel::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(
    ${target} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include>
                     $<INSTALL_INTERFACE:include>)
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_compile_options(${target} PRIVATE -Wall -Wextra)
  target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  install(TARGETS ${target} EXPORT cassiakeel-targets)
endfunction()

# All unit test programs, without the programs that only end-to-end cases run.
add_custom_target(unit_tests)

# cassiakeel_test(name SOURCES a_test.cc ... DEPENDS target ...)
#
# Adds the one test program of a library, <name>_test, and registers it.
function(cassiakeel_test name)
  if(NOT CASSIAKEEL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target ${name}_test)
  add_executable(${target} ${ARG_SOURCES})
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}
                                               ${PROJECT_SOURCE_DIR}/src/testing)
  target_compile_options(${target} PRIVATE -Wall -Wextra)
  target_link_libraries(${target} PRIVATE ${ARG_DEPENDS} Catch2::Catch2
                                          trompeloeil::trompeloeil rapidcheck)
  add_test(NAME ${target} COMMAND ${target})
  add_dependencies(unit_tests ${target})
  # A fixed seed gives the same verdict in every run; a search with other seeds
  # is scripts/check-history.
  set_tests_properties(
    ${target} PROPERTIES LABELS unit TIMEOUT 300 ENVIRONMENT
                         "RC_PARAMS=seed=20261204")
endfunction()

# cassiakeel_program(name SOURCES main.cc ... DEPENDS target ...)
function(cassiakeel_program name)
  cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_compile_options(${name} PRIVATE -Wall -Wextra)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  if(ARG_INSTALL)
    install(TARGETS ${name})
  endif()
endfunction()

# cassiakeel_e2e_test(name)
#
# Registers the program `run` of the folder, an end-to-end case that starts
# nodes and test doubles by itself.
function(cassiakeel_e2e_test name)
  add_test(NAME e2e_${name}
           COMMAND ${CMAKE_CURRENT_SOURCE_DIR}/run --bin-dir
                   ${CMAKE_RUNTIME_OUTPUT_DIRECTORY})
  # Each case keeps several processors busy.
  set_tests_properties(e2e_${name} PROPERTIES LABELS e2e TIMEOUT 90 PROCESSORS 2)
endfunction()
