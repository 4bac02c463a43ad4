/// \file
/// Serves the callers on this VM.
#ifndef HIBISCUSTIDE_NET_MESH_DISPATCHER_HPP
#define HIBISCUSTIDE_NET_MESH_DISPATCHER_HPP

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/routing/route_table.hpp>

#include "net/cancel_scope.hpp"
#include "net/http_types.hpp"
#include "net/mesh/call.hpp"
#include "net/mesh/protocol.hpp"

namespace hibiscustide::net::mesh
{

struct dispatcher_options
{
    std::string m_service; ///< Of the target beside this node.
    core::retry::windowed_retry_budget_options
        m_budget; ///< Of the whole fleet.
};

/// Routes each request by the configuration in force and answers it. Lives on
/// one io_context.
class dispatcher
{
public:
    dispatcher(
        asio::io_context& context, dispatcher_options options,
        protocol const& wire, neighbours& nodes, target_gate& gate,
        metrics& counts);

    awaitable<http_response> serve(
        http_request& request, std::shared_ptr<cancel_scope> const& scope);

    void change_directory(core::directory::directory_ptr const& now_in_force);

    /// Calls that are not answered yet.
    [[nodiscard]] std::size_t busy() const noexcept;

private:
    awaitable<void> tick_loop();
    void begin_ticking();
    [[nodiscard]] call_options to_call(
        http_request& request, caller_fields const& fields,
        core::routing::route_table::entry& entry);
    [[nodiscard]] std::shared_ptr<core::retry::windowed_retry_budget> budget_of(
        std::string const& service);
    [[nodiscard]] core::duration& work_of(core::directory::route const& route);
    [[nodiscard]] http_response to_http(
        call_result&& end, std::string const& attempt,
        core::time_point deadline);
    [[nodiscard]] http_response refuse(
        status code, std::string const& attempt, core::reason why,
        std::chrono::milliseconds retry_after);
    void learn(core::directory::route const& route, call_result const& end);

    asio::io_context& m_context;
    dispatcher_options m_options;
    protocol const& m_wire;
    metrics& m_counts;
    std::mt19937_64 m_random;
    neighbours& m_nodes;
    call_environment m_environment;
    core::directory::directory_ptr m_directory;
    core::routing::route_table m_routes;
    std::map<std::string, std::shared_ptr<core::retry::windowed_retry_budget>>
        m_budgets;
    std::map<std::string, core::duration> m_work; ///< Usual work by route.
    std::set<std::shared_ptr<call>> m_calls;
    asio::steady_timer m_tick;
    bool m_ticking = false;
};

} // namespace hibiscustide::net::mesh

#endif
