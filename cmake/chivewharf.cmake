# Options shared by every target.
add_library(chivewharf_options INTERFACE)
target_compile_options(chivewharf_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wconversion -Wno-sign-conversion -Werror)
target_include_directories(chivewharf_options INTERFACE ${PROJECT_SOURCE_DIR}/modules)
if(CHIVEWHARF_SANITIZE)
    target_compile_options(chivewharf_options INTERFACE
        -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(chivewharf_options INTERFACE -fsanitize=address,undefined)
endif()

# Histories of the property tests with several hosts. The sanitizers make each about ten times as
# slow.
if(CHIVEWHARF_SANITIZE)
    set(CHIVEWHARF_HISTORIES 300)
else()
    set(CHIVEWHARF_HISTORIES 10000)
endif()

# Adds every folder below DIR that has a CMakeLists.txt.
function(chivewharf_add_subdirectories dir)
    file(GLOB lists CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${dir}/*/CMakeLists.txt)
    foreach(list IN LISTS lists)
        get_filename_component(folder ${list} DIRECTORY)
        add_subdirectory(${folder})
    endforeach()
endfunction()

# Declares the module in the current folder: a static library chivewharf_NAME from its sources and
# its one test program NAME_test from tests/.
#   chivewharf_module(NAME [DEPENDS module...] [LIBRARIES target...])
function(chivewharf_module name)
    cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(chivewharf_${name} STATIC ${sources})
    list(TRANSFORM arg_DEPENDS PREPEND chivewharf_)
    target_link_libraries(chivewharf_${name} PUBLIC chivewharf_options ${arg_DEPENDS}
        ${arg_LIBRARIES})
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(tests AND CHIVEWHARF_DEVELOPMENT)
        chivewharf_test(${name}_test SOURCES ${tests} DEPENDS chivewharf_${name})
    endif()
endfunction()

# Declares a GoogleTest program and registers it with CTest.
#   chivewharf_test(NAME SOURCES file... DEPENDS target...)
function(chivewharf_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} rapidcheck GTest::gmock_main)
    target_compile_definitions(${name} PRIVATE
        CHIVEWHARF_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests"
        CHIVEWHARF_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
        CHIVEWHARF_BINARY_DIR="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
    add_test(NAME ${name} COMMAND ${name})
    # Property tests print their seed; this one is fixed so that every run gives the same verdict.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
endfunction()
