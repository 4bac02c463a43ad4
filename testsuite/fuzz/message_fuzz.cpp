// Messages between nodes.
#include "message_samples.hpp"
#include "net/mesh/codec.hpp"

namespace hibiscustide::fuzz
{

std::vector<std::string> make_seeds()
{
    std::vector<std::string> seeds;
    for (auto const& sample : sample_messages())
    {
        seeds.push_back(net::mesh::encode_message(sample));
    }
    return seeds;
}

void run_input(std::string_view bytes)
{
    auto const decoded = net::mesh::decode_message(bytes);
    if (decoded)
    {
        auto const again =
            net::mesh::decode_message(net::mesh::encode_message(*decoded));
        require(again == decoded, "a decoded message encodes to itself");
    }
}

} // namespace hibiscustide::fuzz
