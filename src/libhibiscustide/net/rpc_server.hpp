/// \file
/// The server side of JSON-RPC between nodes.
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

/// The functions of the control part of the node that the RPC server calls.
struct rpc_handlers
{
    /// Returns the release notes that a peer with the given revision lacks.
    std::function<rpc::release_state(std::uint64_t)> m_release_after;
    /// Processes release notes that a peer offers and returns the state that is
    /// then in force.
    std::function<rpc::release_state(rpc::release_state const&)>
        m_release_offer;
};

/// A JSON-RPC 2.0 server based on libjsonrpccpp. It has no listener: the node's
/// listener for peers passes each request body to it. Used only on the control
/// thread.
class rpc_server
{
public:
    rpc_server(rpc_handlers handlers, order_registry& orders);
    ~rpc_server();

    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /// Returns the JSON-RPC response to a JSON-RPC request. Errors are reported
    /// in the response.
    [[nodiscard]] std::string handle(std::string const& body);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace hibiscustide::net

#endif
