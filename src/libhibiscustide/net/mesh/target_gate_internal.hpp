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

/// A waiting or running request.
struct target_gate::active_request
{
    ticket m_ticket = 0;
    run_request m_request;
    done_handler m_done;
    core::time_point m_deadline;
    core::time_point m_objective;
    core::time_point m_started_at{};
    cancel_scope m_scope;
    /// Slowness of the target when the request was started, in percent.
    std::uint32_t m_slowness = 100;
    /// Requests that the target ran when this one was started, itself included.
    std::uint32_t m_running_at_start = 0;
    bool m_running = false;
    bool m_cancelled = false;
};

/// Usual processing time of the request at the target.
inline core::duration usual_work(run_request const& request)
{
    return std::chrono::milliseconds{request.m_work_ms};
}

/// Hash of the method, the path and the body: equal for equal requests of
/// different callers.
inline core::admission::fingerprint fingerprint_of(run_request const& request)
{
    auto const head =
        core::hash_of(request.m_path, core::hash_of(request.m_method));
    return core::hash_of(request.m_body, head);
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
