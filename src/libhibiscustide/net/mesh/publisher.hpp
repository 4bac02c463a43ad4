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

/// The service was restored from an older copy, so all items must be read.
struct service_restored
{
    std::uint64_t m_era = 0; ///< Of the answer; newer than the known one.
};

using read_outcome = std::variant<
    core::directory::item_changes, history_lost, service_restored, read_failed>;

/// Reads and decodes the published items. All members must be set.
struct publisher
{
    /// Reads all items, which are of one era. Fails if it is older than
    /// `known_era`.
    std::function<awaitable<read_outcome>(std::uint64_t known_era)> m_read_all;
    /// Reads the changes after the state `after`. Completes as soon as there is
    /// a change, or without changes after `wait`. Fails if the service answers
    /// in an older era.
    std::function<awaitable<read_outcome>(
        core::directory::published_state after, std::chrono::milliseconds wait)>
        m_watch;
    /// Decodes the change that a published item describes.
    std::function<core::directory::change(core::directory::item const&)>
        m_decode;
};

} // namespace hibiscustide::net::mesh

#endif
