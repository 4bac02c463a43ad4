#include "net/target_probe.hpp"

#include <chrono>
#include <utility>

#include <hibiscustide/core/json_reader.hpp>

namespace hibiscustide::net
{

namespace
{

constexpr unsigned http_1_1 = 11;
constexpr std::chrono::milliseconds probe_timeout{500};
constexpr core::bounds<std::uint64_t> any_count{0, UINT64_MAX};

std::optional<core::admission::probe_answer> parse_health(
    std::string const& text)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, "target", errors);
    if (!json)
    {
        return std::nullopt;
    }
    core::json_reader const reader{*json, "target", "", errors};
    core::admission::probe_answer answer{
        .m_draining = reader.required_string("state") == "draining",
        .m_incarnation = reader.required_uint("incarnation", any_count)};
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return answer;
}

} // namespace

http_target_probe::http_target_probe(
    asio::io_context& context, core::endpoint target)
    : m_pool{context, {.m_remote = std::move(target)}}
{
}

awaitable<std::optional<core::admission::probe_answer>>
http_target_probe::probe()
{
    http_request request{beast::http::verb::get, "/health", http_1_1};
    request.set(field::host, "target");
    auto const deadline = std::chrono::steady_clock::now() + probe_timeout;
    auto exchanged = co_await m_pool.exchange(request, deadline, nullptr);
    auto const* const response = std::get_if<http_response>(&exchanged);
    if (response == nullptr || response->result() != status::ok)
    {
        co_return std::nullopt;
    }
    co_return parse_health(response->body());
}

awaitable<std::optional<core::admission::probe_answer>> probe(
    target_probe& target)
{
    auto const send = [](auto& implementation)
    {
        return implementation.probe();
    };
    return std::visit(send, target);
}

} // namespace hibiscustide::net
