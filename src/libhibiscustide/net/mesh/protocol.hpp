/// \file
/// The HTTP that callers and targets speak, as functions that a deployment
/// provides.
#ifndef HIBISCUSTIDE_NET_MESH_PROTOCOL_HPP
#define HIBISCUSTIDE_NET_MESH_PROTOCOL_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <hibiscustide/core/admission/target_health.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net::mesh
{

/// What a caller says of its request.
struct caller_fields
{
    std::string m_attempt; ///< Empty where the caller names none.
    std::optional<std::chrono::milliseconds> m_deadline_left; ///< Its patience.
};

/// What a gate says of a request to its target.
struct target_fields
{
    std::string m_attempt;
    std::string m_instance; ///< Another instance must not run the request.
    std::string m_caller;   ///< The service that the request comes from.
    std::chrono::milliseconds m_deadline_left{0};
};

/// What a target says of its answer.
struct answer_fields
{
    std::string m_attempt;         ///< The attempt that it answers.
    bool m_not_run = false;        ///< The target did not run the request.
    bool m_other_instance = false; ///< Another instance than expected.
    bool m_is_genuine = false;     ///< A success is whole and the target's own.
};

/// Translates between messages on the wire and typed fields. Every member is
/// set.
struct protocol
{
    std::function<caller_fields(http_request const&)> m_read_caller;
    std::function<void(http_request&, target_fields const&)> m_write_target;
    std::function<answer_fields(http_response const&)> m_read_answer;
    std::function<core::admission::health_answer(http_response const&)>
        m_read_health;
    /// Adds the attempt to an answer of the node's own.
    std::function<void(http_response&, std::string const&)> m_write_attempt;
    /// Whether a field concerns only the hop that it came over.
    std::function<bool(std::string_view)> m_is_hop_by_hop;
    std::string m_ready_path;
};

} // namespace hibiscustide::net::mesh

#endif
