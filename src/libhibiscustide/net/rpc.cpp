#include "net/rpc.hpp"

#include <utility>

#include <boost/algorithm/hex.hpp>

#include <hibiscustide/core/json_reader.hpp>

namespace hibiscustide::net::rpc
{

namespace
{

constexpr unsigned http_1_1 = 11;
constexpr char const* source = "peer";

constexpr char const* state_running = "running";
constexpr char const* state_run = "run";
constexpr char const* state_unknown = "unknown";
constexpr char const* state_void = "void";

constexpr core::bounds<std::uint64_t> any_uint{0, UINT64_MAX};
constexpr core::bounds<std::uint64_t> status_bounds{100, 999};

http_request make_request(char const* method, Json::Value const& parameters)
{
    Json::Value body{Json::objectValue};
    body["jsonrpc"] = "2.0";
    body["id"] = 1;
    body["method"] = method;
    body["params"] = parameters;
    http_request request{
        beast::http::verb::post, {path.data(), path.size()}, http_1_1};
    request.set(field::host, "node");
    request.set(field::content_type, "application/json");
    request.body() = core::write_json(body);
    request.prepare_payload();
    return request;
}

struct look_up_writer
{
    Json::Value operator()(core::orders::still_running const&) const
    {
        return with_state(state_running);
    }
    Json::Value operator()(core::orders::already_run const& order) const
    {
        auto value = with_state(state_run);
        value["status"] = order.m_answer.m_status;
        value["content_type"] = order.m_answer.m_content_type;
        // JSON strings can contain only text, but a body may contain arbitrary
        // bytes.
        value["body_hex"] = boost::algorithm::hex(order.m_answer.m_body);
        return value;
    }
    Json::Value operator()(core::orders::outcome_unknown const&) const
    {
        return with_state(state_unknown);
    }
    Json::Value operator()(core::orders::not_allowed const&) const
    {
        return with_state(state_void);
    }

    static Json::Value with_state(char const* state)
    {
        Json::Value value{Json::objectValue};
        value["state"] = state;
        return value;
    }
};

std::optional<std::string> decode_body(std::string const& digits)
{
    try
    {
        return boost::algorithm::unhex(digits);
    }
    catch (boost::algorithm::hex_decode_error const&)
    {
        return std::nullopt;
    }
}

} // namespace

Json::Value to_json(release_state const& state)
{
    Json::Value value{Json::objectValue};
    value["revision"] = Json::UInt64{state.m_revision};
    value["digest"] = state.m_digest;
    value["read_age_ms"] = Json::UInt64{state.m_read_age_ms};
    auto& texts = value["texts"] = Json::Value{Json::arrayValue};
    for (auto const& text : state.m_texts)
    {
        texts.append(text);
    }
    return value;
}

std::optional<release_state> parse_release_state(Json::Value const& value)
{
    core::field_errors errors;
    core::json_reader const reader{value, source, "", errors};
    release_state state{
        .m_revision = reader.required_uint("revision", any_uint),
        .m_digest = reader.string_or("digest", ""),
        .m_texts = reader.strings("texts"),
        .m_read_age_ms = reader.uint_or("read_age_ms", 0, any_uint)};
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return state;
}

Json::Value to_json(order_query const& query)
{
    Json::Value value{Json::objectValue};
    value["key"] = query.m_key;
    value["attempt"] = query.m_attempt;
    value["horizon_ms"] = Json::UInt64{query.m_horizon_ms};
    return value;
}

std::optional<order_query> parse_order_query(Json::Value const& value)
{
    core::field_errors errors;
    core::json_reader const reader{value, source, "", errors};
    order_query query{
        .m_key = reader.required_string("key"),
        .m_attempt = reader.string_or("attempt", ""),
        .m_horizon_ms = reader.required_uint("horizon_ms", any_uint)};
    if (!errors.empty())
    {
        return std::nullopt;
    }
    return query;
}

Json::Value to_json(core::orders::look_up_result const& result)
{
    return std::visit(look_up_writer{}, result);
}

std::optional<core::orders::look_up_result> parse_look_up_result(
    Json::Value const& value)
{
    core::field_errors errors;
    core::json_reader const reader{value, source, "", errors};
    auto const state = reader.required_string("state");
    if (state == state_running)
    {
        return core::orders::still_running{};
    }
    if (state == state_void)
    {
        return core::orders::not_allowed{};
    }
    if (state == state_unknown)
    {
        return core::orders::outcome_unknown{};
    }
    if (state != state_run)
    {
        return std::nullopt;
    }
    auto body = decode_body(reader.string_or("body_hex", ""));
    core::orders::stored_answer answer{
        .m_status = static_cast<unsigned>(
            reader.required_uint("status", status_bounds)),
        .m_content_type = reader.string_or("content_type", ""),
        .m_body = body.value_or("")};
    if (!errors.empty() || !body)
    {
        return std::nullopt;
    }
    return core::orders::already_run{.m_answer = std::move(answer)};
}

awaitable<std::optional<Json::Value>> call(
    connection_pool& peer, char const* method, Json::Value const& parameters,
    core::time_point deadline, metrics& counts)
{
    auto const request = make_request(method, parameters);
    counts.add(counter::peer_calls);
    counts.add(counter::peer_bytes_sent, request.body().size());
    auto result = co_await peer.exchange(request, deadline, nullptr);
    auto const* const response = std::get_if<http_response>(&result);
    if (response == nullptr || response->result() != status::ok)
    {
        co_return std::nullopt;
    }
    counts.add(counter::peer_bytes_received, response->body().size());
    core::field_errors errors;
    auto body = core::parse_json(response->body(), source, errors);
    if (!body || !body->isObject() || !body->isMember("result"))
    {
        co_return std::nullopt;
    }
    co_return std::move((*body)["result"]);
}

} // namespace hibiscustide::net::rpc
