# Functions that define the targets: one library per directory in src/, one
# program per directory, and one test binary per directory in tests/.

set(IBIS_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)

# ibis_library(NAME DEPS target...): builds the library ibis_NAME from all .cc
# files in this directory.
function(ibis_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  if(sources)
    add_library(ibis_${name} STATIC ${sources})
    target_compile_options(ibis_${name} PRIVATE ${IBIS_WARNINGS})
    target_include_directories(ibis_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src
      ${PROJECT_SOURCE_DIR})
    target_link_libraries(ibis_${name} PUBLIC ${ARG_DEPS})
  else()
    add_library(ibis_${name} INTERFACE)
    target_include_directories(ibis_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(ibis_${name} INTERFACE ${ARG_DEPS})
  endif()
endfunction()

# ibis_program(NAME DEPS target... [SOURCES file...]): builds the program NAME
# from SOURCES or, by default, all .cc files in this directory.
function(ibis_program name)
  cmake_parse_arguments(ARG "" "" "DEPS;SOURCES" ${ARGN})
  if(NOT ARG_SOURCES)
    file(GLOB ARG_SOURCES CONFIGURE_DEPENDS *.cc)
  endif()
  if(ARG_SOURCES)
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE ${IBIS_WARNINGS})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PRIVATE ${ARG_DEPS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                          ${PROJECT_BINARY_DIR}/bin)
  endif()
endfunction()

# ibis_tests(NAME DEPS target... [ENVIRONMENT variable...]): builds NAME_test
# from all .cc files in this directory and registers each GoogleTest case with
# ctest.
function(ibis_tests name)
  cmake_parse_arguments(ARG "" "" "DEPS;ENVIRONMENT" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  if(sources)
    add_executable(${name}_test ${sources})
    target_compile_options(${name}_test PRIVATE ${IBIS_WARNINGS})
    target_include_directories(${name}_test PRIVATE
      ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name}_test PRIVATE ${ARG_DEPS} rapidcheck
      GTest::gmock GTest::gtest GTest::gtest_main)
    include(GoogleTest)
    gtest_discover_tests(${name}_test DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 120 LABELS ${name} ENVIRONMENT "${ARG_ENVIRONMENT}")
  endif()
endfunction()
