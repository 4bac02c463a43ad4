/// \file
/// What nodes say to each other.
#ifndef HIBISCUSTIDE_NET_MESH_MESSAGES_HPP
#define HIBISCUSTIDE_NET_MESH_MESSAGES_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <hibiscustide/core/admission/poison_request_detector.hpp>
#include <hibiscustide/core/directory/replica.hpp>
#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/verdict.hpp>

namespace hibiscustide::net::mesh
{

/// One header field that is passed through.
struct header_field
{
    std::string m_name;
    std::string m_value;

    friend auto operator<=>(header_field const&, header_field const&) = default;
};

using header_fields = std::vector<header_field>;

/// The first message on a connection, from both sides.
struct hello
{
    std::string m_node;              ///< The node's IP address.
    std::uint64_t m_incarnation = 0; ///< Drawn anew at each start.

    friend auto operator<=>(hello const&, hello const&) = default;
};

/// Run a request at the target beside the receiver.
struct run_request
{
    std::uint64_t m_id = 0; ///< Unique for one incarnation of the sender.
    std::string m_attempt;  ///< The client's name for the attempt.
    std::string m_service;  ///< The target must belong to it.
    std::string m_caller;   ///< The service that the request comes from.
    std::string m_method;
    std::string m_path; ///< With its query.
    header_fields m_fields;
    std::string m_body;
    std::int64_t m_left_ms = 0;      ///< Until nobody waits any more.
    std::int64_t m_objective_ms = 0; ///< Until the answer is late.
    std::int64_t m_work_ms = 0;      ///< Usual time at the target.
    std::uint32_t m_priority = 0;
    bool m_idempotent = false;

    friend auto operator<=>(run_request const&, run_request const&) = default;
};

enum class outcome : std::uint8_t
{
    answered,     ///< The whole answer of the target.
    not_run,      ///< It did not run and never will.
    may_have_run, ///< It may have run, wholly or in part.
};

/// What became of a request.
struct run_result
{
    std::uint64_t m_id = 0;
    outcome m_outcome = outcome::not_run;
    core::reason m_reason = core::reason::no_target;
    std::int64_t m_retry_after_ms = 0;
    bool m_reached_target = false; ///< The target saw it, also if it refused.
    std::uint32_t m_status = 0;
    std::int64_t m_work_us = 0; ///< Time at the target, at its usual speed.
    header_fields m_fields;
    std::string m_body;

    friend auto operator<=>(run_result const&, run_result const&) = default;
};

/// Nobody waits for the request any more.
struct cancel_request
{
    std::uint64_t m_id = 0;

    friend auto operator<=>(cancel_request const&, cancel_request const&) =
        default;
};

/// Asks after requests that were sent over a connection that is lost. One that
/// the receiver does not know is answered as not run.
struct resume_requests
{
    std::vector<std::uint64_t> m_ids;

    friend auto operator<=>(resume_requests const&, resume_requests const&) =
        default;
};

/// Shows that the connection still works; answered with the same.
struct ping
{
    bool m_is_answer = false;

    friend auto operator<=>(ping const&, ping const&) = default;
};

/// Asks for what was published after a revision.
struct changes_wanted
{
    std::uint64_t m_after = 0;

    friend auto operator<=>(changes_wanted const&, changes_wanted const&) =
        default;
};

using message = std::variant<
    hello, run_request, run_result, cancel_request, resume_requests, ping,
    changes_wanted, core::directory::item_changes>;

/// Sent as a datagram when something changed, and now and then.
struct node_status
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_domain = 0;   ///< Stands for its failure domain.
    std::uint64_t m_revision = 0; ///< Of the published items that it knows.
    bool m_reads = false; ///< It has heard from the publishing service lately.
    bool m_recovered = false; ///< The service was away until lately.
    bool m_follows = true;    ///< The listener is told of each change.
    core::routing::target_report m_target;
    core::admission::crash_update m_crashes;

    friend auto operator<=>(node_status const&, node_status const&) = default;
};

} // namespace hibiscustide::net::mesh

#endif
