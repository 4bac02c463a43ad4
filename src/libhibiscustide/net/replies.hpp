/// \file
/// The responses that a node generates itself.
#ifndef HIBISCUSTIDE_NET_REPLIES_HPP
#define HIBISCUSTIDE_NET_REPLIES_HPP

#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

#include <hibiscustide/core/routing/target_load.hpp>
#include <hibiscustide/core/verdict.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net
{

/// The result of one attempt to run a request. The response is complete if the
/// verdict is `answered` and unused otherwise.
struct attempt_result
{
    core::verdict m_verdict;
    http_response m_response;
    std::optional<core::routing::load_report> m_load;
    /// The response is the stored answer of an earlier attempt.
    bool m_replayed = false;
};

/// Returns a result with the verdict `refused_not_run`.
[[nodiscard]] attempt_result not_run_result(core::reason why);

/// Returns a result with the verdict `may_have_run`.
[[nodiscard]] attempt_result may_have_run_result(core::reason why);

/// Returns the reason of a verdict, or std::nullopt for `answered`.
[[nodiscard]] std::optional<core::reason> reason_of(
    core::verdict const& verdict);

/// Converts a result to the response for a caller or a peer: the response of
/// the target, or a status and a JSON body with verdict, reason and attempt.
/// Status 503 means that the request was not run and 504 that it may have run.
/// Statuses 400, 403, 404 and 422 mean that it was not run because of an error
/// in the request.
[[nodiscard]] http_response to_response(
    attempt_result&& result, std::string_view attempt);

/// Returns the response to a request that could not be read. Its body names the
/// error.
[[nodiscard]] http_response malformed_reply(
    status code, std::string_view error);

/// Returns a response with status 200 and a JSON document.
[[nodiscard]] http_response json_reply(Json::Value const& value);

/// Returns a response with plain text.
[[nodiscard]] http_response text_reply(status code, std::string text);

} // namespace hibiscustide::net

#endif
