# Unit tests are stored beside their sources as NAME_test.cpp.
include(CTest)

# hibiscustide_unit_tests(PROGRAM LIBRARY...)
#   Builds one program from every *_test.cpp below the current folder, links it
#   with the libraries and registers it with CTest.
function(hibiscustide_unit_tests program)
    if(NOT BUILD_TESTING)
        return()
    endif()
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS "*_test.cpp")
    list(FILTER sources EXCLUDE REGEX "/main_test\\.cpp$")
    add_executable(${program} ${sources}
        "${PROJECT_SOURCE_DIR}/src/libhibiscustide/main_test.cpp")
    target_compile_definitions(${program} PRIVATE
        DOCTEST_CONFIG_SUPER_FAST_ASSERTS
        HIBISCUSTIDE_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(${program} PRIVATE doctest::doctest ${ARGN})
    add_test(NAME ${program} COMMAND ${program})
endfunction()
