/// \file
/// Sends a single HTTP request on its own connection. For tools.
#ifndef HIBISCUSTIDE_NET_FETCH_HPP
#define HIBISCUSTIDE_NET_FETCH_HPP

#include <chrono>
#include <optional>
#include <string>

#include <hibiscustide/core/endpoint.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// Sends a POST request if there is a body and a GET request otherwise. Returns
/// std::nullopt if the server does not respond within `timeout`.
awaitable<std::optional<http_response>> fetch(
    asio::io_context& context, core::endpoint server, std::string target,
    std::optional<std::string> body = std::nullopt,
    std::chrono::milliseconds timeout = std::chrono::milliseconds{2'000});

} // namespace hibiscustide::net

#endif
