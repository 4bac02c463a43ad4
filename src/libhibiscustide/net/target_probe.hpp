/// \file
/// Probes the health of the local target.
///
/// The protocol of a target's health endpoint is implemented only here. Support
/// for a further protocol is a further alternative of `target_probe`.
#ifndef HIBISCUSTIDE_NET_TARGET_PROBE_HPP
#define HIBISCUSTIDE_NET_TARGET_PROBE_HPP

#include <optional>
#include <variant>

#include <hibiscustide/core/admission/target_monitor.hpp>
#include <hibiscustide/core/endpoint.hpp>

#include "net/connection_pool.hpp"
#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Probes a target by GET /health. The answer is a JSON object: "state" is "up"
/// or "draining", and "incarnation" is a number that changes with each start of
/// the target.
class http_target_probe
{
public:
    http_target_probe(asio::io_context& context, core::endpoint target);

    /// Sends one probe. Returns std::nullopt if the target does not send a
    /// valid answer in time.
    awaitable<std::optional<core::admission::probe_answer>> probe();

private:
    connection_pool m_pool;
};

/// A probe by one of the supported health protocols.
using target_probe = std::variant<http_target_probe>;

awaitable<std::optional<core::admission::probe_answer>> probe(
    target_probe& target);

} // namespace hibiscustide::net

#endif
