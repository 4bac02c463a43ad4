/// \file
/// Interface to the HTTP conventions of a deployment: the header fields that
/// callers, nodes and targets exchange.
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

/// The fields that a caller sets on its request.
struct caller_fields
{
    std::string m_attempt; ///< Empty if the caller sets none.
    /// Time until the caller stops waiting, if the caller sets it.
    std::optional<std::chrono::milliseconds> m_deadline_left;
};

/// The fields that a node sets on a request to its target.
struct target_fields
{
    std::string m_attempt;
    /// The only instance that may run the request.
    std::string m_instance;
    std::string m_caller; ///< The service that sent the request.
    /// Organisation whose API key the request has; empty if it has none. The
    /// ingress has removed the caller's field for it.
    std::string m_organisation;
    std::chrono::milliseconds m_deadline_left{0};
};

/// The fields that a target sets on its answer.
struct answer_fields
{
    std::string m_attempt;  ///< The attempt that is answered.
    bool m_not_run = false; ///< The target did not run the request.
    /// The target is another instance than the request expects.
    bool m_other_instance = false;
    /// Whether a successful answer is complete and comes from the target.
    bool m_is_genuine = false;
};

/// Converts between header fields and typed fields. All members must be set.
struct protocol
{
    std::function<caller_fields(http_request const&)> m_read_caller;
    std::function<void(http_request&, target_fields const&)> m_write_target;
    std::function<answer_fields(http_response const&)> m_read_answer;
    std::function<core::admission::health_answer(http_response const&)>
        m_read_health;
    /// Sets the attempt on an answer that the node creates itself.
    std::function<void(http_response&, std::string const&)> m_write_attempt;
    /// Whether a header field applies to one connection only and must not be
    /// forwarded.
    std::function<bool(std::string_view)> m_is_hop_by_hop;
    std::string m_ready_path; ///< Path of the readiness check.
    /// Name of the field that states the organisation to a target. Not accepted
    /// from callers if the configuration has organisations.
    std::string m_organisation_field{};
};

} // namespace hibiscustide::net::mesh

#endif
