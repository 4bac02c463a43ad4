/// \file
/// Ends a node without losing the requests that it has received.
#ifndef HIBISCUSTIDE_NET_MESH_GRACEFUL_STOP_HPP
#define HIBISCUSTIDE_NET_MESH_GRACEFUL_STOP_HPP

#include <cstddef>

#include <hibiscustide/core/time.hpp>

#include "net/http_types.hpp"
#include "net/mesh/traffic_thread.hpp"

namespace hibiscustide::net::mesh
{

/// Serves callers until they are directed to other nodes, and then waits until
/// all requests have been answered, at most until `limit`. Requests that arrive
/// long after `asked_at`, the time of the signal to stop, or that are not
/// expected to end by the limit are refused, and those that do not end are
/// answered as possibly run. Returns the number of connections and requests
/// that are still in progress. Readiness must have been withdrawn before.
awaitable<std::size_t> stop_gracefully(
    traffic_thread& traffic, core::time_point asked_at, core::time_point limit);

} // namespace hibiscustide::net::mesh

#endif
