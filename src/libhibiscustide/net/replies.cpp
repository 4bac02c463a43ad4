#include "net/replies.hpp"

#include <utility>

#include <hibiscustide/core/json_reader.hpp>

#include "net/headers.hpp"

namespace hibiscustide::net
{

namespace
{

constexpr unsigned http_1_1 = 11;
constexpr char const* retry_after_s = "1";

struct reason_visitor
{
    std::optional<core::reason> operator()(core::answered const&) const
    {
        return std::nullopt;
    }
    std::optional<core::reason> operator()(
        core::refused_not_run const& value) const
    {
        return value.m_reason;
    }
    std::optional<core::reason> operator()(
        core::may_have_run const& value) const
    {
        return value.m_reason;
    }
};

struct status_visitor
{
    status operator()(core::answered const&) const
    {
        return status::ok;
    }
    status operator()(core::refused_not_run const& value) const
    {
        switch (value.m_reason)
        {
        case core::reason::bad_request:
            return status::bad_request;
        case core::reason::unknown_service:
            return status::not_found;
        case core::reason::class_forbidden:
            return status::forbidden;
        case core::reason::key_conflict:
            return status::unprocessable_entity;
        default:
            return status::service_unavailable;
        }
    }
    status operator()(core::may_have_run const&) const
    {
        return status::gateway_timeout;
    }
};

http_response make_reply(status code, char const* type, std::string body)
{
    http_response response{code, http_1_1};
    response.set(field::content_type, type);
    response.body() = std::move(body);
    return response;
}

// The response to a request without an answer. `error` names the fault of the
// request; it may be empty.
http_response make_verdict_reply(
    attempt_result const& result, core::reason why, std::string_view attempt,
    std::string_view error)
{
    auto const name = core::to_string(result.m_verdict);
    auto const code = std::visit(status_visitor{}, result.m_verdict);
    Json::Value body{Json::objectValue};
    body["verdict"] = std::string{name};
    body["reason"] = std::string{core::to_string(why)};
    body["attempt"] = std::string{attempt};
    if (!error.empty())
    {
        body["error"] = std::string{error};
    }
    auto response =
        make_reply(code, "application/json", core::write_json(body) + "\n");
    headers::set(response, headers::verdict, name);
    headers::set(response, headers::reason, core::to_string(why));
    if (code == status::service_unavailable)
    {
        response.set(field::retry_after, retry_after_s);
    }
    return response;
}

} // namespace

attempt_result not_run_result(core::reason why)
{
    return {.m_verdict = core::refused_not_run{.m_reason = why}};
}

attempt_result may_have_run_result(core::reason why)
{
    return {.m_verdict = core::may_have_run{.m_reason = why}};
}

std::optional<core::reason> reason_of(core::verdict const& verdict)
{
    return std::visit(reason_visitor{}, verdict);
}

http_response to_response(attempt_result&& result, std::string_view attempt)
{
    auto const name = core::to_string(result.m_verdict);
    auto const why = reason_of(result.m_verdict);
    if (!why)
    {
        auto response = std::move(result.m_response);
        headers::set(response, headers::verdict, name);
        if (result.m_replayed)
        {
            headers::set(response, headers::replayed, "true");
        }
        return response;
    }
    return make_verdict_reply(result, *why, attempt, {});
}

http_response malformed_reply(status code, std::string_view error)
{
    auto const why = core::reason::bad_request;
    auto response = make_verdict_reply(not_run_result(why), why, "", error);
    response.result(code);
    return response;
}

http_response json_reply(Json::Value const& value)
{
    return make_reply(
        status::ok, "application/json", core::write_json(value) + "\n");
}

http_response text_reply(status code, std::string text)
{
    return make_reply(code, "text/plain", std::move(text));
}

} // namespace hibiscustide::net
