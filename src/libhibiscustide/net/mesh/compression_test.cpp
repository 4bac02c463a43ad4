#include "net/mesh/compression.hpp"

#include <doctest/doctest.h>

namespace mesh = hibiscustide::net::mesh;

TEST_CASE("bytes are the same after compression and decompression")
{
    std::string text;
    for (int n = 0; n < 2'000; ++n)
    {
        text += "{\"route\": " + std::to_string(n) + "}";
    }
    for (auto const& bytes : {std::string{}, std::string{"a"}, text})
    {
        auto const compressed = mesh::compress(bytes);
        CHECK(mesh::decompress(compressed, bytes.size()) == bytes);
    }
    CHECK(mesh::compress(text).size() < text.size() / 4);
}

TEST_CASE("compressed bytes that are malformed, cut off or of another size are "
          "rejected")
{
    std::string const text(1'000, 'x');
    auto const compressed = mesh::compress(text);
    CHECK_FALSE(mesh::decompress("nonsense", 8).has_value());
    CHECK_FALSE(
        mesh::decompress(compressed.substr(0, compressed.size() - 1), 1'000)
            .has_value());
    CHECK_FALSE(mesh::decompress(compressed, 999).has_value());
    CHECK_FALSE(mesh::decompress(compressed, 1'001).has_value());
}
