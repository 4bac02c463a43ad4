/// \file
/// Definitions shared by the source files of target_gate.
#ifndef HIBISCUSTIDE_NET_MESH_TARGET_GATE_INTERNAL_HPP
#define HIBISCUSTIDE_NET_MESH_TARGET_GATE_INTERNAL_HPP

#include <chrono>
#include <cstdint>

#include <hibiscustide/core/hash.hpp>

#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// Maximum idle time of a connection to the target. Targets that announce no
/// idle timeout close idle connections after about ten seconds.
inline constexpr std::chrono::milliseconds idle_limit{4'000};

/// Part of a body that identifies equal requests.
inline constexpr std::size_t max_fingerprint_bytes = 65'536;

/// A waiting or running request.
struct target_gate::active_request
{
    ticket m_ticket = 0;
    run_request m_request;
    body_buffer_ptr m_body; ///< Null if the request contains its body.
    done_handler m_done;
    core::time_point m_deadline;
    core::time_point m_objective;
    core::time_point m_started_at{};
    cancel_scope m_scope;
    /// Slowness of the target when the request was started, in percent.
    std::uint32_t m_slowness = 100;
    /// Requests that the target ran when this one was started, itself included.
    std::uint32_t m_running_at_start = 0;
    core::admission::fingerprint m_fingerprint{};
    bool m_running = false;
    bool m_cancelled = false;
    bool m_ended_by_stop = false; ///< See target_gate::end_running().

    /// Sets the hash of the method, the path and the body, or of the part of it
    /// that has arrived. The hashes of equal requests of different callers are
    /// equal.
    void update_fingerprint()
    {
        auto const head =
            core::hash_of(m_request.m_path, core::hash_of(m_request.m_method));
        std::string_view const body =
            m_body ? m_body->read(0, max_fingerprint_bytes)
                   : std::string_view{m_request.m_body};
        m_fingerprint = core::hash_of(body, head);
    }

    /// Whether the body has arrived, has failed, or fills its buffer.
    [[nodiscard]] bool is_body_ready() const
    {
        return !m_body ||
               m_body->current_state() != body_buffer::state::incomplete ||
               m_body->room() == 0;
    }

    /// Whether the request may be aborted: it may run again, or its target has
    /// not got all of it.
    [[nodiscard]] bool can_be_aborted() const
    {
        return m_request.m_idempotent ||
               (m_body &&
                m_body->current_state() != body_buffer::state::complete);
    }
};

/// Usual processing time of the request at the target.
inline core::duration usual_work(run_request const& request)
{
    return std::chrono::milliseconds{request.m_work_ms};
}

/// Returns the result of a request that did not run.
inline run_result make_refusal(
    core::reason why, bool reached_target = false,
    core::duration retry_after = {})
{
    return {
        .m_outcome = outcome::not_run,
        .m_reason = why,
        .m_retry_after_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(retry_after)
                .count(),
        .m_reached_target = reached_target};
}

} // namespace hibiscustide::net::mesh

#endif
