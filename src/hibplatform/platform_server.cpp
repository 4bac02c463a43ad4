#include "platform_server.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <json/value.h>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/release/note_codec.hpp>

#include "net/headers.hpp"
#include "net/replies.hpp"

namespace hibiscustide::simulation
{

namespace
{

namespace asio = net::asio;
using net::status;
using std::chrono::milliseconds;

using net::no_throw;

constexpr std::string_view values_path = "/v1/values/";
constexpr std::string_view watch_path = "/v1/watch/";
constexpr std::string_view vms_path = "/v1/vms";
constexpr std::string_view admin_path = "/admin/";
constexpr std::string_view admin_values_path = "/admin/values/";
constexpr core::bounds<std::uint64_t> ms_bounds{0, 3'600'000};

// Returns the number after `name` in the query of a request target, or 0.
std::uint64_t parse_query_number(std::string_view target, std::string_view name)
{
    auto const at = target.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
    {
        auto const text = target.substr(at + name.size());
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string key_of(std::string_view target, std::string_view path)
{
    auto const rest = target.substr(path.size());
    return std::string{rest.substr(0, rest.find('?'))};
}

} // namespace

platform_server::platform_server(
    asio::io_context& context, core::endpoint listen)
    : m_context{context},
      m_listen{std::move(listen)}
{
    m_vm_lists.push_back({.m_text = R"({"vms":[]})"});
}

std::optional<std::string> platform_server::start()
{
    auto on_request = [this](
                          net::http_request& request,
                          std::shared_ptr<net::cancel_scope> const&)
    {
        return handle_request(request);
    };
    m_server = std::make_shared<net::http_server>(
        m_context,
        net::http_server_options{
            .m_listen = m_listen,
            .m_limits =
                {.m_max_body_bytes = 2 * core::release::max_note_bytes}},
        on_request, net::malformed_reply);
    return m_server->start();
}

net::awaitable<net::http_response> platform_server::handle_request(
    net::http_request& request)
{
    std::string const target{request.target()};
    if (target.starts_with(admin_path))
    {
        co_return handle_admin(target, request);
    }
    ++m_reads;
    if (m_faults.m_response_delay > milliseconds{0})
    {
        asio::steady_timer timer{m_context, m_faults.m_response_delay};
        co_await timer.async_wait(no_throw);
    }
    if (m_faults.m_unavailable)
    {
        co_return net::text_reply(status::service_unavailable, "down\n");
    }
    co_return co_await handle_read(target);
}

net::awaitable<net::http_response> platform_server::handle_read(
    std::string_view target)
{
    if (target.starts_with(values_path))
    {
        co_return read_value(key_of(target, values_path));
    }
    if (target.starts_with(watch_path))
    {
        co_return co_await watch(target);
    }
    if (target == vms_path)
    {
        co_return read_vms();
    }
    co_return net::text_reply(status::not_found, "no such path\n");
}

net::awaitable<net::http_response> platform_server::watch(
    std::string_view target)
{
    auto const key = key_of(target, watch_path);
    auto const after = parse_query_number(target, "after=");
    milliseconds const wait{parse_query_number(target, "wait_ms=")};
    auto const deadline = std::chrono::steady_clock::now() + wait;
    asio::steady_timer timer{m_context};
    while (true)
    {
        auto const it = m_values.find(key);
        auto const* const current =
            it == m_values.end()
                ? nullptr
                : newest_version(it->second, m_faults.m_value_lag);
        if (current != nullptr && current->m_number > after)
        {
            co_return read_value(key);
        }
        if (std::chrono::steady_clock::now() >= deadline)
        {
            break;
        }
        m_watchers.insert(&timer);
        timer.expires_at(deadline);
        co_await timer.async_wait(no_throw);
        m_watchers.erase(&timer);
    }
    co_return net::text_reply(status::not_modified, "");
}

net::http_response platform_server::read_value(std::string const& key) const
{
    auto const it = m_values.find(key);
    auto const* const current =
        it == m_values.end() ? nullptr
                             : newest_version(it->second, m_faults.m_value_lag);
    if (current == nullptr)
    {
        return net::text_reply(status::not_found, "no such value\n");
    }
    auto reply = net::text_reply(status::ok, current->m_text);
    net::headers::set(reply, "Version", std::to_string(current->m_number));
    return reply;
}

net::http_response platform_server::read_vms() const
{
    return net::text_reply(
        status::ok, newest_version(m_vm_lists, m_faults.m_vm_list_lag)->m_text);
}

net::http_response platform_server::handle_admin(
    std::string_view target, net::http_request const& request)
{
    if (target == "/admin/release")
    {
        return publish(request.body());
    }
    if (target == "/admin/faults")
    {
        return set_faults(request.body());
    }
    if (target == "/admin/counts")
    {
        return counts();
    }
    if (target == "/admin/vms")
    {
        m_vm_lists.push_back(
            {.m_text = request.body(),
             .m_since = std::chrono::steady_clock::now()});
        return net::text_reply(status::ok, "put\n");
    }
    if (target.starts_with(admin_values_path))
    {
        store_value(key_of(target, admin_values_path), request.body());
        return net::text_reply(status::ok, "put\n");
    }
    return net::text_reply(status::not_found, "no such path\n");
}

// Stores a note under its revision and points the head to it, as the operators'
// own tools do. The note is not validated.
net::http_response platform_server::publish(std::string const& text)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, "note", errors);
    if (!json || !json->isObject() || !(*json)["revision"].isUInt64())
    {
        return net::text_reply(status::bad_request, "no note\n");
    }
    Json::Value head{Json::objectValue};
    head["revision"] = (*json)["revision"];
    store_value("release/notes/" + (*json)["revision"].asString(), text);
    store_value("release/head", core::write_json(head));
    return net::text_reply(status::ok, "published\n");
}

net::http_response platform_server::set_faults(std::string const& text)
{
    core::field_errors errors;
    auto const json = core::parse_json(text, "faults", errors);
    if (json)
    {
        core::json_reader const reader{*json, "faults", "", errors};
        reader.allow_only({"down", "slow_ms", "stale_ms", "vm_lag_ms"});
        platform_faults const faults{
            .m_unavailable = reader.bool_or("down", false),
            .m_response_delay =
                milliseconds{reader.uint_or("slow_ms", 0, ms_bounds)},
            .m_value_lag =
                milliseconds{reader.uint_or("stale_ms", 0, ms_bounds)},
            .m_vm_list_lag =
                milliseconds{reader.uint_or("vm_lag_ms", 0, ms_bounds)}};
        if (errors.empty())
        {
            m_faults = faults;
            return net::text_reply(status::ok, "set\n");
        }
    }
    return net::text_reply(status::bad_request, core::to_string(errors) + "\n");
}

net::http_response platform_server::counts() const
{
    Json::Value value{Json::objectValue};
    value["reads"] = Json::UInt64{m_reads};
    value["watching"] = Json::UInt64{m_watchers.size()};
    return net::json_reply(value);
}

// Returns the newest version that is at least `age` old; null where there is
// none.
platform_server::version const* platform_server::newest_version(
    history const& versions, std::chrono::milliseconds age) const
{
    auto const newest_time = std::chrono::steady_clock::now() - age;
    auto const is_old_enough = [&](version const& candidate)
    {
        return candidate.m_since <= newest_time;
    };
    auto const it =
        std::find_if(versions.rbegin(), versions.rend(), is_old_enough);
    return it == versions.rend() ? nullptr : &*it;
}

void platform_server::store_value(std::string const& key, std::string text)
{
    m_values[key].push_back(
        {.m_number = m_next_version++,
         .m_text = std::move(text),
         .m_since = std::chrono::steady_clock::now()});
    for (auto* const timer : m_watchers)
    {
        timer->cancel();
    }
}

} // namespace hibiscustide::simulation
