#include "net/fetch.hpp"

#include <utility>

#include "net/connection_pool.hpp"

namespace hibiscustide::net
{

awaitable<std::optional<http_response>> fetch(
    asio::io_context& context, core::endpoint server, std::string target,
    std::optional<std::string> body, std::chrono::milliseconds timeout)
{
    constexpr unsigned http_1_1 = 11;
    auto const method = body ? beast::http::verb::post : beast::http::verb::get;
    http_request request{method, target, http_1_1};
    request.set(field::host, core::to_string(server));
    request.body() = std::move(body).value_or("");
    request.prepare_payload();
    connection_pool pool{context, {.m_remote = std::move(server)}};
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    auto result = co_await pool.exchange(request, deadline, nullptr);
    if (auto* const response = std::get_if<http_response>(&result))
    {
        co_return std::move(*response);
    }
    co_return std::nullopt;
}

} // namespace hibiscustide::net
