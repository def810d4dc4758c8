# Sets the options that every target of the workspace shares.
function(hibiscus_target_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror)
  target_compile_definitions(${target} PRIVATE
    ASIO_STANDALONE_DISABLED=1 BOOST_ALL_NO_LIB=1
    BOOST_BIND_GLOBAL_PLACEHOLDERS=1)
endfunction()

# Declares the package NAME as a static library with the sources under src/
# and, where test/ holds any, one test program. DEPS are linked publicly,
# PRIVATE_DEPS privately.
function(hibiscus_package name)
  cmake_parse_arguments(ARG "" "" "DEPS;PRIVATE_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "main\\.cpp$")
  if(sources)
    add_library(hibiscus_${name} STATIC ${sources})
    target_include_directories(hibiscus_${name} PUBLIC include PRIVATE src)
    target_link_libraries(hibiscus_${name}
      PUBLIC ${ARG_DEPS} PRIVATE ${ARG_PRIVATE_DEPS})
    hibiscus_target_options(hibiscus_${name})
  else()
    add_library(hibiscus_${name} INTERFACE)
    target_include_directories(hibiscus_${name} INTERFACE include)
    target_link_libraries(hibiscus_${name} INTERFACE ${ARG_DEPS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS test/*_test.cpp)
  if(tests AND NOT HIBISCUS_ENTRY_ONLY)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE src test
      ${CMAKE_SOURCE_DIR}/testing)
    target_link_libraries(${name}_test PRIVATE
      hibiscus_${name} ${ARG_PRIVATE_DEPS} GTest::gtest GTest::gtest_main
      rapidcheck Threads::Threads)
    hibiscus_target_options(${name}_test)
    gtest_discover_tests(${name}_test PROPERTIES TIMEOUT 300
      DISCOVERY_TIMEOUT 60)
  endif()
endfunction()
