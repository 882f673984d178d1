# Compiler settings shared by every target of the project.
add_library(cranberryplank_options INTERFACE)
target_compile_options(cranberryplank_options INTERFACE -Wall -Wextra -Wshadow -Werror)
if(CRANBERRYPLANK_SANITIZE)
  target_compile_options(cranberryplank_options INTERFACE
                         -fsanitize=address,undefined -fno-sanitize-recover=undefined)
  target_link_options(cranberryplank_options INTERFACE -fsanitize=address,undefined)
endif()
if(CRANBERRYPLANK_FUZZ)
  target_compile_options(cranberryplank_options INTERFACE -fsanitize=fuzzer-no-link,address,undefined
                         -fno-sanitize-recover=undefined)
  target_link_options(cranberryplank_options INTERFACE -fsanitize=address,undefined)
endif()

# cranberryplank_package(NAME DEPENDS target...)
# Builds packages/NAME/src/*.cc as library cranberryplank_NAME, with its public
# headers, and packages/NAME/tests/*_test.cc as test program NAME_test.
function(cranberryplank_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS src/*.cc src/*.cpp)
  if(SOURCES)
    add_library(cranberryplank_${NAME} STATIC ${SOURCES})
    target_include_directories(cranberryplank_${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(cranberryplank_${NAME} PUBLIC ${ARG_DEPENDS}
                          PRIVATE cranberryplank_options)
  else()
    add_library(cranberryplank_${NAME} INTERFACE)
    target_include_directories(cranberryplank_${NAME} INTERFACE include)
    target_link_libraries(cranberryplank_${NAME} INTERFACE ${ARG_DEPENDS})
  endif()
  file(GLOB TESTS CONFIGURE_DEPENDS tests/*_test.cc)
  if(BUILD_TESTING AND TESTS)
    add_executable(${NAME}_test ${TESTS})
    target_include_directories(${NAME}_test PRIVATE src)
    target_link_libraries(${NAME}_test PRIVATE cranberryplank_${NAME} ${ARG_TEST_DEPENDS}
                          cranberryplank_options Catch2::Catch2WithMain)
    catch_discover_tests(${NAME}_test TEST_PREFIX "${NAME}: " PROPERTIES TIMEOUT 300)
  endif()
endfunction()
