# Helpers that give every target the same flags and every test file its CTest entry.

set(SNIPEVALVE_WARNINGS -Wall -Wextra -Wno-missing-field-initializers)

# snipevalve_library(NAME SOURCES... DEPENDS...): a static library of one module.
function(snipevalve_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/include PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${SNIPEVALVE_WARNINGS})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# snipevalve_binary(NAME SOURCES... DEPENDS...): one of the installed programs.
function(snipevalve_binary name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
  target_compile_options(${name} PRIVATE ${SNIPEVALVE_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

# snipevalve_test(NAME SOURCES... DEPENDS... LABELS...): a Catch2 program, run by CTest.
function(snipevalve_test name)
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
  target_compile_options(${name} PRIVATE ${SNIPEVALVE_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} snipevalve_test_main)
  add_test(NAME ${name} COMMAND ${name} --use-colour no)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=500")
  if(ARG_SERIAL)
    set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
  endif()
endfunction()
