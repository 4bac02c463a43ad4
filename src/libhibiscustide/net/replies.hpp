/// \file
/// The answers that a node makes itself.
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

/// What came of one attempt at a request. The response holds the whole answer
/// where the verdict is `answered` and nothing otherwise.
struct attempt_result
{
    core::verdict m_verdict;
    http_response m_response;
    std::optional<core::routing::load_report> m_load;
    bool m_replayed = false; ///< The answer was kept from an earlier attempt.
};

[[nodiscard]] attempt_result not_run_result(core::reason why);
[[nodiscard]] attempt_result may_have_run_result(core::reason why);

/// The reason of a verdict; nothing for an answer.
[[nodiscard]] std::optional<core::reason> reason_of(
    core::verdict const& verdict);

/// The message that tells a caller or a peer the result: the answer itself, or
/// a status with a JSON body that names verdict, reason and attempt. 503 says
/// not run, 504 may have run; 400, 404 and 403 say not run for a fault in the
/// request.
[[nodiscard]] http_response to_response(
    attempt_result&& result, std::string_view attempt);

/// The answer to a request that could not be read.
[[nodiscard]] http_response malformed_reply(status why);

/// A JSON document with status 200.
[[nodiscard]] http_response json_reply(Json::Value const& value);

/// A message of plain text.
[[nodiscard]] http_response text_reply(status code, std::string text);

} // namespace hibiscustide::net

#endif
