/// \file
/// The messages that nodes exchange.
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
#include <hibiscustide/core/quota/quota_owner.hpp>
#include <hibiscustide/core/routing/placement.hpp>
#include <hibiscustide/core/verdict.hpp>

#include "net/http_types.hpp"

namespace hibiscustide::net::mesh
{

using net::header_field;
using net::header_fields;

/// The first message on a connection, sent by both sides.
struct hello
{
    std::string m_node;              ///< The node's IP address.
    std::uint64_t m_incarnation = 0; ///< Random; new at each start.
    /// Number of the connection among those that the sender has opened since
    /// its start, ascending; 0 from the accepting side.
    std::uint64_t m_connection = 0;

    friend auto operator<=>(hello const&, hello const&) = default;
};

/// Asks the receiver to run a request at its local target.
struct run_request
{
    std::uint64_t m_id = 0; ///< Unique within one incarnation of the sender.
    std::string m_attempt;  ///< Attempt id from the caller.
    std::string m_service;  ///< Must be the target's service.
    std::string m_caller;   ///< Service of the caller.
    /// Organisation whose API key the request has; empty if it has none.
    std::string m_organisation;
    std::string m_method = "GET";
    std::string m_path = "/"; ///< Including the query.
    header_fields m_fields;
    std::string m_body; ///< Empty if the body follows.
    /// Whether the body follows in pieces after the gate has granted it.
    bool m_body_follows = false;
    /// Length of a body that follows; -1 if it is unknown.
    std::int64_t m_body_length = -1;
    /// When the message was sent, on the sender's clock that includes the time
    /// of suspensions; 0 if it is not stated.
    std::int64_t m_sent_at_us = 0;
    std::int64_t m_deadline_left_ms = 0; ///< Until the caller stops waiting.
    /// Until the answer is late; negative if it is late already.
    std::int64_t m_objective_left_ms = 0;
    std::int64_t m_work_ms = 0; ///< Usual processing time at the target.
    std::uint32_t m_priority = 0;
    bool m_idempotent = false;

    friend auto operator<=>(run_request const&, run_request const&) = default;
};

/// Whether a request was executed.
enum class outcome : std::uint8_t
{
    answered,     ///< The target's complete answer is available.
    not_run,      ///< The request was not executed and never will be.
    may_have_run, ///< The request may have been executed at least in part.
};

/// The result of a run_request.
struct run_result
{
    std::uint64_t m_id = 0;
    outcome m_outcome = outcome::not_run;
    core::reason m_reason = core::reason::no_target;
    std::int64_t m_retry_after_ms = 0;
    bool m_reached_target = false; ///< Even if the target refused it.
    std::uint32_t m_status = 0;    ///< HTTP status; 0 if not answered.
    /// Processing time at the target, converted to its usual speed.
    std::int64_t m_work_us = 0;
    header_fields m_fields;
    std::string m_body;

    friend auto operator<=>(run_result const&, run_result const&) = default;
};

/// Allows the sender of a run_request to send its body up to a position.
struct body_grant
{
    std::uint64_t m_id = 0;    ///< Of the run_request.
    std::uint64_t m_limit = 0; ///< In bytes from the start of the body.

    friend auto operator<=>(body_grant const&, body_grant const&) = default;
};

/// What follows a piece of a body.
enum class body_end : std::uint8_t
{
    none,     ///< More pieces follow.
    complete, ///< The piece is the last one.
    aborted,  ///< The body ends early, because its caller has left.
};

/// The next bytes of the body of a run_request.
struct body_piece
{
    std::uint64_t m_id = 0; ///< Of the run_request.
    std::string m_bytes;
    body_end m_end = body_end::none;

    friend auto operator<=>(body_piece const&, body_piece const&) = default;
};

/// Cancels a request whose caller no longer waits.
struct cancel_request
{
    std::uint64_t m_id = 0;

    friend auto operator<=>(cancel_request const&, cancel_request const&) =
        default;
};

/// Asks for the results of requests that were sent over a lost connection. The
/// receiver answers not_run for a request that it has not received, and cancels
/// all other requests that it has received from the sender: their callers have
/// left while the sender could not cancel them.
struct resume_requests
{
    std::vector<std::uint64_t> m_ids;

    friend auto operator<=>(resume_requests const&, resume_requests const&) =
        default;
};

/// Checks that the connection works. The receiver replies with a ping that has
/// m_is_answer set.
struct ping
{
    bool m_is_answer = false;

    friend auto operator<=>(ping const&, ping const&) = default;
};

/// Asks for the items that were published after revision m_after of the era, or
/// for all items if the receiver is in a newer era. An item is
/// one entry of the publishing service; its revision is the number of its last
/// change.
struct changes_request
{
    std::uint64_t m_era = 0;
    std::uint64_t m_after = 0;

    friend auto operator<=>(changes_request const&, changes_request const&) =
        default;
};

/// Contains another message in compressed form. Only the codec uses it.
struct compressed_message
{
    std::uint64_t m_size = 0; ///< Bytes of the message, decompressed.
    std::string m_bytes;

    friend auto operator<=>(
        compressed_message const&, compressed_message const&) = default;
};

using message = std::variant<
    hello, run_request, run_result, cancel_request, resume_requests, ping,
    changes_request, core::directory::item_changes, body_grant, body_piece,
    compressed_message>;

/// The status of a node, sent as a datagram on changes and periodically.
struct node_status
{
    std::uint64_t m_incarnation = 0; ///< As in the node's hello.
    std::uint64_t m_sequence = 0;
    std::uint32_t m_domain_hash = 0; ///< Hash of the node's failure domain.
    std::uint64_t m_era = 0;      ///< Of the state that the node has applied.
    std::uint64_t m_revision = 0; ///< Latest that the node has applied.
    /// Whether the publishing service has recently answered the node.
    bool m_is_reader = false;
    /// Whether the publishing service has recently recovered from a failure.
    bool m_recovered = false;
    /// Whether the receiver gets a status for each change.
    bool m_reports_every_change = true;
    core::routing::target_report m_target;
    core::admission::crash_update m_crashes;

    friend auto operator<=>(node_status const&, node_status const&) = default;
};

/// Asks a node which of these nodes it hears, by their hashes.
struct reach_request
{
    std::vector<std::uint64_t> m_nodes;

    friend bool operator==(reach_request const&, reach_request const&) =
        default;
};

/// The reply to a reach_request: the nodes that the sender hears.
struct reach_reply
{
    std::vector<core::quota::heard_node> m_heard;

    friend bool operator==(reach_reply const&, reach_reply const&) = default;
};

/// Messages about quotas, sent as datagrams over the socket of the statuses.
using quota_message = std::variant<
    core::quota::quota_request, core::quota::quota_grant, reach_request,
    reach_reply>;

} // namespace hibiscustide::net::mesh

#endif
