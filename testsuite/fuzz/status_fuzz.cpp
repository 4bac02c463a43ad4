// Datagrams between nodes.
#include "fuzz_target.hpp"
#include "net/mesh/codec.hpp"

namespace hibiscustide::fuzz
{

std::vector<std::string> make_seeds()
{
    net::mesh::node_status const full{
        .m_incarnation = 5,
        .m_sequence = 6,
        .m_domain_hash = 77,
        .m_revision = 1ULL << 40U,
        .m_is_reader = true,
        .m_target =
            {.m_running = 3,
             .m_slots = 18,
             .m_cold = true,
             .m_measured_share_percent = 80},
        .m_crashes = {
            .m_crashes = {{.m_number = 2, .m_suspects = {7, 8}}},
            .m_cleared = {9}}};
    return {net::mesh::encode_status(full), net::mesh::encode_status({})};
}

void run_input(std::string_view bytes)
{
    auto const decoded = net::mesh::decode_status(bytes);
    if (decoded)
    {
        auto const again =
            net::mesh::decode_status(net::mesh::encode_status(*decoded));
        require(again == decoded, "a decoded status encodes to itself");
    }
}

} // namespace hibiscustide::fuzz
