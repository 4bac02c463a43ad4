/// \file
/// The interface between a decoder under test and the two programs that feed
/// it: libFuzzer, and a program that needs no special compiler.
#ifndef HIBISCUSTIDE_FUZZ_FUZZ_TARGET_HPP
#define HIBISCUSTIDE_FUZZ_FUZZ_TARGET_HPP

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscustide::fuzz
{

/// Returns valid inputs, which the project's own encoders have written. Each
/// decoder under test defines this function and run_input().
[[nodiscard]] std::vector<std::string> make_seeds();

/// Passes the bytes to the decoder and checks what must hold for any input.
void run_input(std::string_view bytes);

/// Ends the process with a message if the condition does not hold.
inline void require(bool condition, char const* expected)
{
    if (!condition)
    {
        std::fprintf(stderr, "does not hold: %s\n", expected);
        std::abort();
    }
}

} // namespace hibiscustide::fuzz

#endif
