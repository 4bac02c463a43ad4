/// \file
/// Receives calls, chooses their targets and answers them.
#ifndef HIBISCUSTIDE_NET_INGRESS_HPP
#define HIBISCUSTIDE_NET_INGRESS_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hibiscustide/core/routing/policy.hpp>

#include "net/cancel_scope.hpp"
#include "net/gate.hpp"
#include "net/http_types.hpp"
#include "net/metrics.hpp"
#include "net/order_registry.hpp"
#include "net/peer_table.hpp"
#include "net/replies.hpp"

namespace hibiscustide::net
{

/// The sender of a call.
enum class call_origin
{
    external, ///< A caller outside the fleet.
    service,  ///< A peer, or a target that calls another service.
};

struct ingress_options
{
    std::string m_name; ///< Of the target beside the node.
    std::string m_failure_domain;
    core::endpoint m_target;     ///< Address of the local target.
    std::string m_local_address; ///< Source address of connections to peers.
    core::routing::policy m_policy;
    std::uint64_t m_seed = 0;
};

/// The part of a node that runs on each traffic thread. Chooses the target of
/// each call, sends attempts and routes each order through the owner of its
/// key, the only node that may start the order. Each ingress is used on one
/// thread; the gate, the order registry and the metrics are shared by all
/// threads.
class ingress
{
public:
    ingress(
        asio::io_context& context, ingress_options options, gate& local_gate,
        order_registry& orders, metrics& counts);

    /// Applies a new fleet.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    /// Serves a call of a caller or of a service.
    awaitable<http_response> serve(
        http_request& request, call_origin origin,
        std::shared_ptr<cancel_scope> const& scope);

    /// Runs a request at the local target for a peer that has chosen this
    /// target.
    awaitable<http_response> serve_run(
        http_request& request, std::shared_ptr<cancel_scope> const& scope);

    /// Runs an order for a peer that has determined this node to be the owner
    /// of the order's key.
    awaitable<http_response> serve_as_owner(http_request& request);

    [[nodiscard]] peer_table& peers() noexcept;

private:
    /// A call that is being served.
    struct pending_call
    {
        http_request& m_request;
        std::shared_ptr<service_members const> m_service;
        core::release::request_class m_class;
        core::time_point m_deadline;
        std::string m_attempt;
        /// "service/key"; empty if the call is not an order or has no key.
        std::string m_key;
        cancel_scope* m_scope = nullptr;
    };

    struct call_or_reason;

    [[nodiscard]] call_or_reason read_call(
        http_request& request, call_origin origin);
    awaitable<attempt_result> run_with_retries(
        pending_call& call, bool exclude_local);
    [[nodiscard]] std::shared_ptr<peer> choose_member(
        pending_call const& call, std::vector<peer const*> const& tried,
        bool exclude_local);
    awaitable<attempt_result> send_attempt(
        pending_call& call, std::shared_ptr<peer> member);
    awaitable<attempt_result> send_to_peer(
        pending_call& call, peer& member, std::string_view stage,
        core::time_point deadline);

    awaitable<attempt_result> run_order(pending_call& call);
    awaitable<attempt_result> send_to_owner(
        pending_call& call, core::orders::owner_node const& owner);
    awaitable<attempt_result> look_up_outcome(
        pending_call& call, std::shared_ptr<peer> owner, core::reason cause);
    awaitable<attempt_result> run_as_owner(pending_call& call);
    awaitable<std::optional<attempt_result>> check_previous_owners(
        pending_call& call, order_preparation const& prepared);
    awaitable<attempt_result> begin_order(pending_call& call);
    awaitable<attempt_result> execute_order(pending_call& call);

    [[nodiscard]] std::string new_attempt_id();
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
