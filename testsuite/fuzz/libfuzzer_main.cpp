// Connects a decoder under test to libFuzzer.
#include <cstddef>
#include <cstdint>

#include "fuzz_target.hpp"

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    hibiscustide::fuzz::run_input({reinterpret_cast<char const*>(data), size});
    return 0;
}
