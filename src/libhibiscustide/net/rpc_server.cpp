#include "net/rpc_server.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <hibiscustide/net/event_log.hpp>

namespace hibiscustide::net
{

namespace
{

// A connector without a listener. libjsonrpccpp requires a connector, and this
// one only forwards request bodies.
class in_process_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(std::string const&, void*) override
    {
        return true;
    }
};

// Holds the connector in a base class, because AbstractServer takes it in its
// constructor and so needs it to be constructed first.
struct connector_holder
{
    in_process_connector m_connector;
};

[[noreturn]] void throw_invalid_parameters()
{
    throw jsonrpc::JsonRpcException{jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS};
}

} // namespace

struct rpc_server::implementation
    : connector_holder,
      jsonrpc::AbstractServer<rpc_server::implementation>
{
    implementation(rpc_handlers handlers, order_registry& orders);

    void release_after(Json::Value const& parameters, Json::Value& result);
    void release_offer(Json::Value const& parameters, Json::Value& result);
    void order_look_up(Json::Value const& parameters, Json::Value& result);
    void order_transfer_ownership(
        Json::Value const& parameters, Json::Value& result);

    void bind(
        char const* name,
        void (implementation::*method)(Json::Value const&, Json::Value&));

    rpc_handlers m_handlers;
    order_registry& m_orders;
};

rpc_server::implementation::implementation(
    rpc_handlers handlers, order_registry& orders)
    : jsonrpc::AbstractServer<implementation>{m_connector},
      m_handlers{std::move(handlers)},
      m_orders{orders}
{
    bind(rpc::release_after, &implementation::release_after);
    bind(rpc::release_offer, &implementation::release_offer);
    bind(rpc::order_look_up, &implementation::order_look_up);
    bind(
        rpc::order_transfer_ownership,
        &implementation::order_transfer_ownership);
}

void rpc_server::implementation::bind(
    char const* name,
    void (implementation::*method)(Json::Value const&, Json::Value&))
{
    jsonrpc::Procedure const procedure{
        name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr};
    bindAndAddMethod(procedure, method);
}

void rpc_server::implementation::release_after(
    Json::Value const& parameters, Json::Value& result)
{
    auto const requested = rpc::parse_release_state(parameters);
    if (!requested)
    {
        throw_invalid_parameters();
    }
    result = rpc::to_json(m_handlers.m_release_after(requested->m_revision));
}

void rpc_server::implementation::release_offer(
    Json::Value const& parameters, Json::Value& result)
{
    auto const offered = rpc::parse_release_state(parameters);
    if (!offered)
    {
        throw_invalid_parameters();
    }
    result = rpc::to_json(m_handlers.m_release_offer(*offered));
}

void rpc_server::implementation::order_look_up(
    Json::Value const& parameters, Json::Value& result)
{
    auto const query = rpc::parse_order_query(parameters);
    if (!query)
    {
        throw_invalid_parameters();
    }
    std::chrono::milliseconds const horizon{query->m_horizon_ms};
    result =
        rpc::to_json(m_orders.look_up(query->m_key, query->m_attempt, horizon));
}

void rpc_server::implementation::order_transfer_ownership(
    Json::Value const& parameters, Json::Value& result)
{
    auto const query = rpc::parse_order_query(parameters);
    if (!query)
    {
        throw_invalid_parameters();
    }
    std::chrono::milliseconds const horizon{query->m_horizon_ms};
    log_event(
        core::observe::event::order_key_handed_over, {{"key", query->m_key}});
    result = rpc::to_json(m_orders.transfer_ownership(query->m_key, horizon));
}

rpc_server::rpc_server(rpc_handlers handlers, order_registry& orders)
    : m_implementation{
          std::make_unique<implementation>(std::move(handlers), orders)}
{
}

rpc_server::~rpc_server() = default;

std::string rpc_server::handle(std::string const& body)
{
    std::string response;
    m_implementation->m_connector.GetHandler()->HandleRequest(body, response);
    return response;
}

} // namespace hibiscustide::net
