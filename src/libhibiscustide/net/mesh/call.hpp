/// \file
/// Handles one request of a caller: placement, retries and hedging.
#ifndef HIBISCUSTIDE_NET_MESH_CALL_HPP
#define HIBISCUSTIDE_NET_MESH_CALL_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/admission/stop_window.hpp>
#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/retry/hedging.hpp>
#include <hibiscustide/core/retry/windowed_retry_budget.hpp>

#include "net/mesh/completion.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/node_table.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// The objects that all calls share; they must outlive every call.
struct call_environment
{
    asio::io_context& m_context;
    node_table& m_nodes;
    target_gate& m_gate;
    metrics& m_counts;
    std::mt19937_64& m_random;
    /// Set while the node stops.
    std::optional<core::admission::stop_window> m_stop;
};

/// The parameters of a call, fixed at its start.
struct call_options
{
    run_request m_request; ///< Sent by every attempt.
    /// The body; null if the request contains it or has none. It may still be
    /// arriving from the caller.
    body_buffer_ptr m_body;
    core::directory::route m_route;
    core::time_point m_began_at;
    core::time_point m_objective;  ///< A later answer is late.
    bool m_urgent = false;         ///< See core::routing::request_needs.
    core::time_point m_deadline;   ///< The caller stops waiting at this time.
    core::duration m_usual_work{}; ///< Usual processing time.
    std::shared_ptr<core::retry::windowed_retry_budget> m_retry_budget;
    /// Version of the configuration that the route was taken from.
    std::uint64_t m_config_version = 0;
};

/// The result of a call.
struct call_result
{
    run_result m_result;
    std::size_t m_attempts = 0; ///< Number of attempts that were sent.
    std::string m_target; ///< Address of the node that answered; may be empty.
};

/// Sends a request to a target and retries it at others. A request that a
/// target did not run is placed again; one that may have run is retried or
/// hedged only if it is idempotent. Runs on one io_context.
class call : public std::enable_shared_from_this<call>
{
public:
    call(call_environment const& environment, call_options options);

    /// Sends the request and returns the result of the call.
    awaitable<call_result> run();

    /// Ends the call and cancels its attempts because the caller has
    /// disconnected.
    void cancel();

    /// Ends the call before the node exits. Call it once when the node begins
    /// to stop.
    void begin_stop(core::admission::stop_window const& stop);

    /// Checks deadline, placement retry and hedging. Must be called every few
    /// milliseconds while the call runs.
    void on_tick(core::time_point now);

private:
    /// The request as sent to one node.
    struct attempt
    {
        node_entry_ptr m_node;
        std::uint64_t m_id = 0; ///< Handle for cancelling the attempt.
        core::retry::run_forecast m_forecast;
        bool m_ended = false;

        [[nodiscard]] bool is_lost(core::time_point now) const;
    };

    void place_attempt();
    void send(node_entry_ptr const& node);
    void on_result(std::size_t index, run_result result);
    void on_not_run(run_result result);
    void on_failed(attempt const& failed, run_result result);
    void hedge_if_slow(core::time_point now);
    void finish(run_result result, std::optional<std::size_t> index);
    void retry_placement_or_refuse(core::time_point now);
    [[nodiscard]] bool refuse_if_stopping(core::time_point now);
    [[nodiscard]] bool refuse_if_no_room(core::time_point now);
    void cancel_attempts();
    [[nodiscard]] node_entry_ptr choose_node(core::time_point now) const;
    [[nodiscard]] double best_other_cost(core::time_point now) const;
    [[nodiscard]] std::vector<core::routing::placement_candidate>
    list_candidates(
        core::time_point now,
        std::function<bool(node_entry const&)> const& is_excluded) const;
    [[nodiscard]] std::vector<node_entry_ptr> const& members() const;
    [[nodiscard]] bool may_retry() const;
    [[nodiscard]] bool can_send_again() const;
    [[nodiscard]] bool has_body_failed() const;
    [[nodiscard]] std::size_t running_attempts() const;
    [[nodiscard]] attempt const& last_running_attempt() const;

    call_environment m_environment;
    call_options m_options;
    /// m_options.m_deadline may be earlier because this node stops.
    core::time_point m_caller_deadline;
    completion<call_result> m_completion;
    std::vector<attempt> m_attempts;
    std::vector<node_entry const*> m_refused; ///< Refused this round.
    /// Nodes that failed the request or respond too slowly.
    std::vector<node_entry const*> m_failed;
    std::optional<core::time_point> m_retry_placement_at;
    core::routing::full_gates m_full_gates;
    /// Returned if no later attempt succeeds.
    std::optional<run_result> m_last_failure;
    run_result m_last_refusal;
    std::size_t m_targets_reached = 0; ///< Targets that received the request.
    std::size_t m_possible_runs = 0;   ///< Targets that may have run it.
    bool m_finished = false;
};

} // namespace hibiscustide::net::mesh

#endif
