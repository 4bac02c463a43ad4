/// \file
/// Identifies a request that another node has sent.
#ifndef HIBISCUSTIDE_NET_MESH_REQUEST_KEY_HPP
#define HIBISCUSTIDE_NET_MESH_REQUEST_KEY_HPP

#include <compare>
#include <cstdint>

namespace hibiscustide::net::mesh
{

/// The incarnation of the sender and the id that the sender assigned.
struct request_key
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_id = 0;

    friend auto operator<=>(request_key const&, request_key const&) = default;
};

} // namespace hibiscustide::net::mesh

#endif
