# Sets the language standard, the warnings, the default build type and the
# compiler cache, which shortens builds.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
# Option structs are filled by designated initialisers; omitted members keep
# their defaults.
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Werror
    -Wno-missing-field-initializers)
# GCC 12 gives false warnings for coroutine frames and inlined strings at -O2
# (GCC bugs 105329 and 105651).
add_compile_options(
    $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>
    $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>
    $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
if(HIBISCUSTIDE_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
        -fno-sanitize-recover=undefined)
    add_link_options(-fsanitize=address,undefined)
endif()
find_program(CCACHE ccache)
if(CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE}")
endif()
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
