/// \file
/// Gets tokens for callers' requests from the owners of the quotas, and grants
/// tokens of the quotas that this node owns.
#ifndef HIBISCUSTIDE_NET_MESH_QUOTA_CLIENT_HPP
#define HIBISCUSTIDE_NET_MESH_QUOTA_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <hibiscustide/core/directory/directory.hpp>
#include <hibiscustide/core/quota/quota_share.hpp>

#include "net/http_types.hpp"
#include "net/mesh/messages.hpp"
#include "net/metrics.hpp"

namespace hibiscustide::net::mesh
{

/// Parameters of a quota_client.
struct quota_client_options
{
    core::quota::quota_options m_quota;
    std::string m_address; ///< IP address of this node.
    /// Sends a datagram to the node with this address.
    std::function<void(std::string const& address, quota_message const&)>
        m_send;
};

/// The token of a request; to be given back if the request does not run.
struct quota_token
{
    core::quota::organisation_id m_organisation = 0;
    core::quota::quota_granted m_granted;
};

/// A token, or the time until the quota has room.
using quota_decision = std::variant<quota_token, core::quota::quota_refused>;

/// The quotas at one node. It holds state only for organisations with a limit
/// whose requests it serves or grants. Runs on one io_context.
class quota_client
{
public:
    quota_client(
        asio::io_context& context, quota_client_options options,
        metrics& counts);

    /// Applies the limits and the nodes of a new directory.
    void set_directory(core::directory::directory_ptr const& current);

    /// Handles a status of another node. `is_open` is whether its target
    /// accepts requests.
    void on_status(std::string const& address, bool is_open);

    /// Handles a message of another node.
    void on_message(std::string const& address, quota_message const& received);

    /// Gets a token for a request of an organisation with a limit. Waits at
    /// most until the deadline, at which it refuses the request.
    awaitable<quota_decision> acquire(
        core::directory::organisation const& organisation,
        core::time_point deadline);

    /// Returns the token of a request that did not run.
    void give_back(quota_token const& token);

    /// State dump.
    [[nodiscard]] Json::Value to_json() const;

private:
    /// A request that waits for a grant.
    struct waiter
    {
        explicit waiter(asio::io_context& context)
            : m_timer{context}
        {
        }

        asio::steady_timer m_timer;
        std::optional<core::quota::quota_step> m_step;
    };

    struct message_visitor;

    awaitable<void> update_loop();
    void update();
    void ask_about_lost_nodes();
    [[nodiscard]] core::quota::quota_limit limit_of(
        core::quota::organisation_id organisation) const;
    [[nodiscard]] core::quota::quota_step answer_own(
        core::quota::quota_step step);
    void count();

    asio::io_context& m_context;
    quota_client_options m_options;
    metrics& m_counts;
    core::quota::quota_fleet m_fleet;
    core::quota::quota_owner m_owner;
    core::quota::quota_share m_share;
    core::quota::quota_counts m_counted;
    /// Of the organisations that have one.
    std::map<core::quota::organisation_id, core::quota::quota_limit> m_limits;
    std::uint64_t m_config_version = 0;
    std::map<std::uint64_t, std::shared_ptr<waiter>> m_waiters;
    std::mt19937_64 m_random;
    asio::steady_timer m_update_timer;
    bool m_is_updating = false;
};

} // namespace hibiscustide::net::mesh

#endif
