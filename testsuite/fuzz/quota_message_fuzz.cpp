// Datagrams about quotas between nodes.
#include "fuzz_target.hpp"
#include "net/mesh/codec.hpp"

namespace hibiscustide::fuzz
{

std::vector<std::string> make_seeds()
{
    namespace mesh = net::mesh;
    namespace quota = core::quota;
    return {
        mesh::encode_quota_message(quota::quota_request{
            .m_sequence = 1ULL << 40U,
            .m_organisation = 0xfedcba9876543210,
            .m_wanted = 64}),
        mesh::encode_quota_message(quota::quota_grant{
            .m_sequence = 7,
            .m_outcome = quota::quota_outcome::granted,
            .m_granted = 2}),
        mesh::encode_quota_message(quota::quota_grant{
            .m_sequence = 7,
            .m_outcome = quota::quota_outcome::exhausted,
            .m_retry_after_ms = 1'500}),
        mesh::encode_quota_message(
            mesh::reach_request{.m_nodes = {1, 1ULL << 63U}}),
        mesh::encode_quota_message(
            mesh::reach_reply{.m_heard = {{.m_hash = 5, .m_age_ms = 400}}})};
}

void run_input(std::string_view bytes)
{
    auto const decoded = net::mesh::decode_quota_message(bytes);
    if (decoded)
    {
        require(
            net::mesh::encode_quota_message(*decoded) == bytes,
            "a decoded quota message encodes to the same bytes");
        require(
            !net::mesh::decode_status(bytes),
            "a quota message is not a status");
    }
}

} // namespace hibiscustide::fuzz
