#include "net/mesh/compression.hpp"

#include <new>

#include <zlib.h>

namespace hibiscustide::net::mesh
{

namespace
{

Bytef const* to_input(std::string_view bytes)
{
    return reinterpret_cast<Bytef const*>(bytes.data());
}

Bytef* to_output(std::string& bytes)
{
    return reinterpret_cast<Bytef*>(bytes.data());
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = ::compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(size, '\0');
    auto const result = ::compress2(
        to_output(compressed), &size, to_input(bytes),
        static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    // With enough space for the output, only a lack of memory is possible.
    if (result != Z_OK)
    {
        throw std::bad_alloc{};
    }
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(
    std::string_view compressed, std::size_t size)
{
    std::string bytes(size, '\0');
    uLongf actual_size = size;
    auto const result = ::uncompress(
        to_output(bytes), &actual_size, to_input(compressed),
        static_cast<uLong>(compressed.size()));
    if (result == Z_MEM_ERROR)
    {
        throw std::bad_alloc{};
    }
    bool const is_valid = result == Z_OK && actual_size == size;
    return is_valid ? std::optional{std::move(bytes)} : std::nullopt;
}

} // namespace hibiscustide::net::mesh
