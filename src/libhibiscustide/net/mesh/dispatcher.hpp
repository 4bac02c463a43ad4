/// \file
/// Routes the requests of the callers on this VM.
#ifndef HIBISCUSTIDE_NET_MESH_DISPATCHER_HPP
#define HIBISCUSTIDE_NET_MESH_DISPATCHER_HPP

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include <hibiscustide/core/directory/authentication.hpp>
#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/directory/key_index.hpp>
#include <hibiscustide/core/retry/caller_age.hpp>
#include <hibiscustide/core/routing/route_table.hpp>

#include "net/cancel_scope.hpp"
#include "net/http_types.hpp"
#include "net/mesh/call.hpp"
#include "net/mesh/protocol.hpp"
#include "net/mesh/quota_client.hpp"

namespace hibiscustide::net::mesh
{

/// Parameters of a dispatcher.
struct dispatcher_options
{
    /// The slack in these options is that of the whole fleet.
    core::retry::windowed_retry_budget_options m_retry_budget;
};

/// Routes each request by the configuration in force and answers it. Keeps a
/// retry budget for each service and the usual processing time of each route.
/// Runs on one io_context.
class dispatcher
{
public:
    dispatcher(
        asio::io_context& context, dispatcher_options options,
        protocol const& wire_protocol, node_table& nodes, target_gate& gate,
        quota_client& quotas, metrics& counts);

    /// Runs the request at a target and returns the response for the caller.
    /// Removes the body and the hop-by-hop fields from `request`. `body` is the
    /// body if it is still arriving, and null otherwise.
    awaitable<http_response> serve(
        http_request& request, body_buffer_ptr const& body,
        std::shared_ptr<cancel_scope> const& scope);

    /// Replaces the directory. Builds a new route table if the version of the
    /// configuration has changed.
    void set_directory(core::directory::directory_ptr const& current);

    /// Passes on only what is expected to end before the exit of this node, and
    /// ends all calls before it.
    void begin_stop(core::admission::stop_window const& stop);

    /// Number of calls that are not answered yet.
    [[nodiscard]] std::size_t active_calls() const noexcept;

private:
    /// What is derived from one version of the configuration. A request keeps
    /// it, so that the version may be replaced while the request waits.
    struct routing_rules
    {
        core::routing::route_table m_routes;
        core::directory::key_index m_keys;
        /// Least urgent priority of the requests to each service.
        std::map<std::string, std::uint32_t> m_least_urgent;
    };

    /// A request that may run: its route and its organisation, which the rules
    /// own. The organisation is null if the request has no API key.
    struct admitted_request
    {
        std::shared_ptr<routing_rules> m_rules;
        core::routing::route_table::entry* m_entry = nullptr;
        core::directory::organisation const* m_organisation = nullptr;
    };

    /// The times of a call that determine its refusal.
    struct call_times
    {
        core::time_point m_objective;
        core::time_point m_deadline;
        core::time_point m_caller_deadline; ///< When the caller stops waiting.
        core::duration m_usual_work{};
    };

    awaitable<void> tick_loop();
    static void tick(call& each, core::time_point now);
    awaitable<call_result> run(
        std::shared_ptr<call> new_call, cancel_scope& scope);
    void start_ticking();
    [[nodiscard]] call_options make_call_options(
        http_request& request, caller_fields const& fields,
        admitted_request const& admitted);
    [[nodiscard]] header_fields take_fields(
        http_request& request, core::directory::key_index const& keys) const;
    [[nodiscard]] bool is_forwarded(
        core::directory::key_index const& keys, std::string_view name,
        std::string_view value) const;
    awaitable<void> discard_body(
        http_request const& request, body_buffer_ptr body);
    [[nodiscard]] http_response make_unauthenticated_reply(
        std::string const& attempt, core::directory::route const& route,
        core::directory::key_refusal why);
    [[nodiscard]] http_response make_over_quota_reply(
        std::string const& attempt, core::directory::route const& route,
        std::string const& organisation, core::duration retry_after);
    [[nodiscard]] http_response make_malformed_body_reply(
        status code, std::string const& attempt);
    [[nodiscard]] std::shared_ptr<core::retry::windowed_retry_budget>
    retry_budget_for(std::string const& service);
    [[nodiscard]] static bool is_urgent(
        routing_rules const& rules, core::directory::route const& route,
        std::uint32_t priority);
    [[nodiscard]] core::duration& usual_work_of(
        core::directory::route const& route);
    [[nodiscard]] http_response to_http(
        call_result&& end, std::string const& attempt, call_times const& times);
    [[nodiscard]] http_response make_error_reply(
        status code, std::string const& attempt, core::reason why,
        std::chrono::milliseconds retry_after);
    void update_usual_work(
        core::directory::route const& route, call_result const& end);

    asio::io_context& m_context;
    dispatcher_options m_options;
    protocol const& m_protocol;
    metrics& m_counts;
    std::mt19937_64 m_random;
    node_table& m_nodes;
    quota_client& m_quotas;
    call_environment m_environment;
    core::directory::directory_ptr m_directory;
    std::shared_ptr<routing_rules> m_rules = std::make_shared<routing_rules>();
    std::map<std::string, std::shared_ptr<core::retry::windowed_retry_budget>>
        m_retry_budgets;
    std::map<std::string, core::duration> m_usual_work; ///< By route name.
    /// By route name.
    std::map<std::string, core::retry::caller_age> m_caller_ages;
    std::set<std::shared_ptr<call>> m_calls;
    asio::steady_timer m_tick_timer;
    bool m_ticking = false;
};

} // namespace hibiscustide::net::mesh

#endif
