/// \file
/// What the parts of the gate share.
#ifndef HIBISCUSTIDE_NET_MESH_TARGET_GATE_WORK_HPP
#define HIBISCUSTIDE_NET_MESH_TARGET_GATE_WORK_HPP

#include <chrono>
#include <cstdint>

#include <hibiscustide/core/hash.hpp>

#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// Targets that say nothing close idle connections after about ten seconds.
inline constexpr std::chrono::milliseconds idle_limit{4'000};

/// One request at the gate.
struct target_gate::work
{
    ticket m_ticket = 0;
    run_request m_request;
    done_handler m_done;
    core::time_point m_deadline;
    core::time_point m_objective;
    core::time_point m_started_at{};
    cancel_scope m_scope;
    std::uint32_t m_slowness = 100; ///< Of the target when it began, percent.
    bool m_running = false;
    bool m_cancelled = false;
};

/// Usual time of the request at the target.
inline core::duration usual_work(run_request const& request)
{
    return std::chrono::milliseconds{request.m_work_ms};
}

/// The same for requests that ask the same of a target, whoever sends them.
inline core::admission::fingerprint fingerprint_of(run_request const& request)
{
    auto const head =
        core::hash_of(request.m_path, core::hash_of(request.m_method));
    return core::hash_of(request.m_body, head);
}

/// The request did not run.
inline run_result refusal(
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
