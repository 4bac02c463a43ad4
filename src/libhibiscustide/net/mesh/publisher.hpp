/// \file
/// Interface to the service that publishes the configuration and the targets.
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

/// The service no longer has the changes since the requested revision, so all
/// items must be read.
struct history_lost
{
};

/// The service could not be reached, refused the request or sent a malformed
/// answer.
struct read_failed
{
    std::string m_reason;
};

using read_outcome =
    std::variant<core::directory::item_changes, history_lost, read_failed>;

/// Reads and decodes the published items. All members must be set.
struct publisher
{
    /// Reads all items.
    std::function<awaitable<read_outcome>()> m_read_all;
    /// Reads the changes after revision `after`. Completes as soon as there is
    /// a change, or without changes after `wait`.
    std::function<awaitable<read_outcome>(
        std::uint64_t after, std::chrono::milliseconds wait)>
        m_watch;
    /// Decodes the change that a published item describes.
    std::function<core::directory::change(core::directory::item const&)>
        m_decode;
};

} // namespace hibiscustide::net::mesh

#endif
