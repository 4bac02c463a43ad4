/// \file
/// Takes calls, chooses their targets and answers them.
#ifndef HIBISCUSTIDE_NET_INGRESS_HPP
#define HIBISCUSTIDE_NET_INGRESS_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/routing/policy.hpp>

#include "net/call_scope.hpp"
#include "net/gate.hpp"
#include "net/http_types.hpp"
#include "net/metrics.hpp"
#include "net/order_registry.hpp"
#include "net/peer_table.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net
{

/// Where a call comes from.
enum class call_origin
{
    external, ///< A caller.
    service,  ///< A target that calls another service.
};

struct ingress_options
{
    std::string m_name; ///< Of the target beside the node.
    std::string m_failure_domain;
    core::endpoint m_target;
    std::string m_local_address; ///< Connections to peers come from here.
    core::routing::policy m_policy;
    std::uint64_t m_seed = 0;
};

/// The part of a node that one traffic thread runs: the choice of target for
/// each call, the sending of attempts and, for orders, the way over their
/// home. Used on one thread; shares the gate, the order registry and the
/// metrics.
class ingress
{
public:
    ingress(
        asio::io_context& context, ingress_options options, gate& local_gate,
        order_registry& orders, metrics& counts);

    /// Another note is in force.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    /// Answers a call.
    awaitable<http_response> serve(
        http_request& request, call_origin origin,
        std::shared_ptr<call_scope> const& scope);

    /// Answers a peer that has chosen the own target.
    awaitable<http_response> serve_run(
        http_request& request, std::shared_ptr<call_scope> const& scope);

    /// Answers a peer that has found this node to be home to an order.
    awaitable<http_response> serve_home(http_request& request);

    [[nodiscard]] peer_table& peers() noexcept;

private:
    /// A call on its way.
    struct call
    {
        http_request& m_request;
        std::shared_ptr<service_members const> m_service;
        core::release::request_class m_class;
        core::time_point m_deadline;
        std::string m_attempt;
        std::string m_key; ///< With its service; empty for no order.
        call_scope* m_scope = nullptr;
    };

    struct call_or_refusal;

    [[nodiscard]] call_or_refusal read_call(
        http_request& request, call_origin origin);
    awaitable<attempt_result> run_somewhere(call& work, bool skip_own);
    [[nodiscard]] std::shared_ptr<peer> choose_member(
        call const& work, std::vector<peer const*> const& tried, bool skip_own);
    awaitable<attempt_result> send(call& work, std::shared_ptr<peer> member);
    awaitable<attempt_result> send_remote(
        call& work, peer& member, std::string_view stage,
        core::time_point deadline);

    awaitable<attempt_result> run_order(call& work);
    awaitable<attempt_result> ask_home(
        call& work, core::orders::home_node const& home);
    awaitable<attempt_result> look_up(
        call& work, std::shared_ptr<peer> home, core::reason because);
    awaitable<attempt_result> run_at_home(call& work);
    awaitable<std::optional<attempt_result>> clear_with_previous(
        call& work, order_preparation const& prepared);
    awaitable<attempt_result> begin_order(call& work);
    awaitable<attempt_result> execute_order(call& work);

    [[nodiscard]] std::string new_attempt();
    awaitable<void> pause(core::duration span);

    asio::io_context& m_context;
    ingress_options m_options;
    gate& m_gate;
    order_registry& m_orders;
    metrics& m_counts;
    peer_table m_peers;
    connection_pool m_target;
    core::routing::random_engine m_random;
};

} // namespace hibiscustide::net

#endif
