/// \file
/// The service that publishes configuration and targets, as functions that a
/// deployment provides.
#ifndef HIBISCUSTIDE_NET_MESH_PUBLISHER_HPP
#define HIBISCUSTIDE_NET_MESH_PUBLISHER_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include <hibiscustide/core/directory/change.hpp>
#include <hibiscustide/core/directory/replica.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net::mesh
{

/// The service no longer knows what changed since the revision asked for.
struct history_lost
{
};

/// The service could not be reached, refused, or gave no sense.
struct read_failed
{
    std::string m_reason;
};

using read_outcome =
    std::variant<core::directory::item_changes, history_lost, read_failed>;

/// Reads published items and says what they mean. Every member is set.
struct publisher
{
    /// Everything there is.
    std::function<awaitable<read_outcome>()> m_read_all;
    /// What changed after the revision, as soon as there is something, or
    /// nothing after the wait.
    std::function<awaitable<read_outcome>(
        std::uint64_t after, std::chrono::milliseconds wait)>
        m_watch;
    std::function<core::directory::change(core::directory::item const&)>
        m_decode;
};

} // namespace hibiscustide::net::mesh

#endif
