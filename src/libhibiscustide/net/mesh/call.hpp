/// \file
/// One request of a caller, from its route to its answer.
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

#include <hibiscustide/core/directory/configuration.hpp>
#include <hibiscustide/core/retry/hedging.hpp>
#include <hibiscustide/core/retry/windowed_retry_budget.hpp>

#include "net/mesh/completion.hpp"
#include "net/mesh/messages.hpp"
#include "net/mesh/node_table.hpp"
#include "net/mesh/target_gate.hpp"

namespace hibiscustide::net::mesh
{

/// What calls share. Outlives them.
struct call_environment
{
    asio::io_context& m_context;
    node_table& m_nodes;
    target_gate& m_gate;
    metrics& m_counts;
    std::mt19937_64& m_random;
};

/// What is fixed when a call begins.
struct call_options
{
    run_request m_request; ///< What every attempt sends.
    core::directory::route m_route;
    core::time_point m_began_at;
    core::time_point m_objective; ///< An answer later than this is late.
    core::time_point m_deadline;  ///< The caller gets an answer by then.
    core::duration m_usual_work{};
    std::shared_ptr<core::retry::windowed_retry_budget> m_retry_budget;
    std::uint64_t m_config_version =
        0; ///< Of the configuration that routed it.
};

/// How a call ended.
struct call_result
{
    run_result m_result;
    std::size_t m_attempts = 0;
    std::string m_target; ///< Address of the node that answered.
};

/// Places a request, places it again where it did not run, and sends it to a
/// second target where it may be repeated. Lives on one io_context.
class call : public std::enable_shared_from_this<call>
{
public:
    call(call_environment const& environment, call_options options);

    /// Runs the request to its end.
    awaitable<call_result> run();

    /// The caller has left: every attempt is broken off.
    void cancel();

    /// Called every few milliseconds while the call runs.
    void on_tick(core::time_point now);

private:
    struct attempt
    {
        node_entry_ptr m_node;
        std::uint64_t m_id = 0;
        core::retry::run_forecast m_forecast;
        bool m_ended = false;
    };

    void place_attempt();
    void send(node_entry_ptr const& node);
    void on_result(std::size_t index, run_result result);
    void on_not_run(run_result result);
    void on_failed(run_result result);
    void hedge_if_slow(core::time_point now);
    void finish(run_result result, std::optional<std::size_t> index);
    void retry_placement_or_refuse(core::time_point now);
    void cancel_attempts();
    [[nodiscard]] node_entry_ptr choose_node(core::time_point now) const;
    [[nodiscard]] double best_other_cost(core::time_point now) const;
    [[nodiscard]] std::vector<core::routing::placement_candidate>
    list_candidates(
        core::time_point now,
        std::function<bool(node_entry const&)> const& is_excluded) const;
    [[nodiscard]] std::vector<node_entry_ptr> const& members() const;
    [[nodiscard]] bool may_retry() const;
    [[nodiscard]] std::size_t running_attempts() const;

    call_environment m_environment;
    call_options m_options;
    completion<call_result> m_completion;
    std::vector<attempt> m_attempts;
    std::vector<node_entry const*> m_refused; ///< In this round of placing.
    std::vector<node_entry const*> m_failed;
    std::optional<core::time_point> m_retry_placement_at;
    std::optional<run_result> m_last_failure; ///< Told if nothing better comes.
    run_result m_last_refusal;
    std::size_t m_targets_reached =
        0;                           ///< Targets that the request has reached.
    std::size_t m_possible_runs = 0; ///< Targets that may have run it.
    bool m_finished = false;
};

} // namespace hibiscustide::net::mesh

#endif
