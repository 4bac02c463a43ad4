#include "net/platform_client.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/release/note_codec.hpp>

#include "net/headers.hpp"

namespace hibiscustide::net
{

namespace
{

constexpr unsigned http_1_1 = 11;
constexpr std::chrono::milliseconds read_timeout{2'000};
constexpr std::string_view version_field = "Version";

// Sufficient for the largest value and for the VM list of the largest fleet.
constexpr std::size_t max_response_bytes = 4 * core::release::max_note_bytes;

http_request make_get(std::string const& target)
{
    http_request request{beast::http::verb::get, target, http_1_1};
    request.set(field::host, "platform");
    return request;
}

std::uint64_t version_of(http_response const& response)
{
    auto const text = headers::value_of(response, version_field);
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

std::optional<vm_list> parse_vms(std::string const& text)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, "VM list", errors);
    if (!json)
    {
        return std::nullopt;
    }
    vm_list list{.m_bytes = text.size()};
    core::json_reader const reader{*json, "VM list", "", errors};
    for (auto const& element : reader.objects("vms"))
    {
        list.m_vms.push_back(
            {.m_name = element.required_string("name"),
             .m_leaving = element.required_string("state") == "leaving"});
    }
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return list;
}

} // namespace

http_platform_client::http_platform_client(
    asio::io_context& context, core::endpoint service)
    : m_pool{
          context,
          {.m_remote = std::move(service),
           .m_limits = {.m_max_body_bytes = max_response_bytes}}}
{
}

awaitable<platform_result> http_platform_client::read(std::string key)
{
    co_return co_await get("/v1/values/" + key, read_timeout);
}

awaitable<platform_result> http_platform_client::watch(
    std::string key, std::uint64_t version, std::chrono::milliseconds wait)
{
    auto const target = "/v1/watch/" + key +
                        "?after=" + std::to_string(version) +
                        "&wait_ms=" + std::to_string(wait.count());
    co_return co_await get(target, wait + read_timeout);
}

awaitable<std::optional<vm_list>> http_platform_client::read_vms()
{
    auto const result = co_await get("/v1/vms", read_timeout);
    auto const* const value = std::get_if<platform_value>(&result);
    if (value == nullptr)
    {
        co_return std::nullopt;
    }
    co_return parse_vms(value->m_text);
}

awaitable<platform_result> http_platform_client::get(
    std::string target, std::chrono::milliseconds timeout)
{
    auto const request = make_get(target);
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    auto exchanged = co_await m_pool.exchange(request, deadline, nullptr);
    auto* const response = std::get_if<http_response>(&exchanged);
    if (response == nullptr)
    {
        co_return platform_failure{};
    }
    switch (response->result())
    {
    case status::ok:
        co_return platform_value{
            .m_version = version_of(*response),
            .m_text = std::move(response->body())};
    case status::not_found:
    case status::not_modified:
        co_return platform_no_value{};
    default:
        co_return platform_failure{};
    }
}

awaitable<platform_result> read_value(platform_client& client, std::string key)
{
    auto const read = [&](auto& implementation)
    {
        return implementation.read(std::move(key));
    };
    return std::visit(read, client);
}

awaitable<platform_result> watch_value(
    platform_client& client, std::string key, std::uint64_t version,
    std::chrono::milliseconds wait)
{
    auto const watch = [&](auto& implementation)
    {
        return implementation.watch(std::move(key), version, wait);
    };
    return std::visit(watch, client);
}

awaitable<std::optional<vm_list>> read_vms(platform_client& client)
{
    auto const read = [](auto& implementation)
    {
        return implementation.read_vms();
    };
    return std::visit(read, client);
}

} // namespace hibiscustide::net
