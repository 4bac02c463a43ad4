/// \file
/// Answers the JSON-RPC calls of peers.
#ifndef HIBISCUSTIDE_NET_RPC_SERVER_HPP
#define HIBISCUSTIDE_NET_RPC_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/order_registry.hpp"
#include "net/rpc.hpp"

namespace hibiscustide::net
{

/// What the RPC server asks of the control side of its node.
struct rpc_handlers
{
    /// The notes that a holder of the revision lacks.
    std::function<rpc::release_state(std::uint64_t)> m_release_after;
    /// Considers notes that a peer offers; gives what is in force then.
    std::function<rpc::release_state(rpc::release_state const&)>
        m_release_offer;
};

/// JSON-RPC 2.0 by libjsonrpccpp, without a listener of its own: the node's
/// listener for peers hands over each body. Used on the control thread.
class rpc_server
{
public:
    rpc_server(rpc_handlers handlers, order_registry& orders);
    ~rpc_server();

    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /// The JSON-RPC response to a JSON-RPC request. Errors are told in it.
    [[nodiscard]] std::string answer(std::string const& body);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace hibiscustide::net

#endif
